//! Which of two forms a receiver is spoken to in: the preferred one until it says that it does not understand
//! it, then the plain one; and the preferred one is tried again now and then, by one batch at a time, because
//! receivers are upgraded and replaced.

use std::collections::BTreeSet;

use crate::queue::Micros;

/// A form of the messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// The one that tells more.
    Preferred,
    /// The one that every receiver understands.
    Plain,
}

/// What an answer says of the form of its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Understood {
    /// It was understood.
    Yes,
    /// It was not, or was taken for something else: nothing of it was kept.
    No,
    /// The answer, or that none came, says nothing of it.
    Untold,
}

/// Waits before the preferred form is tried again.
#[derive(Clone, Copy, Debug)]
pub struct Waits {
    /// After the first time that it was not understood.
    pub first: Micros,
    /// It doubles up to this.
    pub most: Micros,
}

impl Default for Waits {
    fn default() -> Self {
        Self { first: 300_000_000, most: 3_600_000_000 }
    }
}

/// The form in use.
#[derive(Clone, Debug)]
pub struct Speech {
    waits: Waits,
    /// Spoken plainly: the wait, and when the preferred form is tried again.
    plain: Option<(Micros, Micros)>,
    /// Lanes whose message is out in the preferred form.
    out: BTreeSet<usize>,
    changes: u64,
}

impl Speech {
    /// The preferred form, until told otherwise.
    pub fn new(waits: Waits) -> Self {
        Self { waits, plain: None, out: BTreeSet::new(), changes: 0 }
    }

    /// The form of the next message on a lane; [`Speech::told`] is to follow.
    pub fn next(&mut self, now: Micros, lane: usize) -> Form {
        // While it is spoken plainly one message at a time asks.
        let ask = self.plain.is_none_or(|(_, at)| now >= at && self.out.is_empty());
        if ask {
            self.out.insert(lane);
            return Form::Preferred;
        }
        Form::Plain
    }

    /// What the answer to a lane's message says of its form.
    pub fn told(&mut self, now: Micros, lane: usize, understood: Understood) {
        if !self.out.remove(&lane) {
            return;
        }
        match (understood, self.plain) {
            (Understood::Untold, _) | (Understood::Yes, None) => {}
            (Understood::Yes, Some(_)) => {
                self.plain = None;
                self.changes += 1;
            }
            (Understood::No, None) => {
                self.plain = Some((self.waits.first, now.saturating_add(self.waits.first)));
                self.changes += 1;
            }
            // Further messages that were out when the first was not understood say nothing new.
            (Understood::No, Some((_, at))) if now < at => {}
            (Understood::No, Some((wait, _))) => {
                let wait = wait.saturating_mul(2).min(self.waits.most);
                self.plain = Some((wait, now.saturating_add(wait)));
            }
        }
    }

    /// The form in use but for asking.
    pub fn form(&self) -> Form {
        if self.plain.is_some() { Form::Plain } else { Form::Preferred }
    }

    /// How often it changed.
    pub fn changes(&self) -> u64 {
        self.changes
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    #[test]
    fn a_receiver_that_was_upgraded_is_asked_again_by_one_message_at_a_time() {
        let mut speech = Speech::new(Waits { first: 10 * S, most: 30 * S });
        assert_eq!((speech.next(0, 0), speech.next(0, 1)), (Form::Preferred, Form::Preferred));
        speech.told(S, 0, Understood::No);
        speech.told(2 * S, 1, Understood::No);
        assert_eq!((speech.form(), speech.changes()), (Form::Plain, 1));
        assert_eq!(speech.next(10 * S, 0), Form::Plain);
        speech.told(10 * S, 0, Understood::Yes);
        assert_eq!(speech.form(), Form::Plain, "an answer to the plain form says nothing of the other");
        assert_eq!((speech.next(11 * S, 0), speech.next(11 * S, 1)), (Form::Preferred, Form::Plain));
        speech.told(11 * S, 0, Understood::No);
        let asked = |speech: &mut Speech, at| {
            let form = speech.next(at, 0);
            speech.told(at, 0, Understood::No);
            form
        };
        assert_eq!(asked(&mut speech, 30 * S), Form::Plain, "the wait has doubled");
        assert_eq!(asked(&mut speech, 31 * S), Form::Preferred);
        assert_eq!(asked(&mut speech, 60 * S), Form::Plain, "and is at its most");
        assert_eq!(speech.next(61 * S, 0), Form::Preferred);
        speech.told(61 * S, 0, Understood::Yes);
        assert_eq!((speech.form(), speech.changes()), (Form::Preferred, 2));
        // Replaced by one that is older: from the beginning.
        assert_eq!(asked(&mut speech, 70 * S), Form::Preferred);
        assert_eq!(asked(&mut speech, 79 * S), Form::Plain);
        assert_eq!(speech.next(80 * S, 0), Form::Preferred);
    }

    #[test]
    fn a_question_without_an_answer_is_asked_again() {
        let mut speech = Speech::new(Waits { first: S, most: S });
        speech.next(0, 0);
        speech.told(0, 0, Understood::No);
        assert_eq!(speech.next(S, 0), Form::Preferred);
        speech.told(S, 0, Understood::Untold);
        assert_eq!((speech.form(), speech.next(S, 1)), (Form::Plain, Form::Preferred));
    }
}
