//! The event loop: passes events from sockets, signals and timers to the engine, and executes the engine's
//! commands (answers, attempts and control requests).
//!
//! This module holds the state and one iteration of the loop. Its submodules:
//!
//! * `startup`: builds a node from its configuration.
//! * `lifecycle`: poll timeouts, configuration reload and shutdown.
//! * `dispatch`: reads the sockets and passes the events to the engine.
//! * `execute`: executes the engine's commands.
//! * `worker_list`: applies a list of invokers.

mod dispatch;
mod execute;
mod lifecycle;
mod startup;
mod worker_list;

pub use lifecycle::ShutdownWait;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use nettleferry_engine::{Command, Engine, EngineCounters, Event};
use nettleferry_net::clock::Clock;
use nettleferry_net::tcp::{Tcp, TcpCounters, TcpEvent, TcpKey};
use signal_hook_mio::v1_0::Signals;
use tracing::info;

use crate::class::ClassInfo;
use crate::directory::DiscoveryClient;
use crate::error::NodeError;
use crate::front::{ClientEvent, Front};
use crate::guard::Violation;
use crate::limits::{Counters, ENGINE_EVENTS_PER_ITERATION};
use crate::log_budget::LogBudget;
use crate::pools::{ConnectionPools, PoolContext};
use crate::request_queue::RequestQueue;
use crate::start_times::StartTimes;

/// Poll source for signals.
const SIGNALS: usize = 0;
/// Poll source for responses of the directory.
const DIRECTORY: usize = 1;

/// A controller on the platform: its sockets, its engine and the state of the event loop.
pub struct Node {
    /// Path of the configuration file.
    path: PathBuf,
    clock: Clock,
    tcp: Tcp,
    engine: Engine,
    front: Front,
    pools: ConnectionPools,
    discovery: DiscoveryClient,
    start_times: StartTimes,
    signals: Option<Signals>,
    classes: Vec<ClassInfo>,
    /// The longest deadline of any class.
    longest_deadline: Duration,
    local_addr: SocketAddr,
    counters: Counters,
    /// Start of the graceful shutdown; `None` before that.
    draining_since: Option<Instant>,
    /// The earliest time at which the shutdown signal may have arrived; the platform counts its kill timeout
    /// from then.
    kill_counts_from: Option<Instant>,
    /// Time at which a client last connected or sent something.
    last_client_activity: Instant,
    /// Start of the latest iteration, if it read all available input and no client connected or sent anything
    /// in it; else `None`.
    quiet_iteration: Option<Instant>,
    /// Time of the next retry of a failed reload of the configuration; `None` if no reload has failed.
    reload_at: Option<Instant>,
    /// Rate limit for log lines of the decision module.
    module_log: LogBudget,
    next_counters_log: Instant,
    /// Time at which the shutdown progress is logged next, if a shutdown has begun.
    next_shutdown_log: Instant,
    next_signal_check: Instant,
    /// Time at which pending signals were last checked.
    signals_checked_at: Instant,
    tcp_events: Vec<TcpEvent>,
    client_events: Vec<ClientEvent>,
    /// Requests that were read but not yet opened at the engine. Each iteration opens up to
    /// [`crate::limits::OPENS_PER_ITERATION`] of them; the queue is bounded by the requests that clients may
    /// have open.
    requests: RequestQueue,
    /// Number of events that this iteration may still pass to the engine.
    engine_events_left: usize,
    /// Events that have not been passed to the engine yet. Each iteration passes up to
    /// [`crate::limits::ENGINE_EVENTS_PER_ITERATION`] of them; they are bounded by the open requests.
    engine_events: Vec<Event>,
    commands: Vec<Command>,
}

/// Events of one iteration that are handled after all sockets have been read.
#[derive(Default)]
struct PendingEvents {
    /// Responses of the directory have arrived.
    list: bool,
    /// Connections to invokers that were established in this iteration.
    connected: Vec<TcpKey>,
}

impl Node {
    /// The address on which the node accepts clients.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Counters of the engine since the start.
    pub fn engine_counters(&self) -> EngineCounters {
        self.engine.counters()
    }

    /// Counters of the TCP connections.
    pub fn tcp_counters(&self) -> TcpCounters {
        self.tcp.counters()
    }

