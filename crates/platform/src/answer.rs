//! Parsing of the kind and the fields of an invoker's answer. The fields include the load note and the load report.

use nettleferry::{LoadNote, Report};

/// The kind of an answer, from its keyword on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// The request was served.
    Served,
    /// The invoker has no replica of the function. The request did not run.
    NotLoaded,
    /// The invoker is at capacity. The request did not run.
    Overloaded,
    /// The invoker failed the request, which may have run.
    Crashed,
    /// The request had expired or been cancelled before the invoker received it. It did not run.
    AlreadyEnded,
    /// The answer to a health check: the invoker is in service.
    InService,
    /// The answer to a health check: the invoker is not in service.
    OutOfService,
}

impl AnswerKind {
    /// Parses a keyword. Returns `None` if it is unknown.
    pub fn parse(text: &str) -> Option<Self> {
        Some(match text {
            "served" => Self::Served,
            "not_here" => Self::NotLoaded,
            "overload" => Self::Overloaded,
            "crashed" => Self::Crashed,
            "nobody" => Self::AlreadyEnded,
            "green" => Self::InService,
            "red" => Self::OutOfService,
            _ => return None,
        })
    }
}

/// The fields of an answer. Fields that were not sent are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnswerFields {
    /// Whether the function was loaded when the request arrived, and how a load that it waited for ended.
    pub note: Option<LoadNote>,
    /// Number of loaded replicas, in the answer to a load order.
    pub instances: Option<u32>,
    /// The invoker's load report.
    pub report: Option<Report>,
}

impl AnswerFields {
    /// Parses `name=value,name=value`, or `-` for no fields. Unknown names are ignored. Returns `None` if the list or
    /// the value of a known field is malformed.
    pub fn parse(fields: &str) -> Option<Self> {
        let mut parsed = Self::default();
        if fields == "-" || fields.is_empty() {
            return Some(parsed);
        }
        for field in fields.split(',') {
            let (name, value) = field.split_once('=')?;
            match name {
                "n" => {
                    parsed.note = Some(match value {
                        "w" => LoadNote::Warm,
                        "c" => LoadNote::Began,
                        "j" => LoadNote::Waited,
                        "f" => LoadNote::Failed,
                        _ => return None,
                    });
                }
                "instances" => parsed.instances = Some(value.parse().ok()?),
                "l" => parsed.report = Some(parse_report(value)?),
                _ => {}
            }
        }
        Some(parsed)
    }
}

/// Parses a load report such as `inflight:7;util:0.61`. The names that the simulator's reports use for these values are
/// accepted as well. Returns `None` if a part is malformed or a value is negative or not finite.
fn parse_report(text: &str) -> Option<Report> {
    let mut report = Report::default();
    for part in text.split(';').filter(|part| !part.is_empty()) {
        let (name, value) = part.split_once(':')?;
        let value = value.parse::<f64>().ok().filter(|value| value.is_finite() && *value >= 0.0)?;
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
