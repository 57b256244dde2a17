//! `node`: a controller on the platform, as its environment says.

use std::path::PathBuf;

use clap::Args;
use nettleferry_node::{Node, NodeError};

use super::{CommandError, announce};

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
        announce(&format!("listening frames {}", node.local()))?;
        node.run()?;
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
