//! Which of two protocol versions a receiver gets: the preferred one until it answers that it does not understand
//! it, then the plain one; and the preferred one is tried again now and then, by one batch at a time, because
//! receivers are upgraded and replaced.

use std::collections::BTreeSet;

use crate::queue::Micros;

/// A version of the messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolVersion {
    /// The one that tells more.
    Preferred,
    /// The one that every receiver understands.
    Plain,
}

/// What a response says of the version of its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// It was understood.
    Yes,
    /// It was not, or was taken for something else: nothing of it was kept.
    No,
    /// The answer, or that none came, says nothing of it.
    Untold,
}

/// Backoff before the preferred form is tried again.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// After the first time that it was not understood.
    pub first: Micros,
    /// It doubles up to this.
    pub most: Micros,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { first: 300_000_000, most: 3_600_000_000 }
    }
}

/// The version in use.
#[derive(Clone, Debug)]
pub struct Negotiation {
    waits: Backoff,
    /// Spoken plainly: the wait, and when the preferred form is tried again.
    plain: Option<(Micros, Micros)>,
    /// Lanes whose message is out in the preferred form.
    out: BTreeSet<usize>,
    changes: u64,
}

impl Negotiation {
    /// The preferred form, until told otherwise.
    pub fn new(waits: Backoff) -> Self {
        Self { waits, plain: None, out: BTreeSet::new(), changes: 0 }
    }

    /// The form of the next message on a lane; [`Negotiation::told`] is to follow.
    pub fn next(&mut self, now: Micros, lane: usize) -> ProtocolVersion {
        // While it is spoken plainly one message at a time asks.
        let ask = self.plain.is_none_or(|(_, at)| now >= at && self.out.is_empty());
        if ask {
            self.out.insert(lane);
            return ProtocolVersion::Preferred;
        }
        ProtocolVersion::Plain
    }

    /// What the answer to a lane's message says of its form.
    pub fn told(&mut self, now: Micros, lane: usize, understood: Acceptance) {
        if !self.out.remove(&lane) {
            return;
        }
        match (understood, self.plain) {
            (Acceptance::Untold, _) | (Acceptance::Yes, None) => {}
            (Acceptance::Yes, Some(_)) => {
                self.plain = None;
                self.changes += 1;
            }
            (Acceptance::No, None) => {
                self.plain = Some((self.waits.first, now.saturating_add(self.waits.first)));
                self.changes += 1;
            }
            // Further messages that were out when the first was not understood say nothing new.
            (Acceptance::No, Some((_, at))) if now < at => {}
            (Acceptance::No, Some((wait, _))) => {
                let wait = wait.saturating_mul(2).min(self.waits.most);
                self.plain = Some((wait, now.saturating_add(wait)));
            }
        }
    }

    /// The form in use but for asking.
    pub fn form(&self) -> ProtocolVersion {
        if self.plain.is_some() { ProtocolVersion::Plain } else { ProtocolVersion::Preferred }
    }

    /// How often it changed.
    pub fn changes(&self) -> u64 {
        self.changes
    }
}

#[cfg(test)]
mod tests;
