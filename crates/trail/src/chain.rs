//! Is a record whole? Lines that are missing, altered, or no lines at all are each found, and where.

use crate::line::{FIRST, Hash, Line, What, hash};
use crate::recorder::Tail;

/// What is wrong with a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChainError {
    /// This text is no line.
    NoLine {
        /// Its place among the texts, from 0.
        place: usize,
    },
    /// Lines between these two numbers are missing.
    Missing {
        /// The last one before.
        after: u64,
        /// The first one behind.
        before: u64,
    },
    /// This line does not follow on the text before it: that one, or this one, was altered.
    Altered {
        /// The line that does not follow.
        n: u64,
    },
    /// The record says itself that lines are missing here.
    Said {
        /// The line that says so.
        n: u64,
        /// How many.
        lines: u64,
        /// Why.
        why: String,
    },
    /// The record does not begin with its first line: the oldest were let go.
    Begins {
        /// Its first line.
        at: u64,
    },
}

impl std::fmt::Display for ChainError {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoLine { place } => write!(out, "text {place} is no line: it was altered"),
            Self::Missing { after, before } => {
                write!(out, "lines {} to {} are missing", after + 1, before - 1)
            }
            Self::Altered { n } => {
                write!(out, "line {n} does not follow on the one before: one of them was altered")
            }
            Self::Said { n, lines, why } => {
                write!(out, "line {n} says that {lines} lines are missing: {why}")
            }
            Self::Begins { at } => write!(out, "it begins with line {at}: the oldest were let go"),
        }
    }
}

/// A record as it was read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Checked {
    /// Its lines, without those that are none.
    pub lines: Vec<Line>,
    /// What is wrong.
    pub faults: Vec<ChainError>,
    /// Its end, for what is written behind it.
    pub tail: Option<Tail>,
}

/// Reads texts in order.
pub fn check<'a>(texts: impl IntoIterator<Item = &'a str>) -> Checked {
    let mut checked = Checked::default();
    // The number and hash of the text before; `None` after one that is no line.
    let mut before: Option<(u64, Hash)> = Some((0, FIRST.to_owned()));
    for (place, text) in texts.into_iter().enumerate() {
        let Ok(line) = Line::read(text) else {
            checked.faults.push(ChainError::NoLine { place });
            before = None;
            continue;
        };
        match &before {
            Some((0, _)) if line.n > 1 => checked.faults.push(ChainError::Begins { at: line.n }),
            Some((n, _)) if line.n != n + 1 => {
                checked.faults.push(ChainError::Missing { after: *n, before: line.n });
            }
            Some((_, prev)) if *prev != line.prev => checked.faults.push(ChainError::Altered { n: line.n }),
            _ => {}
        }
        if let What::Gap { lines, why } = &line.what {
            checked.faults.push(ChainError::Said { n: line.n, lines: *lines, why: why.clone() });
        }
        let sum = hash(text);
        checked.tail = Some(Tail { n: line.n, hash: sum.clone() });
        before = Some((line.n, sum));
        checked.lines.push(line);
    }
    checked
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::recorder::{NameResolver, Recorder};
    use crate::view::View;

    struct Plain;

    impl NameResolver for Plain {
        fn tenant(&self, id: u64) -> String {
            format!("t{id}")
        }

        fn worker(&self, id: u64) -> String {
            format!("w{id}")
        }
    }

    fn record() -> Vec<String> {
        let mut all = Vec::new();
        let mut left = None;
        for life in 1..=2 {
            let mut recorder = Recorder::new(0, life, 3, "1.0", left.take());
            for revision in 1..4 {
                recorder.acts_on(revision * 10, View { revision, ..View::default() }, &Plain);
                recorder.call(revision * 10 + 1, 7);
                recorder.call(revision * 10 + 2, 8);
                recorder.attempt(revision * 10 + 2, 1);
            }
            recorder.close(&Plain);
            all.extend(recorder.take(usize::MAX));
            left = check(all.iter().map(String::as_str)).tail;
        }
        all
    }

    fn faults(texts: &[String]) -> Vec<ChainError> {
        check(texts.iter().map(String::as_str)).faults
    }

    #[test]
    fn a_whole_record_over_two_lives_is_whole() {
        let texts = record();
        let checked = check(texts.iter().map(String::as_str));
        assert_eq!((checked.faults, checked.lines.len()), (vec![], 14));
        let What::Did { calls, attempts, .. } = &checked.lines[2].what else {
            panic!("{:?}", checked.lines[2])
        };
        assert_eq!((calls.len(), calls["t7"], attempts["w1"]), (2, 1, 1));
        assert_eq!((checked.lines[2].from, checked.lines[2].to), (11, 12));
    }

    #[test]
    fn a_lost_an_altered_and_a_garbled_line_are_found() {
        let texts = record();
        for place in 1..texts.len() - 1 {
            let mut lost = texts.clone();
            lost.remove(place);
            assert_eq!(
                faults(&lost),
                [ChainError::Missing { after: place as u64, before: place as u64 + 2 }]
            );
            let mut altered = texts.clone();
            // One digit of a time or a count: still a line, and no longer the same.
            altered[place] = altered[place].replacen("\"from\":", "\"from\":1", 1);
            assert_eq!(faults(&altered), [ChainError::Altered { n: place as u64 + 2 }], "line {place}");
            let mut garbled = texts.clone();
            garbled[place].truncate(9);
            assert_eq!(faults(&garbled), [ChainError::NoLine { place }]);
        }
        assert_eq!(faults(&texts[4..]), [ChainError::Begins { at: 5 }]);
    }

    #[test]
    fn what_finds_no_room_is_said_to_be_missing() {
        let mut recorder = Recorder::new(0, 1, 3, "1.0", None);
        for revision in 0..5_000 {
            recorder.acts_on(revision, View { revision, ..View::default() }, &Plain);
        }
        assert_eq!(recorder.waiting(), crate::recorder::MOST_WAITING);
        let mut texts: Vec<String> = recorder.take(usize::MAX).collect();
        recorder.acts_on(9_000, View { revision: 9_000, ..View::default() }, &Plain);
        texts.extend(recorder.take(usize::MAX));
        let [ChainError::Said { lines, .. }] = &faults(&texts)[..] else { panic!("{:?}", faults(&texts)) };
        assert_eq!(*lines, 5_001 - crate::recorder::MOST_WAITING as u64);
    }
}
