//! The figures of a controller, as Prometheus counts them: every series is there at zero from the start, and
//! there are never more than told.
//!
//! May know: names of classes, tenants and model groups as labels. Must not know: sockets, clocks, calls in
//! hand. What is counted is handed in; the registry is read by whoever serves or pushes it.
//!
//! * [`Figures`]: the registry and its handles, all made at the start and found by place: counting allocates
//!   nothing, and only a latency takes a lock, its histogram's.
//! * [`latency`]: a class's latencies, in classic and native buckets.
//! * [`sample`]: the registry as single samples.
//! * [`slots`]: which tenants and model groups have series of their own, and which share `other`.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod groups;
mod labels;
pub mod latency;
pub mod sample;
pub mod slots;
#[cfg(test)]
mod tests;

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use groups::{CallSeries, FleetSeries, PushSeries, WorkerSeries};
pub use labels::{
    BUCKETS, ENDS, End, HEALTH, LATENCY, NOTES, ORDERS, PUSHED, REASONS, RECOVERY, RETURN, STAGES,
};
pub use latency::{Latency, Native};
pub use slots::Slots;

/// Handles of all series, and the registry that holds them.
pub struct Figures {
    registry: Registry,
    slots: Slots,
    calls: CallSeries,
    workers: WorkerSeries,
    fleet: FleetSeries,
    push: PushSeries,
}

/// 1 for this one, 0 for all others.
fn one_of(gauges: &[Gauge], at: usize) {
    for (place, gauge) in gauges.iter().enumerate() {
        gauge.set(i64::from(place == at));
    }
}

impl Figures {
    /// All series at zero. `limits`: names of the bounds whose hits are counted.
    pub fn new(slots: Slots, limits: &[&str]) -> Self {
        let mut registry = Registry::with_prefix("nettleferry");
        let calls = CallSeries::register(&mut registry, &slots);
        let workers = WorkerSeries::register(&mut registry, limits);
        let fleet = FleetSeries::register(&mut registry);
        let push = PushSeries::register(&mut registry);
        Self { registry, slots, calls, workers, fleet, push }
    }

    /// The step of the return, by its place in [`RETURN`], and refusals by reason in the order of [`RECOVERY`].
    pub fn recovery(&self, step: usize, refusals: [u64; 4]) {
        one_of(&self.fleet.steps, step);
        for (counter, total) in self.fleet.at_return.iter().zip(refusals) {
            raise(counter, total);
        }
    }

    /// The stage of the lease, by its place in [`STAGES`]; leases that ran out, and doubtful acts.
    pub fn lease(&self, stage: usize, lapses: u64, doubtful: u64) {
        one_of(&self.fleet.stages, stage);
        raise(&self.fleet.lapses, lapses);
        raise(&self.fleet.doubtful, doubtful);
    }

    /// What the administration knows of the fleet.
    pub fn fleet(&self, behind: usize, fenced: usize, waits: bool) {
        self.fleet.lives_behind.set(i64::try_from(behind).unwrap_or(i64::MAX));
        self.fleet.lives_fenced.set(i64::try_from(fenced).unwrap_or(i64::MAX));
        self.fleet.book_waits.set(i64::from(waits));
    }

    /// A call has had its end. `tenant`: its place among the tenants, where it named one; `micros`: how long it
    /// took, for the latency of served calls.
    pub fn call(&self, class: usize, end: End, tenant: Option<usize>, group: usize, micros: u64) {
        if let Some(counter) =
            self.slots.place(class, end as usize, tenant, group).and_then(|at| self.calls.calls.get(at))
        {
            counter.inc();
        }
        if matches!(end, End::InTime | End::Late)
            && let Some(histogram) = self.calls.latency.get(class)
        {
            histogram.observe(micros);
        }
    }

    /// An attempt, by the place of its reason in [`REASONS`].
    pub fn attempt(&self, reason: usize) {
        bump(&self.workers.attempts, reason);
    }

    /// An answer told of copies, by its place in [`NOTES`].
    pub fn note(&self, note: usize) {
        bump(&self.workers.notes, note);
    }

    /// A load order was sent.
    pub fn order_sent(&self) {
        self.workers.orders_sent.inc();
    }

    /// A load order ended, by its place in [`ORDERS`].
    pub fn order(&self, end: usize) {
        bump(&self.workers.orders, end);
    }

    /// A probe ended.
    pub fn probe(&self, answered: bool) {
        self.workers.probes[usize::from(!answered)].inc();
    }

    /// Brings a counter of the engine's up to its figure.
    pub fn backstop(&self, total: u64) {
        raise(&self.workers.backstop, total);
    }

    /// Calls in hand.
    pub fn in_hand(&self, open: usize, held: usize) {
        self.workers.open.set(i64::try_from(open).unwrap_or(i64::MAX));
        self.workers.held.set(i64::try_from(held).unwrap_or(i64::MAX));
    }

    /// Workers by health, in the order of [`HEALTH`].
    pub fn workers(&self, counts: [usize; 4]) {
        for (gauge, count) in self.workers.health.iter().zip(counts) {
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }

    /// Brings the counter of a limit up to its figure.
    pub fn limit(&self, limit: usize, total: u64) {
        if let Some(counter) = self.workers.limits.get(limit) {
            raise(counter, total);
        }
    }

    /// Brings the push's figures up to date: totals in the order of [`PUSHED`].
    pub fn push(&self, totals: [u64; 6], retries: u64, waiting: usize, oldest_s: u64) {
        for (counter, total) in self.push.samples.iter().zip(totals) {
            raise(counter, total);
        }
        raise(&self.push.retries, retries);
        self.push.waiting.set(i64::try_from(waiting).unwrap_or(i64::MAX));
        self.push.oldest.set(i64::try_from(oldest_s).unwrap_or(i64::MAX));
    }

    /// Brings the figures of the push's dealings with its receiver up to date; `ahead_s`: how far the wall clock is
    /// ahead of the time of samples, seconds.
    pub fn receiver(&self, changes: u64, splits: u64, short: u64, ahead_s: f64) {
        raise(&self.push.changes, changes);
        raise(&self.push.splits, splits);
        raise(&self.push.short, short);
        self.push.ahead.set(ahead_s);
    }

    /// The latency of each class as a native histogram.
    pub fn natives(&self) -> impl Iterator<Item = (&str, Native)> {
        self.slots.classes().iter().map(String::as_str).zip(self.calls.latency.iter().map(Latency::native))
    }

    /// Brings the spool's figures up to date.
    pub fn spool(&self, bytes: u64, limit: u64, failed: u64) {
        self.push.spool_bytes.set(i64::try_from(bytes).unwrap_or(i64::MAX));
        self.push.spool_limit.set(i64::try_from(limit).unwrap_or(i64::MAX));
        raise(&self.push.spool_failed, failed);
    }

    /// All series in the OpenMetrics text format.
    pub fn text(&self) -> Result<String, std::fmt::Error> {
        let mut out = String::new();
        text::encode(&mut out, &self.registry)?;
        Ok(out)
    }
}

fn bump(counters: &[Counter], at: usize) {
    if let Some(counter) = counters.get(at) {
        counter.inc();
    }
}

fn raise(counter: &Counter, total: u64) {
    let now = counter.get();
    if total > now {
        counter.inc_by(total - now);
    }
}
