//! What has become of open calls, counted where calls are admitted.

use nettleferry::Micros;
use nettleferry_engine::{Engine, Phase, Step};
use nettleferry_fleet::gate::Gate;

use crate::tenants::Tenants;

/// Counts the steps of calls since the last time: for the limiter after a restart, then for the tenants' limits.
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

/// The limiter looks at how long calls wait for a worker.
fn count_for_limiter(limiter: &mut Gate, now: Micros, phase: &Phase) {
    match phase.step {
        Step::AttemptStarted => limiter.call_assigned(phase.front_token),
        // Its model stays known while a worker has it; from now on it waits again.
        Step::AttemptEnded => limiter.call_returned(now / 1000, phase.front_token),
        Step::CallEnded(_) => limiter.call_ended(phase.front_token),
    }
}
