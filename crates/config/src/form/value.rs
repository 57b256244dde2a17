//! Parsing atoms as values: words, numbers, addresses, and time spans and sizes with their units.

use std::net::SocketAddr;

use nettleferry::Micros;

/// A type of value that can be parsed from an atom.
pub trait Value: Sized {
    /// A description of valid values, which follows "write" in error messages.
    const EXPECTED: &'static str;
    /// Parses the text of an atom. `None` if it is not a valid value of this type.
    fn parse(text: &str) -> Option<Self>;
}

impl Value for String {
    const EXPECTED: &'static str = "a word or a \"string\"";
    fn parse(text: &str) -> Option<Self> {
        Some(text.to_owned())
    }
}

impl Value for bool {
    const EXPECTED: &'static str = "yes or no";
    fn parse(text: &str) -> Option<Self> {
        match text {
            "yes" => Some(true),
            "no" => Some(false),
            _ => None,
        }
    }
}

impl Value for u64 {
    const EXPECTED: &'static str = "a whole number";
    fn parse(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

impl Value for i64 {
    const EXPECTED: &'static str = "a whole number";
    fn parse(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

impl Value for u32 {
    const EXPECTED: &'static str = "a whole number below 2^32";
    fn parse(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

impl Value for f64 {
    const EXPECTED: &'static str = "a number that is not negative, such as 0.3";
    fn parse(text: &str) -> Option<Self> {
        text.parse().ok().filter(|number: &f64| number.is_finite() && *number >= 0.0)
    }
}

impl Value for SocketAddr {
    const EXPECTED: &'static str = "an address and port, such as \"127.0.0.1:8001\" or \"[::1]:8001\"";
    fn parse(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

/// A time span, microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeSpan(pub Micros);

/// Parses a number followed by the name of a unit, and multiplies it by the factor of the unit. `None` if the number or
/// the unit is invalid, or the product is 9e15 or more.
fn with_unit(text: &str, units: &[(&str, f64)]) -> Option<f64> {
    let digits = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    let (number, unit) = text.split_at(digits);
    let number: f64 = number.parse().ok()?;
    let (_, factor) = units.iter().find(|(name, _)| *name == unit)?;
    let value = number * factor;
    (value.is_finite() && value < 9e15).then_some(value)
}

impl Value for TimeSpan {
    const EXPECTED: &'static str = "a span with its unit: us, ms, s, min or h, such as 600ms or 4s";
    fn parse(text: &str) -> Option<Self> {
        let units = [("us", 1.0), ("ms", 1e3), ("s", 1e6), ("min", 60e6), ("h", 3600e6)];
        with_unit(text, &units).map(|us| Self(us.round() as Micros))
    }
}

/// A size, bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bytes(pub u64);

impl Value for Bytes {
    const EXPECTED: &'static str = "a size with its unit: B, KiB, MiB or GiB, such as 64MiB";
    fn parse(text: &str) -> Option<Self> {
        let units =
            [("B", 1.0), ("KiB", 1024.0), ("MiB", 1024.0 * 1024.0), ("GiB", 1024.0 * 1024.0 * 1024.0)];
        with_unit(text, &units).map(|bytes| Self(bytes.round() as u64))
    }
}
