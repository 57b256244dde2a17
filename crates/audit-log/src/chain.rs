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
mod tests;