    /// Counters of the node itself.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Runs the event loop until a signal has requested shutdown and all accepted requests are answered.
    ///
    /// # Errors
    ///
    /// Returns an error if the poll fails.
    pub fn run(&mut self) -> Result<(), NodeError> {
        while !self.is_done() {
            self.iterate(None)?;
        }
        let open = self.engine.open_calls() + self.requests.len();
        if open > 0 {
            self.counters.violations.report(Violation::EndWithRequests, &open);
        }
        let took = self.draining_since.map(|since| since.elapsed());
        info!(open, ?took, "shutdown complete");
        self.log_counters();
        Ok(())
    }

    /// Runs one iteration of the event loop and waits at most `max_wait` for events.
    ///
    /// All ready sockets are read first. The events are then handled in this order, regardless of the order
    /// in which they arrived within the iteration:
    ///
    /// 1. Broken connections, so that nothing is written to them.
    /// 2. All client disconnects, so that nothing is forwarded for a client that has disconnected.
    /// 3. A new list, so that nothing is sent to an invoker that it takes out of service.
    /// 4. Responses of invokers, up to [`crate::limits::ENGINE_EVENTS_PER_ITERATION`].
    /// 5. Newly established connections: the commands queued for them are written.
    /// 6. Answers that are due. They are written before any new request is opened.
    /// 7. New requests, up to [`crate::limits::OPENS_PER_ITERATION`], so that clients are read again soon. Their
    ///    connections take turns.
    /// 8. Timers: a reload that is to be retried, a query to the directory, and the timers of the engine.
    /// 9. All output queued by these steps is written.
    ///
    /// # Errors
    ///
    /// Returns an error if the poll fails.
    pub fn iterate(&mut self, max_wait: Option<Duration>) -> Result<(), NodeError> {
        let wait = self.poll_wait();
        let wait = max_wait.map_or(wait, |max_wait| max_wait.min(wait));
        let began = Instant::now();
        self.engine_events_left = ENGINE_EVENTS_PER_ITERATION;
        let events = self.poll(wait)?;
        let pending = self.read_events(events);
        self.check_signals(began);
        self.dispatch(pending);
        self.run_timers();
        self.write_queued();
        self.finish_iteration(began);
        Ok(())
    }

    fn poll(&mut self, wait: Duration) -> Result<Vec<TcpEvent>, NodeError> {
        let mut events = std::mem::take(&mut self.tcp_events);
        self.tcp.poll(Some(wait), &mut events).map_err(NodeError::system("polling for events"))?;
        Ok(events)
    }

    fn run_timers(&mut self) {
        if self.reload_at.is_some_and(|at| Instant::now() >= at) {
            self.reload();
        }
        self.discovery.query_if_due(self.tcp.registry(), &mut self.counters);
        self.discovery.check_list_age(self.tcp.now(), &mut self.counters);
        self.send_to_engine(Event::Tick);
        self.run_engine();
    }

    /// Writes queued output: answers first, then commands to invokers, which state the time left at the
    /// moment of the write. An attempt that expired before it could be written ends, and the engine decides
    /// what follows.
    fn write_queued(&mut self) {
        self.tcp.flush_all();
        loop {
            let (tcp, events, counters) = (&mut self.tcp, &mut self.engine_events, &mut self.counters);
            let context = &mut PoolContext { tcp, events, counters };
            self.pools.flush(context, |call| self.front.is_awaited(call));
            if self.engine_events.is_empty() || self.engine_events_left == 0 {
                return;
            }
            self.run_engine();
        }
    }

    /// Passes queued events to the engine and executes its commands, until no events are left or this iteration
    /// has passed as many as it may: clients are looked at again before the rest.
    fn run_engine(&mut self) {
        while self.engine_events_left > 0 && !self.engine_events.is_empty() {
            let mut events = std::mem::take(&mut self.engine_events);
            let count = events.len().min(self.engine_events_left);
            self.engine_events_left -= count;
            for event in events.drain(..count) {
                self.record_attempt_end(&event);
                self.send_to_engine(event);
            }
            events.append(&mut self.engine_events);
            self.engine_events = events;
        }
    }

    fn send_to_engine(&mut self, event: Event) {
        self.engine.handle(self.clock.now(), event, &mut self.commands);
        self.execute_commands();
    }
}
