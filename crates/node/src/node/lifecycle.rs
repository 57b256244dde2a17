//! When the loop waits, what the node does on signals, and when it ends.

use std::time::{Duration, Instant};

use signal_hook::consts::SIGHUP;
use tracing::{info, warn};

use super::Node;
use super::startup::read_config;
use crate::limits::{MAX_POLL_WAIT, SHUTDOWN_LOG_INTERVAL, SHUTDOWN_QUIET_SPAN};

/// How often counters are logged.
pub(super) const COUNTERS_LOG_INTERVAL: Duration = Duration::from_secs(5);
/// A configuration that could not be read is read again after this span: it may have been half written.
const RELOAD_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Signals are checked this often though the poll reports none: the byte that wakes it may be lost.
const SIGNAL_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How often in the length of a quiet span the end is checked for, once the span is over.
const SHUTDOWN_CHECKS: u32 = 8;

/// What a shutdown waits for, the first of these.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownWait {
    /// Requests have no answer yet.
    OpenRequests,
    /// The system has not taken all answers.
    UnsentAnswers,
    /// Clients may still send something.
    QuietSpan,
    /// An iteration that reads all there is and finds nothing.
    QuietIteration,
}

impl Node {
    /// Whether it may end: it was asked to, and nothing is open or on its way. A process that did not run for a while
    /// finds its quiet span over by the clock, with connections in the backlog and requests in sockets: so a complete
    /// iteration that began after that span must have looked and found nothing.
    pub fn is_done(&self) -> bool {
        self.draining_since.is_some() && self.shutdown_waits_for().is_none()
    }

    /// What a shutdown waits for; `None`: nothing, or it was not begun.
    pub fn shutdown_waits_for(&self) -> Option<ShutdownWait> {
        let quiet_span_end = self.quiet_span_end(self.draining_since?);
        let is_quiet = self.quiet_iteration.is_some_and(|at| at >= quiet_span_end);
        if self.engine.open_calls() + self.requests.len() > 0 {
            Some(ShutdownWait::OpenRequests)
        } else if self.tcp.unsent_to_peers() > 0 {
            // An answer is given when the system has it, not when it is queued.
            Some(ShutdownWait::UnsentAnswers)
        } else if is_quiet {
            None
        } else if Instant::now() < quiet_span_end {
            Some(ShutdownWait::QuietSpan)
        } else {
            Some(ShutdownWait::QuietIteration)
        }
    }

    /// When no client may be expected any more, as far as is known now.
    fn quiet_span_end(&self, draining_since: Instant) -> Instant {
        draining_since.max(self.last_client_activity) + SHUTDOWN_QUIET_SPAN
    }

    /// How long the next poll may wait.
    pub(super) fn poll_wait(&self) -> Duration {
        if !self.requests.is_empty() || self.pools.awaits_read() {
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

    /// When the node is to look whether it may end: an iteration of its own, as soon as it may be the last.
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
            // No wake-up has told of it: it may have come at any time since the last look.
            let earliest = std::mem::replace(&mut self.signals_checked_at, now);
            self.handle_signals(earliest);
        }
    }

    /// A wake-up tells of a signal. One that came while the process was stopped is handled when it goes on.
    pub(super) fn signal_woke(&mut self) {
        self.signals_checked_at = Instant::now();
        self.handle_signals(self.tcp.reported_since());
    }

    /// `earliest`: when a signal that is found now may have come.
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

    /// Begins a graceful shutdown, as SIGTERM does: what arrives is served, and the end follows the last answer.
    pub fn begin_shutdown(&mut self) {
        self.begin_shutdown_since(Instant::now());
    }

    /// `earliest`: when the signal may have come, from which the platform counts the time to its kill.
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

    /// Reads the configuration again, as after SIGHUP: the directory's address is applied; the rest stands until the next
    /// start.
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

    /// Counts an iteration, logs counters when that is due, and notes whether the iteration was quiet.
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

    /// A process that is killed tells nothing of its end: so it tells on its way what it waits for.
    fn log_shutdown(&mut self, now: Instant) {
        let Some(since) = self.draining_since.filter(|_| now >= self.next_shutdown_log) else { return };
        self.next_shutdown_log = now + SHUTDOWN_LOG_INTERVAL;
        let Some(waits_for) = self.shutdown_waits_for() else { return };
        let (open, waiting) = (self.engine.open_calls(), self.engine.waiting_calls());
        let (unopened, unsent, clients) =
            (self.requests.len(), self.tcp.unsent_to_peers(), self.front.clients());
        let after = now.saturating_duration_since(since);
        info!(?waits_for, ?after, open, waiting, unopened, unsent, clients, "shutdown goes on");
    }

    pub(super) fn log_counters(&self) {
        let (clients, invoker_connections) = (self.front.clients(), self.tcp.outgoing());
        let (open_calls, waiting_calls) = (self.engine.open_calls(), self.engine.waiting_calls());
        let list_age = self.discovery.list_age(Instant::now());
        info!(clients, invoker_connections, open_calls, waiting_calls, ?list_age, "current load");
        info!(engine = ?self.engine.counters(), "engine counters");
        info!(node = ?self.counters, tcp = ?self.tcp.counters(), "connection counters");
    }
}
