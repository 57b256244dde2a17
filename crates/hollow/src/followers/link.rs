//! The imitated way between a follower and its administration: so long each way, and longer where a packet was lost.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// TCP sends again what was lost after so long, where the round trip is short.
const SENT_AGAIN_AFTER: Duration = Duration::from_millis(200);

/// The way of one follower.
#[derive(Clone, Debug)]
pub struct Link {
    delay: Duration,
    loss: f64,
    random: ChaCha8Rng,
}

impl Link {
    /// One way takes `delay`; a request or an answer is lost with this chance. Draws are those of `seed` and `stream`.
    pub fn new(delay: Duration, loss: f64, seed: u64, stream: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(stream);
        Self { delay, loss, random }
    }

    /// How long the next request or answer is on its way, beyond what loopback takes.
    pub fn way(&mut self) -> Duration {
        let lost = self.loss > 0.0 && self.random.random_bool(self.loss);
        if lost { self.delay + SENT_AGAIN_AFTER } else { self.delay }
    }
}
