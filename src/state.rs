//! Plain records of the controller's state: workers, functions, calls and attempts.
//!
//! The decisions are in [`crate::decision`]; [`Controller`](crate::Controller) owns the records. All times
//! and durations are in microseconds.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::interface::*;
use crate::rendezvous::Homes;

/// State of one worker.
#[derive(Default)]
pub(crate) struct Worker {
    /// The worker's entry in the worker list.
    pub(crate) entry: WorkerEntry,
    /// Number of this controller's attempts in flight at the worker.
    pub(crate) in_flight: u32,
    /// Number of these attempts that use replicas presumed warm; the lanes bound applies to them.
    pub(crate) warm_in_flight: u32,
    /// Number of loads that this controller has pending at the worker.
    pub(crate) pending_loads: usize,
    /// Exponentially weighted share of failed outcomes, from 0 to 1.
    pub(crate) failure_rate: f64,
    /// The worker is ejected: it gets no calls except trials.
    pub(crate) ejected: bool,
    /// Earliest time of the next trial while the worker is ejected.
    pub(crate) ejected_until: Micros,
    /// The process is dead or unresponsive; probes detect when it is back.
    pub(crate) down: bool,
    /// Duration of the next ejection, or of the next extension of the current one.
    pub(crate) next_ejection: Micros,
    /// A trial call is in flight at the ejected worker.
    pub(crate) trial_in_flight: bool,
    /// Time of the last probe answer or response to an attempt, not counting errors. Set to the send time of
    /// an attempt if no other is in flight, as the timeout of its response counts from then on.
    pub(crate) last_response: Micros,
    /// Time of the scheduled check for overdue responses.
    pub(crate) timeout_check: Option<Micros>,
    /// Send time of the probe in flight.
    pub(crate) probe_sent: Option<Micros>,
    /// A connection to the worker failed, and no probe has shown yet whether the process failed too. The
    /// worker gets no new calls until then.
    pub(crate) connection_suspect: bool,
    /// The probe before the one in flight got no answer.
    pub(crate) probe_unanswered: bool,
    /// Functions whose load orders were lost when a connection broke.
    pub(crate) lost_orders: BTreeSet<FunctionId>,
    /// Load pressure derived from the last response or failed probe.
    pub(crate) last_pressure: PressureSample,
    /// The last load report.
    pub(crate) last_report: Option<ReceivedReport>,
    /// Start time of the worker process, if known.
    pub(crate) started_at: Option<Micros>,
    /// Slow-start slots before this time may have been used by an earlier incarnation of this controller.
    pub(crate) budget_from: Option<Micros>,
    /// Slow-start budget, in microseconds of core time, of all rounds before that of this controller's next
    /// slot.
    pub(crate) budget_used: f64,
}

impl Worker {
    /// Resets the slow start of a worker that started at `started_at`. Slots before `budget_from` belong to
    /// an earlier incarnation of this controller.
    pub(crate) fn restart(&mut self, started_at: Option<Micros>, budget_from: Option<Micros>) {
        self.started_at = started_at;
        self.budget_from = budget_from;
        self.budget_used = 0.0;
    }
}

/// Load pressure of a worker at one point in time; at 1 the worker is avoided if another one can take the
/// call.
#[derive(Clone, Copy, Default)]
pub(crate) struct PressureSample {
    /// Pressure at the time of the measurement; decays from then on.
    pub(crate) value: f64,
    /// Time of the measurement.
    pub(crate) at: Micros,
}

/// A load report with its time of receipt.
#[derive(Clone, Copy)]
pub(crate) struct ReceivedReport {
    /// The content of the report.
    pub(crate) report: Report,
    /// Time at which the controller received the report.
    pub(crate) at: Micros,
}

/// State of one function.
#[derive(Default)]
pub(crate) struct Function {
    /// Latencies of the last served attempts in microseconds, excluding those that waited for a load.
    pub(crate) latencies: VecDeque<f64>,
    /// Arrival times within the arrival window.
    pub(crate) arrivals: VecDeque<Micros>,
    /// Number of calls that one replica runs concurrently.
    pub(crate) lanes: u32,
    /// Expected load time in microseconds, if it was given with a request or measured.
    pub(crate) load_time: Option<f64>,
    /// Time at which a replica was last observed, by worker.
    pub(crate) warm_replicas: BTreeMap<WorkerId, Micros>,
    /// Start times of the loads that this controller has pending, by worker.
    pub(crate) pending_loads: BTreeMap<WorkerId, Micros>,
    /// Workers that rejected a replica for lack of memory or failed to load it, or at which the ration
    /// permitted no order.
    pub(crate) avoided: BTreeMap<WorkerId, Avoidance>,
    /// Number of attempts in flight, by worker.
    pub(crate) in_flight: BTreeMap<WorkerId, u32>,
    /// Time at which a replica was last ordered. If a call finds no replica after that, replicas observed up
    /// to the order are no longer trusted.
    pub(crate) last_order: Option<Micros>,
    /// Concurrent calls of the function at each worker divided by its lanes, recorded at the last served
    /// attempt: those that the worker reported, or this controller's own attempts in flight if more.
    pub(crate) reported_pressure: BTreeMap<WorkerId, PressureSample>,
    /// The function's calls in the hold queue, in its order.
    pub(crate) held_calls: BTreeMap<Priority, RequestId>,
    /// Time of the last call.
    pub(crate) last_call: Micros,
    /// The first workers in the function's rendezvous order.
    pub(crate) homes: Homes,
    /// Time of the last sweep applied to the function (see `Controller::swept_at`).
    pub(crate) swept_at: Micros,
    /// The function's bucket in `Controller::idle_functions`.
    pub(crate) idle_bucket: Micros,
}

