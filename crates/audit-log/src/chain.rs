//! Is an audit log complete? Finds entries that are missing, altered or unreadable, and says where. What follows from
//! that is left to [`crate::audit`].

use crate::entry::{Entry, EntryKind, GENESIS_HASH, hash};
use crate::recorder::Tail;

/// What is wrong with an audit log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChainError {
    /// A text is no entry.
    #[error("text {index} is no entry: it was altered")]
    Unreadable {
        /// Its index among the texts, from 0.
        index: usize,
    },
    /// Entries between these two numbers are missing.
    #[error("entries {} to {} are missing", after + 1, before - 1)]
    Missing {
        /// The last entry before the gap.
        after: u64,
        /// The first entry behind it.
        before: u64,
    },
    /// An entry does not follow on the text before it: one of the two was altered.
    #[error("entry {number} does not follow on the one before: one of them was altered")]
    Altered {
        /// The entry that does not follow.
        number: u64,
    },
    /// The log itself says that entries are missing.
    #[error("entry {number} says that {entries} entries are missing: {why}")]
    DeclaredGap {
        /// The entry that says so.
        number: u64,
        /// How many are missing.
        entries: u64,
        /// Why.
        why: String,
    },
    /// The log does not begin with its first entry: the oldest were deleted to bound its size.
    #[error("it begins with entry {first}: the oldest were deleted")]
    Truncated {
        /// The oldest entry that is there.
        first: u64,
    },
}

/// An audit log as it was read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CheckedLog {
    /// Its entries, without texts that could not be read.
    pub entries: Vec<Entry>,
    /// What is wrong with it.
    pub errors: Vec<ChainError>,
    /// Its end, on which the next entry is to follow; `None`: it has no entry.
    pub tail: Option<Tail>,
}

/// Reads an audit log's texts in order.
pub fn check<'a>(texts: impl IntoIterator<Item = &'a str>) -> CheckedLog {
    let mut checked = CheckedLog::default();
    // `None` after a text that is no entry.
    let mut previous = Some(Tail { number: 0, hash: GENESIS_HASH.to_owned() });
    for (index, text) in texts.into_iter().enumerate() {
        let Ok(entry) = Entry::from_json(text) else {
            checked.errors.push(ChainError::Unreadable { index });
            previous = None;
            continue;
        };
        checked.errors.extend(previous.as_ref().and_then(|previous| broken_link(previous, &entry)));
        if let EntryKind::Gap { lines, why } = &entry.kind {
            let (entries, why) = (*lines, why.clone());
            checked.errors.push(ChainError::DeclaredGap { number: entry.number, entries, why });
        }
        let tail = Tail { number: entry.number, hash: hash(text) };
        checked.tail = Some(tail.clone());
        previous = Some(tail);
        checked.entries.push(entry);
    }
    checked
}

/// Why an entry does not follow on the one before; `None`: it does.
fn broken_link(previous: &Tail, entry: &Entry) -> Option<ChainError> {
    let number = entry.number;
    if previous.number == 0 && number > 1 {
        return Some(ChainError::Truncated { first: number });
    }
    if number != previous.number + 1 {
        return Some(ChainError::Missing { after: previous.number, before: number });
    }
    (previous.hash != entry.prev).then_some(ChainError::Altered { number })
}

#[cfg(test)]
mod tests;
