//! Shutdown: the first signal drains the controller, a second one stops it without waiting for open calls.
//!
//! A drain is done when no call is open and the clients have received their responses. A client that takes nothing for
//! [`CLIENT_STALL_TIMEOUT`] is given up.

use std::ops::ControlFlow;
use std::time::Duration;

use nettleferry::Micros;
use nettleferry_net::Undelivered;
use tracing::{info, warn};

use super::{Controller, Shutdown};

/// Time that clients which have received all their responses have to close their connections, microseconds.
const CLOSE_GRACE: Micros = 500_000;
/// Time without any progress on its connection after which a client that has yet to receive a response is given up.
const CLIENT_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which a draining controller checks whether it is done, microseconds.
const DRAIN_CHECK_INTERVAL: Micros = 20_000;

/// The state of a drain.
pub(super) struct Drain {
    /// Time on the controller's clock at which the drain ends in any case.
    deadline: Micros,
    /// Time at which the drain ends although clients have connections open. Set once no call is open and all responses
    /// were received.
    close_at: Option<Micros>,
    /// A client was given up that had yet to receive a response.
    has_lost_responses: bool,
}

impl Controller {
    /// Handles received signals. The first one starts the drain; on a second one this returns `Break`.
    pub(super) fn handle_signals(&mut self) -> ControlFlow<Shutdown> {
        let received = self.signals.as_mut().map_or(0, |signals| signals.pending().count());
        for _ in 0..received {
            if self.drain.is_some() {
                warn!("second signal: stopping at once");
                return ControlFlow::Break(Shutdown::Forced);
            }
            self.start_drain();
        }
        ControlFlow::Continue(())
    }

    /// Stops accepting connections and calls. Open calls continue until they are answered or the drain times out.
    fn start_drain(&mut self) {
        info!(open_calls = self.engine.open_calls(), "signal received: draining");
        let deadline = self.clock.now() + self.config.edge.drain_timeout;
        self.drain = Some(Drain { deadline, close_at: None, has_lost_responses: false });
        self.hub.stop_listening();
        self.hub.go_away();
        self.with_front(|front, context| front.drain(context));
        self.execute_commands();
    }

    /// The time of the next check whether the drain is done; `Micros::MAX` while the controller is not draining.
    pub(super) fn next_drain_check(&self) -> Micros {
        let next_check = |drain: &Drain| drain.deadline.min(self.clock.now() + DRAIN_CHECK_INTERVAL);
        self.drain.as_ref().map_or(Micros::MAX, next_check)
    }

    /// Returns the kind of shutdown, if the drain is done or has timed out. The drain is done when no call is open, the
    /// clients have received their responses, and they have closed their connections or [`CLOSE_GRACE`] has passed.
    pub(super) fn shutdown_due(&mut self) -> Option<Shutdown> {
        let deadline = self.drain.as_ref()?.deadline;
        let now = self.clock.now();
        let is_over = now >= deadline;
        self.give_up_clients(if is_over { Duration::ZERO } else { CLIENT_STALL_TIMEOUT });
        let open_calls = self.engine.open_calls();
        if is_over && open_calls > 0 {
            warn!(open_calls, "drain timed out");
            return Some(Shutdown::Forced);
        }
        if open_calls > 0 || !self.hub.undelivered().is_empty() {
            return None;
        }
        let drain = self.drain.as_mut()?;
        let close_at = *drain.close_at.get_or_insert(now + CLOSE_GRACE);
        let is_done = is_over || now >= close_at || self.hub.accepted_connections() == 0;
        let shutdown = if drain.has_lost_responses { Shutdown::Forced } else { Shutdown::Graceful };
        is_done.then_some(shutdown)
    }

    /// Closes the connections of clients that have yet to receive a response and made no progress for `stall`.
    fn give_up_clients(&mut self, stall: Duration) {
        let lost = self.hub.close_stalled(stall);
        if lost.is_empty() {
            return;
        }
        let Undelivered { connections, streams, bytes } = lost;
        warn!(connections, streams, bytes, ?stall, "clients given up that did not take their responses");
        if let Some(drain) = &mut self.drain {
            drain.has_lost_responses = true;
        }
    }

    /// Writes the last entries of the audit log, and updates the metrics. The last samples are then sent by remote
    /// write, unless the shutdown is forced. Returns `shutdown`.
    pub(super) fn finish(&mut self, shutdown: Shutdown) -> Shutdown {
        self.close_audit_entry();
        self.write_audit_log();
        // Remote write samples the metrics once more at its end, so they must be complete before.
        self.metrics.record_measurements(&mut self.engine);
        self.refresh();
        match (shutdown, self.remote_writer.take()) {
            (Shutdown::Forced, Some(writer)) => writer.abandon(),
            (_, writer) => drop(writer),
        }
        let (engine, net, front) = (self.engine.counters(), self.hub.counters(), self.front.counters());
        let (no_room, lists_rejected) =
            (self.worker_links.connections_exhausted, self.list_watcher.rejected());
        info!(?engine, ?net, ?front, no_room, lists_rejected, "stopped");
        shutdown
    }
}
