//! Handles of the series by purpose. Each group registers its series, all at zero.

use std::hash::Hash;
use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};

use crate::labels::{
    CallLabels, ClassLabels, ENDS, EndLabels, HEALTH, HealthLabels, LimitLabels, NOTES, NoteLabels, ORDERS,
    PUSHED, REASONS, RECOVERY, RETURN, ReasonLabels, STAGES, StageLabels, StepLabels,
};
use crate::{Latency, Slots};

/// Label sets that a registry takes.
trait Labels: Clone + Hash + Eq + EncodeLabelSet + std::fmt::Debug + Send + Sync + 'static {}

impl<L: Clone + Hash + Eq + EncodeLabelSet + std::fmt::Debug + Send + Sync + 'static> Labels for L {}

/// Registers one counter.
fn counter(registry: &mut Registry, name: &str, help: &str) -> Counter {
    let counter = Counter::default();
    registry.register(name, help, counter.clone());
    counter
}

/// Registers one gauge.
fn gauge(registry: &mut Registry, name: &str, help: &str) -> Gauge {
    let gauge = Gauge::default();
    registry.register(name, help, gauge.clone());
    gauge
}

/// Registers one gauge with a unit.
fn gauge_with_unit(registry: &mut Registry, name: &str, help: &str, unit: Unit) -> Gauge {
    let gauge = Gauge::default();
    registry.register_with_unit(name, help, unit, gauge.clone());
    gauge
}

/// Registers a counter for each label value, in this order.
fn counters<L: Labels>(
    registry: &mut Registry,
    name: &str,
    help: &str,
    values: &[&str],
    labels: impl Fn(String) -> L,
) -> Vec<Counter> {
    let family = Family::<L, Counter>::default();
    let handles =
        values.iter().map(|value| family.get_or_create_owned(&labels((*value).to_owned()))).collect();
    registry.register(name, help, family);
    handles
}

/// Registers a gauge for each label value, in this order.
fn gauges<L: Labels>(
    registry: &mut Registry,
    name: &str,
    help: &str,
    values: &[&str],
    labels: impl Fn(String) -> L,
) -> Vec<Gauge> {
    let family = Family::<L, Gauge>::default();
    let handles =
        values.iter().map(|value| family.get_or_create_owned(&labels((*value).to_owned()))).collect();
    registry.register(name, help, family);
    handles
}

/// Calls with their final answers.
pub(crate) struct CallSeries {
    /// By the places of [`Slots`].
    pub(crate) calls: Vec<Counter>,
    /// By class.
    pub(crate) latency: Vec<Latency>,
}

impl CallSeries {
    /// Registers them.
    pub(crate) fn register(registry: &mut Registry, slots: &Slots) -> Self {
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
        let class_latency =
            |class: &String| latency.get_or_create_owned(&ClassLabels { class: class.clone() });
        let latency_handles = slots.classes().iter().map(class_latency).collect();
        let help = "From a call's coming to its answer, served calls alone";
        registry.register_with_unit("call_duration", help, Unit::Seconds, latency);
        Self { calls: call_handles, latency: latency_handles }
    }
}

/// Dealings with workers, and bounds of the controller.
pub(crate) struct WorkerSeries {
    pub(crate) attempts: Vec<Counter>,
    pub(crate) notes: Vec<Counter>,
    pub(crate) orders_sent: Counter,
    pub(crate) orders: Vec<Counter>,
    /// Answered, failed.
    pub(crate) probes: Vec<Counter>,
    pub(crate) backstop: Counter,
    pub(crate) open: Gauge,
    pub(crate) held: Gauge,
    pub(crate) health: Vec<Gauge>,
    pub(crate) limits: Vec<Counter>,
}

impl WorkerSeries {
    /// Registers them; `limits`: names of the bounds whose hits are counted.
    pub(crate) fn register(registry: &mut Registry, limits: &[&str]) -> Self {
        let reason = |reason| ReasonLabels { reason };
        let note = |note| NoteLabels { note };
        let end = |end| EndLabels { end };
        let health = |health| HealthLabels { health };
        let limit = |limit| LimitLabels { limit };
        let attempts_help = "Attempts, and how the one before ended";
        let backstop_help = "Calls that the engine had to end in the module's place";
        let health_help = "Listed workers by health, as the module sees it";
        // Fields are registered in the order in which they stand here.
        Self {
            attempts: counters(registry, "attempts", attempts_help, &REASONS, reason),
            notes: counters(
                registry,
                "answers_by_copy",
                "Answers by what they told of loaded copies",
                &NOTES,
                note,
            ),
            orders_sent: counter(registry, "load_orders_sent", "Load orders sent to workers"),
            orders: counters(registry, "load_orders", "Load orders by their end", &ORDERS, end),
            probes: counters(registry, "probes", "Probes by their end", &["answered", "failed"], end),
            backstop: counter(registry, "backstop_ends", backstop_help),
            open: gauge(registry, "open_calls", "Calls without a final answer"),
            held: gauge(registry, "held_calls", "Open calls that no worker has"),
            health: gauges(registry, "workers", health_help, &HEALTH, health),
            limits: counters(registry, "limit_hits", "How often a named limit was hit", limits, limit),
        }
    }
}

