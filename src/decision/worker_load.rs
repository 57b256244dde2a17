//! Estimates how much load other controllers and functions put on a worker: its *pressure*.
//!
//! Pressure is the highest of three values: the concurrent calls of the function at the worker divided by its
//! lanes, the latency of the last response relative to its objective, and the value derived from the worker's
//! load report. Each value decays by 1 per latency objective. From [`PRESSURE_LIMIT`] on, the worker is
//! avoided if another one can take the call; from [`PRESSURE_MAX`] on, it gets no calls.
//!
//! `placement` and `replica_loading` use the pressure. Guards:
//!
//! * a worker with unknown load is probed before a call is sent there (controllers that call too seldom to
//!   notice the load of others);
//! * a report of idle cores lifts the lanes bound (functions with few lanes blocked by functions with many).

use crate::controller::Controller;
use crate::interface::*;
use crate::state::{Function, PressureSample, ReceivedReport, Worker};

/// Share of the latency objective at which a response's latency amounts to a pressure of 1.
pub(super) const PRESSURE_OBJECTIVE: f64 = 0.6;
/// Pressure at which a worker is avoided if another one can take the call.
pub(super) const PRESSURE_LIMIT: f64 = 1.0;
/// Pressure at which a worker gets no calls.
pub(super) const PRESSURE_MAX: f64 = 2.5;
/// Pressure of a worker that rejected a call for lack of capacity, or whose probe is late.
pub(super) const PRESSURE_FULL: f64 = 3.0;
/// Age, in latency objectives, from which a worker's load counts as unknown, so that it is probed before a
/// call is sent there. Most controllers call a worker too seldom to know its load.
const REPORT_MAX_AGE: f64 = 1.0;
/// Maximum number of load probes per call.
const LOAD_PROBES_PER_CALL: u32 = 2;
/// A probe that takes longer than this share of an objective indicates a loaded worker.
pub(super) const LOAD_PROBE_WAIT: f64 = 0.1;
/// Core utilization below which a worker has free capacity, whatever its number of requests.
const IDLE_UTILIZATION: f64 = 0.85;
/// Number of cores that the requests at a worker are assumed to share. The real number is not reported, and
/// the measured core time includes some queueing behind other calls.
const ASSUMED_CORES: f64 = 8.0;
/// Initial estimate of the core time of a call: its objective divided by this.
const OBJECTIVE_PER_CPU_TIME: f64 = 4.0;

impl Controller {
    /// Whether the load of the worker is known well enough to send the call there. If not, the worker is
    /// probed, and the caller holds the call. Once the call has used up its probes, or the probe in flight is
    /// late, the call is sent without knowledge of the load.
    pub(super) fn ensure_recent_load(&mut self, id: RequestId, worker_id: WorkerId) -> bool {
        let may_probe = self.may_probe_load();
        let Some(call) = self.calls.get_mut(&id) else { return true };
        let Some(worker) = self.workers.get_mut(&worker_id) else { return true };
        // Where only orders load functions, a call of a function without a known replica is answered at once
        // with a miss, so that no probe is needed.
        let has_replica = |f: &Function| !f.warm_replicas.is_empty() || !f.pending_loads.is_empty();
        let will_miss = self.settings.loading.when_absent == WhenAbsent::Miss
            && !self.functions.get(&call.function).is_some_and(has_replica);
        let objective = self.settings.classes[call.class].latency_objective as f64;
        let last_known = worker.last_report.map_or(0, |r| r.at).max(worker.last_pressure.at);
        let recent = (self.now - last_known) as f64 <= objective * REPORT_MAX_AGE;
        let no_utilization = worker.last_report.is_some_and(|r| r.report.util.is_none());
        if !may_probe || no_utilization || will_miss || worker.ejected || recent {
            return true;
        }
        if worker.probe_sent.is_none() && call.probes < LOAD_PROBES_PER_CALL {
            call.probes += 1;
            self.send_probe(worker_id);
            return false;
        }
        worker.probe_sent.is_none_or(|since| (self.now - since) as f64 > objective * LOAD_PROBE_WAIT)
    }

    /// Whether probes are permitted and return load reports.
    pub(super) fn may_probe_load(&self) -> bool {
        self.settings.limits.probes && self.settings.reports != Reports::None
    }

    /// Pressure of a worker for calls of the function and class.
    pub(super) fn pressure(&self, function: &Function, id: WorkerId, class: usize) -> f64 {
        let objective = self.settings.classes[class].latency_objective.max(1) as f64;
        let decayed =
            |sample: PressureSample| sample.value - self.now.saturating_sub(sample.at) as f64 / objective;
        let function_pressure = function.reported_pressure.get(&id).map_or(0.0, |sample| decayed(*sample));
        let Some(worker) = self.workers.get(&id) else { return function_pressure };
        let probe_late = |since| self.now.saturating_sub(since) as f64 > objective * LOAD_PROBE_WAIT;
        if worker.probe_sent.is_some_and(probe_late) {
            return PRESSURE_FULL;
        }
        let report_pressure = worker.last_report.map_or(0.0, |received| {
            let utilization = received.report.util.unwrap_or(1.0);
            let by_inflight = received.report.inflight.map_or(utilization, |n| {
                (n + 1.0) * self.cpu_time(class) / ASSUMED_CORES / (objective * PRESSURE_OBJECTIVE)
            });
            let value = if utilization < IDLE_UTILIZATION { utilization } else { by_inflight };
            decayed(PressureSample { value, at: received.at })
        });
        decayed(worker.last_pressure).max(function_pressure).max(report_pressure)
    }

    /// Whether the last load report, if not older than one objective, shows idle cores. The lanes bound,
    /// which calls of other functions may fill, does not apply then.
    pub(super) fn reports_idle_cores(&self, worker: &Worker, class: usize) -> bool {
        let since = self.now.saturating_sub(self.settings.classes[class].latency_objective);
        let idle = |r: &ReceivedReport| r.at >= since && r.report.util.is_some_and(|u| u < IDLE_UTILIZATION);
        worker.last_report.as_ref().is_some_and(idle)
    }

    /// Estimated core time of a call of the class, in microseconds.
    pub(super) fn cpu_time(&self, class: usize) -> f64 {
        let objective = self.settings.classes[class].latency_objective as f64;
        self.class_cpu_time[class].unwrap_or(objective / OBJECTIVE_PER_CPU_TIME)
    }

    /// Records a load report; values that are not valid numbers count as not reported.
    pub(super) fn record_report(&mut self, worker_id: WorkerId, report: Report) {
        let valid = |x: Option<f64>| x.filter(|x| x.is_finite() && *x >= 0.0);
        let report = Report { inflight: valid(report.inflight), util: valid(report.util), ..report };
        if let Some(worker) = self.workers.get_mut(&worker_id) {
            worker.last_report = Some(ReceivedReport { report, at: self.now });
        }
    }

    /// Records the pressure of a worker, derived from a response or from a probe that failed.
    pub(super) fn record_pressure(&mut self, worker_id: WorkerId, value: f64) {
        if let Some(worker) = self.workers.get_mut(&worker_id) {
            worker.last_pressure = PressureSample { value, at: self.now };
        }
    }
}
