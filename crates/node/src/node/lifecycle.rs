//! When the loop waits, what the node does on signals, and when it ends.

use std::time::{Duration, Instant};

use signal_hook::consts::SIGHUP;
use tracing::{info, warn};

use super::Node;
use super::startup::read_config;
use crate::limits::{MAX_POLL_WAIT, SHUTDOWN_QUIET_SPAN};

/// How often counters are logged.
pub(super) const COUNTERS_LOG_INTERVAL: Duration = Duration::from_secs(5);
/// A configuration that could not be read is read again after this span: it may have been half written.
const RELOAD_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Signals are checked this often though the poll reports none: the byte that wakes it may be lost.
const SIGNAL_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How often in the length of a quiet span the end is checked for, once the span is over.
const SHUTDOWN_CHECKS: u32 = 8;

impl Node {
    /// Whether it may end: it was asked to, and nothing is open or on its way. A process that did not run for a while
    /// finds its quiet span over by the clock, with connections in the backlog and requests in sockets: so a complete
    /// iteration that began after that span must have looked and found nothing.
    pub fn is_done(&self) -> bool {
        self.draining_since.is_some_and(|since| {
            let quiet = self.quiet_iteration.is_some_and(|at| at >= self.quiet_span_end(since));
            // An answer is given when the system has it, not when it is queued.
            let open = self.engine.open_calls() + self.requests.len();
            quiet && open == 0 && self.tcp.unsent_to_peers() == 0
        })
    }

    /// When no client may be expected any more, as far as is known now.
    fn quiet_span_end(&self, draining_since: Instant) -> Instant {
        draining_since.max(self.last_client_activity) + SHUTDOWN_QUIET_SPAN
    }

    /// How long the next poll may wait.
    pub(super) fn poll_wait(&self) -> Duration {
        if !self.requests.is_empty() {
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

    /// A wake-up tells of a signal.
    pub(super) fn signal_woke(&mut self) {
        let now = Instant::now();
        self.signals_checked_at = now;
        self.handle_signals(now);
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
            info!("graceful shutdown begun");
            self.draining_since = Some(Instant::now());
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
        let quiet = began > self.last_client_activity && self.tcp.caught_up();
        self.quiet_iteration = quiet.then_some(began);
    }

    pub(super) fn log_counters(&self) {
        let (clients, invoker_connections) = (self.front.clients(), self.tcp.outgoing());
        let (open_calls, waiting_calls) = (self.engine.open_calls(), self.engine.waiting_calls());
        info!(clients, invoker_connections, open_calls, waiting_calls, "current load");
        info!(engine = ?self.engine.counters(), "engine counters");
        info!(node = ?self.counters, tcp = ?self.tcp.counters(), "connection counters");
    }
}
