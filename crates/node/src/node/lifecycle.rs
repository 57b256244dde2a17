//! Poll timeouts, signal handling, configuration reload and graceful shutdown.

use std::time::{Duration, Instant};

use signal_hook::consts::SIGHUP;
use tracing::{info, warn};

use super::Node;
use super::startup::read_config;
use crate::limits::{MAX_POLL_WAIT, SHUTDOWN_LOG_INTERVAL, SHUTDOWN_QUIET_SPAN};

/// Interval at which counters are logged.
pub(super) const COUNTERS_LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Delay before a failed configuration reload is retried: the file may have been only partly written.
const RELOAD_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Interval at which signals are checked even if the poll reports none: the byte that wakes the poll may be
/// lost.
const SIGNAL_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Shutdown checks per [`SHUTDOWN_QUIET_SPAN`], once that span has passed.
const SHUTDOWN_CHECKS: u32 = 8;

/// The condition for which a shutdown waits. If several apply, the first in this order is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownWait {
    /// Some requests have no answer yet.
    OpenRequests,
    /// Some answers are not yet written to their sockets.
    UnsentAnswers,
    /// [`SHUTDOWN_QUIET_SPAN`] has not passed since shutdown began or a client was last active.
    QuietSpan,
    /// No iteration has yet read all available input after the quiet span without finding client activity.
    QuietIteration,
}

impl Node {
    /// Whether the node may exit: shutdown was requested, no request is open and no output is unsent.
    ///
    /// A process that was suspended finds the quiet span over by the clock while connections wait in the
    /// backlog and requests in socket buffers. Therefore a complete iteration that began after the span must
    /// have found no client activity.
    pub fn is_done(&self) -> bool {
        self.draining_since.is_some() && self.shutdown_waits_for().is_none()
    }

    /// Returns what the shutdown waits for, or `None` if it waits for nothing or has not begun.
    pub fn shutdown_waits_for(&self) -> Option<ShutdownWait> {
        let quiet_span_end = self.quiet_span_end(self.draining_since?);
        let is_quiet = self.quiet_iteration.is_some_and(|at| at >= quiet_span_end);
        if self.engine.open_calls() + self.requests.len() > 0 {
            Some(ShutdownWait::OpenRequests)
        } else if self.tcp.unsent_to_peers() > 0 {
            // An answer counts as sent when it is written to the socket, not when it is queued.
            Some(ShutdownWait::UnsentAnswers)
        } else if is_quiet {
            None
        } else if Instant::now() < quiet_span_end {
            Some(ShutdownWait::QuietSpan)
        } else {
            Some(ShutdownWait::QuietIteration)
        }
    }

    /// The end of the quiet span, as far as is known now: client activity extends it.
    fn quiet_span_end(&self, draining_since: Instant) -> Instant {
        draining_since.max(self.last_client_activity) + SHUTDOWN_QUIET_SPAN
    }

    /// Returns how long the next poll may wait for events.
    pub(super) fn poll_wait(&self) -> Duration {
        if !self.requests.is_empty() || !self.engine_events.is_empty() || self.pools.awaits_read() {
            return Duration::ZERO;
        }
        let now = Instant::now();
        let engine_timer = self.engine.next_timer();
        let engine_timer = engine_timer.map(|at| Duration::from_micros(at.saturating_sub(self.clock.now())));
        let others = [
            Some(self.discovery.due()),
            Some(self.next_counters_log),
            self.reload_at,
            self.draining_since.map(|since| self.shutdown_check_at(since, now)),
        ];
        let others = others.into_iter().flatten().map(|at| at.saturating_duration_since(now));
        others.chain(engine_timer).min().unwrap_or(COUNTERS_LOG_INTERVAL).min(MAX_POLL_WAIT)
    }

    /// Returns when to run the next iteration that checks whether the node may exit.
    fn shutdown_check_at(&self, draining_since: Instant, now: Instant) -> Instant {
        let quiet = self.quiet_span_end(draining_since);
        match self.quiet_iteration {
            _ if now < quiet => quiet,
            Some(at) if at >= quiet => now + SHUTDOWN_QUIET_SPAN / SHUTDOWN_CHECKS,
            _ => now,
        }
    }

    pub(super) fn check_signals(&mut self, now: Instant) {
        if now >= self.next_signal_check {
            self.next_signal_check = now + SIGNAL_CHECK_INTERVAL;
            // The poll reported no signal, so a pending one may have arrived at any time since the last
            // check.
            let earliest = std::mem::replace(&mut self.signals_checked_at, now);
            self.handle_signals(earliest);
        }
    }

