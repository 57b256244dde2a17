//! `node`: runs a controller on the platform, with the configuration file that `PROXY_CONFIG` or `--config` names.

use std::path::PathBuf;

use clap::Args;
use nettleferry_node::Node;
use tracing::warn;

use super::console::announce;
use super::error::CommandError;
use super::exit_code;
use crate::logs;

/// Run a controller on the platform: accepts client frames, sends RESP to invokers, and polls the directory over DNS.
#[derive(Args)]
pub(crate) struct NodeCommand {
    /// Configuration file, in JSON
    #[arg(long, env = "PROXY_CONFIG", value_name = "FILE")]
    config: PathBuf,
}

impl NodeCommand {
    pub(crate) fn run(self) -> Result<u8, CommandError> {
        let mut node = Node::new(self.config, true)?;
        // Clients don't learn the address from this line, so the controller starts even if standard output is closed.
        if let Err(error) = announce(&format!("listening frames {}", node.local_addr())) {
            warn!(%error, "listening address not announced");
        }
        node.run()?;
        let dropped = logs::dropped_lines();
        if dropped > 0 {
            warn!(dropped, "log lines dropped: standard error was not read in time");
        }
        Ok(exit_code::SUCCESS)
    }
}
