//! `scenario`: runs a scripted scenario of faults and prints the audit of the five rules.

use std::path::{Path, PathBuf};

use clap::Args;
use nettleferry_scenario::audit::{Breach, Slack, audit};
use nettleferry_scenario::evidence::Evidence;
use nettleferry_scenario::script::{Script, Watch};
use nettleferry_scenario::{alerting, event_log, report, run, script};

use super::console::{announce, read_file};
use super::error::CommandError;
use super::exit_code;

/// Run a scripted scenario of faults against controller processes and audit the five rules.
#[derive(Args)]
pub(crate) struct Scenario {
    /// Scenario file; days/ has an example of each kind
    file: PathBuf,
    /// Keep the controllers' settings, worker lists and logs and the recorded events (evidence.txt) in this folder
    #[arg(long, value_name = "DIR")]
    keep: Option<PathBuf>,
}

/// Maximum number of findings that are printed.
const MAX_FINDINGS: usize = 40;
/// Maximum number of calls whose events are printed.
const MAX_CALLS: usize = 3;

impl Scenario {
    /// Runs the scenario and prints the audit. `log` is the log filter of this program, which the controllers use too.
    pub(crate) fn run(self, log: &str) -> Result<u8, CommandError> {
        let text = read_file(&self.file)?;
        let script =
            script::read(&self.file.display().to_string(), &text).map_err(CommandError::InvalidFile)?;
        let outcome = self.run_script(&script, log)?;
        if let Some(folder) = &self.keep {
            std::fs::write(folder.join("evidence.txt"), event_log::all(&outcome.evidence))
                .map_err(CommandError::system("can't write evidence.txt"))?;
        }
        announce(report::summary(&outcome.evidence).trim_end())?;
        let breaches = audit(&outcome.evidence, Slack::default());
        print_breaches(&breaches, &outcome.evidence)?;
        for exit in &outcome.unexpected_exits {
            announce(exit)?;
        }
        let alerts = script.watch.as_ref().zip(outcome.alerts.as_ref());
        let unmet = alerts.map_or(Ok(Vec::new()), |(watch, received)| print_alerts(watch, received))?;
        let rules_kept = breaches.is_empty() && outcome.unexpected_exits.is_empty();
        announce(&format!("day {}: {}", script.name, if rules_kept { "no rule broken" } else { "BROKEN" }))?;
        if script.watch.is_some() {
            let verdict = if unmet.is_empty() { "as expected" } else { "NOT as expected" };
            announce(&format!("day {}: alerts came {verdict}", script.name))?;
        }
        Ok(exit_code::of_check(rules_kept && unmet.is_empty()))
    }

    /// Runs the script in a folder that is removed afterwards, unless it is to be kept.
    fn run_script(&self, script: &Script, log: &str) -> Result<run::RunOutcome, CommandError> {
        let program = std::env::current_exe()
            .map_err(CommandError::system("can't determine the path of this program"))?;
        let dir = self.keep.clone().unwrap_or_else(run::default_dir);
        let script_folder = self.file.parent().unwrap_or(Path::new(""));
        let environment = run::Environment { program: &program, dir: &dir, script_folder, log_filter: log };
        let outcome = run::run(script, &environment);
        if self.keep.is_none() {
            let _ = std::fs::remove_dir_all(&dir);
        }
        outcome.map_err(|error| match error {
            run::ScenarioError::Settings(errors) => CommandError::InvalidFile(errors),
            other => CommandError::Scenario(other),
        })
    }
}

/// Prints the first breaches of the rules, and all events of the first calls that breached one.
fn print_breaches(breaches: &[Breach], evidence: &Evidence) -> Result<(), CommandError> {
    for breach in breaches.iter().take(MAX_FINDINGS) {
        announce(&breach.to_string())?;
    }
    if breaches.len() > MAX_FINDINGS {
        announce(&format!("and {} more", breaches.len() - MAX_FINDINGS))?;
    }
    let mut calls: Vec<&str> = breaches.iter().filter_map(|breach| breach.call.as_deref()).collect();
    calls.dedup();
    for call in calls.into_iter().take(MAX_CALLS) {
        announce(&format!("call {call}:\n{}", event_log::of_call(evidence, call).trim_end()))?;
    }
    Ok(())
}

/// Prints the alerts that fired and the first expectations that were not met. Returns all unmet expectations.
fn print_alerts(watch: &Watch, received: &alerting::ReceiverReport) -> Result<Vec<String>, CommandError> {
    let seconds = |at_us: u64| at_us as f64 / 1e6;
    for alert in &received.alerts {
        let end = alert.to.map_or("the end".to_owned(), |to| format!("{:.1} s", seconds(to)));
        announce(&format!("alert {}{}: {:.1} s to {end}", alert.alert, alert.labels, seconds(alert.from)))?;
    }
    let unmet = alerting::unmet_expectations(watch, received);
    for expectation in unmet.iter().take(MAX_FINDINGS) {
        announce(expectation)?;
    }
    Ok(unmet)
}
