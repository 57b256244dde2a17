//! Updates the state of worker, function and replica when an attempt starts or ends.
//!
//! Worker health is evaluated in `outlier_ejection`, retries are decided in `retry`, and replicas are ordered
//! in `replica_loading`. Guards:
//!
//! * if a replica is missing again after an order, replicas observed before that order are no longer trusted
//!   (a new version of the function);
//! * a stream that has started proves that its replica is loaded (a long stream would otherwise count as a
//!   pending load and hold back the function's other calls).

use super::worker_load::{PRESSURE_FULL, PRESSURE_OBJECTIVE};
use crate::controller::Controller;
use crate::interface::*;
use crate::state::*;

/// Number of served latencies kept per function, as specified in the design document.
const LATENCY_SAMPLES: usize = 10;
/// Weight of one response in the mean core time of a class.
const CPU_TIME_WEIGHT: f64 = 0.05;

impl Controller {
    pub(super) fn send_attempt(&mut self, id: RequestId, worker_id: WorkerId) {
        self.dequeue_held(id);
        let Some(call) = self.calls.get_mut(&id) else { return };
        let number = call.attempts;
        call.attempts += 1;
        call.in_flight = Some(number);
        let (class, function_id) = (call.class, call.function);
        let budget_used =
            self.workers.get(&worker_id).map_or(0.0, |w| self.slow_start_slot(w, class).used_after);
        let Some(function) = self.functions.get(&function_id) else { return };
        let warm = self.is_warm(function, worker_id);
        let loads = !warm && self.settings.loading.when_absent == WhenAbsent::Load;
        let begins_load = loads && !function.pending_loads.contains_key(&worker_id);
        let function = self.functions.get_mut(&function_id).expect("just seen");
        *function.in_flight.entry(worker_id).or_insert(0) += 1;
        if begins_load {
            self.load_started(ReplicaKey { worker: worker_id, function: function_id });
        }
        let Some(worker) = self.workers.get_mut(&worker_id) else { return };
        if worker.in_flight == 0 {
            worker.last_response = self.now;
        }
        worker.in_flight += 1;
        if warm {
            worker.warm_in_flight += 1;
        }
        let trial = worker.ejected;
        worker.trial_in_flight |= trial;
        worker.budget_used = budget_used;
        let attempt = Attempt {
            worker: worker_id,
            function: function_id,
            class,
            sent: self.now,
            loading: !warm,
            trial,
            late: false,
        };
        self.attempts.insert(AttemptId { request: id, number }, attempt);
        self.schedule_timeout_check(worker_id);
        self.actions.push(Action::Send { request: id, worker: worker_id, timeout: None });
    }

