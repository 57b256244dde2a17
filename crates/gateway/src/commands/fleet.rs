//! `fleet`: which book stands after a loss, from the command line, over the administration's API.

use std::path::PathBuf;

use clap::{Args, Subcommand};
use serde_json::Value;

use super::admin::{Api, Client};
use super::{CommandError, announce, audit};

/// See which book each controller holds, and decide which one stands after a loss.
#[derive(Args)]
pub struct Fleet {
    #[command(flatten)]
    api: Api,
    /// JSON for programs instead of text
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Which book the administration and each controller hold, and why it waits
    Status,
    /// How far a change is: who holds it, who may still act without it
    Change {
        /// Its revision; the last one where not told
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
    Simulate(super::simulate::Simulate),
    /// Are the records whole? Those that were delivered, or the one of a folder; exit 1 where not
    Verify {
        /// The folder of a controller's record
        folder: Option<PathBuf>,
    },
    /// Shut out the lives of a controller that are known: they get no lease, and take no calls once they hear of it
    Fence {
        /// The controller's number
        controller: u32,
    },
    /// Let the lives of a controller in again that have not heard that they were shut out
    Admit {
        /// The controller's number
        controller: u32,
    },
    /// Decide which book stands: shows the difference, and does it with --yes
    Recover {
        /// own: the administration's; or the number of the controller whose book is to stand
        #[arg(long, value_name = "own|NUMBER")]
        take: String,
        /// Do it: what the other books hold beyond it is given up
        #[arg(long)]
        yes: bool,
    },
}

fn stamp(holds: &Value) -> String {
    match holds["store"].as_str() {
        Some(store) => format!("{store} epoch {} revision {}", holds["epoch"], holds["revision"]),
        None => "none".to_owned(),
    }
}

/// A life on the roll.
fn life_line(life: &Value) -> String {
    let lease = match life["lease_left_ms"].as_u64() {
        Some(0) => "its lease is out".to_owned(),
        Some(left) => format!("its lease is out in {left} ms"),
        None => "without a lease".to_owned(),
    };
    let then = if life["ends"] == true { "then refuses" } else { "then goes on" };
    let fenced = if life["fenced"] == true { ", fenced" } else { "" };
    format!(
        "life {} of controller {}: acts on revision {}, {} behind, has synced {}, {lease}, {then}{fenced}",
        life["life"].as_str().unwrap_or("?"),
        life["controller"],
        life["in_force"],
        life["behind"],
        life["kept"]
    )
}

fn fenced(
    client: &mut Client,
    what: &str,
    controller: u32,
    done: &str,
) -> Result<(Value, Vec<String>), CommandError> {
    let told = client.ask("POST", &format!("/v1/fleet/{what}?controller={controller}"), &[], None)?;
    let lives = told["lives"].as_u64().unwrap_or(0);
    let word = if lives == 1 { "life" } else { "lives" };
    Ok((told, vec![format!("controller {controller}: {lives} {word} {done}")]))
}

impl Fleet {
    pub fn run(self) -> Result<u8, CommandError> {
        let what = match self.what {
            What::Simulate(simulate) => return simulate.run(),
            what => what,
        };
        if let What::Verify { folder } = &what {
            let (told, lines, whole) = audit::verify(folder.as_ref(), || Client::new(&self.api))?;
            announce(&if self.json { told.to_string() } else { lines.join("\n") })?;
            return Ok(u8::from(!whole));
        }
        let mut client = Client::new(&self.api)?;
        let (told, lines) = match &what {
            What::Status => {
                let told = client.get("/v1/fleet")?;
                let mut lines = vec![format!(
                    "administration {}: {}{}, for {} ms, holds {}",
                    told["controller"],
                    told["step"].as_str().unwrap_or("?"),
                    told["cause"].as_str().map(|cause| format!(" ({cause})")).unwrap_or_default(),
                    told["since_ms"],
                    stamp(&told["holds"])
                )];
                for row in told["controllers"].as_array().into_iter().flatten() {
                    lines.push(format!(
                        "controller {}: {}, holds {}, seen {} ms ago",
                        row["controller"],
                        row["standing"].as_str().unwrap_or("no book to compare"),
                        stamp(&row["holds"]),
                        row["seen_ms_ago"]
                    ));
                }
                for life in told["lives"].as_array().into_iter().flatten() {
                    lines.push(life_line(life));
                }
                (told, lines)
            }
            What::Change { revision } => {
                let of = revision.map_or_else(String::new, |r| format!("?revision={r}"));
                let told = client.get(&format!("/v1/fleet/change{of}"))?;
                let how = match (told["everywhere"].as_bool(), told["within_ms"].as_u64()) {
                    (Some(true), _) => "in force everywhere".to_owned(),
                    (_, Some(within)) => format!("in force everywhere within {within} ms"),
                    _ => "not in force everywhere, and there is no bound".to_owned(),
                };
                let mut lines = vec![format!(
                    "revision {}: {how}; held by {} of {} other disks",
                    told["revision"], told["held"], told["wanted"]
                )];
                for wait in told["waits"].as_array().into_iter().flatten() {
                    let who = match wait["controller"].as_u64() {
                        Some(number) => format!("controller {number}"),
                        None => "leases of before this start of the administration".to_owned(),
                    };
                    let until = match wait["within_ms"].as_u64() {
                        Some(within) => format!("may act without it for {within} ms at the most"),
                        None => "goes on without a lease, and may act without it".to_owned(),
                    };
                    lines.push(format!("  {who} {until}"));
                }
                (told, lines)
            }
            What::Audit { tenant, revision, svg } => {
                let report = audit::report(&audit::gather(&mut client)?);
                if let Some(file) = svg {
                    audit::plot(&report, file)?;
                }
                let told = serde_json::to_value(&report).unwrap_or_default();
                (told, audit::lines(&report, tenant.as_deref(), *revision))
            }
            // Done above, without a connection where it needs none.
            What::Verify { .. } | What::Simulate(_) => return Ok(0),
            What::Fence { controller } => fenced(&mut client, "fence", *controller, "shut out")?,
            What::Admit { controller } => fenced(&mut client, "admit", *controller, "let in")?,
            What::Recover { take, yes } => {
                let take = super::admin::escaped(take);
                let told = client.ask(
                    "POST",
                    &format!("/v1/fleet/recover?take={take}&dry_run={}", !yes),
                    &[],
                    None,
                )?;
                let mut lines = vec![format!(
                    "{}: the book of controller {} at revision {}, {} tenants, epoch {}",
                    if *yes { "stands now" } else { "would stand; nothing was done, add --yes" },
                    told["controller"],
                    told["revision"],
                    told["tenants"],
                    told["epoch"]
                )];
                for other in told["others"].as_array().into_iter().flatten() {
                    lines.push(format!(
                        "against controller {} at revision {}: {} differences",
                        other["controller"], other["revision"], other["differences"]
                    ));
                    for tenant in other["tenants"].as_array().into_iter().flatten() {
                        let word = |key: &str| tenant[key].as_str().unwrap_or("").to_owned();
                        lines.push(format!("  {} {}", word("tenant"), word("what")));
                    }
                }
                (told, lines)
            }
        };
        announce(&if self.json { told.to_string() } else { lines.join("\n") })?;
        Ok(0)
    }
}
