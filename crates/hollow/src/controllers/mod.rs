//! Hollow controllers: each keeps one connection to a worker, as a real controller does, and sends its share of the
//! calls and probes on it. They make no decisions: a call is sent when its timer is due, and its response is counted.

pub mod report;
mod run;

use std::net::SocketAddr;
use std::time::Duration;

use crate::bounds::{self, PeerResources, SettingsError};
use crate::process::Machine;

pub use run::Controllers;

/// Upper bound on the resources of one controller: its connection with the HTTP/2 state.
const RESOURCES_PER_PEER: PeerResources = PeerResources { descriptors: 1, memory: 128 << 10 };
const MAX_DURATION: Duration = Duration::from_secs(24 * 3600);
/// Maximum rate of calls and probes of one process, per second.
const MAX_RATE: f64 = 100_000.0;

/// Settings of a run of hollow controllers.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of the worker.
    pub worker: SocketAddr,
    /// Number of controllers.
    pub count: u32,
    /// Number of the first controller; the others are numbered consecutively.
    pub first_number: u32,
    /// Seed of the random numbers, which decide when each controller sends its calls.
    pub seed: u64,
    /// Duration of the run; `None` to run until standard input is closed.
    pub duration: Option<Duration>,
    /// Time over which the opening of the connections is spread.
    pub begin_within: Duration,
    /// Total calls per second of all controllers.
    pub calls_per_second: f64,
    /// Total probes per second of all controllers.
    pub probes_per_second: f64,
    /// Name of the model in each call.
    pub model: String,
    /// Deadline of each call, from its start.
    pub deadline: Duration,
}

impl Settings {
    /// Checks that `machine` can run these settings: a loopback address, enough resources and values within their
    /// ranges.
    pub fn check(&self, machine: Machine) -> Result<(), SettingsError> {
        bounds::check_loopback(self.worker)?;
        bounds::check_count(u64::from(self.count), RESOURCES_PER_PEER, machine)?;
        let out_of_range = |option, requirement| Err(SettingsError::OutOfRange { option, requirement });
        if self.first_number.checked_add(self.count - 1).is_none() {
            let requirement = "the last controller's number must be at most 4294967295";
            return out_of_range("--first-number", requirement.to_owned());
        }
        let rate = self.calls_per_second + self.probes_per_second;
        let in_range = |rate: f64| (0.0..=MAX_RATE).contains(&rate);
        if !in_range(self.calls_per_second) || !in_range(self.probes_per_second) || !in_range(rate) {
            let rates = format!("{} and {}", self.calls_per_second, self.probes_per_second);
            let requirement = format!("with --probes-per-second from 0 to 100000, not {rates}");
            return out_of_range("--calls-per-second", requirement);
        }
        if self.begin_within > MAX_DURATION {
            return out_of_range("--begin-within", format!("at most a day, not {:?}", self.begin_within));
        }
        if self.duration.is_some_and(|duration| duration.is_zero() || duration > MAX_DURATION) {
            return out_of_range("--seconds", "from 1 to 86400".to_owned());
        }
        if self.deadline.is_zero() || self.deadline > MAX_DURATION {
            return out_of_range("--deadline", format!("from 1 ms to a day, not {:?}", self.deadline));
        }
        Ok(())
    }
}
