//! Groups of related series. Each group registers its series at zero and keeps handles for updating them.

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

/// Trait bounds that the registry requires of a label set.
trait Labels: Clone + Hash + Eq + EncodeLabelSet + std::fmt::Debug + Send + Sync + 'static {}

impl<L: Clone + Hash + Eq + EncodeLabelSet + std::fmt::Debug + Send + Sync + 'static> Labels for L {}

/// Returns the label value of each of the given variants, in their order.
fn label_values<T: Copy + 'static>(
    values: &'static [T],
    label: fn(T) -> &'static str,
) -> impl Iterator<Item = &'static str> {
    values.iter().copied().map(label)
}

/// Registers a counter without labels.
fn counter(registry: &mut Registry, name: &str, help: &str) -> Counter {
    let counter = Counter::default();
    registry.register(name, help, counter.clone());
    counter
}

/// Registers a gauge without labels.
fn gauge(registry: &mut Registry, name: &str, help: &str) -> Gauge {
    let gauge = Gauge::default();
    registry.register(name, help, gauge.clone());
    gauge
}

/// Registers a gauge without labels, with a unit that the registry appends to the name.
fn gauge_with_unit(registry: &mut Registry, name: &str, help: &str, unit: Unit) -> Gauge {
    let gauge = Gauge::default();
    registry.register_with_unit(name, help, unit, gauge.clone());
    gauge
}

/// Registers a counter for each label value. Returns the counters in the order of the values.
fn counter_family<L: Labels>(
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

/// Registers a gauge for each label value. Returns the gauges in the order of the values.
fn gauge_family<L: Labels>(
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

/// Counters of ended calls and their latency histograms.
pub(crate) struct CallSeries {
    /// Counters of ended calls, indexed by [`SeriesLayout::index`].
    pub(crate) calls: Vec<Counter>,
    /// Histogram of each class, indexed by class number.
    pub(crate) latency: Vec<LatencyHistogram>,
}

impl CallSeries {
    /// Registers a counter for each combination of label values in `layout`, and a histogram for each of its classes.
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

/// Series for attempts, load orders, probes and workers, and for the limits of the controller.
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
    /// Registers the group, with a counter of hits for each name in `limits`.
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
        // The series appear in the metrics text in the order of these fields.
        Self {
            attempts: counter_family(
                registry,
                "attempts",
                attempts_help,
                label_values(AttemptCause::ALL, AttemptCause::label),
                reason,
            ),
            replica_notes: counter_family(
                registry,
                "answers_by_copy",
                notes_help,
                label_values(ReplicaNote::ALL, ReplicaNote::label),
                note,
            ),
            load_orders_sent: counter(registry, "load_orders_sent", "Load orders sent to workers"),
            load_orders: counter_family(
                registry,
                "load_orders",
                "Load orders by their end",
                label_values(LoadOrderEnd::ALL, LoadOrderEnd::label),
                end,
            ),
            probes: counter_family(
                registry,
                "probes",
                "Probes by their end",
                label_values(ProbeEnd::ALL, ProbeEnd::label),
                end,
            ),
            backstop_ends: counter(registry, "backstop_ends", backstop_help),
            open_calls: gauge(registry, "open_calls", "Calls without a final answer"),
            held_calls: gauge(registry, "held_calls", "Open calls that no worker has"),
            health: gauge_family(
                registry,
                "workers",
                health_help,
                label_values(WorkerHealth::ALL, WorkerHealth::label),
                health,
            ),
            limit_hits: counter_family(
                registry,
                "limit_hits",
                "How often a named limit was hit",
                limits.iter().copied(),
                limit,
            ),
        }
    }
}

/// Series for the return to service after a restart, the lease, and the fleet as the leader knows it.
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
    /// Registers the group, with a gauge for each step and lease stage and a counter for each reason of a rejection.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let step_help = "Step of the return from a restart: 1 for the one it is in";
        let rejections_help = "Calls refused at once after a restart, or for want of a lease";
        let stage_help = "Stage of the lease of a controller that follows: 1 for the one it is in";
        let doubtful_help = "Times that calls were taken while the lease ran out, as the process stood still";
        let stale_help = "Lives that hold a lease and act on an older revision, as the administration knows";
        let pending_help = "1 while it is open which book of tenants stands, at the administration";
        let (step, reason) = (|step| StepLabels { step }, |reason| ReasonLabels { reason });
        let stage = |stage| StageLabels { stage };
        // The series appear in the metrics text in the order of these fields.
        Self {
            recovery_steps: gauge_family(
                registry,
                "return_step",
                step_help,
                label_values(RecoveryStep::ALL, RecoveryStep::label),
                step,
            ),
            recovery_rejections: counter_family(
                registry,
                "recovery_refusals",
                rejections_help,
                label_values(RecoveryRejection::ALL, RecoveryRejection::label),
                reason,
            ),
            lease_stages: gauge_family(
                registry,
                "lease_stage",
                stage_help,
                label_values(LeaseStage::ALL, LeaseStage::label),
                stage,
            ),
            lease_expiries: counter(registry, "lease_lapses", "Leases that ran out before the next one came"),
            doubtful_actions: counter(registry, "lease_doubtful_acts", doubtful_help),
            stale_incarnations: gauge(registry, "lives_behind", stale_help),
            fenced_incarnations: gauge(
                registry,
                "lives_fenced",
                "Lives that are shut out and were heard lately",
            ),
            recovery_pending: gauge(registry, "book_waits", pending_help),
        }
    }
}

/// Series for remote write and its write-ahead log.
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
    /// Registers the group, with a counter of samples for each way in which a sample leaves the queue.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let samples_help = "Samples to be pushed, by what became of them";
        let changes_help = "Changes between the versions of remote write";
        let splits_help = "Refused batches that were halved to find what is bad in them";
        let short_help = "Batches of which the receiver told that it wrote less than it took";
        let failed_help = "Operations that the spool's disk refused";
        let waiting_help = "Samples that wait to be pushed";
        let oldest_help = "Age of the oldest sample that waits";
        let end = |end| EndLabels { end };
        // The series appear in the metrics text in the order of these fields.
        Self {
            samples: counter_family(
                registry,
                "push_samples",
                samples_help,
                label_values(SampleEnd::ALL, SampleEnd::label),
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

/// Registers the gauge for the offset between the wall clock and the sample clock.
fn clock_offset(registry: &mut Registry) -> Gauge<f64, AtomicU64> {
    let offset = Gauge::<f64, AtomicU64>::default();
    let help = "How far the wall clock is ahead of the time of samples";
    registry.register_with_unit("push_clock_offset", help, Unit::Seconds, offset.clone());
    offset
}
