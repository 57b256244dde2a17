//! The configuration of a controller, which the platform passes in `PROXY_CONFIG`.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::directory::KnownEvents;

/// The configuration of a controller. Fields of the JSON object that are not listed here are ignored.
#[derive(Clone, Debug)]
pub struct Config {
    /// The address to listen on for clients.
    pub listen: SocketAddr,
    /// Seed for random numbers, in hex digits. It differs at each start.
    pub seed: String,
    /// The resource limits of the machine.
    pub limits: Limits,
    /// The address of the directory's DNS server.
    pub resolver: SocketAddr,
    /// The directory's events up to the start of the controller.
    pub known_events: KnownEvents,
    /// The settings, in the format of the simulator's first message.
    pub settings: serde_json::Value,
}

/// The resource limits of the machine.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Memory of the machine, in MB.
    pub memory_mb: u64,
    /// Maximum number of file descriptors of a process.
    pub sockets: u64,
}

impl Default for Limits {
    /// The limits of the smallest machine in the platform's documentation.
    fn default() -> Self {
        Self { memory_mb: 32, sockets: 256 }
    }
}

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The text is not a JSON object.
    #[error("configuration is not a JSON object: {0}")]
    Json(#[from] serde_json::Error),
    /// A field has the wrong type or an invalid value.
    #[error("configuration field {name} is invalid: {source}")]
    Field {
        /// Name of the field in the JSON object.
        name: &'static str,
        /// Why the field's value was rejected.
        source: serde_json::Error,
    },
    /// A required field is missing.
    #[error("configuration field {0} is missing")]
    Missing(&'static str),
}

type Object = serde_json::Map<String, serde_json::Value>;

/// Removes a field from the object and parses it. Returns `None` if the field is absent.
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
    /// Fails if the text is not a JSON object, or if a field is missing or invalid.
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

    /// Returns the seed as a number. A seed that is not a hexadecimal number of at most 64 bits is hashed instead.
    pub fn seed_number(&self) -> u64 {
        let hashed = || {
            self.seed.bytes().fold(0u64, |hash, byte| hash.wrapping_mul(257).wrapping_add(u64::from(byte)))
        };
        u64::from_str_radix(&self.seed, 16).unwrap_or_else(|_| hashed())
    }
}
