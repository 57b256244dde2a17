//! `fleet`: which book stands after a loss, from the command line, over the administration's API.

use clap::{Args, Subcommand};
use serde_json::Value;

use super::admin::{Api, Client};
use super::{CommandError, announce};

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

impl Fleet {
    pub fn run(self) -> Result<u8, CommandError> {
        let mut client = Client::new(&self.api)?;
        let (told, lines) = match &self.what {
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
                (told, lines)
            }
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
