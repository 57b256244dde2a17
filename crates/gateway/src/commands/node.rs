//! `node`: a controller on the platform, as its environment says.

use std::path::PathBuf;

use clap::Args;
use nettleferry_node::{Node, NodeError};
use tracing::warn;

use super::{CommandError, announce};
use crate::logs;

/// Run a controller on the platform: client frames in, RESP to invokers, the list by DNS.
#[derive(Args)]
pub struct NodeCommand {
    /// The configuration, JSON
    #[arg(long, env = "PROXY_CONFIG", value_name = "FILE")]
    config: PathBuf,
}

impl NodeCommand {
    pub fn run(self) -> Result<u8, CommandError> {
        let mut node = Node::new(self.config, true)?;
        // Clients know the address from elsewhere: that nobody can be told of it here holds up no start.
        if let Err(error) = announce(&format!("listening frames {}", node.local_addr())) {
            warn!(%error, "where it listens can't be announced");
        }
        node.run()?;
        let dropped = logs::dropped();
        if dropped > 0 {
            warn!(dropped, "log lines were dropped: standard error did not take them at once");
        }
        Ok(0)
    }
}

/// The exit code of a node that could not start or go on.
pub fn code(error: &NodeError) -> u8 {
    match error {
        NodeError::System { .. } => 4,
        // The platform's word for a configuration that can't be used.
        _ => 2,
    }
}
