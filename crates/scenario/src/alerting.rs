//! What fired on the receiver's clock, held against what a day expects.

use std::fmt::Write;

use nettleferry::Micros;
use nettleferry_test_servers::watch::Episode;

use crate::script::Watch;

/// What a day's receiver has seen, times on the day's clock.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// What fired.
    pub alerts: Vec<Fired>,
    /// What a sender should not do, and rules that could not be evaluated.
    pub faults: Vec<String>,
    /// Samples taken.
    pub samples: usize,
}

/// An alert that fired.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fired {
    /// Its name.
    pub alert: String,
    /// Its labels, for people.
    pub labels: String,
    /// From then on.
    pub from: Micros,
    /// Until then; `None`: to the end.
    pub to: Option<Micros>,
}

impl Fired {
    /// An episode, by a receiver's clock on which the day began at `base_ms`.
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

/// What did not come as expected.
pub fn judge(watch: &Watch, seen: &Seen) -> Vec<String> {
    let seconds = |at: Micros| at as f64 / 1e6;
    let mut wrong = seen.faults.clone();
    if seen.samples == 0 {
        wrong.push("no sample reached the receiver".to_owned());
    }
    for want in &watch.fires {
        let Some(first) = seen.alerts.iter().find(|f| f.alert == want.alert) else {
            wrong.push(format!("{} did not fire", want.alert));
            continue;
        };
        let from = first.from;
        if from < want.after || from > want.after + want.within {
            wrong.push(format!(
                "{} fired at {:.1} s, wanted from {:.1} to {:.1} s",
                want.alert,
                seconds(from),
                seconds(want.after),
                seconds(want.after + want.within)
            ));
        }
        for late in seen.alerts.iter().filter(|f| f.alert == want.alert) {
            if late.to.is_none_or(|to| to > want.clear_by) {
                wrong.push(format!("{} was not clear at {:.1} s", want.alert, seconds(want.clear_by)));
            }
        }
    }
    for other in &seen.alerts {
        if !watch.fires.iter().any(|want| want.alert == other.alert) {
            let at = seconds(other.from);
            wrong.push(format!("{} fired at {at:.1} s and was not to:{}", other.alert, other.labels));
        }
    }
    wrong
}

#[cfg(test)]
mod tests;
