//! Registry of all series, with the methods that update them.

use std::fmt;

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::groups::{CallSeries, FleetSeries, RemoteWriteSeries, WorkerSeries};
use crate::labels::{AttemptCause, CallEnd, LoadOrderEnd, ProbeEnd, ReplicaNote, WorkerHealth};
use crate::latency::{LatencyHistogram, NativeHistogram};
use crate::layout::SeriesLayout;
use crate::updates::{CallRecord, FleetState, LeaseState, RecoveryState, RemoteWriteState, WalState};

/// All series of a controller: the registry that encodes them, and the handles through which they are updated.
pub struct Metrics {
    registry: Registry,
    layout: SeriesLayout,
    calls: CallSeries,
    workers: WorkerSeries,
    fleet: FleetSeries,
    remote_write: RemoteWriteSeries,
}

impl Metrics {
    /// Creates all series at zero. `limits` are the names of the limits whose hits are counted.
    pub fn new(layout: SeriesLayout, limits: &[&'static str]) -> Self {
        let mut registry = Registry::with_prefix("nettleferry");
        let calls = CallSeries::register(&mut registry, &layout);
        let workers = WorkerSeries::register(&mut registry, limits);
        let fleet = FleetSeries::register(&mut registry);
        let remote_write = RemoteWriteSeries::register(&mut registry);
        Self { registry, layout, calls, workers, fleet, remote_write }
    }

    /// Counts a call that has ended and, if it was served, records its latency.
    pub fn record_call(&self, call: &CallRecord) {
        let CallRecord { class, end, tenant, group, latency_micros } = *call;
        let index = self.layout.index(class, end, tenant, group);
        if let Some(counter) = index.and_then(|index| self.calls.calls.get(index)) {
            counter.inc();
        }
        if matches!(end, CallEnd::ServedInTime | CallEnd::ServedLate)
            && let Some(histogram) = self.calls.latency.get(class)
        {
            histogram.observe(latency_micros);
        }
    }

    /// Counts an attempt that was started.
    pub fn record_attempt(&self, cause: AttemptCause) {
        increment(&self.workers.attempts, cause as usize);
    }

    /// Counts a worker response by what it reports about the replica.
    pub fn record_replica_note(&self, note: ReplicaNote) {
        increment(&self.workers.replica_notes, note as usize);
    }

    /// Counts a load order that was sent.
    pub fn record_load_order_sent(&self) {
        self.workers.load_orders_sent.inc();
    }

    /// Counts a load order that has ended.
    pub fn record_load_order_end(&self, end: LoadOrderEnd) {
        increment(&self.workers.load_orders, end as usize);
    }

    /// Counts a probe that has ended.
    pub fn record_probe_end(&self, end: ProbeEnd) {
        increment(&self.workers.probes, end as usize);
    }

    /// Raises the backstop counter to `total`, the number of calls that the engine ended because the decision module
    /// had left them without an answer.
    pub fn set_backstop_ends(&self, total: u64) {
        raise(&self.workers.backstop_ends, total);
    }

    /// Sets the number of open calls and the number of those that are not assigned to a worker.
    pub fn set_calls(&self, open: usize, held: usize) {
        self.workers.open_calls.set(gauge_value(open));
        self.workers.held_calls.set(gauge_value(held));
    }

    /// Sets the number of workers by health, in the order of [`WorkerHealth::ALL`].
    pub fn set_workers(&self, counts: [usize; WorkerHealth::COUNT]) {
        for (gauge, count) in self.workers.health.iter().zip(counts) {
            gauge.set(gauge_value(count));
        }
    }

    /// Raises the number of hits of a limit to `total`. `limit` is its index in the names passed to [`Metrics::new`];
    /// an index out of range is ignored.
    pub fn set_limit_hits(&self, limit: usize, total: u64) {
        if let Some(counter) = self.workers.limit_hits.get(limit) {
            raise(counter, total);
        }
    }

    /// Sets the state of the return to service after a restart.
    pub fn set_recovery(&self, state: &RecoveryState) {
        select(&self.fleet.recovery_steps, state.step as usize);
        for (counter, total) in self.fleet.recovery_rejections.iter().zip(state.rejections) {
            raise(counter, total);
        }
    }

    /// Sets the state of the lease.
    pub fn set_lease(&self, state: &LeaseState) {
        select(&self.fleet.lease_stages, state.stage as usize);
        raise(&self.fleet.lease_expiries, state.expiries);
        raise(&self.fleet.doubtful_actions, state.doubtful_actions);
    }

    /// Sets the state of the fleet, as the leader knows it.
    pub fn set_fleet(&self, state: &FleetState) {
        self.fleet.stale_incarnations.set(gauge_value(state.stale_incarnations));
        self.fleet.fenced_incarnations.set(gauge_value(state.fenced_incarnations));
        self.fleet.recovery_pending.set(i64::from(state.recovery_pending));
    }

    /// Sets the state of remote write.
    pub fn set_remote_write(&self, state: &RemoteWriteState) {
        let series = &self.remote_write;
        for (counter, total) in series.samples.iter().zip(state.samples) {
            raise(counter, total);
        }
        raise(&series.retries, state.retries);
        series.waiting_samples.set(gauge_value(state.waiting_samples));
        series.oldest_age.set(gauge_value(state.oldest_age_seconds));
        raise(&series.version_changes, state.version_changes);
        raise(&series.splits, state.splits);
        raise(&series.short_writes, state.short_writes);
        series.clock_offset.set(state.clock_offset_seconds);
    }

    /// Sets the state of the write-ahead log of remote write.
    pub fn set_wal(&self, state: &WalState) {
        self.remote_write.wal_bytes.set(gauge_value(state.bytes));
        self.remote_write.wal_limit.set(gauge_value(state.limit_bytes));
        raise(&self.remote_write.wal_failures, state.failures);
    }

    /// Returns the name and the native latency histogram of each class.
    pub fn native_histograms(&self) -> impl Iterator<Item = (&str, NativeHistogram)> {
        let histograms = self.calls.latency.iter().map(LatencyHistogram::native);
        self.layout.classes().iter().map(String::as_str).zip(histograms)
    }

    /// Returns all series in the OpenMetrics text format.
    ///
    /// # Errors
    /// Returns an error if a series can't be encoded.
    pub fn text(&self) -> Result<String, fmt::Error> {
        let mut out = String::new();
        text::encode(&mut out, &self.registry)?;
        Ok(out)
    }
}

/// Sets the gauge at index `selected` to 1 and the others to 0.
fn select(gauges: &[Gauge], selected: usize) {
    for (index, gauge) in gauges.iter().enumerate() {
        gauge.set(i64::from(index == selected));
    }
}

fn gauge_value(value: impl TryInto<i64>) -> i64 {
    value.try_into().unwrap_or(i64::MAX)
}

fn increment(counters: &[Counter], index: usize) {
    if let Some(counter) = counters.get(index) {
        counter.inc();
    }
}

/// Raises a counter to a total. A lower total is ignored, because a counter must not decrease.
fn raise(counter: &Counter, total: u64) {
    let current = counter.get();
    if total > current {
        counter.inc_by(total - current);
    }
}

#[cfg(test)]
mod tests;
