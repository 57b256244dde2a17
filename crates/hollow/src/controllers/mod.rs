//! Hollow controllers: each keeps the connection that a controller opens to a worker, and makes its share of calls
//! and probes on it. None decides anything: a call is made when its time has come, and its answer is counted.

pub mod report;
mod run;

use std::net::SocketAddr;
use std::time::Duration;

use crate::bounds::{self, PeerResources, SettingsError};
use crate::process::Machine;

pub use run::Controllers;

/// What one controller needs at the most: its connection, with the state that HTTP/2 keeps of it.
const NEED: PeerResources = PeerResources { descriptors: 1, memory: 128 << 10 };
const MOST_TIME: Duration = Duration::from_secs(24 * 3600);
/// Calls and probes a second of a process at the most.
const MOST_RATE: f64 = 100_000.0;

/// A run of hollow controllers.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The worker.
    pub worker: SocketAddr,
    /// How many there are.
    pub count: u32,
    /// The number of the first; the others have those behind it.
    pub first_number: u32,
    /// What draws begin with: when each makes its calls.
    pub seed: u64,
    /// How long it runs; `None`: until its standard input closes.
    pub duration: Option<Duration>,
    /// They open their connections spread over so long.
    pub begin_within: Duration,
    /// Calls a second, over all of them.
    pub calls_per_second: f64,
    /// Probes a second, over all of them.
    pub probes_per_second: f64,
    /// The model that is called.
    pub model: String,
    /// A call has so long.
    pub deadline: Duration,
}

impl Settings {
    /// Refuses what can't be run here.
    pub fn check(&self, machine: Machine) -> Result<(), SettingsError> {
        bounds::check_loopback(self.worker)?;
        bounds::check_count(u64::from(self.count), NEED, machine)?;
        let value = |what, why: &str| Err(SettingsError::OutOfRange { what, why: why.to_owned() });
        if self.first_number.checked_add(self.count - 1).is_none() {
            return value("--first-number", "the last controller's number is beyond 4294967295");
        }
        let rate = self.calls_per_second + self.probes_per_second;
        let sound = |rate: f64| (0.0..=MOST_RATE).contains(&rate);
        if !sound(self.calls_per_second) || !sound(self.probes_per_second) || !sound(rate) {
            return value("--calls-per-second", "with --probes-per-second from 0 to 100000");
        }
        if self.begin_within > MOST_TIME {
            return value("--begin-within", "at most a day");
        }
        if self.duration.is_some_and(|duration| duration.is_zero() || duration > MOST_TIME) {
            return value("--seconds", "from 1 to 86400");
        }
        if self.deadline.is_zero() || self.deadline > MOST_TIME {
            return value("--deadline", "from 1 ms to a day");
        }
        Ok(())
    }
}
