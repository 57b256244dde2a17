//! A network between processes that use TCP: lost packets are retransmitted with growing pauses, until the connection is
//! given up.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::Micros;

/// The first retransmission timeout (RFC 6298 gives 1 s; systems use 200 ms); it doubles.
const RETRANSMISSION_TIMEOUT: Micros = 200_000;
/// Retransmissions after which a connection is given up.
const MAX_RETRANSMISSIONS: u32 = 8;

/// A network.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Network {
    /// Probability that a packet is lost.
    pub loss: f64,
    /// Mean delay of one way; each packet's is between a half and one and a half of it.
    pub delay: Micros,
    /// Bytes a second of one link.
    pub bandwidth: f64,
}

impl Network {
    /// How long the transfer of a message takes; `None`: the connection was given up.
    pub fn transfer_time(&self, random: &mut ChaCha8Rng, bytes: u64) -> Option<Micros> {
        let mut waited = 0;
        for attempt in 0..=MAX_RETRANSMISSIONS {
            if !random.random_bool(self.loss) {
                let delay = random.random_range(self.delay / 2..=self.delay * 3 / 2);
                return Some(waited + delay + (bytes as f64 / self.bandwidth * 1e6) as Micros);
            }
            waited += RETRANSMISSION_TIMEOUT << attempt;
        }
        None
    }
}

/// Requests and bytes of a second. Serialized as a pair.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(into = "[u64; 2]")]
pub struct Peak {
    /// Requests.
    pub requests: u64,
    /// Bytes.
    pub bytes: u64,
}

impl Peak {
    /// The larger of each.
    pub fn max(self, other: Self) -> Self {
        Self { requests: self.requests.max(other.requests), bytes: self.bytes.max(other.bytes) }
    }
}

impl From<Peak> for [u64; 2] {
    fn from(Peak { requests, bytes }: Peak) -> Self {
        [requests, bytes]
    }
}

/// Counts requests and bytes by second.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    seconds: Vec<Peak>,
}

impl Meter {
    /// Counts a request of so many bytes.
    pub fn count(&mut self, now: Micros, bytes: u64) {
        let index = (now / 1_000_000) as usize;
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, Peak::default());
        }
        let second = &mut self.seconds[index];
        second.requests += 1;
        second.bytes += bytes;
    }

    /// The most requests and the most bytes of a second, which need not be the same one.
    pub fn peak(&self) -> Peak {
        self.seconds.iter().copied().fold(Peak::default(), Peak::max)
    }

    /// Requests in all.
    pub fn total(&self) -> u64 {
        self.seconds.iter().map(|second| second.requests).sum()
    }
}
