//! `scenario`: runs a scripted scenario of faults and prints the audit of the five rules.

use std::path::{Path, PathBuf};

use clap::Args;
use nettleferry_scenario::audit::{Slack, audit};
use nettleferry_scenario::{alerting, report, run, script, story};

use super::{CommandError, announce, read};

/// Run a scripted scenario of faults against controller processes and audit the five rules.
#[derive(Args)]
pub struct Scenario {
    /// Scenario file; days/ has one of each kind
    file: PathBuf,
    /// Keep the controllers' settings, lists and logs and the evidence (evidence.txt) in this folder
    #[arg(long, value_name = "DIR")]
    keep: Option<PathBuf>,
}

/// Most findings printed.
const MOST_SHOWN: usize = 40;
/// Most calls whose story is printed.
const MOST_STORIES: usize = 3;

impl Scenario {
    /// `log`: what the controllers log, as this program was told for itself.
    pub fn run(self, log: &str) -> Result<u8, CommandError> {
        let text = read(&self.file)?;
        let script = script::read(&self.file.display().to_string(), &text).map_err(CommandError::Unsound)?;
        let program = std::env::current_exe().map_err(CommandError::system("can't find this program"))?;
        let dir = self.keep.clone().unwrap_or_else(run::folder);
        let beside = self.file.parent().unwrap_or(Path::new(""));
        let played = run::play(&script, &run::Stage { program: &program, dir: &dir, beside, log });
        if self.keep.is_none() {
            let _ = std::fs::remove_dir_all(&dir);
        }
        let played = played.map_err(|error| match error {
            run::DayError::Settings(errors) => CommandError::Unsound(errors),
            other => CommandError::Day(other),
        })?;
        if let Some(dir) = &self.keep {
            std::fs::write(dir.join("evidence.txt"), story::whole(&played.evidence))
                .map_err(CommandError::system("can't write evidence.txt"))?;
        }
        announce(report::summary(&played.evidence).trim_end())?;
        let found = audit(&played.evidence, Slack::default());
        for breach in found.iter().take(MOST_SHOWN) {
            announce(&breach.to_string())?;
        }
        if found.len() > MOST_SHOWN {
            announce(&format!("and {} more", found.len() - MOST_SHOWN))?;
        }
        let mut calls: Vec<&str> = found.iter().filter_map(|b| b.call.as_deref()).collect();
        calls.dedup();
        for call in calls.into_iter().take(MOST_STORIES) {
            announce(&format!("call {call}:\n{}", story::of_call(&played.evidence, call).trim_end()))?;
        }
        for odd in &played.odd_ends {
            announce(odd)?;
        }
        let mut unmet = Vec::new();
        if let (Some(watch), Some(seen)) = (&script.watch, &played.alerts) {
            for f in &seen.alerts {
                let to = f.to.map_or("the end".to_owned(), |to| format!("{:.1} s", to as f64 / 1e6));
                announce(&format!("alert {}{}: {:.1} s to {to}", f.alert, f.labels, f.from as f64 / 1e6))?;
            }
            unmet = alerting::judge(watch, seen);
            for what in unmet.iter().take(MOST_SHOWN) {
                announce(what)?;
            }
        }
        let sound = found.is_empty() && played.odd_ends.is_empty();
        announce(&format!("day {}: {}", script.name, if sound { "no rule broken" } else { "BROKEN" }))?;
        if script.watch.is_some() {
            let came = if unmet.is_empty() { "as expected" } else { "NOT as expected" };
            announce(&format!("day {}: alerts came {came}", script.name))?;
        }
        let sound = sound && unmet.is_empty();
        Ok(u8::from(!sound))
    }
}
