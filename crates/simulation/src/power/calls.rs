//! The calls at a controller: admission control, load orders within their limit, and service from the queue.

use nettleferry_fleet::gate::{CallInfo, Verdict};
use rand::RngExt;

use super::{CallAttempt, CallEnd, Event, QueuedCall, Simulation};
use crate::{Micros, ms};

/// Window of the limit on load orders of a controller.
const LOAD_WINDOW: Micros = 2_000_000;
/// Load orders permitted in a window without calls.
const FREE_LOADS: f64 = 3.0;
/// Further load orders permitted for each call accepted in the window.
const LOADS_PER_CALL: f64 = 0.1;
/// Number of times that a client retries a refused call.
const MAX_RETRIES: u32 = 4;
/// Retry delay in milliseconds that a controller without a snapshot returns with a refusal.
const RETRY_WITHOUT_SNAPSHOT_MS: u64 = 500;

impl Simulation {
    /// Processes an attempt of a client: queues the call, or schedules a retry after a refusal unless the retries or
    /// the deadline are exhausted.
    pub(super) fn handle_call(&mut self, now: Micros, attempt: CallAttempt) {
        let verdict = self.admit(now, &attempt);
        let CallAttempt { controller, first, refusals, model } = attempt;
        match verdict {
            Verdict::Admit => {
                self.calls += 1;
                let number = self.calls;
                let state = &mut self.controllers[controller];
                state.accepted.push_back(now);
                if !state.replicas.contains_key(&model) && !state.missing.contains(&model) {
                    state.missing.push_back(model);
                }
                state.admission.call_admitted(ms(now), number, u64::from(model));
                state.queue.push_back(QueuedCall { first, model, number });
                self.order_loads(now, controller);
                self.serve(now, controller);
            }
            Verdict::Reject(wait_ms) => {
                self.refusals += 1;
                let retry_at = now + wait_ms * 1000;
                if refusals >= MAX_RETRIES || retry_at >= first + self.plan.deadline {
                    self.end_call(first, CallEnd::Refused);
                } else {
                    let retry = CallAttempt { controller, first, refusals: refusals + 1, model };
                    self.events.schedule(retry_at, Event::Retry(retry));
                }
            }
        }
    }

    fn admit(&mut self, now: Micros, attempt: &CallAttempt) -> Verdict {
        let plan = self.plan;
        let chance = self.random.random();
        let controller = &mut self.controllers[attempt.controller];
        if controller.snapshot.is_none() {
            // Without a snapshot the controller does not know which tenants are permitted.
            return Verdict::Reject(RETRY_WITHOUT_SNAPSHOT_MS);
        }
        if !plan.admission {
            return Verdict::Admit;
        }
        let call = CallInfo {
            remaining: ms((attempt.first + plan.deadline).saturating_sub(now)),
            latency_objective: ms(plan.latency_objective),
            priority_weight: 1.0,
            non_idempotent: false,
            model: u64::from(attempt.model),
        };
        controller.admission.admit(ms(now), &call, chance)
    }

    /// Orders loads of missing replicas within the limit. In the first window no free loads are granted, since the
    /// previous incarnation may have used them.
    pub(super) fn order_loads(&mut self, now: Micros, number: usize) {
        let controller = &mut self.controllers[number];
        for times in [&mut controller.load_orders, &mut controller.accepted] {
            while times.front().is_some_and(|at| at + LOAD_WINDOW <= now) {
                times.pop_front();
            }
        }
        let free = if now < LOAD_WINDOW { 0.0 } else { FREE_LOADS };
        while let Some(model) = controller.missing.front().copied() {
            let permitted = free + LOADS_PER_CALL * controller.accepted.len() as f64;
            if (controller.load_orders.len() + 1) as f64 > permitted {
                return;
            }
            controller.missing.pop_front();
            controller.load_orders.push_back(now);
            controller.replicas.insert(model, false);
            self.loading += 1;
            self.load_orders.count(now, 1);
            // The duration depends on the number of concurrent loads when this one begins.
            let contention = f64::from(self.loading) / f64::from(self.plan.store_capacity);
            let duration = self.plan.load_time as f64 * contention.max(1.0);
            self.events.schedule(now + duration as Micros, Event::Loaded { controller: number, model });
        }
    }

    /// Starts to serve the first queued call whose replica is loaded, if no call is being served. The duration depends
    /// on how far the workers have warmed up.
    pub(super) fn serve(&mut self, now: Micros, number: usize) {
        let plan = self.plan;
        self.remove_abandoned(now, number);
        let controller = &mut self.controllers[number];
        if controller.serving.is_some() || now < plan.warm_up_wait {
            return;
        }
        let replicas = &controller.replicas;
        let is_ready =
            |call: &QueuedCall| replicas.get(&call.model) == Some(&true) && call.first + plan.deadline > now;
        let Some(position) = controller.queue.iter().position(is_ready) else { return };
        controller.serving = controller.queue.remove(position);
        if let Some(call) = &controller.serving {
            // Admission control tracks waiting calls only.
            controller.admission.call_ended(call.number);
        }
        let warmed_up = (now as f64 / plan.warm_up.max(1) as f64).min(1.0);
        let capacity = plan.capacity * (plan.initial_capacity + (1.0 - plan.initial_capacity) * warmed_up);
        self.events.schedule(now + (1e6 / capacity) as Micros, Event::Served(number));
    }

    /// Removes the calls at the head of the queue that their clients have abandoned.
    fn remove_abandoned(&mut self, now: Micros, number: usize) {
        let deadline = self.plan.deadline;
        loop {
            let controller = &mut self.controllers[number];
            let Some(call) = controller.queue.pop_front_if(|call| call.first + deadline <= now) else {
                return;
            };
            controller.admission.call_ended(call.number);
            self.end_call(call.first, CallEnd::Abandoned);
        }
    }

    /// Records the outcome of the call that was being served, and serves the next one.
    pub(super) fn finish_call(&mut self, now: Micros, number: usize) {
        let controller = &mut self.controllers[number];
        if let Some(call) = controller.serving.take() {
            controller.served += 1;
            let latency = now - call.first;
            let end = if latency <= self.plan.latency_objective {
                CallEnd::InTime
            } else if latency <= self.plan.deadline {
                CallEnd::Late
            } else {
                CallEnd::Abandoned
            };
            self.end_call(call.first, end);
        }
        self.serve(now, number);
    }
}
