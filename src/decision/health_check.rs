//! Sends health probes and interprets their results.
//!
//! `response_timeout` decides when a response is overdue, `outlier_ejection` ejects workers. Guards:
//!
//! * after a connection failure the worker gets no new calls until a probe ends, as only the connection may
//!   have failed (half-open connections, resets);
//! * an unresponsive worker is ejected only after two failed probes (a single lost connection);
//! * a probe that times out in the worker's queue indicates load, not a dead process (ejection of slow
//!   workers).
//!
//! `docs/design.md` describes the cost of each guard.

use super::worker_load::PRESSURE_FULL;
use crate::controller::Controller;
use crate::interface::*;
use crate::state::ReplicaKey;

/// Delay before the next probe of a suspect worker if the connection of its last probe broke as well.
const SUSPECT_RETRY: Micros = 100_000;

impl Controller {
    /// Marks the worker as suspect and probes it, after a connection broke or a load order got no answer. The
    /// worker gets no new calls until the probe ends. Connections that break together count as one failure:
    /// returns true only for the first.
    pub(super) fn suspect_connection(&mut self, id: WorkerId) -> bool {
        let Some(worker) = self.workers.get_mut(&id) else { return false };
        let first = !std::mem::replace(&mut worker.connection_suspect, true);
        if first {
            self.send_probe(id);
        }
        first
    }

    /// Sends a probe, unless one is already in flight.
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
        self.release_held(None, None);
    }

    /// Handles an answered probe: a worker that was down returns to service, and load orders that were lost
    /// with a connection of the worker are sent again.
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

    /// Handles a probe without an answer, unless its connection was refused quickly, which shows that the
    /// process died.
    fn probe_failed(&mut self, id: WorkerId, outcome: Outcome, probe: EndedProbe) {
        let connection_broke = matches!(outcome, Outcome::Reset | Outcome::PartlySent);
        if !connection_broke {
            // A probe that times out in a queue indicates load; overdue responses show whether the worker is
            // unresponsive.
            self.record_pressure(id, PRESSURE_FULL);
        }
        let worker = &self.workers[&id];
        let silent = probe.sent.is_some_and(|sent| worker.last_response <= sent);
        let overdue = silent && self.attempts.values().any(|a| self.is_overdue(id, worker, a));
        let late_attempt = self.attempts.values().any(|a| a.worker == id && a.late);
        if outcome == Outcome::ConnectFailed || worker.down || overdue && probe.previous_unanswered {
            self.eject_unresponsive(id);
        } else if connection_broke {
            // The result is inconclusive: probe again after a delay.
            self.workers.get_mut(&id).expect("just seen").connection_suspect = true;
            self.set_timeout_check(id, self.now + SUSPECT_RETRY);
        } else if (overdue || late_attempt || probe.was_suspect) && !probe.previous_unanswered {
            // Only this connection may have failed: probe again at once on another one.
            self.send_probe(id);
            let worker = self.workers.get_mut(&id).expect("just seen");
            worker.probe_unanswered = true;
            worker.connection_suspect = overdue || probe.was_suspect;
        }
    }
}

/// The state of a probe when it ended.
struct EndedProbe {
    /// Send time; `None` if this controller sent no probe.
    sent: Option<Micros>,
    /// The worker was marked as suspect before the probe ended.
    was_suspect: bool,
    /// The previous probe got no answer either.
    previous_unanswered: bool,
}
