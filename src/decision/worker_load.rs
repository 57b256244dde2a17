//! Decides how loaded a worker is by calls of other controllers and other functions: its *pressure*.
//!
//! Pressure comes from three sources, the highest counts: calls of the function held there over its lanes,
//! the last answer's latency over a share of its objective, and the worker's load report. It ages by one an
//! objective. From [`PRESSURE_LIMIT`] the worker is passed over where another will do, from
//! [`PRESSURE_MAX`] it is left alone.
//!
//! Leaves what follows to `placement` and `replica_loading`. Guards: a worker whose load is not known is
//! probed before a call goes there (controllers too quiet to notice others' load); a report of idle cores
//! lifts the lanes bound (functions of few lanes behind those of many).

use crate::controller::Controller;
use crate::interface::*;
use crate::state::{Function, PressureSample, ReceivedReport, Worker};

/// A latency of this share of its objective is a pressure of 1.
pub(super) const PRESSURE_OBJECTIVE: f64 = 0.6;
/// Pressure at which a worker takes no more of our calls where another will do.
pub(super) const PRESSURE_LIMIT: f64 = 1.0;
/// Pressure at which a worker is left alone.
pub(super) const PRESSURE_MAX: f64 = 2.5;
/// Pressure of a worker that had no room, or whose probe is late.
pub(super) const PRESSURE_FULL: f64 = 3.0;
/// A worker not heard from for so many objectives is probed before a call goes there: most controllers call
/// it too seldom to know of its load.
const REPORT_MAX_AGE: f64 = 1.0;
/// Workers probed for one call.
const LOAD_PROBES_PER_CALL: u32 = 2;
/// A probe late by this share of an objective shows that the worker is loaded.
pub(super) const LOAD_PROBE_WAIT: f64 = 0.1;
/// Cores in use below this share leave room, whatever a worker holds.
const IDLE_UTILIZATION: f64 = 0.85;
/// Cores that what a worker holds is spread over: their number is not reported, and the core time as learnt
/// holds some of others' queueing.
const ASSUMED_CORES: f64 = 8.0;
/// Core time of a call before any was seen: its objective divided by this.
const OBJECTIVE_PER_CPU_TIME: f64 = 4.0;

impl Controller {
    /// Is the worker's load known well enough to send the call there? If not, it is probed and the call
    /// waits.
    pub(super) fn ensure_recent_load(&mut self, id: RequestId, at: WorkerId) -> bool {
        let may_probe = self.may_probe_load();
        let Some(call) = self.calls.get_mut(&id) else { return true };
        let Some(worker) = self.workers.get_mut(&at) else { return true };
        // Where only orders load and no replica is known, its worker says so at once, and costs no probe.
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
            self.send_probe(at);
            return false;
        }
        worker.probe_sent.is_none_or(|since| (self.now - since) as f64 > objective * LOAD_PROBE_WAIT)
    }

    /// Probes are permitted and bring load reports.
    pub(super) fn may_probe_load(&self) -> bool {
        self.settings.limits.probes && self.settings.reports != Reports::None
    }

    /// Pressure at a worker for a function's calls of a class.
    pub(super) fn pressure(&self, function: &Function, id: WorkerId, class: usize) -> f64 {
        let objective = self.settings.classes[class].latency_objective.max(1) as f64;
        let aged =
            |sample: PressureSample| sample.value - self.now.saturating_sub(sample.at) as f64 / objective;
        let of_function = function.reported_pressure.get(&id).map_or(0.0, |sample| aged(*sample));
        let Some(worker) = self.workers.get(&id) else { return of_function };
        let probe_late = |since| self.now.saturating_sub(since) as f64 > objective * LOAD_PROBE_WAIT;
        if worker.probe_sent.is_some_and(probe_late) {
            return PRESSURE_FULL;
        }
        let of_report = worker.last_report.map_or(0.0, |received| {
            let utilization = received.report.util.unwrap_or(1.0);
            let by_inflight = received.report.inflight.map_or(utilization, |n| {
                (n + 1.0) * self.cpu_time(class) / ASSUMED_CORES / (objective * PRESSURE_OBJECTIVE)
            });
            let value = if utilization < IDLE_UTILIZATION { utilization } else { by_inflight };
            aged(PressureSample { value, at: received.at })
        });
        aged(worker.last_pressure).max(of_function).max(of_report)
    }

    /// Its report, no older than an objective, shows idle cores: others' calls there do not fill the bound.
    pub(super) fn reports_idle_cores(&self, worker: &Worker, class: usize) -> bool {
        let since = self.now.saturating_sub(self.settings.classes[class].latency_objective);
        let idle = |r: &ReceivedReport| r.at >= since && r.report.util.is_some_and(|u| u < IDLE_UTILIZATION);
        worker.last_report.as_ref().is_some_and(idle)
    }

    /// Core time of a call of this class, as far as seen, microseconds.
    pub(super) fn cpu_time(&self, class: usize) -> f64 {
        let objective = self.settings.classes[class].latency_objective as f64;
        self.class_cpu_time[class].unwrap_or(objective / OBJECTIVE_PER_CPU_TIME)
    }

    /// Keeps a worker's report; what is no number counts as not reported.
    pub(super) fn record_report(&mut self, at: WorkerId, report: Report) {
        let valid = |x: Option<f64>| x.filter(|x| x.is_finite() && *x >= 0.0);
        let report = Report { inflight: valid(report.inflight), util: valid(report.util), ..report };
        if let Some(worker) = self.workers.get_mut(&at) {
            worker.last_report = Some(ReceivedReport { report, at: self.now });
        }
    }

    /// Keeps the pressure shown by a worker's answer.
    pub(super) fn record_pressure(&mut self, at: WorkerId, value: f64) {
        if let Some(worker) = self.workers.get_mut(&at) {
            worker.last_pressure = PressureSample { value, at: self.now };
        }
    }
}
