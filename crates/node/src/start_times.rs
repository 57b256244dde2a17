//! Converts the start times of workers to this process's clock. The directory states a start as a Unix time.
//! This process's clock is monotonic and begins with the Unix time at which the process started. Either wall
//! clock may be stepped, so start times are checked against bounds that depend on neither.

use std::collections::BTreeMap;

use nettleferry::Micros;

/// Maximum delay, microseconds, between a worker's start and the first list that states it. The directory
/// states it within 4.5 s.
const MAX_REPORT_AGE: Micros = 5_000_000;

/// A start time as the directory reports it, and the time used for it on this process's clock.
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
    /// Returns a worker's start time on this process's clock. `previous_list`: when the previous list was
    /// received; `None` for the first list, which sets no lower bound. A start that is reported for the first
    /// time can't be earlier than the previous list by more than `MAX_REPORT_AGE`, nor later than `now`. One
    /// outside these bounds is replaced by `now`.
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
        // A reported time out of bounds shows that a clock is wrong: assume that the worker has just started.
        let started = if (earliest..=now).contains(&reported) { reported } else { now };
        self.known.insert(worker.to_owned(), Start { reported_ms, started });
        started
    }

    /// Removes all workers for which `listed` returns false.
    pub fn retain(&mut self, listed: impl Fn(&str) -> bool) {
        self.known.retain(|worker, _| listed(worker));
    }
}
