//! Handles of the series by purpose. Each group registers its series, all at zero.

use std::hash::Hash;
use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};

use crate::labels::{
    AttemptCause, CallEnd, CallLabels, ClassLabels, EndLabels, HealthLabels, LeaseStage, LimitLabels,
    LoadOrderEnd, NoteLabels, ProbeEnd, ReasonLabels, RecoveryRejection, RecoveryStep, ReplicaNote,
    SampleEnd, StageLabels, StepLabels, WorkerHealth,
};
use crate::latency::LatencyHistogram;
use crate::layout::SeriesLayout;

/// A set of labels that the registry accepts.
trait Labels: Clone + Hash + Eq + EncodeLabelSet + std::fmt::Debug + Send + Sync + 'static {}

impl<L: Clone + Hash + Eq + EncodeLabelSet + std::fmt::Debug + Send + Sync + 'static> Labels for L {}

/// The label values of an enum.
fn labels<T: Copy + 'static>(
    values: &'static [T],
    label: fn(T) -> &'static str,
) -> impl Iterator<Item = &'static str> {
    values.iter().copied().map(label)
}

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
    values: impl IntoIterator<Item = &'static str>,
    label_set: impl Fn(String) -> L,
) -> Vec<Counter> {
    let family = Family::<L, Counter>::default();
    let handles =
        values.into_iter().map(|value| family.get_or_create_owned(&label_set(value.to_owned()))).collect();
    registry.register(name, help, family);
    handles
}

/// Registers a gauge for each label value, in this order.
fn gauges<L: Labels>(
    registry: &mut Registry,
    name: &str,
    help: &str,
    values: impl IntoIterator<Item = &'static str>,
    label_set: impl Fn(String) -> L,
) -> Vec<Gauge> {
    let family = Family::<L, Gauge>::default();
    let handles =
        values.into_iter().map(|value| family.get_or_create_owned(&label_set(value.to_owned()))).collect();
    registry.register(name, help, family);
    handles
}

/// Calls by their final answer, and their latency.
pub(crate) struct CallSeries {
    /// By the indices of [`SeriesLayout`].
    pub(crate) calls: Vec<Counter>,
    /// By class.
    pub(crate) latency: Vec<LatencyHistogram>,
}

impl CallSeries {
    /// Registers them.
    pub(crate) fn register(registry: &mut Registry, layout: &SeriesLayout) -> Self {
        let calls = Family::<CallLabels, Counter>::default();
        let mut call_handles = Vec::with_capacity(layout.series_count());
        for class in layout.classes() {
            for end in CallEnd::ALL {
                for tenant in layout.tenants() {
                    for group in layout.groups() {
                        call_handles.push(calls.get_or_create_owned(&CallLabels {
                            class: class.clone(),
                            end: end.label().to_owned(),
                            tenant: tenant.clone(),
                            model_group: group.clone(),
                        }));
                    }
                }
            }
        }
        registry.register("calls", "Calls with their one final answer", calls);
        let latency = Family::<ClassLabels, LatencyHistogram>::default();
        let class_latency =
            |class: &String| latency.get_or_create_owned(&ClassLabels { class: class.clone() });
        let latency_handles = layout.classes().iter().map(class_latency).collect();
        let help = "From a call's coming to its answer, served calls alone";
        registry.register_with_unit("call_duration", help, Unit::Seconds, latency);
        Self { calls: call_handles, latency: latency_handles }
    }
}

/// Attempts, load orders and probes at workers, and limits of the controller.
pub(crate) struct WorkerSeries {
    pub(crate) attempts: Vec<Counter>,
    pub(crate) replica_notes: Vec<Counter>,
    pub(crate) load_orders_sent: Counter,
    pub(crate) load_orders: Vec<Counter>,
    pub(crate) probes: Vec<Counter>,
    pub(crate) backstop_ends: Counter,
    pub(crate) open_calls: Gauge,
    pub(crate) held_calls: Gauge,
    pub(crate) health: Vec<Gauge>,
    pub(crate) limit_hits: Vec<Counter>,
}

