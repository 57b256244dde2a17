//! `PROXY_CONFIG`: what a controller is told when it starts.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::directory::Known;

/// The configuration. What a controller does not use is not read.
#[derive(Clone, Debug, Deserialize)]
pub struct Config {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Seed for random numbers: hex digits, new with each start.
    #[serde(default)]
    pub seed: String,
    /// What the machine gives.
    #[serde(default)]
    pub limits: Limits,
    /// The directory's address.
    pub resolver: SocketAddr,
    /// The events of the directory so far.
    #[serde(default)]
    pub known: Known,
    /// The settings of the simulator's first message.
    pub settings: serde_json::Value,
}

/// What the machine gives.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Memory, MB.
    pub memory_mb: u64,
    /// File descriptors of a process.
    pub sockets: u64,
}

impl Default for Limits {
    /// The least that the platform speaks of.
    fn default() -> Self {
        Self { memory_mb: 32, sockets: 256 }
    }
}

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
#[error("the configuration: {0}")]
pub struct ConfigError(#[from] serde_json::Error);

impl Config {
    /// Reads one.
    pub fn read(text: &str) -> Result<Self, ConfigError> {
        Ok(serde_json::from_str(text)?)
    }

    /// The seed as a number; one that is no hex figure is taken by its bytes.
    pub fn seed_number(&self) -> u64 {
        let folded = || self.seed.bytes().fold(0u64, |n, b| n.wrapping_mul(257).wrapping_add(u64::from(b)));
        u64::from_str_radix(&self.seed, 16).unwrap_or_else(|_| folded())
    }
}
