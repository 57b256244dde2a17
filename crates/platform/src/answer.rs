//! The content of an invoker's answer: its kind, and its fields with the load note and the load report.

use nettleferry::{LoadNote, Report};

/// The keyword of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// The request was served.
    Served,
    /// The function is not loaded there: the request did not run.
    NotLoaded,
    /// The invoker is full: the request did not run.
    Overloaded,
    /// An error: the request may have run.
    Crashed,
    /// The request had ended already: it did not run.
    AlreadyEnded,
    /// To a probe: in service.
    InService,
    /// To a probe: not in service.
    OutOfService,
}

impl AnswerKind {
    /// Parses it; `None`: it is unknown.
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

/// An answer's fields.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnswerFields {
    /// Whether a replica was loaded.
    pub note: Option<LoadNote>,
    /// Loaded replicas, after a load order.
    pub instances: Option<u32>,
    /// The load report.
    pub report: Option<Report>,
}

impl AnswerFields {
    /// Parses `name=value,name=value`, or `-` for none. Unknown names are ignored; `None`: it is no such list.
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
                "l" => parsed.report = Some(report(value)?),
                _ => {}
            }
        }
        Some(parsed)
    }
}

/// Parses `inflight:7;util:0.61`. The settings' names of these values are accepted as well.
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