impl WorkerSeries {
    /// Registers them. `limits`: names of the limits whose hits are counted.
    pub(crate) fn register(registry: &mut Registry, limits: &[&'static str]) -> Self {
        let reason = |reason| ReasonLabels { reason };
        let note = |note| NoteLabels { note };
        let end = |end| EndLabels { end };
        let health = |health| HealthLabels { health };
        let limit = |limit| LimitLabels { limit };
        let attempts_help = "Attempts, and how the one before ended";
        let notes_help = "Answers by what they told of loaded copies";
        let backstop_help = "Calls that the engine had to end in the module's place";
        let health_help = "Listed workers by health, as the module sees it";
        // The order of the fields is the order of the series in the text.
        Self {
            attempts: counters(
                registry,
                "attempts",
                attempts_help,
                labels(AttemptCause::ALL, AttemptCause::label),
                reason,
            ),
            replica_notes: counters(
                registry,
                "answers_by_copy",
                notes_help,
                labels(ReplicaNote::ALL, ReplicaNote::label),
                note,
            ),
            load_orders_sent: counter(registry, "load_orders_sent", "Load orders sent to workers"),
            load_orders: counters(
                registry,
                "load_orders",
                "Load orders by their end",
                labels(LoadOrderEnd::ALL, LoadOrderEnd::label),
                end,
            ),
            probes: counters(
                registry,
                "probes",
                "Probes by their end",
                labels(ProbeEnd::ALL, ProbeEnd::label),
                end,
            ),
            backstop_ends: counter(registry, "backstop_ends", backstop_help),
            open_calls: gauge(registry, "open_calls", "Calls without a final answer"),
            held_calls: gauge(registry, "held_calls", "Open calls that no worker has"),
            health: gauges(
                registry,
                "workers",
                health_help,
                labels(WorkerHealth::ALL, WorkerHealth::label),
                health,
            ),
            limit_hits: counters(
                registry,
                "limit_hits",
                "How often a named limit was hit",
                limits.iter().copied(),
                limit,
            ),
        }
    }
}

/// The return from a restart, the lease, and what the leader knows of the fleet.
pub(crate) struct FleetSeries {
    pub(crate) recovery_steps: Vec<Gauge>,
    pub(crate) recovery_rejections: Vec<Counter>,
    pub(crate) lease_stages: Vec<Gauge>,
    pub(crate) lease_expiries: Counter,
    pub(crate) doubtful_actions: Counter,
    pub(crate) stale_incarnations: Gauge,
    pub(crate) fenced_incarnations: Gauge,
    pub(crate) recovery_pending: Gauge,
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
        // The order of the fields is the order of the series in the text.
        Self {
            recovery_steps: gauges(
                registry,
                "return_step",
                step_help,
                labels(RecoveryStep::ALL, RecoveryStep::label),
                step,
            ),
            recovery_rejections: counters(
                registry,
                "recovery_refusals",
                refusals_help,
                labels(RecoveryRejection::ALL, RecoveryRejection::label),
                reason,
            ),
            lease_stages: gauges(
                registry,
                "lease_stage",
                stage_help,
                labels(LeaseStage::ALL, LeaseStage::label),
                stage,
            ),
            lease_expiries: counter(registry, "lease_lapses", "Leases that ran out before the next one came"),
            doubtful_actions: counter(registry, "lease_doubtful_acts", doubtful_help),
            stale_incarnations: gauge(registry, "lives_behind", behind_help),
            fenced_incarnations: gauge(
                registry,
                "lives_fenced",
                "Lives that are shut out and were heard lately",
            ),
            recovery_pending: gauge(registry, "book_waits", waits_help),
        }
    }
}

/// Remote write and its write-ahead log.
pub(crate) struct RemoteWriteSeries {
    pub(crate) samples: Vec<Counter>,
    pub(crate) version_changes: Counter,
    pub(crate) splits: Counter,
    pub(crate) short_writes: Counter,
    pub(crate) clock_offset: Gauge<f64, AtomicU64>,
    pub(crate) retries: Counter,
    pub(crate) wal_failures: Counter,
    pub(crate) waiting_samples: Gauge,
    pub(crate) oldest_age: Gauge,
    pub(crate) wal_bytes: Gauge,
    pub(crate) wal_limit: Gauge,
}

impl RemoteWriteSeries {
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
        // The order of the fields is the order of the series in the text.
        Self {
            samples: counters(
                registry,
                "push_samples",
                samples_help,
                labels(SampleEnd::ALL, SampleEnd::label),
                end,
            ),
            version_changes: counter(registry, "push_version_changes", changes_help),
            splits: counter(registry, "push_splits", splits_help),
            short_writes: counter(registry, "push_short_writes", short_help),
            clock_offset: clock_offset(registry),
            retries: counter(registry, "push_retries", "Batches pushed again"),
            wal_failures: counter(registry, "spool_failures", failed_help),
            waiting_samples: gauge(registry, "push_waiting_samples", waiting_help),
            oldest_age: gauge_with_unit(registry, "push_oldest_age", oldest_help, Unit::Seconds),
            wal_bytes: gauge_with_unit(registry, "spool", "Size of the spool on disk", Unit::Bytes),
            wal_limit: gauge_with_unit(registry, "spool_limit", "Bound of the spool on disk", Unit::Bytes),
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
