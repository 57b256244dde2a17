//! Hollow followers: each keeps the administration's protocol over HTTP/1.1 and JSON as a controller that follows
//! does (its life, its number and what it holds with each ask, four asks in the span of a lease, waits after
//! failures), and neither answers calls nor keeps a book of its own: one book of the process stands for all.

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

/// What one follower needs at the most: two connections; their buffers, and its part of what is measured.
const NEED: PeerResources = PeerResources { descriptors: 2, memory: 64 << 10 };
/// The longest run.
const MOST_TIME: Duration = Duration::from_secs(24 * 3600);
/// The longest imitated way.
const MOST_DELAY: Duration = Duration::from_secs(10);

/// A run of hollow followers.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The administration.
    pub administration: SocketAddr,
    /// The token of a key that may follow.
    pub token: String,
    /// How many there are.
    pub count: u32,
    /// The number of the first; the others have those behind it.
    pub first_number: u32,
    /// What draws begin with: lives, waits, losses.
    pub seed: u64,
    /// How long it runs; `None`: until its standard input closes.
    pub duration: Option<Duration>,
    /// They begin to ask spread over so long.
    pub begin_within: Duration,
    /// They go on without a lease, where others refuse calls then.
    pub serves_without_lease: bool,
    /// The chance that a request or an answer is lost, and sent again by TCP.
    pub loss: f64,
    /// How long one way takes, beyond what loopback does.
    pub delay: Duration,
}

impl Settings {
    /// Refuses what can't be run here.
    pub fn check(&self, machine: Machine) -> Result<(), SettingsError> {
        bounds::check_loopback(self.administration)?;
        bounds::check_count(u64::from(self.count), NEED, machine)?;
        let value = |what, why: &str| Err(SettingsError::OutOfRange { what, why: why.to_owned() });
        if self.first_number.checked_add(self.count - 1).is_none() {
            return value("--first-number", "the last follower's number is beyond 4294967295");
        }
        if !(0.0..=0.9).contains(&self.loss) {
            return value("--loss", "from 0 to 0.9");
        }
        if self.delay > MOST_DELAY || self.begin_within > MOST_TIME {
            return value("--delay", "at most 10 s; --begin-within: at most a day");
        }
        if self.duration.is_some_and(|duration| duration.is_zero() || duration > MOST_TIME) {
            return value("--seconds", "from 1 to 86400");
        }
        if self.token.is_empty() || !self.token.bytes().all(|byte| byte.is_ascii_graphic()) {
            return value("--key", "a token, NAME.SECRET, or a file that holds one");
        }
        Ok(())
    }
}
