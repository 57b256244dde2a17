//! `PROXY_CONFIG`: the configuration that a controller gets at its start.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::directory::KnownEvents;

/// The configuration; fields that a controller does not use are ignored.
#[derive(Clone, Debug)]
pub struct Config {
    /// The address for clients.
    pub listen: SocketAddr,
    /// Seed for random numbers: hex digits, new with each start.
    pub seed: String,
    /// The limits of the machine.
    pub limits: Limits,
    /// The directory's address.
    pub resolver: SocketAddr,
    /// The directory's events so far.
    pub known_events: KnownEvents,
    /// The settings of the simulator's first message.
    pub settings: serde_json::Value,
}

/// The limits of the machine.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Memory, MB.
    pub memory_mb: u64,
    /// File descriptors of a process.
    pub sockets: u64,
}

impl Default for Limits {
    /// The smallest machine that the platform documents.
    fn default() -> Self {
        Self { memory_mb: 32, sockets: 256 }
    }
}

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// It is no JSON object.
    #[error("the configuration: {0}")]
    Json(#[from] serde_json::Error),
    /// A field has the wrong kind.
    #[error("the configuration: field {name}: {source}")]
    Field {
        /// Its name.
        name: &'static str,
        /// Why.
        source: serde_json::Error,
    },
    /// A field is missing.
    #[error("the configuration: field {0} is missing")]
    Missing(&'static str),
}

type Object = serde_json::Map<String, serde_json::Value>;

/// A field by name; `None`: it is absent.
fn field<T: serde::de::DeserializeOwned>(
    object: &mut Object,
    name: &'static str,
) -> Result<Option<T>, ConfigError> {
    let value = object.remove(name).map(serde_json::from_value).transpose();
    value.map_err(|source| ConfigError::Field { name, source })
}

impl Config {
    /// Parses a configuration.
    ///
    /// # Errors
    /// Where it is no JSON object, or a field is missing or wrong.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let mut object: Object = serde_json::from_str(text)?;
        Ok(Self {
            listen: field(&mut object, "listen")?.ok_or(ConfigError::Missing("listen"))?,
            seed: field(&mut object, "seed")?.unwrap_or_default(),
            limits: field(&mut object, "limits")?.unwrap_or_default(),
            resolver: field(&mut object, "resolver")?.ok_or(ConfigError::Missing("resolver"))?,
            known_events: field(&mut object, "known")?.unwrap_or_default(),
            settings: object.remove("settings").ok_or(ConfigError::Missing("settings"))?,
        })
    }

    /// The seed as a number; one that is not hexadecimal is hashed by its bytes.
    pub fn seed_number(&self) -> u64 {
        let hashed = || self.seed.bytes().fold(0u64, |n, b| n.wrapping_mul(257).wrapping_add(u64::from(b)));
        u64::from_str_radix(&self.seed, 16).unwrap_or_else(|_| hashed())
    }
}
