//! Passes the progress of open calls from the engine to the two admission controls, which count calls by phase.

use nettleferry::Micros;
use nettleferry_engine::{Engine, Phase, Step};
use nettleferry_fleet::gate::Gate;

use crate::tenants::Tenants;

/// Reports all phases that the engine recorded since the last call of this function: to the restart limiter, which is
/// present only while it limits calls after a restart, and to the tenants' limits. `now` is the controller's time.
pub(crate) fn count_call_steps(
    now: Micros,
    engine: &mut Engine,
    mut limiter: Option<&mut Gate>,
    mut tenants: Option<&mut Tenants>,
) {
    for phase in engine.drain_phases() {
        if let Some(limiter) = &mut limiter {
            count_for_limiter(limiter, now, &phase);
        }
        if let Some(tenants) = &mut tenants {
            tenants.record_step(now, phase);
        }
    }
}

/// Reports one phase to the restart limiter, which judges new calls by how long open ones have waited for a worker.
fn count_for_limiter(limiter: &mut Gate, now: Micros, phase: &Phase) {
    match phase.step {
        Step::AttemptStarted => limiter.call_assigned(phase.front_token),
        // The limiter has kept the call's model during the attempt; from now on the call counts as waiting again.
        Step::AttemptEnded => limiter.call_returned(now / 1000, phase.front_token),
        Step::CallEnded(_) => limiter.call_ended(phase.front_token),
    }
}
