//! Updates metrics, logs changes of the restart limiter and the lease, and publishes the status of this controller to
//! the administration.

use std::collections::BTreeSet;
use std::time::Instant;

use nettleferry::{Micros, WorkerState};
use nettleferry_admin::api;
use nettleferry_config::Worker;
use nettleferry_fleet::gate::Step;
use nettleferry_fleet::lease::Stage;
use nettleferry_metrics::FleetState;
use tracing::{info, warn};

use super::Controller;
use crate::call_steps::count_call_steps;

/// Minimum time between two updates of the metrics of workers and limits, microseconds. They are updated on events
/// only.
const REFRESH_INTERVAL: Micros = 200_000;

impl Controller {
    /// Updates the counters of calls, passes entries of the audit log to its writer, and at most once in each
    /// [`REFRESH_INTERVAL`] updates the metrics that take longer to collect. Called after each poll of the event loop.
    pub(super) fn update_metrics(&mut self) {
        self.count_call_steps();
        self.record(|recorder, now, names| recorder.tick(now, names));
        self.write_audit_log();
        self.metrics.record_measurements(&mut self.engine);
        let now = self.clock.now();
        if now >= self.next_refresh {
            self.next_refresh = now + REFRESH_INTERVAL;
            self.refresh();
        }
    }

    /// Updates the metrics of workers, limits, the recovery, the lease and the fleet, and publishes the status.
    pub(super) fn refresh(&mut self) {
        self.log_restart_admission();
        self.log_lease_stage();
        let (net, front) = (self.hub.counters(), self.front.counters());
        self.metrics.update_workers_and_limits(
            &self.engine,
            &net,
            &front,
            self.worker_links.connections_exhausted,
        );
        let now = self.clock.now_ms();
        let lease = self.lease.as_ref().map(|lease| (lease.stage(now), lease.counters()));
        let admission = &self.restart_admission;
        self.metrics.set_recovery(admission.limiter.as_ref(), admission.final_counters, front.without_lease);
        self.metrics.set_lease(lease);
        self.publish_status();
    }

    /// Updates the status that the administration publishes, and the metrics that depend on it.
    fn publish_status(&mut self) {
        let (Some(tenants), Some(server)) = (&mut self.tenants, &self.admin_server) else { return };
        self.metrics.set_rejections(tenants.rejections());
        let mut status = server.status();
        if tenants.uses_loans()
            && let Some(demands) = tenants.measure_demands(self.clock.now())
        {
            status.demands = demands;
            status.demands_measured_at = Some(Instant::now());
        }
        status.revision = tenants.revision();
        let fleet = status.fleet;
        self.metrics.set_fleet(&FleetState {
            stale_incarnations: fleet.incarnations_behind,
            fenced_incarnations: fleet.incarnations_fenced,
            recovery_pending: fleet.recovery_pending,
        });
        tenants.publish_usage(&mut status.usage);
        if std::mem::take(&mut self.list_publish_pending) {
            let worker = |worker| published_worker(worker, &self.drained_workers);
            status.workers = self.listed_workers.iter().map(worker).collect();
        }
    }

    /// Reports the phases of open calls to the restart limiter and the tenants' limits, as far as they are active.
    pub(super) fn count_call_steps(&mut self) {
        if self.tenants.is_none() && self.restart_admission.limiter.is_none() {
            return;
        }
        let limiter = self.restart_admission.limiter.as_mut();
        count_call_steps(self.clock.now(), &mut self.engine, limiter, self.tenants.as_mut());
    }

    /// Advances the recovery from a restart, logs each new step, and removes the limiter after the last one.
    fn log_restart_admission(&mut self) {
        let admission = &mut self.restart_admission;
        let Some(limiter) = &mut admission.limiter else { return };
        limiter.advance(self.clock.now_ms(), self.engine.counters().served);
        let (step, at_ms) = limiter.step();
        if admission.logged_step.replace(step) != Some(step) {
            let refused = limiter.counters();
            info!(
                step = step.as_str(),
                at_ms,
                waits = limiter.waiting_calls(),
                ?refused,
                "recovery step changed"
            );
        }
        if step == Step::Complete {
            admission.final_counters = limiter.counters();
            admission.limiter = None;
            if self.tenants.is_none() {
                self.engine.stop_recording_phases();
            }
        }
    }

    /// Logs changes of the lease's stage.
    fn log_lease_stage(&mut self) {
        let now = self.clock.now_ms();
        let Some(lease) = &self.lease else { return };
        let (stage, counters) = (lease.stage(now), lease.counters());
        if self.logged_lease_stage.replace(stage) != Some(stage) {
            let (stage_name, remaining_ms) = (stage.as_str(), lease.remaining(now));
            if stage == Stage::Current {
                info!(stage = stage_name, remaining_ms, ?counters, "lease is current");
            } else {
                warn!(stage = stage_name, ?counters, "lease is not current: its snapshot may be outdated");
            }
        }
    }
}

/// Converts a listed worker for the administration API.
fn published_worker(worker: &Worker, drained_workers: &BTreeSet<String>) -> api::Worker {
    let listed = match worker.state {
        WorkerState::On => "on",
        WorkerState::Draining => "draining",
        WorkerState::Gone => "gone",
    };
    api::Worker {
        name: worker.name.clone(),
        address: worker.address.to_string(),
        zone: worker.zone.clone(),
        listed: listed.to_owned(),
        drained: drained_workers.contains(&worker.name),
    }
}