    /// Handles a wake-up of the poll by a signal. A signal that arrived while the process was suspended is
    /// handled when it resumes.
    pub(super) fn handle_signal_wakeup(&mut self) {
        self.signals_checked_at = Instant::now();
        self.handle_signals(self.tcp.reported_since());
    }

    /// Handles pending signals. `earliest`: the earliest time at which they may have arrived.
    fn handle_signals(&mut self, earliest: Instant) {
        let pending: Vec<i32> =
            self.signals.as_mut().map(|signals| signals.pending().collect()).unwrap_or_default();
        for signal in pending {
            match signal {
                SIGHUP => self.reload(),
                _ => self.begin_shutdown_since(earliest),
            }
        }
    }

    /// Begins a graceful shutdown, as SIGTERM does: requests that still arrive are served, and the loop ends
    /// after the last answer.
    pub fn begin_shutdown(&mut self) {
        self.begin_shutdown_since(Instant::now());
    }

    /// `earliest`: the earliest time at which the signal may have arrived. The platform counts its kill
    /// timeout from the signal.
    fn begin_shutdown_since(&mut self, earliest: Instant) {
        if self.draining_since.is_none() {
            let now = Instant::now();
            let (open, unopened) = (self.engine.open_calls(), self.requests.len());
            let waiting = self.engine.waiting_calls();
            info!(open, waiting, unopened, signal_age = ?now - earliest, "graceful shutdown begun");
            self.next_shutdown_log = now + SHUTDOWN_LOG_INTERVAL;
            self.draining_since = Some(now);
            self.kill_counts_from = Some(earliest);
            self.quiet_iteration = None;
            self.front.announce_shutdown(&mut self.tcp);
        }
    }

    /// Reads the configuration again, as SIGHUP does. Only the directory's address is applied; other changes
    /// take effect at the next start. A failure is logged and retried after a delay.
    pub fn reload(&mut self) {
        match read_config(&self.path) {
            Ok(config) => {
                self.reload_at = None;
                self.discovery.set_resolver(self.tcp.registry(), config.resolver);
            }
            Err(error) => {
                warn!(%error, "configuration not reloaded, retrying");
                self.reload_at = Some(Instant::now() + RELOAD_RETRY_DELAY);
            }
        }
    }

    /// Records the duration of an iteration and whether it was quiet, and logs counters and shutdown progress
    /// when due.
    pub(super) fn finish_iteration(&mut self, began: Instant) {
        let now = Instant::now();
        let took = now.saturating_duration_since(self.tcp.now()).as_micros() as u64;
        self.counters.longest_iteration = self.counters.longest_iteration.max(took);
        if now >= self.next_counters_log {
            self.next_counters_log = now + COUNTERS_LOG_INTERVAL;
            self.log_counters();
        }
        self.log_shutdown(now);
        let quiet = began > self.last_client_activity && self.tcp.caught_up();
        self.quiet_iteration = quiet.then_some(began);
    }

    /// Logs periodically what the shutdown waits for: a process that is killed can't log it any more.
    fn log_shutdown(&mut self, now: Instant) {
        let Some(since) = self.draining_since.filter(|_| now >= self.next_shutdown_log) else { return };
        self.next_shutdown_log = now + SHUTDOWN_LOG_INTERVAL;
        let Some(waits_for) = self.shutdown_waits_for() else { return };
        let (open, waiting) = (self.engine.open_calls(), self.engine.waiting_calls());
        let (unopened, unsent, clients) =
            (self.requests.len(), self.tcp.unsent_to_peers(), self.front.clients());
        let after = now.saturating_duration_since(since);
        info!(?waits_for, ?after, open, waiting, unopened, unsent, clients, "shutdown in progress");
    }

    pub(super) fn log_counters(&self) {
        let (clients, invoker_connections) = (self.front.clients(), self.tcp.outgoing());
        let (open_calls, waiting_calls) = (self.engine.open_calls(), self.engine.waiting_calls());
        let list_age = self.discovery.list_age(Instant::now());
        info!(clients, invoker_connections, open_calls, waiting_calls, ?list_age, "current load");
        let (input, output) = self.tcp.held();
        let (bodies, calls) = self.front.held();
        let (unopened, engine_events, functions) =
            (self.requests.len(), self.engine_events.len(), self.engine.functions());
        info!(input, output, bodies, calls, unopened, engine_events, functions, "memory held");
        info!(engine = ?self.engine.counters(), "engine counters");
        info!(node = ?self.counters, tcp = ?self.tcp.counters(), "connection counters");
    }
}
