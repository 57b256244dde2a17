//! A book that follows another: what is asked next and when, and what an answer means. Entries are taken in
//! order, all of one or nothing; what does not follow on the book leads to a snapshot, never to a guess.

use crate::audit::Entry;
use crate::book::Book;
use crate::{Millis, Revision};

/// First wait after a failure, milliseconds; it doubles.
pub const WAIT_FIRST: Millis = 100;
/// Longest wait.
pub const WAIT_MOST: Millis = 10_000;

/// What is to be asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ask {
    /// All of it.
    Snapshot,
    /// What comes after this revision of this store; the answer may wait for it.
    Watch {
        /// The store: one that was restored is another, and its revisions mean something else.
        store: String,
        /// The revision.
        after: Revision,
    },
}

/// What came of it.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    /// All of it, of this store.
    Snapshot {
        /// The store.
        store: String,
        /// Its book.
        book: Book,
    },
    /// Entries after the revision asked for, in order; none: nothing has changed.
    Entries(Vec<Entry>),
    /// The other is another store, does not have what comes after that revision any more, or has not come so far.
    Elsewhere,
    /// No answer, or one that is none.
    Failed,
}

/// What is to be put in force, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// A change.
    Changed(Box<Entry>),
    /// Everything: what is not in it is gone.
    Began(Book),
}

/// Waits after failures in a row: each up to twice as long as the one before, half of it by chance.
#[derive(Clone, Debug)]
pub struct Backoff {
    failures: u32,
    random: u64,
}

impl Backoff {
    /// One that has not failed. `seed`: for the jitter.
    pub fn new(seed: u64) -> Self {
        Self { failures: 0, random: seed | 1 }
    }

    /// How often in a row it failed.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// It failed once more; how long to wait now.
    pub fn failed(&mut self) -> Millis {
        self.failures = self.failures.saturating_add(1);
        let most = WAIT_FIRST.saturating_mul(1 << (self.failures - 1).min(16)).min(WAIT_MOST);
        // Xorshift: followers that lost the same peer come back apart.
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        most / 2 + self.random % (most / 2 + 1)
    }

    /// It succeeded.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }
}

/// A book that follows.
#[derive(Clone, Debug)]
pub struct Follower {
    book: Book,
    store: String,
    whole: bool,
    backoff: Backoff,
    not_before: Millis,
}

impl Follower {
    /// Begins with the book of a store that was kept, where there is one. `seed`: for the jitter of waits.
    pub fn new(kept: Option<(String, Book)>, seed: u64) -> Self {
        let whole = kept.is_none();
        let (store, book) = kept.unwrap_or_default();
        Self { book, store, whole, backoff: Backoff::new(seed), not_before: 0 }
    }

    /// The book as it stands.
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// The store that it follows.
    pub fn store(&self) -> &str {
        &self.store
    }

    /// What is to be asked, and not before which time.
    pub fn next(&self) -> (Ask, Millis) {
        if self.whole {
            return (Ask::Snapshot, self.not_before);
        }
        (Ask::Watch { store: self.store.clone(), after: self.book.revision() }, self.not_before)
    }

    /// How often in a row no answer came.
    pub fn failures(&self) -> u32 {
        self.backoff.failures()
    }

    /// Takes an answer in; what is to be put in force is appended to `news`.
    pub fn heard(&mut self, now: Millis, heard: Heard, news: &mut Vec<News>) {
        match heard {
            Heard::Snapshot { store, book } => {
                self.store = store;
                self.whole = false;
                self.backoff.succeeded();
                if book != self.book {
                    self.book = book.clone();
                    news.push(News::Began(book));
                }
            }
            Heard::Entries(entries) => {
                self.backoff.succeeded();
                for entry in entries {
                    // One that was taken before says nothing new.
                    if entry.revision <= self.book.revision() {
                        continue;
                    }
                    // An equal book gives an equal tenant: one that differs was changed by nobody we know.
                    let follows = entry.before.as_ref() == self.book.get(&entry.tenant);
                    if !follows || self.book.take(&entry).is_err() {
                        self.whole = true;
                        return;
                    }
                    news.push(News::Changed(Box::new(entry)));
                }
            }
            Heard::Elsewhere => {
                self.whole = true;
                self.wait(now);
            }
            Heard::Failed => self.wait(now),
        }
    }

    fn wait(&mut self, now: Millis) {
        self.not_before = now.saturating_add(self.backoff.failed());
    }
}