impl Function {
    /// Mean of the recorded latencies in microseconds, or 0 if there are none.
    pub(crate) fn mean_latency(&self) -> f64 {
        self.latencies.iter().sum::<f64>() / self.latencies.len().max(1) as f64
    }
}

/// A worker that one function temporarily avoids.
#[derive(Clone, Copy, Default)]
pub(crate) struct Avoidance {
    /// Time until which the worker gets no calls of the function.
    pub(crate) until: Micros,
    /// Consecutive rejections for lack of memory. A load that the ration did not permit counts as one; a load
    /// that failed counts as several.
    pub(crate) rejections: u32,
}

/// Sort key of the hold queue, lowest first. The field order defines the comparison.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Priority {
    /// The call can no longer meet its latency objective.
    pub(crate) objective_missed: bool,
    /// Recent arrivals of the function times its mean latency, computed when the call arrives; increased for
    /// calls over their tenant's quota.
    pub(crate) recent_work: u64,
    /// Arrival sequence number; breaks ties.
    pub(crate) sequence: u64,
}

/// A call without a final answer.
#[derive(Default)]
pub(crate) struct Call {
    /// Index of the class in the settings.
    pub(crate) class: usize,
    /// Whether this call may be executed more than once.
    pub(crate) effect: Effect,
    /// The function to execute.
    pub(crate) function: FunctionId,
    /// Time at which the call arrived.
    pub(crate) arrived: Micros,
    /// Latest time of the final answer.
    pub(crate) answer_by: Micros,
    /// Position in the hold queue.
    pub(crate) priority: Priority,
    /// Number of attempts started.
    pub(crate) attempts: u32,
    /// Number of the attempt in flight.
    pub(crate) in_flight: Option<u32>,
    /// The call is in the hold queue.
    pub(crate) held: bool,
    /// The first attempt that may have executed.
    pub(crate) first_run: Option<FirstRun>,
    /// The worker of the last failed attempt; it gets the call again only if no other worker is eligible.
    pub(crate) last_failed_worker: Option<WorkerId>,
    /// Number of load probes sent on behalf of the call.
    pub(crate) probes: u32,
    /// The response stream has started; the call can no longer be retried.
    pub(crate) streaming: bool,
}

/// The first attempt of a call that may have executed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FirstRun {
    /// The worker that the attempt was sent to.
    pub(crate) worker: WorkerId,
    /// Time at which the attempt was sent.
    pub(crate) sent: Micros,
}

/// Identifies one attempt of a call. The field order defines the comparison.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    /// The id of the call.
    pub(crate) request: RequestId,
    /// Number of the attempt within the call, from 0.
    pub(crate) number: u32,
}

/// An attempt in flight, with what is needed to update the state when it ends.
pub(crate) struct Attempt {
    /// The worker that the attempt was sent to.
    pub(crate) worker: WorkerId,
    /// The function of the call.
    pub(crate) function: FunctionId,
    /// Index of the call's class.
    pub(crate) class: usize,
    /// Time at which the attempt was sent.
    pub(crate) sent: Micros,
    /// No warm replica was known at the worker, so that the attempt may wait for a load.
    pub(crate) loading: bool,
    /// The attempt is a trial of an ejected worker.
    pub(crate) trial: bool,
    /// A timeout check found that the response timeout has passed since the attempt was sent.
    pub(crate) late: bool,
}

/// The end of an attempt, with the additional information in its response.
pub(crate) struct AttemptEnd {
    /// The outcome of the attempt.
    pub(crate) outcome: Outcome,
    /// The call is complete: the client expects no further response.
    pub(crate) finished: bool,
    /// Time since the attempt was sent.
    pub(crate) elapsed: Micros,
    /// Replica state reported by the worker.
    pub(crate) note: Option<LoadNote>,
    /// Concurrent calls of the function at the worker, if reported.
    pub(crate) concurrent_calls: Option<u32>,
}

/// A scheduled timer. The field order defines the order in which timers run.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Timer {
    /// Time at which the timer expires.
    pub(crate) at: Micros,
    /// The action to take when the timer expires.
    pub(crate) kind: TimerKind,
}

/// The purpose of a timer. Timers that expire at the same time run in the order of the variants, then of the
/// ids.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKind {
    /// The final answer of the call is due.
    AnswerDeadline(RequestId),
    /// The held call can no longer meet its latency objective.
    ObjectivePassed(RequestId),
    /// Check the worker for overdue responses.
    ResponseTimeout(WorkerId),
    /// Try to release held calls; runs even if no response arrives.
    ReleaseHeld,
    /// Poll the worker list again.
    PollList,
}

/// Key of a known or pending replica. The field order keeps the replicas of one worker adjacent.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReplicaKey {
    /// The worker of the replica.
    pub(crate) worker: WorkerId,
    /// The function that the replica serves.
    pub(crate) function: FunctionId,
}

/// Updates an exponentially weighted mean with one sample; the first sample becomes the mean.
pub(crate) fn update_mean(mean: &mut Option<f64>, sample: f64, weight: f64) {
    *mean = Some(mean.map_or(sample, |m| m + (sample - m) * weight));
}