    pub(super) fn attempt_ended(&mut self, id: AttemptId, end: AttemptEnd) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.release_attempt_counts(&attempt);
        self.record_health(&attempt, end.outcome, end.elapsed);
        let replica = ReplicaKey { worker: attempt.worker, function: attempt.function };
        // Where only orders load functions, the pending load is an order, which ends with its own event.
        if self.settings.loading.when_absent == WhenAbsent::Load {
            self.load_finished(replica);
        }
        match end.outcome {
            Outcome::Ok => self.record_success(&attempt, &end),
            Outcome::NotLoaded => self.record_missing_replica(replica),
            // A worker without memory for a replica may still have idle cores: only this function avoids it.
            Outcome::Rejected if attempt.loading => self.avoid_worker(replica, 1),
            Outcome::Rejected => self.record_pressure(attempt.worker, PRESSURE_FULL),
            _ => {}
        }
        if end.finished {
            self.finish_call(id.request);
        } else {
            self.continue_call(id, &attempt, end.outcome);
        }
        self.release_held(Some(attempt.worker), Some(attempt.function));
    }

    /// Handles a replica that was unloaded or failed to load. Where only orders load functions, it is ordered
    /// again unless a load of the function is in progress. A replica that is missing after an earlier order
    /// indicates a new version of the function, so replicas observed up to that order are dropped too.
    fn record_missing_replica(&mut self, replica: ReplicaKey) {
        let function = self.functions.get(&replica.function);
        let loading = function.is_some_and(|f| self.load_in_progress(f));
        let last_order = function.and_then(|f| f.last_order);
        self.replica_missing(replica, last_order);
        if self.settings.loading.when_absent == WhenAbsent::Miss && !loading {
            self.order_replica(replica);
        }
    }

    /// Retries the call or sends its final answer, after an attempt that did not complete it.
    fn continue_call(&mut self, id: AttemptId, attempt: &Attempt, outcome: Outcome) {
        let Some(call) = self.calls.get_mut(&id.request) else { return };
        call.in_flight = call.in_flight.filter(|number| *number != id.number);
        let never_ran = matches!(
            outcome,
            Outcome::ConnectFailed
                | Outcome::PartlySent
                | Outcome::NeverSent
                | Outcome::Rejected
                | Outcome::NotLoaded
        );
        if !never_ran {
            let run = FirstRun { worker: attempt.worker, sent: attempt.sent };
            call.first_run = call.first_run.or(Some(run));
        }
        if outcome != Outcome::NotLoaded {
            call.last_failed_worker = Some(attempt.worker);
        }
        self.retry_or_answer(id.request, outcome);
    }

    /// Records what a served attempt shows: that a replica is warm, the function's concurrent calls at the
    /// worker, its latency or load time, and the worker's pressure.
    fn record_success(&mut self, attempt: &Attempt, end: &AttemptEnd) {
        let (worker_id, elapsed, note) = (attempt.worker, end.elapsed as f64, end.note);
        self.replica_found(ReplicaKey { worker: worker_id, function: attempt.function });
        let Some(function) = self.functions.get_mut(&attempt.function) else { return };
        let waited_for_load = matches!(note, Some(LoadNote::Began | LoadNote::Waited));
        let objective = self.settings.classes[attempt.class].latency_objective.max(1) as f64;
        let own_in_flight = function.in_flight.get(&worker_id).copied().unwrap_or(0);
        let concurrent_calls = end.concurrent_calls.unwrap_or(0).max(own_in_flight);
        let value = f64::from(concurrent_calls) / f64::from(function.lanes.max(1));
        function.reported_pressure.insert(worker_id, PressureSample { value, at: self.now });
        if note == Some(LoadNote::Began) && attempt.loading {
            let load_time = (elapsed - function.mean_latency()).max(0.0);
            self.record_load_time(attempt.function, load_time);
        } else if !waited_for_load && (note.is_some() || !attempt.loading) {
            function.latencies.push_back(elapsed);
            if function.latencies.len() > LATENCY_SAMPLES {
                function.latencies.pop_front();
            }
            if self.workers.get(&worker_id).is_some_and(|w| w.in_flight == 0) {
                update_mean(&mut self.class_cpu_time[attempt.class], elapsed, CPU_TIME_WEIGHT);
            }
        }
        let pressure = if waited_for_load { 0.0 } else { elapsed / (objective * PRESSURE_OBJECTIVE) };
        self.record_pressure(worker_id, pressure);
    }

    /// Marks the call as streaming: it can't be retried, its answer deadline no longer applies, and its
    /// replica is loaded. If the stream still counted as a load, a long one would hold back the function's
    /// other calls. Drawback: the load time measured here includes the processing time up to the start of the
    /// stream.
    pub(super) fn stream_started(&mut self, id: RequestId) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.streaming = true;
        let attempt_id = call.in_flight.map(|number| AttemptId { request: id, number });
        self.timers.remove(&Timer { at: call.answer_by, kind: TimerKind::AnswerDeadline(id) });
        let attempt = attempt_id.and_then(|id| self.attempts.get_mut(&id));
        let Some(attempt) = attempt.filter(|attempt| attempt.loading) else { return };
        attempt.loading = false;
        let replica = ReplicaKey { worker: attempt.worker, function: attempt.function };
        let load_time = (self.now - attempt.sent) as f64;
        if let Some(worker) = self.workers.get_mut(&replica.worker) {
            worker.warm_in_flight += 1;
        }
        self.load_finished(replica);
        self.replica_found(replica);
        self.record_load_time(replica.function, load_time);
        self.release_held(Some(replica.worker), Some(replica.function));
    }

    /// Removes an ended attempt from the in-flight counters of its worker and function.
    fn release_attempt_counts(&mut self, attempt: &Attempt) {
        if let Some(worker) = self.workers.get_mut(&attempt.worker) {
            worker.in_flight = worker.in_flight.saturating_sub(1);
            if !attempt.loading {
                worker.warm_in_flight = worker.warm_in_flight.saturating_sub(1);
            }
            if attempt.trial {
                worker.trial_in_flight = false;
            }
        }
        if let Some(function) = self.functions.get_mut(&attempt.function)
            && let Some(in_flight) = function.in_flight.get_mut(&attempt.worker)
        {
            *in_flight = in_flight.saturating_sub(1);
            if *in_flight == 0 {
                function.in_flight.remove(&attempt.worker);
            }
        }
    }
}
