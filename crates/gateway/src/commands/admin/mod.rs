//! `admin`: administers a running controller over its API, generates API keys, and copies tenant stores to and from
//! snapshot files.
//!
//! [`requests`] has the subcommands that send requests to a running controller, [`store`] those that open the file of a
//! tenant store.

mod arguments;
mod client;
mod printer;
mod requests;
mod store;
mod table;

use clap::Args;
use nettleferry_administration::keys::{self, GeneratedKey};

use super::console::announce;
use super::error::CommandError;
use super::exit_code;
use arguments::Action;
pub(crate) use client::{Api, Client, percent_encoded};
use printer::Printer;
use requests::Requests;

/// Administer tenants, limits and workers of a running controller, and read its audit trail.
#[derive(Args)]
pub(crate) struct Admin {
    #[command(flatten)]
    api: Api,
    /// Print JSON instead of tables
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    action: Action,
}

impl Admin {
    pub(crate) fn run(self) -> Result<u8, CommandError> {
        match &self.action {
            Action::Key { name, role } => generate_key(name, role)?,
            Action::Snapshot { store, file } => store::snapshot(store, file)?,
            Action::Restore { file, store } => store::restore(file, store)?,
            Action::Openapi => announce(&format!("{:#}", nettleferry_admin::openapi::document()))?,
            action => {
                let client = Client::new(&self.api)?;
                Requests { client, printer: Printer { json: self.json } }.run(action)?;
            }
        }
        Ok(exit_code::SUCCESS)
    }
}

fn generate_key(name: &str, role: &str) -> Result<(), CommandError> {
    let GeneratedKey { token, hash } = keys::generate(name)?;
    announce(&format!("token: {token}"))?;
    announce(&format!("settings: (key {name} {role} \"{hash}\")"))
}
