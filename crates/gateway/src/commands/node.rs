//! `node`: a controller on the platform, configured by its environment.

use std::path::PathBuf;

use clap::Args;
use nettleferry_node::Node;
use tracing::warn;

use super::console::announce;
use super::error::CommandError;
use super::exit_code;
use crate::logs;

/// Run a controller on the platform: client frames in, RESP to invokers, the list by DNS.
#[derive(Args)]
pub(crate) struct NodeCommand {
    /// The configuration, JSON
    #[arg(long, env = "PROXY_CONFIG", value_name = "FILE")]
    config: PathBuf,
}

impl NodeCommand {
    pub(crate) fn run(self) -> Result<u8, CommandError> {
        let mut node = Node::new(self.config, true)?;
        // Clients know the address from elsewhere, so a closed standard output doesn't prevent the start.
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
