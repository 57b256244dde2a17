//! `fleet`: shows the state of the fleet and its tenant snapshots, and fences controllers or recovers a snapshot, over
//! the administration API.
//!
//! [`text`] formats the responses, [`audit`] evaluates the controllers' audit logs, and [`simulate`] simulates fleets
//! without a running one.

mod audit;
mod audit_text;
mod output;
mod plans;
mod plots;
mod simulate;
mod text;
mod timeline;

use std::path::PathBuf;

use clap::{Args, Subcommand};
use serde_json::Value;

use super::admin::{Api, Client, percent_encoded};
use super::error::CommandError;
use super::exit_code;
use output::Output;

/// Show which tenant snapshot each controller has, and select the one to use after a data loss.
#[derive(Args)]
pub(crate) struct Fleet {
    #[command(flatten)]
    api: Api,
    /// Print JSON instead of text
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    action: Action,
}

#[derive(Subcommand)]
enum Action {
    /// Show the snapshots of the leader and of each controller, the leases, and why the leader waits
    Status,
    /// Show the progress of a change: how many controllers have persisted it, and which may still act without it
    Change {
        /// Revision of the change; by default the last one
        revision: Option<u64>,
    },
    /// Show which controllers acted on which version, and which did so while a newer one was in force or acknowledged
    Audit {
        /// Show only findings about calls of this tenant
        #[arg(long)]
        tenant: Option<String>,
        /// Show only findings about this revision
        #[arg(long)]
        revision: Option<u64>,
        /// Write a timeline of the versions that controllers acted on to this SVG file
        #[arg(long, value_name = "FILE")]
        svg: Option<PathBuf>,
    },
    Simulate(simulate::Simulate),
    /// Check that the audit logs collected by the leader, or the one in a folder, are complete; exit code 1 if not
    Verify {
        /// Folder of a controller's audit log; by default the leader's collected logs are checked
        folder: Option<PathBuf>,
    },
    /// Fence the known incarnations of a controller: they get no lease, and reject calls once they are notified
    Fence {
        /// Number of the controller
        controller: u32,
    },
    /// Admit the fenced incarnations of a controller again, unless they have been notified of the fence
    Admit {
        /// Number of the controller
        controller: u32,
    },
    /// Select the snapshot to use: shows how the others differ from it, and applies the selection only with --yes
    Recover {
        /// Owner of the snapshot: own for the leader, or the number of a controller
        #[arg(long, value_name = "own|NUMBER")]
        take: String,
        /// Apply the selection; changes that only other snapshots contain are lost
        #[arg(long)]
        yes: bool,
    },
}

impl Fleet {
    pub(crate) fn run(self) -> Result<u8, CommandError> {
        let output = match self.action {
            Action::Simulate(simulate) => return simulate.run(),
            Action::Verify { folder } => {
                let verification = audit::verify(folder.as_deref(), &self.api)?;
                verification.output.print(self.json)?;
                return Ok(exit_code::of_check(verification.complete));
            }
            Action::Status => {
                let json = Client::new(&self.api)?.get("/v1/fleet")?;
                Output { lines: text::status(&json), json }
            }
            Action::Change { revision } => {
                let query = revision.map_or_else(String::new, |revision| format!("?revision={revision}"));
                let json = Client::new(&self.api)?.get(&format!("/v1/fleet/change{query}"))?;
                Output { lines: text::change(&json), json }
            }
            Action::Audit { tenant, revision, svg } => {
                let report = audit::report(&audit::fetch(&mut Client::new(&self.api)?)?);
                if let Some(file) = svg {
                    timeline::draw(&report, &file)?;
                }
                Output {
                    json: serde_json::to_value(&report).unwrap_or_default(),
                    lines: audit_text::lines(&report, &audit_text::Filter { tenant, revision }),
                }
            }
            Action::Fence { controller } => {
                let json = post(&self.api, &format!("/v1/fleet/fence?controller={controller}"))?;
                Output { lines: vec![text::incarnations(&json, controller, "shut out")], json }
            }
            Action::Admit { controller } => {
                let json = post(&self.api, &format!("/v1/fleet/admit?controller={controller}"))?;
                Output { lines: vec![text::incarnations(&json, controller, "let in")], json }
            }
            Action::Recover { take, yes } => {
                let target = format!("/v1/fleet/recover?take={}&dry_run={}", percent_encoded(&take), !yes);
                let json = post(&self.api, &target)?;
                Output { lines: text::recovery(&json, yes), json }
            }
        };
        output.print(self.json)?;
        Ok(exit_code::SUCCESS)
    }
}

fn post(api: &Api, target: &str) -> Result<Value, CommandError> {
    Client::new(api)?.request("POST", target, &[], None)
}
