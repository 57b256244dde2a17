//! Hollow followers: each follows the administration's protocol over HTTP/1.1 and JSON as a real controller does. Each
//! request carries the controller's number, its incarnation and the version of its snapshot. A follower sends four
//! requests per lease span and backs off after failures. It serves no calls and has no snapshot of its own: all
//! followers of the process share one.

pub mod answer;
pub mod follower;
mod link;
pub mod propagation;
pub mod report;
mod run;
pub mod shared_snapshot;

use std::net::SocketAddr;
use std::time::Duration;

use crate::bounds::{self, PeerResources, SettingsError};
use crate::process::Machine;

pub use run::Followers;

/// Upper bound on the resources of one follower: two connections with their buffers, and its share of the measurements.
const RESOURCES_PER_PEER: PeerResources = PeerResources { descriptors: 2, memory: 64 << 10 };
/// Maximum duration of a run.
const MAX_DURATION: Duration = Duration::from_secs(24 * 3600);
/// Maximum simulated delay in one direction.
const MAX_DELAY: Duration = Duration::from_secs(10);

/// Settings of a run of hollow followers.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of the administration's API.
    pub administration: SocketAddr,
    /// API token of a key with the role `controller`.
    pub token: String,
    /// Number of followers.
    pub count: u32,
    /// Controller number of the first follower; the others are numbered consecutively.
    pub first_number: u32,
    /// Seed of the random numbers: incarnations, backoff and packet loss.
    pub seed: u64,
    /// Duration of the run; `None` to run until standard input is closed.
    pub duration: Option<Duration>,
    /// Time over which the first requests are spread.
    pub begin_within: Duration,
    /// Whether the followers report that they continue to serve calls without a lease, instead of rejecting them.
    pub serves_without_lease: bool,
    /// Probability that a request or response is lost and retransmitted by TCP.
    pub loss: f64,
    /// Simulated delay in each direction, in addition to that of loopback.
    pub delay: Duration,
}

impl Settings {
    /// Checks that `machine` can run these settings: a loopback address, enough resources and values within their
    /// ranges.
    pub fn check(&self, machine: Machine) -> Result<(), SettingsError> {
        bounds::check_loopback(self.administration)?;
        bounds::check_count(u64::from(self.count), RESOURCES_PER_PEER, machine)?;
        let out_of_range = |option, requirement| Err(SettingsError::OutOfRange { option, requirement });
        if self.first_number.checked_add(self.count - 1).is_none() {
            let requirement = "the last follower's number must be at most 4294967295";
            return out_of_range("--first-number", requirement.to_owned());
        }
        if !(0.0..=0.9).contains(&self.loss) {
            return out_of_range("--loss", format!("from 0 to 0.9, not {}", self.loss));
        }
        if self.delay > MAX_DELAY || self.begin_within > MAX_DURATION {
            let delay = format!("at most 10 s, not {:?}", self.delay);
            let begin_within = format!("--begin-within: at most a day, not {:?}", self.begin_within);
            return out_of_range("--delay", format!("{delay}; {begin_within}"));
        }
        if self.duration.is_some_and(|duration| duration.is_zero() || duration > MAX_DURATION) {
            return out_of_range("--seconds", "from 1 to 86400".to_owned());
        }
        if self.token.is_empty() || !self.token.bytes().all(|byte| byte.is_ascii_graphic()) {
            let requirement = "must be a token, NAME.SECRET, or a file that contains one";
            return out_of_range("--key", requirement.to_owned());
        }
        Ok(())
    }
}
