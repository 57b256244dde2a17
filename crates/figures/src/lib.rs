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

pub mod latency;
pub mod sample;
pub mod slots;

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};

pub use latency::{Latency, Native};
pub use slots::Slots;

/// Ends of calls, with their label values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served within the class's aim.
    InTime,
    /// Served after it.
    Late,
    /// Refused: another try is harmless.
    Refused,
    /// Failed: nothing promised.
    Failed,
    /// The worker found the call itself wrong.
    Rejected,
    /// The client left first.
    Cancelled,
}

/// All ends, in the order of their places.
pub const ENDS: [(End, &str); 6] = [
    (End::InTime, "served_in_time"),
    (End::Late, "served_late"),
    (End::Refused, "refused"),
    (End::Failed, "failed"),
    (End::Rejected, "rejected"),
    (End::Cancelled, "cancelled"),
];

/// Why an attempt was made: it was the first, or how the one before it ended.
pub const REASONS: [&str; 9] =
    ["first", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot", "miss"];

/// What an answer told of loaded copies.
pub const NOTES: [&str; 4] = ["warm", "began", "waited", "failed"];

/// How load orders ended.
pub const ORDERS: [&str; 4] = ["stand", "full", "failed", "timeout"];

/// Health of workers as the module sees it.
pub const HEALTH: [&str; 4] = ["serving", "draining", "barred", "down"];

/// Steps of a controller's return from a restart: none is judged, and those of the gate.
pub const RETURN: [&str; 4] = ["none", "no-list", "part", "whole"];

/// Why a call was refused by a controller that has come back, or does not know whether its book still holds.
pub const RECOVERY: [&str; 4] = ["no-list", "crowded", "unproven", "without-lease"];

/// Stages of a controller's lease.
pub const STAGES: [&str; 5] = ["current", "goes-on", "refuses", "leaves", "fenced"];

/// What became of samples that are pushed.
pub const PUSHED: [&str; 6] =
    ["taken", "refused", "dropped_full", "dropped_old", "dropped_order", "dropped_series"];

macro_rules! labels {
    ($($(#[$doc:meta])* $name:ident { $($field:ident),* })*) => {
        $($(#[$doc])*
        #[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
        struct $name { $($field: String),* })*
    };
}

labels! {
    CallLabels { class, end, tenant, model_group }
    ClassLabels { class }
    ReasonLabels { reason }
    NoteLabels { note }
    EndLabels { end }
    HealthLabels { health }
    StepLabels { step }
    StageLabels { stage }
    LimitLabels { limit }
}

/// Upper bounds of the classic latency buckets, seconds.
pub const BUCKETS: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0, 10.0, 30.0];

/// The latency's name, as it stands in the registry.
pub const LATENCY: &str = "nettleferry_call_duration_seconds";

/// Handles of all series, and the registry that holds them.
pub struct Figures {
    registry: Registry,
    slots: Slots,
    calls: Vec<Counter>,
    latency: Vec<Latency>,
    attempts: Vec<Counter>,
    notes: Vec<Counter>,
    orders_sent: Counter,
    orders: Vec<Counter>,
    probes: [Counter; 2],
    backstop: Counter,
    open: Gauge,
    held: Gauge,
    health: Vec<Gauge>,
    limits: Vec<Counter>,
    steps: Vec<Gauge>,
    at_return: Vec<Counter>,
    stages: Vec<Gauge>,
    lapses: Counter,
    doubtful: Counter,
    lives_behind: Gauge,
    lives_fenced: Gauge,
    book_waits: Gauge,
    pushed: Vec<Counter>,
    push_retries: Counter,
    push_kept: Gauge,
    push_oldest: Gauge,
    push_changes: Counter,
    push_splits: Counter,
    push_short: Counter,
    push_ahead: Gauge<f64, AtomicU64>,
    spool_bytes: Gauge,
    spool_limit: Gauge,
    spool_failed: Counter,
}

/// 1 for this one, 0 for all others.
fn one_of(gauges: &[Gauge], at: usize) {
    for (place, gauge) in gauges.iter().enumerate() {
        gauge.set(i64::from(place == at));
    }
}

fn made<L: Clone + std::hash::Hash + Eq>(
    family: &Family<L, Counter>,
    labels: impl Iterator<Item = L>,
) -> Vec<Counter> {
    labels.map(|l| family.get_or_create_owned(&l)).collect()
}

impl Figures {
    /// All series at zero. `limits`: names of the bounds whose hits are counted.
    pub fn new(slots: Slots, limits: &[&str]) -> Self {
        let mut registry = Registry::with_prefix("nettleferry");
        let calls = Family::<CallLabels, Counter>::default();
        let mut call_handles = Vec::with_capacity(slots.series());
        for class in slots.classes() {
            for (_, end) in ENDS {
                for tenant in slots.tenants() {
                    for group in slots.groups() {
                        call_handles.push(calls.get_or_create_owned(&CallLabels {
                            class: class.clone(),
                            end: end.to_owned(),
                            tenant: tenant.clone(),
                            model_group: group.clone(),
                        }));
                    }
                }
            }
        }
        registry.register("calls", "Calls with their one final answer", calls);
        let latency = Family::<ClassLabels, Latency>::default();
        let latency_handles = slots
            .classes()
            .iter()
            .map(|class| latency.get_or_create_owned(&ClassLabels { class: class.clone() }));
        let latency_handles = latency_handles.collect();
        let help = "From a call's coming to its answer, served calls alone";
        registry.register_with_unit("call_duration", help, Unit::Seconds, latency);

        let attempts = Family::<ReasonLabels, Counter>::default();
        let attempt_handles =
            made(&attempts, REASONS.iter().map(|r| ReasonLabels { reason: (*r).to_owned() }));
        registry.register("attempts", "Attempts, and how the one before ended", attempts);
        let notes = Family::<NoteLabels, Counter>::default();
        let note_handles = made(&notes, NOTES.iter().map(|n| NoteLabels { note: (*n).to_owned() }));
        registry.register("answers_by_copy", "Answers by what they told of loaded copies", notes);
        let orders_sent = Counter::default();
        registry.register("load_orders_sent", "Load orders sent to workers", orders_sent.clone());
        let orders = Family::<EndLabels, Counter>::default();
        let order_handles = made(&orders, ORDERS.iter().map(|e| EndLabels { end: (*e).to_owned() }));
        registry.register("load_orders", "Load orders by their end", orders);
        let probes = Family::<EndLabels, Counter>::default();
        let probe = |end: &str| probes.get_or_create_owned(&EndLabels { end: end.to_owned() });
        let probe_handles = [probe("answered"), probe("failed")];
        registry.register("probes", "Probes by their end", probes.clone());
        let backstop = Counter::default();
        registry.register(
            "backstop_ends",
            "Calls that the engine had to end in the module's place",
            backstop.clone(),
        );
        let (open, held) = (Gauge::default(), Gauge::default());
        registry.register("open_calls", "Calls without a final answer", open.clone());
        registry.register("held_calls", "Open calls that no worker has", held.clone());
        let health = Family::<HealthLabels, Gauge>::default();
        let health_handles = HEALTH
            .iter()
            .map(|h| health.get_or_create_owned(&HealthLabels { health: (*h).to_owned() }))
            .collect();
        registry.register("workers", "Listed workers by health, as the module sees it", health);
        let hits = Family::<LimitLabels, Counter>::default();
        let hit_handles = made(&hits, limits.iter().map(|l| LimitLabels { limit: (*l).to_owned() }));
        registry.register("limit_hits", "How often a named limit was hit", hits);

        let steps = Family::<StepLabels, Gauge>::default();
        let step_handles: Vec<Gauge> =
            RETURN.iter().map(|s| steps.get_or_create_owned(&StepLabels { step: (*s).to_owned() })).collect();
        registry.register("return_step", "Step of the return from a restart: 1 for the one it is in", steps);
        let at_return = Family::<ReasonLabels, Counter>::default();
        let return_handles =
            made(&at_return, RECOVERY.iter().map(|r| ReasonLabels { reason: (*r).to_owned() }));
        let help = "Calls refused at once after a restart, or for want of a lease";
        registry.register("recovery_refusals", help, at_return);
        let stages = Family::<StageLabels, Gauge>::default();
        let stage_handles: Vec<Gauge> = STAGES
            .iter()
            .map(|s| stages.get_or_create_owned(&StageLabels { stage: (*s).to_owned() }))
            .collect();
        let help = "Stage of the lease of a controller that follows: 1 for the one it is in";
        registry.register("lease_stage", help, stages);
        let (lapses, doubtful) = (Counter::default(), Counter::default());
        registry.register("lease_lapses", "Leases that ran out before the next one came", lapses.clone());
        let help = "Times that calls were taken while the lease ran out, as the process stood still";
        registry.register("lease_doubtful_acts", help, doubtful.clone());
        let (lives_behind, lives_fenced, book_waits) = (Gauge::default(), Gauge::default(), Gauge::default());
        let help = "Lives that hold a lease and act on an older revision, as the administration knows";
        registry.register("lives_behind", help, lives_behind.clone());
        registry.register(
            "lives_fenced",
            "Lives that are shut out and were heard lately",
            lives_fenced.clone(),
        );
        let help = "1 while it is open which book of tenants stands, at the administration";
        registry.register("book_waits", help, book_waits.clone());

        let pushed = Family::<EndLabels, Counter>::default();
        let pushed_handles = made(&pushed, PUSHED.iter().map(|e| EndLabels { end: (*e).to_owned() }));
        registry.register("push_samples", "Samples to be pushed, by what became of them", pushed);
        let (push_retries, spool_failed) = (Counter::default(), Counter::default());
        let (push_changes, push_splits, push_short) =
            (Counter::default(), Counter::default(), Counter::default());
        let push_ahead = Gauge::<f64, AtomicU64>::default();
        let help = "Changes between the versions of remote write";
        registry.register("push_version_changes", help, push_changes.clone());
        let help = "Refused batches that were halved to find what is bad in them";
        registry.register("push_splits", help, push_splits.clone());
        let help = "Batches of which the receiver told that it wrote less than it took";
        registry.register("push_short_writes", help, push_short.clone());
        let help = "How far the wall clock is ahead of the time of samples";
        registry.register_with_unit("push_clock_offset", help, Unit::Seconds, push_ahead.clone());
        registry.register("push_retries", "Batches pushed again", push_retries.clone());
        registry.register("spool_failures", "Operations that the spool's disk refused", spool_failed.clone());
        let gauges: [Gauge; 4] = Default::default();
        let [push_kept, push_oldest, spool_bytes, spool_limit] = gauges;
        registry.register("push_waiting_samples", "Samples that wait to be pushed", push_kept.clone());
        let help = "Age of the oldest sample that waits";
        registry.register_with_unit("push_oldest_age", help, Unit::Seconds, push_oldest.clone());
        registry.register_with_unit("spool", "Size of the spool on disk", Unit::Bytes, spool_bytes.clone());
        registry.register_with_unit(
            "spool_limit",
            "Bound of the spool on disk",
            Unit::Bytes,
            spool_limit.clone(),
        );

        Self {
            registry,
            slots,
            pushed: pushed_handles,
            push_retries,
            push_kept,
            push_oldest,
            push_changes,
            push_splits,
            push_short,
            push_ahead,
            spool_bytes,
            spool_limit,
            spool_failed,
            calls: call_handles,
            latency: latency_handles,
            attempts: attempt_handles,
            notes: note_handles,
            orders_sent,
            orders: order_handles,
            probes: probe_handles,
            backstop,
            open,
            held,
            health: health_handles,
            limits: hit_handles,
            steps: step_handles,
            at_return: return_handles,
            stages: stage_handles,
            lapses,
            doubtful,
            lives_behind,
            lives_fenced,
            book_waits,
        }
    }

    /// The step of the return, by its place in [`RETURN`], and refusals by reason in the order of [`RECOVERY`].
    pub fn recovery(&self, step: usize, refusals: [u64; 4]) {
        one_of(&self.steps, step);
        for (counter, total) in self.at_return.iter().zip(refusals) {
            raise(counter, total);
        }
    }

    /// The stage of the lease, by its place in [`STAGES`]; leases that ran out, and doubtful acts.
    pub fn lease(&self, stage: usize, lapses: u64, doubtful: u64) {
        one_of(&self.stages, stage);
        raise(&self.lapses, lapses);
        raise(&self.doubtful, doubtful);
    }

    /// What the administration knows of the fleet.
    pub fn fleet(&self, behind: usize, fenced: usize, waits: bool) {
        self.lives_behind.set(i64::try_from(behind).unwrap_or(i64::MAX));
        self.lives_fenced.set(i64::try_from(fenced).unwrap_or(i64::MAX));
        self.book_waits.set(i64::from(waits));
    }

    /// A call has had its end. `tenant`: its place among the tenants, where it named one; `micros`: how long it
    /// took, for the latency of served calls.
    pub fn call(&self, class: usize, end: End, tenant: Option<usize>, group: usize, micros: u64) {
        if let Some(counter) =
            self.slots.place(class, end as usize, tenant, group).and_then(|at| self.calls.get(at))
        {
            counter.inc();
        }
        if matches!(end, End::InTime | End::Late)
            && let Some(histogram) = self.latency.get(class)
        {
            histogram.observe(micros);
        }
    }

    /// An attempt, by the place of its reason in [`REASONS`].
    pub fn attempt(&self, reason: usize) {
        bump(&self.attempts, reason);
    }

    /// An answer told of copies, by its place in [`NOTES`].
    pub fn note(&self, note: usize) {
        bump(&self.notes, note);
    }

    /// A load order was sent.
    pub fn order_sent(&self) {
        self.orders_sent.inc();
    }

    /// A load order ended, by its place in [`ORDERS`].
    pub fn order(&self, end: usize) {
        bump(&self.orders, end);
    }

    /// A probe ended.
    pub fn probe(&self, answered: bool) {
        self.probes[usize::from(!answered)].inc();
    }

    /// Brings a counter of the engine's up to its figure.
    pub fn backstop(&self, total: u64) {
        raise(&self.backstop, total);
    }

    /// Calls in hand.
    pub fn in_hand(&self, open: usize, held: usize) {
        self.open.set(i64::try_from(open).unwrap_or(i64::MAX));
        self.held.set(i64::try_from(held).unwrap_or(i64::MAX));
    }

    /// Workers by health, in the order of [`HEALTH`].
    pub fn workers(&self, counts: [usize; 4]) {
        for (gauge, count) in self.health.iter().zip(counts) {
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }

    /// Brings the counter of a limit up to its figure.
    pub fn limit(&self, limit: usize, total: u64) {
        if let Some(counter) = self.limits.get(limit) {
            raise(counter, total);
        }
    }

    /// Brings the push's figures up to date: totals in the order of [`PUSHED`].
    pub fn push(&self, totals: [u64; 6], retries: u64, waiting: usize, oldest_s: u64) {
        for (counter, total) in self.pushed.iter().zip(totals) {
            raise(counter, total);
        }
        raise(&self.push_retries, retries);
        self.push_kept.set(i64::try_from(waiting).unwrap_or(i64::MAX));
        self.push_oldest.set(i64::try_from(oldest_s).unwrap_or(i64::MAX));
    }

    /// Brings the figures of the push's dealings with its receiver up to date; `ahead_s`: how far the wall clock is
    /// ahead of the time of samples, seconds.
    pub fn receiver(&self, changes: u64, splits: u64, short: u64, ahead_s: f64) {
        raise(&self.push_changes, changes);
        raise(&self.push_splits, splits);
        raise(&self.push_short, short);
        self.push_ahead.set(ahead_s);
    }

    /// The latency of each class as a native histogram.
    pub fn natives(&self) -> impl Iterator<Item = (&str, Native)> {
        self.slots.classes().iter().map(String::as_str).zip(self.latency.iter().map(Latency::native))
    }

    /// Brings the spool's figures up to date.
    pub fn spool(&self, bytes: u64, limit: u64, failed: u64) {
        self.spool_bytes.set(i64::try_from(bytes).unwrap_or(i64::MAX));
        self.spool_limit.set(i64::try_from(limit).unwrap_or(i64::MAX));
        raise(&self.spool_failed, failed);
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

#[cfg(test)]
mod tests {
    use super::*;

    fn names(prefix: &str, count: usize) -> Vec<String> {
        (0..count).map(|n| format!("{prefix}{n}")).collect()
    }

    #[test]
    fn everything_is_at_zero_from_the_start() {
        let slots = Slots::new(names("c", 2), &names("t", 1), &names("m", 1), 1000);
        let text = Figures::new(slots, &["open_calls"]).text().expect("text");
        let series = |name: &str| text.lines().filter(|l| l.starts_with(name)).count();
        // Two classes, six ends, t0 / other / none, m0 / other.
        assert_eq!(series("nettleferry_calls_total"), 2 * 6 * 3 * 2);
        assert_eq!(series("nettleferry_attempts_total"), REASONS.len());
        assert_eq!(series("nettleferry_call_duration_seconds_count"), 2);
        assert!(text.contains("nettleferry_limit_hits_total{limit=\"open_calls\"} 0"));
        assert!(text.ends_with("# EOF\n"));
        let zero = |l: &str| l.starts_with('#') || l.ends_with(" 0") || l.ends_with(" 0.0");
        assert!(text.lines().all(zero), "{text}");
    }

    #[test]
    fn what_is_counted_is_found_in_its_series_alone() {
        let slots = Slots::new(names("c", 2), &names("t", 2), &names("m", 2), 1000);
        let figures = Figures::new(slots, &[]);
        figures.call(1, End::Late, Some(1), 0, 300_000);
        figures.call(0, End::Refused, None, 9, 0);
        figures.attempt(2);
        let text = figures.text().expect("text");
        let counted: Vec<&str> =
            text.lines().filter(|l| l.starts_with("nettleferry_calls_total") && !l.ends_with(" 0")).collect();
        assert_eq!(counted.len(), 2, "{counted:?}");
        assert!(text.contains(
            "nettleferry_calls_total{class=\"c1\",end=\"served_late\",tenant=\"t1\",model_group=\"m0\"} 1"
        ));
        assert!(text.contains(
            "nettleferry_calls_total{class=\"c0\",end=\"refused\",tenant=\"none\",model_group=\"other\"} 1"
        ));
        assert!(text.contains("nettleferry_attempts_total{reason=\"full\"} 1"));
        assert!(
            text.contains("nettleferry_call_duration_seconds_bucket{le=\"0.5\",class=\"c1\"} 1"),
            "{text}"
        );
    }

    #[test]
    fn ten_thousand_tenants_and_models_stay_in_their_bound() {
        let slots = Slots::new(names("c", 3), &names("t", 10_000), &names("m", 10_000), 2_000);
        assert!(slots.series() <= 2_000);
        let figures = Figures::new(slots, &[]);
        for n in 0..10_000 {
            figures.call(n % 3, End::InTime, Some(n), n, 10_000);
        }
        let text = figures.text().expect("text");
        let series: Vec<&str> = text.lines().filter(|l| l.starts_with("nettleferry_calls_total")).collect();
        assert!(series.len() <= 2_000, "{}", series.len());
        let sum: u64 = series.iter().filter_map(|l| l.rsplit(' ').next()?.parse::<u64>().ok()).sum();
        assert_eq!(sum, 10_000, "the rest is counted under other");
    }
}
