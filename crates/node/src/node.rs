//! The event loop: sockets, signals and timers in; the engine; answers, attempts and control requests out.
//!
//! This file holds the state and one iteration of the loop. The files below it each add one part:
//!
//! * `startup`: builds a node from its configuration. `lifecycle`: when it waits, reloads and ends.
//! * `dispatch`: reads what the sockets brought and passes it to the engine. `execute`: carries out the engine's
//!   commands. `worker_list`: applies a list of invokers.

mod dispatch;
mod execute;
mod lifecycle;
mod startup;
mod worker_list;

pub use lifecycle::ShutdownWait;

use std::collections::VecDeque;
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
use crate::front::{ClientEvent, Front, IncomingRequest};
use crate::guard::Violation;
use crate::limits::Counters;
use crate::pools::{ConnectionPools, PoolContext};
use crate::start_times::StartTimes;

/// The poll's source of signals.
const SIGNALS: usize = 0;
/// The poll's source of answers of the directory.
const DIRECTORY: usize = 1;

/// A controller on the platform.
pub struct Node {
    /// The configuration's file.
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
    /// The longest that a client waits.
    longest_deadline: Duration,
    local_addr: SocketAddr,
    counters: Counters,
    /// When SIGTERM arrived.
    draining_since: Option<Instant>,
    /// When the signal to end may have come at the earliest.
    kill_counts_from: Option<Instant>,
    /// When a client last connected or sent something.
    last_client_activity: Instant,
    /// When the newest iteration began that has read all there was, and in which no client connected or sent anything.
    quiet_iteration: Option<Instant>,
    /// When the configuration is to be read again.
    reload_at: Option<Instant>,
    next_counters_log: Instant,
    /// When it is logged next what a shutdown waits for.
    next_shutdown_log: Instant,
    next_signal_check: Instant,
    /// When signals were looked for last.
    signals_checked_at: Instant,
    tcp_events: Vec<TcpEvent>,
    client_events: Vec<ClientEvent>,
    /// Requests read and not yet opened, [`crate::limits::OPENS_PER_ITERATION`] an iteration: no more than clients may
    /// have open.
    requests: VecDeque<IncomingRequest>,
    /// Events that the engine has not seen yet.
    engine_events: Vec<Event>,
    commands: Vec<Command>,
}

/// What one iteration read that is acted on once all of it was read.
#[derive(Default)]
struct PendingEvents {
    /// Answers of the directory have arrived.
    list: bool,
    /// Connections to invokers that were established.
    connected: Vec<TcpKey>,
}

impl Node {
    /// The address on which it listens.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Counters of its engine.
    pub fn engine_counters(&self) -> EngineCounters {
        self.engine.counters()
    }

    /// Counters of its connections.
    pub fn tcp_counters(&self) -> TcpCounters {
        self.tcp.counters()
    }

    /// Its own counters.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Runs until a signal has stopped it and all accepted requests are answered.
    ///
    /// # Errors
    ///
    /// The poll failed.
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

    /// One iteration; waits at most `max_wait` for events. What arrived is read on all sockets first, and only then acted
    /// on: in this order, whatever the order in which it arrived within the iteration.
    ///
    /// 1. Broken connections, so that nothing is written to them. 2. Clients that disconnected, all at once, so that
    ///    nothing is forwarded for one of them. 3. The list, so that nothing goes to an invoker that it takes out of
    ///    service. 4. Responses of invokers. 5. Connections that were established: what waited for them is written.
    ///    6. Answers that are due: they are written before anything else is done. 7. New requests,
    ///    [`crate::limits::OPENS_PER_ITERATION`] of them: then clients are read again. 8. What all of this has queued is
    ///    written.
    ///
    /// # Errors
    ///
    /// The poll failed.
    pub fn iterate(&mut self, max_wait: Option<Duration>) -> Result<(), NodeError> {
        let wait = self.poll_wait();
        let wait = max_wait.map_or(wait, |max_wait| max_wait.min(wait));
        let began = Instant::now();
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
        self.tcp.poll(Some(wait), &mut events).map_err(NodeError::system("the poll"))?;
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

    /// Hands to the system what is queued: answers first, then commands to invokers, which state the time that is left as
    /// of then. What has expired before it could be written has ended, and its request goes on.
    fn write_queued(&mut self) {
        self.tcp.flush_all();
        loop {
            let (tcp, events, counters) = (&mut self.tcp, &mut self.engine_events, &mut self.counters);
            let context = &mut PoolContext { tcp, events, counters };
            self.pools.flush(context, |call| self.front.is_awaited(call));
            if self.engine_events.is_empty() {
                return;
            }
            self.run_engine();
        }
    }

    /// Passes waiting events to the engine and executes its commands, until nothing is left.
    fn run_engine(&mut self) {
        while !self.engine_events.is_empty() {
            for event in std::mem::take(&mut self.engine_events) {
                self.record_attempt_end(&event);
                self.send_to_engine(event);
            }
        }
    }

    fn send_to_engine(&mut self, event: Event) {
        self.engine.handle(self.clock.now(), event, &mut self.commands);
        self.execute_commands();
    }
}
