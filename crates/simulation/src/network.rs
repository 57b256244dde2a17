//! A simulated network between processes that use TCP. Lost packets are retransmitted with exponential backoff until
//! the connection is given up.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::Micros;

/// The first retransmission timeout, which doubles with each retransmission. Operating systems use 200 ms rather than
/// the 1 s of RFC 6298.
const RETRANSMISSION_TIMEOUT: Micros = 200_000;
/// Number of retransmissions after which a connection is given up.
const MAX_RETRANSMISSIONS: u32 = 8;

/// The properties of a simulated network.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Network {
    /// Probability that a packet is lost.
    pub loss: f64,
    /// Mean one-way delay. The delay of a message is between half and one and a half of it.
    pub delay: Micros,
    /// Bandwidth of one link in bytes per second.
    pub bandwidth: f64,
}

impl Network {
    /// Returns how long the transfer of a message takes, or `None` if the connection is given up.
    pub fn transfer_time(&self, random: &mut ChaCha8Rng, bytes: u64) -> Option<Micros> {
        let mut backoff = 0;
        for attempt in 0..=MAX_RETRANSMISSIONS {
            if !random.random_bool(self.loss) {
                let delay = random.random_range(self.delay / 2..=self.delay * 3 / 2);
                return Some(backoff + delay + (bytes as f64 / self.bandwidth * 1e6) as Micros);
            }
            backoff += RETRANSMISSION_TIMEOUT << attempt;
        }
        None
    }
}

/// Number of requests and of bytes in one second, or the maximum of each over several seconds. Serialized as a pair.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(into = "[u64; 2]")]
pub struct Peak {
    /// Number of requests.
    pub requests: u64,
    /// Number of bytes.
    pub bytes: u64,
}

impl Peak {
    /// Returns the maximum of the requests and the maximum of the bytes, which may come from different arguments.
    pub fn max(self, other: Self) -> Self {
        Self { requests: self.requests.max(other.requests), bytes: self.bytes.max(other.bytes) }
    }
}

impl From<Peak> for [u64; 2] {
    fn from(Peak { requests, bytes }: Peak) -> Self {
        [requests, bytes]
    }
}

/// Counts requests and bytes for each second of a run.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    seconds: Vec<Peak>,
}

impl Meter {
    /// Counts a request of `bytes` bytes at the time `now`.
    pub fn count(&mut self, now: Micros, bytes: u64) {
        let index = (now / 1_000_000) as usize;
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, Peak::default());
        }
        let second = &mut self.seconds[index];
        second.requests += 1;
        second.bytes += bytes;
    }

    /// Returns the largest number of requests and the largest number of bytes in any second. They need not come from the
    /// same second.
    pub fn peak(&self) -> Peak {
        self.seconds.iter().copied().fold(Peak::default(), Peak::max)
    }

    /// Returns the number of requests over all seconds.
    pub fn total(&self) -> u64 {
        self.seconds.iter().map(|second| second.requests).sum()
    }
}
