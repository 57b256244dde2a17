//! Start times of workers on this process's clock. The directory states a start as a Unix time; this clock is monotonic
//! and begins with the Unix time at the start of this process. Either wall clock may be stepped, so that a start is
//! checked against what is known without them.

use std::collections::BTreeMap;

use nettleferry::Micros;

/// The greatest age of what the directory states, microseconds: it does so no later than 4.5 s after it happened.
const MAX_REPORT_AGE: Micros = 5_000_000;

/// One start as the directory states it and as it is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Start {
    reported_ms: u64,
    started: Micros,
}

/// Start times of the listed workers.
#[derive(Debug, Default)]
pub struct StartTimes {
    known: BTreeMap<String, Start>,
}

impl StartTimes {
    /// A worker's start time on this process's clock. `previous_list`: when the list before was received; a start that
    /// this list is the first to state was no earlier, but for the time that the directory takes. `None` for the first
    /// list.
    ///
    /// One that this clock has not reached is taken as now: it can't be later.
    pub fn resolve(
        &mut self,
        worker: &str,
        reported_ms: u64,
        now: Micros,
        previous_list: Option<Micros>,
    ) -> Micros {
        if let Some(start) = self.known.get(worker).filter(|start| start.reported_ms == reported_ms) {
            return start.started;
        }
        let reported = reported_ms.saturating_mul(1_000);
        let earliest = previous_list.map_or(0, |at| at.saturating_sub(MAX_REPORT_AGE));
        // A clock that is far off proves nothing: the worker has started just now, as far as is known.
        let started = if (earliest..=now).contains(&reported) { reported } else { now };
        self.known.insert(worker.to_owned(), Start { reported_ms, started });
        started
    }

    /// Forgets all workers for which `listed` is false.
    pub fn retain(&mut self, listed: impl Fn(&str) -> bool) {
        self.known.retain(|worker, _| listed(worker));
    }
}
