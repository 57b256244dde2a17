//! Chooses the client connection that is evicted for a new one.

use std::time::Instant;

use nettleferry_net::tcp::{Tcp, TcpKey};
use tracing::debug;

use super::Front;
use super::client::{CloseStage, EvictionOrder, EvictionRank};
use crate::guard::may_close;
use crate::limits::{Counters, EVICTION_CANDIDATES};
use crate::reasons::CloseReason;

/// A connection that may be evicted, ordered by its place in the order of eviction.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    rank: EvictionRank,
    key: TcpKey,
}

impl Front {
    /// Returns the connection to evict, among those whose state is no later than `last` in [`EvictionOrder`].
    /// `None` if none of the first [`EVICTION_CANDIDATES`] may be evicted. Excluded are connections with open
    /// requests or unsent answers, and those with input that is not handled yet, as their clients would see a
    /// reset. An incomplete frame that was read earlier does not protect its connection.
    pub(super) fn eviction_candidate(&self, tcp: &mut Tcp, last: EvictionOrder) -> Option<TcpKey> {
        let now = Instant::now();
        let unused = self
            .clients
            .iter()
            .filter(|(_, client)| client.streams.is_empty() && client.stage != CloseStage::Closing);
        let mut candidates: Vec<Candidate> = unused
            .map(|(key, client)| Candidate { rank: client.eviction_rank(now), key: *key })
            .filter(|candidate| candidate.rank.order <= last)
            .collect();
        candidates.sort_unstable();
        let mut examined = candidates.into_iter().take(EVICTION_CANDIDATES);
        // Buffered input that is not handled yet counts as unread, unless it is the incomplete frame of this
        // state.
        examined
            .find(|Candidate { rank, key }| {
                let within_frame =
                    matches!(rank.order, EvictionOrder::StalledFrame | EvictionOrder::WithinFrame);
                let unread = !within_frame && tcp.input(*key).is_some_and(|input| !input.is_empty());
                let answers_taken = tcp.flush(*key);
                answers_taken && !unread && tcp.confirm_idle(*key)
            })
            .map(|candidate| candidate.key)
    }

    /// Closes a connection for a new one, unless an answer would be lost with it.
    pub(super) fn evict(&mut self, tcp: &mut Tcp, key: TcpKey, counters: &mut Counters) {
        let Some(client) = self.clients.get(&key) else { return };
        if let Err(violation) = may_close(client.streams.len(), tcp.unsent(key)) {
            return counters.violations.report(violation, &key);
        }
        let now = Instant::now();
        let EvictionRank { order, since } = client.eviction_rank(now);
        debug!(conn = ?key, ?order, age = ?now - since, "client connection evicted for a new one");
        let is_open = client.stage == CloseStage::Open;
        self.clients.remove(&key);
        counters.made_room += 1;
        if !is_open {
            // Its close was counted when it began. Requests that are on their way must not reset the
            // connection under its last answers.
            return tcp.finish(key);
        }
        counters.reasons.closed(CloseReason::Evicted, 0);
        tcp.close(key);
    }
}
