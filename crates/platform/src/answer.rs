//! What an invoker's answer says: its word, its note, its report.

use nettleferry::{LoadNote, Report};

/// Words of answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// Ok.
    Served,
    /// The function is not loaded there: it never ran.
    NotHere,
    /// Full: it never ran.
    Overload,
    /// An error: it may have run.
    Crashed,
    /// The request was over already: it never ran.
    Nobody,
    /// A probe's: in service.
    Green,
    /// A probe's: not in service.
    Red,
}

impl Word {
    /// Reads one.
    pub fn read(text: &str) -> Option<Self> {
        Some(match text {
            "served" => Self::Served,
            "not_here" => Self::NotHere,
            "overload" => Self::Overload,
            "crashed" => Self::Crashed,
            "nobody" => Self::Nobody,
            "green" => Self::Green,
            "red" => Self::Red,
            _ => return None,
        })
    }
}

/// An answer's fields.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Told {
    /// Of loaded copies.
    pub note: Option<LoadNote>,
    /// Copies that stand, after an order.
    pub instances: Option<u32>,
    /// The load report.
    pub report: Option<Report>,
}

impl Told {
    /// Reads `name=value,name=value`, or `-` for none. What is unknown is left out; `None`: it is no such list.
    pub fn read(fields: &str) -> Option<Self> {
        let mut told = Self::default();
        if fields == "-" || fields.is_empty() {
            return Some(told);
        }
        for field in fields.split(',') {
            let (name, value) = field.split_once('=')?;
            match name {
                "n" => {
                    told.note = Some(match value {
                        "w" => LoadNote::Warm,
                        "c" => LoadNote::Began,
                        "j" => LoadNote::Waited,
                        "f" => LoadNote::Failed,
                        _ => return None,
                    });
                }
                "instances" => told.instances = Some(value.parse().ok()?),
                "l" => told.report = Some(report(value)?),
                _ => {}
            }
        }
        Some(told)
    }
}

/// Reads `inflight:7;util:0.61`. The settings' own names for these values count as well.
fn report(text: &str) -> Option<Report> {
    let mut report = Report::default();
    for part in text.split(';').filter(|part| !part.is_empty()) {
        let (name, value) = part.split_once(':')?;
        let value = value.parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0)?;
        match name {
            "inflight" | "rif" => report.inflight = Some(value),
            "queue" | "q" => report.queue = Some(value),
            "util" | "busy" => report.util = Some(value),
            "x0" => report.memory_held = Some(value),
            "x1" => report.loads = Some(value),
            _ => {}
        }
    }
    Some(report)
}
