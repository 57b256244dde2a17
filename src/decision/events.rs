//! Entry point of the controller: handles one event at a time by dispatching it to the responsible module.
//!
//! Guards against settings that no controller can run with.

use std::cell::OnceCell;

use super::endpoint_list::POLL_BACKOFF_FIRST;
use crate::controller::Controller;
use crate::interface::*;
use crate::state::{AttemptEnd, AttemptId, ReplicaKey};

impl Controller {
    /// Creates a controller without any state. `seed` is its only source of randomness.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings have no request class, no controller, a `controller_index` that is
    /// not less than `controllers`, or no permitted attempt.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let class_cpu_time = vec![None; settings.classes.len()];
        let candidates = settings.classes.iter().map(|_| OnceCell::new()).collect();
        let poll_backoff = POLL_BACKOFF_FIRST;
        Ok(Self { settings, rng_state: seed, class_cpu_time, candidates, poll_backoff, ..Self::default() })
    }

    /// Handles one event that occurred at `now` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        self.clear_candidates();
        if self.started_at.is_none() {
            self.started_at = Some(now);
            if self.settings.discovery == Discovery::Poll {
                self.actions.push(Action::Watch);
            }
        }
        self.dispatch_event(event);
        self.run_timers();
        self.arm_timer();
        actions.append(&mut self.actions);
    }

    fn dispatch_event(&mut self, event: Event) {
        match event {
            Event::Workers { form, entries } => self.update_endpoints(form, entries),
            Event::Request(request) => self.request_arrived(request),
            Event::Outcome {
                request,
                attempt,
                outcome,
                finished,
                elapsed,
                note,
                concurrent_calls,
                report,
                ..
            } => {
                let id = AttemptId { request, number: attempt };
                if let (Some(at), Some(report)) = (self.attempts.get(&id).map(|a| a.worker), report) {
                    self.record_report(at, report);
                }
                self.attempt_ended(id, AttemptEnd { outcome, finished, elapsed, note, concurrent_calls });
            }
            Event::Started { request, .. } => self.stream_started(request),
            Event::Loaded { worker, function, outcome, replicas, elapsed } => {
                let replica = ReplicaKey { worker, function };
                self.load_ended(replica, outcome, replicas, elapsed);
            }
            Event::Probed { worker, outcome, report } => self.probe_ended(worker, outcome, report),
            Event::Timer { .. } | Event::Message { .. } => {}
            Event::ClientGone { request } => self.close_call_and_cancel_loads(request),
        }
    }
}
