//! Compares the alerts that fired at the remote-write receiver with those that the scenario expects.

use std::fmt::Write;

use nettleferry::Micros;
use nettleferry_test_servers::watch::Episode;

use crate::script::Watch;

/// Alerts and errors that the remote-write receiver recorded during a run. Times count from the start of the run.
#[derive(Clone, Debug, Default)]
pub struct ReceiverReport {
    /// Alerts that fired, one entry for each time that an alert fired.
    pub alerts: Vec<FiredAlert>,
    /// Invalid series from the controllers, and alert rules that could not be evaluated.
    pub faults: Vec<String>,
    /// Number of samples received.
    pub samples: usize,
}

/// One period during which an alert fired.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FiredAlert {
    /// Name of the alert (its `alertname` label).
    pub alert: String,
    /// The other labels as text, ` name=value` for each.
    pub labels: String,
    /// Time at which the alert began to fire.
    pub from: Micros,
    /// Time at which the alert stopped firing; `None` if it was still firing at the end of the run.
    pub to: Option<Micros>,
}

impl FiredAlert {
    /// Converts an episode from the receiver's clock to the time of the run, which began at `base_ms` on that clock.
    pub fn new(episode: &Episode, base_ms: i64) -> Self {
        let run_time = |ms: i64| u64::try_from(ms - base_ms).unwrap_or(0) * 1000;
        let mut labels = String::new();
        for (name, value) in episode.labels.iter().filter(|(name, _)| *name != "alertname") {
            let _ = write!(labels, " {name}={value}");
        }
        Self {
            alert: episode.labels.get("alertname").cloned().unwrap_or_default(),
            labels,
            from: run_time(episode.from),
            to: episode.to.map(run_time),
        }
    }
}

/// Returns a line for each fault that the receiver recorded and for each expectation of `watch` that was not met.
pub fn unmet_expectations(watch: &Watch, report: &ReceiverReport) -> Vec<String> {
    let seconds = |at: Micros| at as f64 / 1e6;
    let mut unmet = report.faults.clone();
    if report.samples == 0 {
        unmet.push("no sample reached the receiver".to_owned());
    }
    for expected in &watch.alerts {
        let Some(first) = report.alerts.iter().find(|fired| fired.alert == expected.alert) else {
            unmet.push(format!("{} did not fire", expected.alert));
            continue;
        };
        let from = first.from;
        if from < expected.after || from > expected.after + expected.within {
            unmet.push(format!(
                "{} fired at {:.1} s, expected from {:.1} to {:.1} s",
                expected.alert,
                seconds(from),
                seconds(expected.after),
                seconds(expected.after + expected.within)
            ));
        }
        for fired in report.alerts.iter().filter(|fired| fired.alert == expected.alert) {
            if fired.to.is_none_or(|to| to > expected.clear_by) {
                unmet.push(format!(
                    "{} had not cleared by {:.1} s",
                    expected.alert,
                    seconds(expected.clear_by)
                ));
            }
        }
    }
    for fired in &report.alerts {
        if !watch.alerts.iter().any(|expected| expected.alert == fired.alert) {
            let at = seconds(fired.from);
            unmet.push(format!("{} fired at {at:.1} s but is not expected:{}", fired.alert, fired.labels));
        }
    }
    unmet
}

#[cfg(test)]
mod tests;
