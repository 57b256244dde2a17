//! Decides when a worker is probed and what the probe's end means.
//!
//! Leaves the time at which responses are overdue to `response_timeout`, ejection itself to
//! `outlier_ejection`. Guards: a connection that broke may have failed alone, so nothing new goes there
//! until a probe has ended (half-dead links, resets); two probes must fail before silence ejects (one lost
//! connection); a probe that times out in a queue shows load and no death (slow workers ejected). Harm
//! of each: `docs/design.md`.

use super::worker_load::PRESSURE_FULL;
use crate::controller::Controller;
use crate::interface::*;
use crate::state::ReplicaKey;

/// How long a suspect worker is left alone when the probe's connection broke as well.
const SUSPECT_RETRY: Micros = 100_000;

impl Controller {
    /// A connection that broke, or is silent, may have failed alone: nothing new goes there until a probe has
    /// ended. What breaks together counts once: true for the first.
    pub(super) fn suspect_connection(&mut self, id: WorkerId) -> bool {
        let Some(worker) = self.workers.get_mut(&id) else { return false };
        let first = !std::mem::replace(&mut worker.connection_suspect, true);
        if first {
            self.send_probe(id);
        }
        first
    }

    /// Probes a worker, unless a probe is in flight.
    pub(super) fn send_probe(&mut self, id: WorkerId) {
        if let Some(worker) = self.workers.get_mut(&id).filter(|w| w.probe_sent.is_none()) {
            worker.probe_sent = Some(self.now);
            self.actions.push(Action::Probe { worker: id });
        }
    }

    pub(super) fn probe_ended(&mut self, id: WorkerId, outcome: Outcome, report: Option<Report>) {
        if let Some(report) = report {
            self.record_report(id, report);
        }
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let probe = EndedProbe {
            sent: worker.probe_sent.take(),
            was_suspect: std::mem::take(&mut worker.connection_suspect),
            previous_unanswered: std::mem::take(&mut worker.probe_unanswered),
        };
        let refusal_limit = self.settings.limits.connect_timeout / 2;
        let quick = probe.sent.is_some_and(|sent| self.now < sent + refusal_limit);
        if outcome == Outcome::Ok {
            self.probe_answered(id);
        } else if outcome == Outcome::ConnectFailed && quick {
            self.process_died(id);
        } else {
            self.probe_failed(id, outcome, probe);
        }
        self.schedule_timeout_check(id);
        self.release_held(None);
    }

    /// The worker lives: it is back if it was down, and its lost load orders are given again.
    fn probe_answered(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.last_response = self.now;
        if worker.down {
            worker.reset_failures();
            if worker.started_at != worker.entry.started_at {
                worker.restart(Some(self.now), None);
            }
        }
        for function in std::mem::take(&mut worker.lost_orders) {
            let replica = ReplicaKey { worker: id, function };
            self.load_finished(replica);
            self.order_replica(replica);
        }
    }

    /// The probe had no answer, and its connection was not refused.
    fn probe_failed(&mut self, id: WorkerId, outcome: Outcome, probe: EndedProbe) {
        let connection_broke = matches!(outcome, Outcome::Reset | Outcome::PartlySent);
        if !connection_broke {
            // One that waits in a queue and times out shows load; silence is shown by what is pending.
            self.record_pressure(id, PRESSURE_FULL);
        }
        let worker = &self.workers[&id];
        let silent = probe.sent.is_some_and(|sent| worker.last_response <= sent);
        let overdue = silent && self.attempts.values().any(|a| self.is_overdue(id, worker, a));
        let late_attempt = self.attempts.values().any(|a| a.worker == id && a.probed);
        if outcome == Outcome::ConnectFailed || worker.down || overdue && probe.previous_unanswered {
            self.eject_unresponsive(id);
        } else if connection_broke {
            // It shows nothing: probed once more in a while.
            self.workers.get_mut(&id).expect("just seen").connection_suspect = true;
            self.set_timeout_check(id, self.now + SUSPECT_RETRY);
        } else if (overdue || late_attempt || probe.was_suspect) && !probe.previous_unanswered {
            // Its connection may have failed alone: probed at once on another.
            self.send_probe(id);
            let worker = self.workers.get_mut(&id).expect("just seen");
            worker.probe_unanswered = true;
            worker.connection_suspect = overdue || probe.was_suspect;
        }
    }
}

/// What was known of a probe as it ended.
struct EndedProbe {
    /// When it was sent; `None`: it was not ours.
    sent: Option<Micros>,
    /// It was sent because a connection broke.
    was_suspect: bool,
    /// The probe before was not answered either.
    previous_unanswered: bool,
}
