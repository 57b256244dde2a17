//! Which alerts fired at the receiver, compared with what the scenario expects.

use std::fmt::Write;

use nettleferry::Micros;
use nettleferry_test_servers::watch::Episode;

use crate::script::Watch;

/// What the receiver has seen, in the time of the run.
#[derive(Clone, Debug, Default)]
pub struct ReceiverReport {
    /// Alerts that fired.
    pub alerts: Vec<FiredAlert>,
    /// Errors of senders, and rules that could not be evaluated.
    pub faults: Vec<String>,
    /// Samples received.
    pub samples: usize,
}

/// An alert that fired.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FiredAlert {
    /// Its name.
    pub alert: String,
    /// Its labels, for people.
    pub labels: String,
    /// When it began to fire.
    pub from: Micros,
    /// When it ended; `None`: not before the end of the run.
    pub to: Option<Micros>,
}

impl FiredAlert {
    /// An episode on the receiver's clock, on which the run began at `base_ms`.
    pub fn new(episode: &Episode, base_ms: i64) -> Self {
        let at = |ms: i64| u64::try_from(ms - base_ms).unwrap_or(0) * 1000;
        let mut labels = String::new();
        for (name, value) in episode.labels.iter().filter(|(n, _)| *n != "alertname") {
            let _ = write!(labels, " {name}={value}");
        }
        Self {
            alert: episode.labels.get("alertname").cloned().unwrap_or_default(),
            labels,
            from: at(episode.from),
            to: episode.to.map(at),
        }
    }
}

/// The expectations that were not met.
pub fn unmet_expectations(watch: &Watch, seen: &ReceiverReport) -> Vec<String> {
    let seconds = |at: Micros| at as f64 / 1e6;
    let mut unmet = seen.faults.clone();
    if seen.samples == 0 {
        unmet.push("no sample reached the receiver".to_owned());
    }
    for expected in &watch.alerts {
        let Some(first) = seen.alerts.iter().find(|f| f.alert == expected.alert) else {
            unmet.push(format!("{} did not fire", expected.alert));
            continue;
        };
        let from = first.from;
        if from < expected.after || from > expected.after + expected.within {
            unmet.push(format!(
                "{} fired at {:.1} s, wanted from {:.1} to {:.1} s",
                expected.alert,
                seconds(from),
                seconds(expected.after),
                seconds(expected.after + expected.within)
            ));
        }
        for late in seen.alerts.iter().filter(|f| f.alert == expected.alert) {
            if late.to.is_none_or(|to| to > expected.clear_by) {
                unmet.push(format!(
                    "{} was not clear at {:.1} s",
                    expected.alert,
                    seconds(expected.clear_by)
                ));
            }
        }
    }
    for other in &seen.alerts {
        if !watch.alerts.iter().any(|expected| expected.alert == other.alert) {
            let at = seconds(other.from);
            unmet.push(format!("{} fired at {at:.1} s and was not to:{}", other.alert, other.labels));
        }
    }
    unmet
}

#[cfg(test)]
mod tests;
