//! The end of a controller: the first signal drains it, a second one stops it at once.

use std::ops::ControlFlow;

use nettleferry::Micros;
use tracing::{info, warn};

use super::{Controller, Shutdown};

/// How long clients have to read their answers and to close after the last call of a drain has ended. Microseconds.
const CLOSE_GRACE: Micros = 500_000;
/// While it drains, the controller checks this often whether it is done. Microseconds.
const DRAIN_CHECK_INTERVAL: Micros = 20_000;

impl Controller {
    /// Handles the signals that came: the first begins to drain. `Break`: it was not the first.
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

    /// Accepts no new calls; open ones get their answers.
    fn start_drain(&mut self) {
        info!(open_calls = self.engine.open_calls(), "signal received: draining");
        self.drain_deadline = Some(self.clock.now() + self.config.edge.drain_timeout);
        self.hub.stop_listening();
        self.hub.go_away();
        self.with_front(|front, context| front.drain(context));
        self.execute_commands();
    }

    /// When to check next whether the drain is done.
    pub(super) fn next_drain_check(&self) -> Micros {
        let next_check = |deadline: Micros| deadline.min(self.clock.now() + DRAIN_CHECK_INTERVAL);
        self.drain_deadline.map_or(Micros::MAX, next_check)
    }

    /// Whether the drain is done or has timed out.
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

    /// Writes the last entries and metrics, and sends the last samples.
    pub(super) fn finish(&mut self, shutdown: Shutdown) -> Shutdown {
        self.close_audit_entry();
        self.write_audit_log();
        // The last push is to have what was counted last.
        self.metrics.record_measurements(&mut self.engine);
        self.refresh();
        match (shutdown, self.remote_writer.take()) {
            (Shutdown::Forced, Some(writer)) => writer.abandon(),
            (_, writer) => drop(writer),
        }
        let (engine, net, front) = (self.engine.counters(), self.hub.counters(), self.front.counters());
        let (no_room, lists_rejected) = (self.worker_links.no_room, self.list_watcher.rejected());
        info!(?engine, ?net, ?front, no_room, lists_rejected, "stopped");
        shutdown
    }
}
