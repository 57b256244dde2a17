//! `fleet`: the state of the fleet and its tenant snapshots, over the administration API.
//!
//! [`text`] words the responses for people, [`audit`] evaluates the controllers' audit logs, [`simulate`] needs no
//! running fleet.

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

use super::admin::{Api, Client, escaped};
use super::error::CommandError;
use super::exit_code;
use output::Output;

/// See which tenant snapshot each controller has, and decide which one is used after a loss.
#[derive(Args)]
pub(crate) struct Fleet {
    #[command(flatten)]
    api: Api,
    /// JSON for programs instead of text
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    action: Action,
}

#[derive(Subcommand)]
enum Action {
    /// Which snapshot the leader and each controller have, and why it waits
    Status,
    /// How far a change has come: who has it, who may still act without it
    Change {
        /// Its revision; the last one where not given
        revision: Option<u64>,
    },
    /// Who acted on which version, and who did when a newer one was in force or acknowledged
    Audit {
        /// Calls of this tenant alone
        #[arg(long)]
        tenant: Option<String>,
        /// This revision alone
        #[arg(long)]
        revision: Option<u64>,
        /// Draw a time line of controllers against versions, as SVG
        #[arg(long, value_name = "FILE")]
        svg: Option<PathBuf>,
    },
    Simulate(simulate::Simulate),
    /// Are the audit logs complete? Those that were delivered, or the one of a folder; exit 1 where not
    Verify {
        /// The folder of a controller's audit log
        folder: Option<PathBuf>,
    },
    /// Fence the known incarnations of a controller: they get no lease, and take no calls once they hear of it
    Fence {
        /// The controller's number
        controller: u32,
    },
    /// Admit the incarnations of a controller again that have not heard that they were fenced
    Admit {
        /// The controller's number
        controller: u32,
    },
    /// Decide which snapshot is used: shows the difference, and does it with --yes
    Recover {
        /// own: the leader's; or the number of the controller whose snapshot is to be used
        #[arg(long, value_name = "own|NUMBER")]
        take: String,
        /// Do it: what the other snapshots have beyond it is given up
        #[arg(long)]
        yes: bool,
    },
}

impl Fleet {
    pub(crate) fn run(self) -> Result<u8, CommandError> {
        let output = match self.action {
            Action::Simulate(simulate) => return simulate.run(),
            Action::Verify { folder } => {
                let verified = audit::verify(folder.as_deref(), &self.api)?;
                verified.output.print(self.json)?;
                return Ok(exit_code::of_check(verified.complete));
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
                let target = format!("/v1/fleet/recover?take={}&dry_run={}", escaped(&take), !yes);
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
