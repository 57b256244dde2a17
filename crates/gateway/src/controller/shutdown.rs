//! Shutdown: the first signal drains the controller, a second one stops it without waiting for open calls.

use std::ops::ControlFlow;

use nettleferry::Micros;
use tracing::{info, warn};

use super::{Controller, Shutdown};

/// Time that clients have to read their answers and close their connections after the last call has ended,
/// microseconds.
const CLOSE_GRACE: Micros = 500_000;
/// Interval at which a draining controller checks whether it is done, microseconds.
const DRAIN_CHECK_INTERVAL: Micros = 20_000;

impl Controller {
    /// Handles received signals. The first one starts the drain; on a second one this returns `Break`.
    pub(super) fn handle_signals(&mut self) -> ControlFlow<Shutdown> {
        let received = self.signals.as_mut().map_or(0, |signals| signals.pending().count());
        for _ in 0..received {
            if self.drain_deadline.is_some() {
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
        self.drain_deadline = Some(self.clock.now() + self.config.edge.drain_timeout);
        self.hub.stop_listening();
        self.hub.go_away();
        self.with_front(|front, context| front.drain(context));
        self.execute_commands();
    }

    /// The time of the next check whether the drain is done; `Micros::MAX` while the controller is not draining.
    pub(super) fn next_drain_check(&self) -> Micros {
        let next_check = |deadline: Micros| deadline.min(self.clock.now() + DRAIN_CHECK_INTERVAL);
        self.drain_deadline.map_or(Micros::MAX, next_check)
    }

    /// Returns the kind of shutdown, if the drain is done or has timed out. The drain is done when no call is open, and
    /// the clients have closed their connections or [`CLOSE_GRACE`] has passed.
    pub(super) fn shutdown_due(&mut self) -> Option<Shutdown> {
        let deadline = self.drain_deadline?;
        let now = self.clock.now();
        if self.engine.open_calls() == 0 {
            if self.hub.accepted_connections() == 0 {
                return Some(Shutdown::Graceful);
            }
            self.drain_deadline = Some(deadline.min(now + CLOSE_GRACE));
            return (now >= deadline).then_some(Shutdown::Graceful);
        }
        (now >= deadline).then(|| {
            warn!(open_calls = self.engine.open_calls(), "drain timed out");
            Shutdown::Forced
        })
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
