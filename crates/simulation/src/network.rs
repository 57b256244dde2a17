//! A network between processes that speak over TCP: what is lost is sent again, later and later, and what takes too
//! long was not heard.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::Micros;

/// A retransmission waits so long at first (RFC 6298 gives 1 s; systems use 200 ms), and doubles.
const RETRANSMIT: Micros = 200_000;
/// After so many, the connection is given up.
const MOST_RETRANSMITS: u32 = 8;

/// A network.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Network {
    /// Part of the packets that are lost.
    pub loss: f64,
    /// Mean delay of one way; each packet's is between a half and one and a half of it.
    pub delay: Micros,
    /// Bytes a second of one link.
    pub bandwidth: f64,
}

impl Network {
    /// How long a message of so many bytes is on its way; `None`: the connection was given up.
    pub fn takes(&self, random: &mut ChaCha8Rng, bytes: u64) -> Option<Micros> {
        let mut waited = 0;
        for tries in 0..=MOST_RETRANSMITS {
            if !random.random_bool(self.loss) {
                let delay = random.random_range(self.delay / 2..=self.delay * 3 / 2);
                return Some(waited + delay + (bytes as f64 / self.bandwidth * 1e6) as Micros);
            }
            waited += RETRANSMIT << tries;
        }
        None
    }
}

/// Bytes and requests a second, by second.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    seconds: Vec<(u64, u64)>,
}

impl Meter {
    /// A request of so many bytes.
    pub fn count(&mut self, now: Micros, bytes: u64) {
        let second = (now / 1_000_000) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, (0, 0));
        }
        self.seconds[second].0 += 1;
        self.seconds[second].1 += bytes;
    }

    /// The most requests and the most bytes of a second.
    pub fn peak(&self) -> (u64, u64) {
        let requests = self.seconds.iter().map(|s| s.0).max().unwrap_or(0);
        let bytes = self.seconds.iter().map(|s| s.1).max().unwrap_or(0);
        (requests, bytes)
    }

    /// Requests in all.
    pub fn total(&self) -> u64 {
        self.seconds.iter().map(|s| s.0).sum()
    }
}
