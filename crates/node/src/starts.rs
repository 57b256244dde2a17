//! Starts of workers in our own time. The directory tells a start as a Unix time; our clock runs on from the Unix time at
//! our own start. Either wall clock may be stepped, so that a start is held against what is known without them.

use std::collections::BTreeMap;

use nettleferry::Micros;

/// What the directory tells may be so old: it counts as told no later than 4.5 s after it happened.
const TELLS_WITHIN: Micros = 5_000_000;

/// One start as it was told and as it is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Start {
    told_ms: u64,
    taken: Micros,
}

/// Starts of the listed workers.
#[derive(Debug, Default)]
pub struct StartTimes {
    known: BTreeMap<String, Start>,
}

impl StartTimes {
    /// A worker's start in our time. `since`: when the list before was heard; a start that this list is the first to tell
    /// of was no earlier, but for the time that the directory takes to tell. None for the first list.
    ///
    /// One that our clock has not reached is taken as now: it can't be later.
    pub fn take(&mut self, worker: &str, told_ms: u64, now: Micros, since: Option<Micros>) -> Micros {
        if let Some(start) = self.known.get(worker).filter(|start| start.told_ms == told_ms) {
            return start.taken;
        }
        let told = told_ms.saturating_mul(1_000);
        let earliest = since.map_or(0, |since| since.saturating_sub(TELLS_WITHIN));
        // A clock that is far off says nothing: it has started just now, as far as is known.
        let taken = if (earliest..=now).contains(&told) { told } else { now };
        self.known.insert(worker.to_owned(), Start { told_ms, taken });
        taken
    }

    /// Forgets all that `listed` does not hold.
    pub fn retain(&mut self, listed: impl Fn(&str) -> bool) {
        self.known.retain(|worker, _| listed(worker));
    }
}
