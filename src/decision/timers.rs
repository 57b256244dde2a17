//! Runs expired timers and requests timer events from the embedding program.
//!
//! The effect of a timer is defined in the module that schedules it. Guards against held calls without an
//! answer: a timer event is always requested for the next timer.

use super::arrivals::ARRIVAL_WINDOW;
use crate::controller::Controller;
use crate::interface::Action;
use crate::state::TimerKind;

/// Tag of all timer events that the controller requests.
const TIMER_TAG: u64 = 1;

impl Controller {
    pub(super) fn run_timers(&mut self) {
        while let Some(&timer) = self.timers.first() {
            if timer.at > self.now {
                break;
            }
            self.timers.pop_first();
            match timer.kind {
                TimerKind::AnswerDeadline(id) => self.send_final_answer(id),
                TimerKind::ObjectivePassed(id) => self.objective_passed(id),
                TimerKind::ResponseTimeout(id) => self.check_timeouts(id),
                TimerKind::PollList => self.actions.push(Action::Watch),
                TimerKind::ReleaseHeld => {
                    self.release_timer_set = false;
                    self.release_held(None, None);
                    self.set_release_timer();
                }
            }
        }
        if self.now > self.swept_at + ARRIVAL_WINDOW {
            self.sweep();
        }
        self.sweep_idle_functions();
    }

    /// Requests an event for the earliest timer, unless one is already requested for that time or earlier.
    pub(super) fn arm_timer(&mut self) {
        if self.armed_for.is_some_and(|t| t <= self.now) {
            self.armed_for = None;
        }
        if let Some(timer) = self.timers.first()
            && self.armed_for.is_none_or(|t| timer.at < t)
        {
            self.armed_for = Some(timer.at);
            let after = timer.at.saturating_sub(self.now);
            self.actions.push(Action::SetTimer { after, tag: TIMER_TAG });
        }
    }
}
