//! The simulated network between a follower and the administration: a fixed delay in each direction, and a longer one
//! if a packet is lost.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Retransmission timeout of TCP on a link with a short round trip.
const RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(200);

/// The simulated link of one follower.
#[derive(Clone, Debug)]
pub struct Link {
    delay: Duration,
    loss: f64,
    random: ChaCha8Rng,
}

impl Link {
    /// Creates a link that delays each message by `delay`, and with probability `loss` by a retransmission timeout in
    /// addition. `seed` and `stream` select its random sequence.
    pub fn new(delay: Duration, loss: f64, seed: u64, stream: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(stream);
        Self { delay, loss, random }
    }

    /// Draws the delay of the next request or response, in addition to that of loopback.
    pub fn next_delay(&mut self) -> Duration {
        let lost = self.loss > 0.0 && self.random.random_bool(self.loss);
        if lost { self.delay + RETRANSMISSION_TIMEOUT } else { self.delay }
    }
}