/// The return from a restart, the lease, and what the administration knows of the fleet.
pub(crate) struct FleetSeries {
    pub(crate) steps: Vec<Gauge>,
    pub(crate) at_return: Vec<Counter>,
    pub(crate) stages: Vec<Gauge>,
    pub(crate) lapses: Counter,
    pub(crate) doubtful: Counter,
    pub(crate) lives_behind: Gauge,
    pub(crate) lives_fenced: Gauge,
    pub(crate) book_waits: Gauge,
}

impl FleetSeries {
    /// Registers them.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let step_help = "Step of the return from a restart: 1 for the one it is in";
        let refusals_help = "Calls refused at once after a restart, or for want of a lease";
        let stage_help = "Stage of the lease of a controller that follows: 1 for the one it is in";
        let doubtful_help = "Times that calls were taken while the lease ran out, as the process stood still";
        let behind_help = "Lives that hold a lease and act on an older revision, as the administration knows";
        let waits_help = "1 while it is open which book of tenants stands, at the administration";
        let (step, reason) = (|step| StepLabels { step }, |reason| ReasonLabels { reason });
        let stage = |stage| StageLabels { stage };
        // Fields are registered in the order in which they stand here.
        Self {
            steps: gauges(registry, "return_step", step_help, &RETURN, step),
            at_return: counters(registry, "recovery_refusals", refusals_help, &RECOVERY, reason),
            stages: gauges(registry, "lease_stage", stage_help, &STAGES, stage),
            lapses: counter(registry, "lease_lapses", "Leases that ran out before the next one came"),
            doubtful: counter(registry, "lease_doubtful_acts", doubtful_help),
            lives_behind: gauge(registry, "lives_behind", behind_help),
            lives_fenced: gauge(registry, "lives_fenced", "Lives that are shut out and were heard lately"),
            book_waits: gauge(registry, "book_waits", waits_help),
        }
    }
}

/// Remote write and its write-ahead log.
pub(crate) struct PushSeries {
    pub(crate) samples: Vec<Counter>,
    pub(crate) changes: Counter,
    pub(crate) splits: Counter,
    pub(crate) short: Counter,
    pub(crate) ahead: Gauge<f64, AtomicU64>,
    pub(crate) retries: Counter,
    pub(crate) spool_failed: Counter,
    pub(crate) waiting: Gauge,
    pub(crate) oldest: Gauge,
    pub(crate) spool_bytes: Gauge,
    pub(crate) spool_limit: Gauge,
}

impl PushSeries {
    /// Registers them.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let samples_help = "Samples to be pushed, by what became of them";
        let changes_help = "Changes between the versions of remote write";
        let splits_help = "Refused batches that were halved to find what is bad in them";
        let short_help = "Batches of which the receiver told that it wrote less than it took";
        let failed_help = "Operations that the spool's disk refused";
        let waiting_help = "Samples that wait to be pushed";
        let oldest_help = "Age of the oldest sample that waits";
        let end = |end| EndLabels { end };
        // Fields are registered in the order in which they stand here.
        Self {
            samples: counters(registry, "push_samples", samples_help, &PUSHED, end),
            changes: counter(registry, "push_version_changes", changes_help),
            splits: counter(registry, "push_splits", splits_help),
            short: counter(registry, "push_short_writes", short_help),
            ahead: clock_offset(registry),
            retries: counter(registry, "push_retries", "Batches pushed again"),
            spool_failed: counter(registry, "spool_failures", failed_help),
            waiting: gauge(registry, "push_waiting_samples", waiting_help),
            oldest: gauge_with_unit(registry, "push_oldest_age", oldest_help, Unit::Seconds),
            spool_bytes: gauge_with_unit(registry, "spool", "Size of the spool on disk", Unit::Bytes),
            spool_limit: gauge_with_unit(registry, "spool_limit", "Bound of the spool on disk", Unit::Bytes),
        }
    }
}

/// Registers how far the wall clock is ahead of the time of samples.
fn clock_offset(registry: &mut Registry) -> Gauge<f64, AtomicU64> {
    let offset = Gauge::<f64, AtomicU64>::default();
    let help = "How far the wall clock is ahead of the time of samples";
    registry.register_with_unit("push_clock_offset", help, Unit::Seconds, offset.clone());
    offset
}
