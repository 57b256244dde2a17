//! `alerts`: checks rule files against the registry, and runs rule unit tests.

use std::path::{Path, PathBuf};

use clap::{Args, Subcommand};
use nettleferry_alerts::{check, rules, unit};
use nettleferry_config::settings;
use nettleferry_metrics::sample;

use super::{CommandError, announce, read, serve};
use crate::observe::Observer;

/// Check alert rules against the registry, or run rule unit tests.
#[derive(Args)]
pub struct Alerts {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Hold every metric and label that rules name against the registry
    Check {
        /// Rule files
        #[arg(default_value = "alerts/nettleferry.yml")]
        files: Vec<PathBuf>,
        /// Settings whose classes, tenants and models the registry is made of
        #[arg(long, value_name = "FILE")]
        settings: Option<PathBuf>,
    },
    /// Run rule unit tests: series in, alerts out
    Test {
        /// Test file, in the manner of promtool
        file: PathBuf,
    },
}

/// Settings of a registry that nobody told of.
const PLAIN: &str = "(listen (grpc \"127.0.0.1:0\")) (workers (file \"w\"))
    (class default (effect safe) (aim 1s) (deadline 2s)) (model \"*\" (class default))";

/// Labels that a push or a scrape adds.
const OUTER: [&str; 2] = ["instance", "job"];

fn rule_file(path: &Path) -> Result<Vec<rules::Rule>, CommandError> {
    let text = read(path)?;
    rules::read(&path.display().to_string(), &text).map_err(|e| CommandError::File(e.to_string()))
}

impl Alerts {
    pub fn run(self) -> Result<u8, CommandError> {
        match self.what {
            What::Check { files, settings } => check_files(&files, settings.as_deref()),
            What::Test { file } => test(&file),
        }
    }
}

fn check_files(files: &[PathBuf], told: Option<&Path>) -> Result<u8, CommandError> {
    let config = match told {
        Some(path) => serve::settings(path)?,
        None => settings::read("the plain settings", PLAIN).map_err(CommandError::Unsound)?,
    };
    let text = Observer::new(&config).figures().text();
    let text = text.map_err(|_| CommandError::File("the registry can't be written as text".to_owned()))?;
    let mut catalog = check::Catalog::new(&OUTER);
    for series in sample::read(&text) {
        catalog.add(&series.labels);
    }
    let (mut count, mut wrong) = (0, 0);
    for file in files {
        for rule in rule_file(file)? {
            count += 1;
            for what in check::check(&rule, &catalog) {
                wrong += 1;
                announce(&format!("{}: {}: {what}", file.display(), rule.alert))?;
            }
        }
    }
    announce(&format!("{count} alerts, {wrong} findings"))?;
    Ok(u8::from(wrong > 0))
}

fn test(file: &Path) -> Result<u8, CommandError> {
    let text = read(file)?;
    let tests = unit::read(&file.display().to_string(), &text).map_err(CommandError::File)?;
    let beside = file.parent().unwrap_or(Path::new(""));
    let mut all = Vec::new();
    for name in &tests.rule_files {
        all.extend(rule_file(&beside.join(name))?);
    }
    let wrong = tests.run(&all);
    for what in &wrong {
        announce(what)?;
    }
    announce(&format!("{} alerts, {} expectations not met", all.len(), wrong.len()))?;
    Ok(u8::from(!wrong.is_empty()))
}
