//! Checks that an audit log is complete: finds entries that are missing, altered or unreadable, with their positions.
//! [`crate::audit`] reports them as gaps.

use crate::entry::{Entry, EntryKind, GENESIS_HASH, hash};
use crate::recorder::Tail;

/// A defect of an audit log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChainError {
    /// A text cannot be parsed as an entry.
    #[error("text {index} cannot be parsed as an entry: it was altered")]
    Unreadable {
        /// Index of the text in the log, from 0.
        index: usize,
    },
    /// The number of an entry does not follow on that of the previous entry. If it is higher, the entries between the
    /// two are missing. If it is not, the texts are not in order or the numbers started again.
    #[error("entry {after} is followed by entry {before}: entries are missing or not in order")]
    Missing {
        /// Number of the previous entry.
        after: u64,
        /// Number of the entry.
        before: u64,
    },
    /// The hash in an entry is not that of the previous text: one of the two was altered.
    #[error("entry {number} does not contain the hash of the previous entry: one of the two was altered")]
    Altered {
        /// Number of the entry whose hash does not match.
        number: u64,
    },
    /// An entry declares that entries before it were dropped; see [`EntryKind::Gap`].
    #[error("entry {number} declares that {entries} entries before it were dropped: {reason}")]
    DeclaredGap {
        /// Number of the declaring entry.
        number: u64,
        /// Number of dropped entries.
        entries: u64,
        /// Why they were dropped.
        reason: String,
    },
    /// The log does not begin with its first entry: the oldest were deleted to bound its size.
    #[error("the log begins with entry {first}: the older ones were deleted")]
    Truncated {
        /// Number of the oldest remaining entry.
        first: u64,
    },
}

/// The result of checking an audit log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CheckedLog {
    /// The entries in order, without the texts that could not be parsed.
    pub entries: Vec<Entry>,
    /// The defects found, in order.
    pub errors: Vec<ChainError>,
    /// The end of the log, to which the next entry is chained; `None` if the log has no entry.
    pub tail: Option<Tail>,
}

/// Parses the texts of an audit log, given in order, and checks the hash chain.
pub fn check<'a>(texts: impl IntoIterator<Item = &'a str>) -> CheckedLog {
    let mut checked = CheckedLog::default();
    // `None` after an unreadable text, as the link from it to the next entry can't be checked.
    let mut previous = Some(Tail { number: 0, hash: GENESIS_HASH.to_owned() });
    for (index, text) in texts.into_iter().enumerate() {
        let Ok(entry) = Entry::from_json(text) else {
            checked.errors.push(ChainError::Unreadable { index });
            previous = None;
            continue;
        };
        checked.errors.extend(previous.as_ref().and_then(|previous| broken_link(previous, &entry)));
        if let EntryKind::Gap { entries, reason } = &entry.kind {
            let (entries, reason) = (*entries, reason.clone());
            checked.errors.push(ChainError::DeclaredGap { number: entry.number, entries, reason });
        }
        let tail = Tail { number: entry.number, hash: hash(text) };
        checked.tail = Some(tail.clone());
        previous = Some(tail);
        checked.entries.push(entry);
    }
    checked
}

/// The defect between an entry and the previous one; `None` if the entry is chained to it.
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
