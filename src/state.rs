//! What a controller remembers of workers, functions, calls and attempts, as plain records.
//!
//! Nothing here decides anything: the decisions are in [`crate::decision`], the whole state is the
//! [`Controller`](crate::Controller)'s. Times and spans are microseconds.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::interface::*;
use crate::rendezvous::Homes;

/// What is known of one worker.
#[derive(Default)]
pub(crate) struct Worker {
    /// Its line of the list.
    pub(crate) entry: WorkerEntry,
    /// Attempts in flight.
    pub(crate) in_flight: u32,
    /// Attempts in flight on replicas thought warm: the lanes bound counts these.
    pub(crate) warm_in_flight: u32,
    /// Loads of ours under way there.
    pub(crate) pending_loads: usize,
    /// Exponentially weighted share of outcomes that failed, 0 to 1.
    pub(crate) failure_rate: f64,
    /// It is ejected: calls stay away, but for trials.
    pub(crate) ejected: bool,
    /// No trial before this time.
    pub(crate) ejected_until: Micros,
    /// Its process died or is unresponsive: probes tell when it is back.
    pub(crate) down: bool,
    /// How long the next ejection lasts.
    pub(crate) next_ejection: Micros,
    /// A trial of the ejected worker is in flight.
    pub(crate) trial_in_flight: bool,
    /// When it last answered anything.
    pub(crate) last_response: Micros,
    /// When its pending responses are checked for a timeout.
    pub(crate) timeout_check: Option<Micros>,
    /// When the probe that is in flight was sent.
    pub(crate) probe_sent: Option<Micros>,
    /// A connection to it failed: the probe in flight tells whether its process did.
    pub(crate) connection_suspect: bool,
    /// The probe before the one in flight was not answered.
    pub(crate) probe_unanswered: bool,
    /// Functions whose load orders were lost with their connections.
    pub(crate) lost_orders: BTreeSet<FunctionId>,
    /// Load pressure shown by its last answer.
    pub(crate) last_pressure: PressureSample,
    /// Its last load report.
    pub(crate) last_report: Option<ReceivedReport>,
    /// When it started, as far as known.
    pub(crate) started_at: Option<Micros>,
    /// Until then its slow-start slots belonged to an earlier incarnation of this controller.
    pub(crate) budget_from: Option<Micros>,
    /// Slow-start budget that will have been granted when this controller's next slot comes.
    pub(crate) budget_used: f64,
}

impl Worker {
    /// It started at `started_at`; its slow-start slots until `budget_from` belonged to an earlier
    /// incarnation.
    pub(crate) fn restart(&mut self, started_at: Option<Micros>, budget_from: Option<Micros>) {
        self.started_at = started_at;
        self.budget_from = budget_from;
        self.budget_used = 0.0;
    }
}

/// Load pressure at a worker as measured at one time; 1 is the most that is sent to by choice.
#[derive(Clone, Copy, Default)]
pub(crate) struct PressureSample {
    /// The pressure at that time.
    pub(crate) value: f64,
    /// When it was measured.
    pub(crate) at: Micros,
}

/// A load report and when it came.
#[derive(Clone, Copy)]
pub(crate) struct ReceivedReport {
    /// The report.
    pub(crate) report: Report,
    /// When it came.
    pub(crate) at: Micros,
}

/// What is known of one function.
#[derive(Default)]
pub(crate) struct Function {
    /// Latencies of its last served attempts, without those that waited for a load.
    pub(crate) latencies: VecDeque<f64>,
    /// Its arrivals within the arrival window.
    pub(crate) arrivals: VecDeque<Micros>,
    /// Calls that one replica runs at once.
    pub(crate) lanes: u32,
    /// Its usual load time, where notified or learnt.
    pub(crate) load_time: Option<f64>,
    /// When a replica was last found, by worker.
    pub(crate) warm_replicas: BTreeMap<WorkerId, Micros>,
    /// When our load under way began, by worker.
    pub(crate) pending_loads: BTreeMap<WorkerId, Micros>,
    /// Workers that had no room for a replica, or failed to load it.
    pub(crate) avoided: BTreeMap<WorkerId, Avoidance>,
    /// Attempts in flight, by worker.
    pub(crate) in_flight: BTreeMap<WorkerId, u32>,
    /// When a replica was last ordered: what was found before is not relied on after a further miss.
    pub(crate) last_order: Option<Micros>,
    /// Calls of it over its lanes, as last reported by each worker.
    pub(crate) reported_pressure: BTreeMap<WorkerId, PressureSample>,
    /// Its calls in the hold queue.
    pub(crate) held_calls: u32,
    /// When it was last called.
    pub(crate) last_call: Micros,
    /// The first workers of its rendezvous order.
    pub(crate) homes: Homes,
    /// The sweep that it last went through, as in `Controller::swept_at`.
    pub(crate) swept_at: Micros,
    /// Its key in `Controller::idle_functions`.
    pub(crate) idle_bucket: Micros,
}

