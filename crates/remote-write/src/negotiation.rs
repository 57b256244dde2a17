//! Negotiation of the protocol version. Messages use the preferred version until a response shows that the receiver
//! did not understand it, and then the plain version. Since receivers are upgraded and replaced, the preferred
//! version is tried again from time to time, with one message at a time.

use std::collections::BTreeSet;

use crate::Micros;

/// Protocol version of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolVersion {
    /// The newer version, which carries more data.
    Preferred,
    /// The older version, which every receiver understands.
    Plain,
}

/// What a response shows about the protocol version of the message that it responds to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// The receiver understood the version.
    Understood,
    /// The receiver did not understand the version, or read the message as another one. It stored nothing.
    NotUnderstood,
    /// The response does not show whether the version was understood, or there was no response.
    Unknown,
}

/// Backoff between attempts to use the preferred version after it was not understood.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Delay before the first new attempt.
    pub first: Micros,
    /// Maximum delay. The delay doubles with each failed attempt.
    pub max: Micros,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { first: 300_000_000, max: 3_600_000_000 }
    }
}

/// State while messages use the plain version.
#[derive(Clone, Copy, Debug)]
struct Fallback {
    backoff: Micros,
    /// Time from which the preferred version is tried again.
    retry_at: Micros,
}

/// Chooses the protocol version of each message.
#[derive(Clone, Debug)]
pub struct Negotiation {
    backoff: Backoff,
    fallback: Option<Fallback>,
    /// Shards with a message in the preferred version in flight.
    preferred_shards: BTreeSet<usize>,
    changes: u64,
}

impl Negotiation {
    /// Creates a negotiation that starts with the preferred version.
    pub fn new(backoff: Backoff) -> Self {
        Self { backoff, fallback: None, preferred_shards: BTreeSet::new(), changes: 0 }
    }

    /// Returns the version for the next message of a shard, which has at most one message in flight. The caller must
    /// report the outcome with [`Negotiation::handle_response`].
    pub fn next_version(&mut self, now: Micros, shard: usize) -> ProtocolVersion {
        // During the fallback at most one message in flight uses the preferred version.
        let preferred =
            self.fallback.is_none_or(|fallback| now >= fallback.retry_at && self.preferred_shards.is_empty());
        if preferred {
            self.preferred_shards.insert(shard);
            return ProtocolVersion::Preferred;
        }
        ProtocolVersion::Plain
    }

    /// Handles the response to a shard's message, or the failure to get one. Responses to messages in the plain version
    /// are ignored.
    pub fn handle_response(&mut self, now: Micros, shard: usize, acceptance: Acceptance) {
        if !self.preferred_shards.remove(&shard) {
            return;
        }
        match (acceptance, self.fallback) {
            (Acceptance::Unknown, _) | (Acceptance::Understood, None) => {}
            (Acceptance::Understood, Some(_)) => {
                self.fallback = None;
                self.changes += 1;
            }
            (Acceptance::NotUnderstood, None) => {
                self.fall_back(now, self.backoff.first);
                self.changes += 1;
            }
            // This message was in flight when the fallback began, so its response gives no new information.
            (Acceptance::NotUnderstood, Some(fallback)) if now < fallback.retry_at => {}
            (Acceptance::NotUnderstood, Some(fallback)) => {
                self.fall_back(now, fallback.backoff.saturating_mul(2).min(self.backoff.max));
            }
        }
    }

    fn fall_back(&mut self, now: Micros, backoff: Micros) {
        self.fallback = Some(Fallback { backoff, retry_at: now.saturating_add(backoff) });
    }

    /// Returns the version in use. During a fallback this is the plain version, also while the preferred version is
    /// tried again.
    pub fn version(&self) -> ProtocolVersion {
        if self.fallback.is_some() { ProtocolVersion::Plain } else { ProtocolVersion::Preferred }
    }

    /// Returns how often [`Negotiation::version`] has changed since the start.
    pub fn changes(&self) -> u64 {
        self.changes
    }
}

#[cfg(test)]
mod tests;
