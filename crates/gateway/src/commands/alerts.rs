//! `alerts`: checks alert rules against the metrics registry, and runs unit tests of rules.

use std::path::{Path, PathBuf};

use clap::{Args, Subcommand};
use nettleferry_alerts::{check, rules, unit};
use nettleferry_config::{Config, settings};
use nettleferry_metrics::sample;

use super::console::{announce, read_file};
use super::error::CommandError;
use super::{exit_code, settings_file};
use crate::metrics::MetricsRecorder;

/// Check alert rules against the metrics registry, or run unit tests of rules.
#[derive(Args)]
pub(crate) struct Alerts {
    #[command(subcommand)]
    action: Action,
}

#[derive(Subcommand)]
enum Action {
    /// Check that the metrics registry has every metric and label that rules use
    Check {
        /// Alert rule files
        #[arg(default_value = "alerts/nettleferry.yml")]
        files: Vec<PathBuf>,
        /// Settings file with the classes, tenants and models for which the registry is created
        #[arg(long, value_name = "FILE")]
        settings: Option<PathBuf>,
    },
    /// Run unit tests of rules: compare the alerts that given series raise with the expected ones
    Test {
        /// Test file, in the format of promtool
        file: PathBuf,
    },
}

/// Settings for which the registry is created without `--settings`.
const MINIMAL_SETTINGS: &str = "(listen (grpc \"127.0.0.1:0\")) (workers (file \"w\"))
    (class default (effect safe) (aim 1s) (deadline 2s)) (model \"*\" (class default))";

/// Labels that a remote write or a scrape adds to every series.
const TARGET_LABELS: [&str; 2] = ["instance", "job"];

impl Alerts {
    pub(crate) fn run(self) -> Result<u8, CommandError> {
        match self.action {
            Action::Check { files, settings } => check_files(&files, settings.as_deref()),
            Action::Test { file } => run_tests(&file),
        }
    }
}

fn check_files(files: &[PathBuf], settings: Option<&Path>) -> Result<u8, CommandError> {
    let config = match settings {
        Some(path) => settings_file::read(path)?,
        None => {
            settings::read("the minimal settings", MINIMAL_SETTINGS).map_err(CommandError::InvalidFile)?
        }
    };
    let catalog = catalog(&config)?;
    let (mut alerts, mut findings) = (0, 0);
    for file in files {
        for rule in read_rules(file)? {
            alerts += 1;
            for finding in check::check(&rule, &catalog) {
                findings += 1;
                announce(&format!("{}: {}: {finding}", file.display(), rule.alert))?;
            }
        }
    }
    announce(&format!("{alerts} alerts, {findings} findings"))?;
    Ok(exit_code::of_check(findings == 0))
}

/// Lists the metrics and labels that a controller with these settings exports.
fn catalog(config: &Config) -> Result<check::Catalog, CommandError> {
    let text = MetricsRecorder::new(config).metrics().text().map_err(CommandError::MetricsText)?;
    let mut catalog = check::Catalog::new(&TARGET_LABELS);
    for series in sample::parse(&text) {
        catalog.add(&series.labels);
    }
    Ok(catalog)
}

fn run_tests(file: &Path) -> Result<u8, CommandError> {
    let text = read_file(file)?;
    let tests = unit::read(&file.display().to_string(), &text)?;
    let folder = file.parent().unwrap_or(Path::new(""));
    let mut rules = Vec::new();
    for name in &tests.rule_files {
        rules.extend(read_rules(&folder.join(name))?);
    }
    let unmet_expectations = tests.run(&rules);
    for expectation in &unmet_expectations {
        announce(expectation)?;
    }
    announce(&format!("{} alerts, {} expectations not met", rules.len(), unmet_expectations.len()))?;
    Ok(exit_code::of_check(unmet_expectations.is_empty()))
}

fn read_rules(path: &Path) -> Result<Vec<rules::Rule>, CommandError> {
    let text = read_file(path)?;
    Ok(rules::read(&path.display().to_string(), &text)?)
}
