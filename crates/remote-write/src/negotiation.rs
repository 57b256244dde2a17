//! Which of two protocol versions a receiver gets: the preferred one until a response shows that it was not understood,
//! then the plain one; the preferred one is tried again now and then, by one batch at a time, because receivers are
//! upgraded and replaced.

use std::collections::BTreeSet;

use crate::Micros;

/// A version of the messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolVersion {
    /// The newer one, which carries more.
    Preferred,
    /// The older one, which every receiver understands.
    Plain,
}

/// What a response says of the version of its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// It was understood.
    Understood,
    /// It was not, or was read as something else: nothing of it was stored.
    NotUnderstood,
    /// The response, or its absence, does not show it.
    Unknown,
}

/// Backoff before the preferred version is tried again.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// After the first time that it was not understood.
    pub first: Micros,
    /// It doubles up to this.
    pub max: Micros,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { first: 300_000_000, max: 3_600_000_000 }
    }
}

/// The receiver gets the plain version for now.
#[derive(Clone, Copy, Debug)]
struct Fallback {
    backoff: Micros,
    /// When the preferred version is tried again.
    retry_at: Micros,
}

/// The version in use.
#[derive(Clone, Debug)]
pub struct Negotiation {
    backoff: Backoff,
    fallback: Option<Fallback>,
    /// Lanes whose message is in flight in the preferred version.
    preferred_lanes: BTreeSet<usize>,
    changes: u64,
}

impl Negotiation {
    /// Begins with the preferred version.
    pub fn new(backoff: Backoff) -> Self {
        Self { backoff, fallback: None, preferred_lanes: BTreeSet::new(), changes: 0 }
    }

    /// The version of the next message on a lane; [`Negotiation::handle_response`] is to follow.
    pub fn next_version(&mut self, now: Micros, lane: usize) -> ProtocolVersion {
        // In fallback one message at a time tries the preferred version.
        let preferred = self.fallback.is_none_or(|f| now >= f.retry_at && self.preferred_lanes.is_empty());
        if preferred {
            self.preferred_lanes.insert(lane);
            return ProtocolVersion::Preferred;
        }
        ProtocolVersion::Plain
    }

    /// Handles what the response to a lane's message says of its version.
    pub fn handle_response(&mut self, now: Micros, lane: usize, acceptance: Acceptance) {
        if !self.preferred_lanes.remove(&lane) {
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
            // Other messages that were in flight when the first was not understood say nothing new.
            (Acceptance::NotUnderstood, Some(fallback)) if now < fallback.retry_at => {}
            (Acceptance::NotUnderstood, Some(fallback)) => {
                self.fall_back(now, fallback.backoff.saturating_mul(2).min(self.backoff.max));
            }
        }
    }

    fn fall_back(&mut self, now: Micros, backoff: Micros) {
        self.fallback = Some(Fallback { backoff, retry_at: now.saturating_add(backoff) });
    }

    /// The version in use, apart from tries of the preferred one.
    pub fn version(&self) -> ProtocolVersion {
        if self.fallback.is_some() { ProtocolVersion::Plain } else { ProtocolVersion::Preferred }
    }

    /// How often the version in use has changed.
    pub fn changes(&self) -> u64 {
        self.changes
    }
}

#[cfg(test)]
mod tests;