impl Function {
    /// Mean of the latencies kept, microseconds; 0 where there are none.
    pub(crate) fn mean_latency(&self) -> f64 {
        self.latencies.iter().sum::<f64>() / self.latencies.len().max(1) as f64
    }
}

/// A worker that one function leaves alone for a while.
#[derive(Clone, Copy, Default)]
pub(crate) struct Avoidance {
    /// Until when.
    pub(crate) until: Micros,
    /// How often in a row it had no room; a failed load counts as several.
    pub(crate) rejections: u32,
}

/// The order of the hold queue, lowest first. The order of the fields is the order of comparison.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Priority {
    /// The call can't meet its latency objective any more.
    pub(crate) objective_missed: bool,
    /// Recent arrivals of its function times their mean latency, fixed at arrival.
    pub(crate) recent_work: u64,
    /// Order of arrival.
    pub(crate) sequence: u64,
}

/// A call that has no final answer yet.
#[derive(Default)]
pub(crate) struct Call {
    /// Its class, as the index in the settings.
    pub(crate) class: usize,
    /// The function that it calls.
    pub(crate) function: FunctionId,
    /// When it arrived.
    pub(crate) arrived: Micros,
    /// When it gets its final answer at the latest.
    pub(crate) answer_by: Micros,
    /// Its place in the hold queue.
    pub(crate) priority: Priority,
    /// Attempts begun.
    pub(crate) attempts: u32,
    /// Number of the attempt in flight.
    pub(crate) in_flight: Option<u32>,
    /// It is in the hold queue.
    pub(crate) held: bool,
    /// The first attempt that may have run.
    pub(crate) first_run: Option<FirstRun>,
    /// Where the last attempt failed: tried again only when nothing else will do.
    pub(crate) failed_at: Option<WorkerId>,
    /// Workers probed for it.
    pub(crate) probes: u32,
    /// Its answer has begun and belongs to the client.
    pub(crate) streaming: bool,
}

/// The first attempt of a call that may have run.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FirstRun {
    /// Where.
    pub(crate) worker: WorkerId,
    /// When it was sent.
    pub(crate) sent: Micros,
}

/// One attempt of one call. The order of the fields is the order of comparison.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    /// The call.
    pub(crate) request: RequestId,
    /// The attempt's number within the call, from 0.
    pub(crate) number: u32,
}

/// An attempt in flight.
pub(crate) struct Attempt {
    /// Where it was sent.
    pub(crate) worker: WorkerId,
    /// Its call's function.
    pub(crate) function: FunctionId,
    /// Its call's class.
    pub(crate) class: usize,
    /// When it was sent.
    pub(crate) sent: Micros,
    /// No warm replica was known there: it may wait for a load.
    pub(crate) loading: bool,
    /// It is the trial of an ejected worker.
    pub(crate) trial: bool,
    /// A probe was sent because its response is overdue.
    pub(crate) probed: bool,
}

/// How an attempt ended, with what the answer reports besides.
pub(crate) struct AttemptEnd {
    /// How it ended.
    pub(crate) outcome: Outcome,
    /// The call is finished: the client is owed nothing more.
    pub(crate) finished: bool,
    /// Time since it was sent.
    pub(crate) elapsed: Micros,
    /// What it reports of loaded replicas.
    pub(crate) note: Option<LoadNote>,
    /// Calls of the function that the worker held, where reported.
    pub(crate) concurrent_calls: Option<u32>,
}

/// Something to do at a time. The order of the fields is the order in which timers run.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Timer {
    /// When.
    pub(crate) at: Micros,
    /// What.
    pub(crate) kind: TimerKind,
}

/// What a timer is for. Timers of one time run in the order of the variants, then of the ids.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKind {
    /// The call must have its final answer now.
    AnswerDeadline(RequestId),
    /// The held call can't meet its latency objective any more.
    ObjectivePassed(RequestId),
    /// The worker's pending responses are checked.
    ResponseTimeout(WorkerId),
    /// Held calls are looked at without an answer.
    ReleaseHeld,
    /// The worker list is polled again.
    PollList,
}

/// A replica that is known or loading. The order of the fields keeps a worker's replicas together.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReplicaKey {
    /// Where.
    pub(crate) worker: WorkerId,
    /// Of what.
    pub(crate) function: FunctionId,
}

/// Moves an exponentially weighted mean by one sample; the first sample is taken as it is.
pub(crate) fn update_mean(mean: &mut Option<f64>, sample: f64, weight: f64) {
    *mean = Some(mean.map_or(sample, |m| m + (sample - m) * weight));
}
