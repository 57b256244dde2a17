//! What was seen at the sockets, by call: when it was asked, what was sent where, what ran, how it ended.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::kernel_time::{KernelTime, WallClock};

/// Time since the run began.
pub type Moment = Duration;

/// When something happened, as far as the test can know: it reads the clock before and after, and may lose the core in
/// between. Both readings are kept, so that the judge can tell which orders of events are possible.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interval {
    /// Not before this.
    pub earliest: Moment,
    /// Not after this.
    pub latest: Moment,
}

impl Interval {
    /// Exactly then.
    pub fn at(moment: Moment) -> Self {
        Self { earliest: moment, latest: moment }
    }
}

/// What a repeat of a call may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// It may run any number of times.
    Safe,
    /// It may run once.
    Once,
}

impl Class {
    /// Its name in the settings.
    pub fn name(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Once => "once",
        }
    }
}

/// How a call ended at its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served with the body that was sent.
    Served,
    /// Served with another body.
    Altered,
    /// Refused: a new try does no harm.
    Refused,
    /// Failed: nothing is promised.
    Failed,
    /// Its connection ended without an answer.
    Lost,
    /// No answer arrived until half a second after its time.
    Unanswered,
    /// Its connection was closed while it rested, and the request crossed that close: its client sent it again.
    Crossed,
    /// Its connection was new, and was closed to make room in a crowd just as the request was sent: whether the request
    /// had been taken can't be told from the outside.
    CrossedNew,
    /// Its controller had been asked to end, and its process ended just as the request was sent: whether it had been
    /// taken can't be told from the outside.
    CrossedEnd,
    /// It was sent within the platform's slack before its controller, which had been asked to end, was killed.
    CrossedKill,
    /// The test killed its controller.
    Killed,
}

/// One attempt, as it arrived at the proxy of a worker: nothing in between delays it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The worker's number.
    pub worker: usize,
    /// The connection to the worker that it arrived on.
    pub connection: u64,
    /// When it had come whole.
    pub arrived: Moment,
    /// This is the kernel's time; else it is that of the thread that has read it, which may run late.
    pub timestamped: bool,
    /// The time that the worker was told, milliseconds.
    pub patience: u64,
    /// When its answer was written, it was cancelled, or its connection ended.
    pub over: Option<Moment>,
    /// The worker ran it.
    pub ran: bool,
}

/// A call as its client and the workers saw it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its class.
    pub class: Class,
    /// The number of its controller.
    pub controller: usize,
    /// When its last byte was handed to the system.
    pub sent: Interval,
    /// How long its client waits.
    pub ttl: Duration,
    /// When its client cancelled it or closed its connection.
    pub client_left: Option<Interval>,
    /// How it ended, and when.
    pub end: Option<(End, Moment)>,
    /// Final answers that arrived.
    pub answers: u32,
    /// Its attempts.
    pub attempts: Vec<Attempt>,
}

/// A worker in the list, from one event on.
#[derive(Clone, Debug)]
pub struct ListEvent {
    /// Number of the event.
    pub serial: u32,
    /// The worker's number.
    pub worker: usize,
    /// It takes new calls.
    pub in_service: bool,
}

/// An answer of the directory that a controller was sent, or the list in its configuration.
#[derive(Clone, Copy, Debug)]
pub struct SentList {
    /// The controller's number.
    pub controller: usize,
    /// The last event that it holds.
    pub serial: u32,
    /// When it was sent.
    pub sent: Interval,
}

/// A connection to a worker, on which attempts arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId {
    /// The worker's number.
    pub worker: usize,
    /// The number of the connection to it.
    pub connection: u64,
}

/// An attempt that arrived at a worker.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// The worker's number.
    pub worker: usize,
    /// The controller that sent it; `None`: no client had asked for it.
    pub controller: Option<usize>,
    /// When it had come whole.
    pub arrived: Moment,
}

/// A start of a worker's process.
#[derive(Clone, Copy, Debug)]
pub struct WorkerStart {
    /// The worker's number.
    pub worker: usize,
    /// When it was there.
    pub at: Interval,
    /// The event of the list that tells of it.
    pub serial: u32,
}

/// Something that the test did to a controller: for the story of a finding.
#[derive(Clone, Debug)]
pub struct Incident {
    /// When.
    pub at: Moment,
    /// The controller's number.
    pub controller: usize,
    /// What.
    pub what: String,
}

#[derive(Default)]
struct Observations {
    calls: BTreeMap<u64, Call>,
    /// What no client asked for.
    strangers: Vec<(u64, usize)>,
    events: Vec<ListEvent>,
    sent_lists: Vec<SentList>,
    starts: Vec<WorkerStart>,
    incidents: Vec<Incident>,
    arrivals: Vec<Arrival>,
    lag: Vec<(Moment, Duration)>,
}

/// What was seen so far.
pub struct Audit {
    began: Instant,
    wall_clock: WallClock,
    observations: Mutex<Observations>,
}

/// What was seen, once the run is over.
pub struct Record {
    /// Calls by id.
    pub calls: BTreeMap<u64, Call>,
    /// Ids that arrived at a worker and that no client had sent.
    pub strangers: Vec<(u64, usize)>,
    /// Changes of the list.
    pub events: Vec<ListEvent>,
    /// Lists that controllers were sent: the first of each serial.
    pub sent_lists: Vec<SentList>,
    /// Starts of workers.
    pub starts: Vec<WorkerStart>,
    /// What the test did to controllers.
    pub incidents: Vec<Incident>,
    /// Arrivals at workers, whatever became of them.
    pub arrivals: Vec<Arrival>,
    /// How late the test's own threads ran, by time.
    pub lag: Vec<(Moment, Duration)>,
    /// By how much the wall clock, of which the kernel's times are, has gone apart from the run's clock.
    pub drift: Duration,
}

impl Default for Audit {
    fn default() -> Self {
        let began = Instant::now();
        let wall_clock = WallClock::read(|| began.elapsed());
        Self { began, wall_clock, observations: Mutex::default() }
    }
}

impl Audit {
    fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Now.
    pub fn now(&self) -> Moment {
        self.began.elapsed()
    }

    /// When something happened between the moment `earliest` and now: by the kernel's timestamp, where there is one.
    fn timestamped(&self, earliest: Moment, timestamp: Option<KernelTime>) -> Interval {
        let seen = Interval { earliest, latest: self.now() };
        timestamp.and_then(|timestamp| self.wall_clock.moment(timestamp, seen)).map_or(seen, Interval::at)
    }

    /// A client is about to send a call.
    pub fn request_started(&self, id: u64, class: Class, controller: usize, ttl: Duration) {
        let now = self.now();
        let call = Call {
            class,
            controller,
            sent: Interval::at(now),
            ttl,
            client_left: None,
            end: None,
            answers: 0,
            attempts: Vec::new(),
        };
        self.observations().calls.insert(id, call);
    }

    /// The last byte of a call is with the system.
    pub fn request_sent(&self, id: u64) {
        let now = self.now();
        self.call(id, |call| call.sent.latest = now);
    }

    /// Its client has cancelled it or closed its connection, after the moment `earliest`.
    pub fn client_left(&self, id: u64, earliest: Moment) {
        let latest = self.now();
        self.call(id, |call| call.client_left = Some(Interval { earliest, latest }));
    }

    /// Its final answer arrived, or none will.
    pub fn call_ended(&self, id: u64, end: End) {
        let now = self.now();
        self.call(id, |call| {
            let answer = matches!(end, End::Served | End::Altered | End::Refused | End::Failed);
            call.answers += u32::from(answer);
            call.end = call.end.or(Some((end, now)));
        });
    }

    /// An attempt arrived whole to a worker's proxy: by the kernel's timestamp, else now.
    pub fn attempt_arrived(&self, id: u64, at: ConnectionId, patience: u64, timestamp: Option<KernelTime>) {
        let ConnectionId { worker, connection } = at;
        let seen = self.timestamped(Moment::ZERO, timestamp);
        let (now, timestamped) = (seen.latest, seen.earliest == seen.latest);
        let mut observations = self.observations();
        let controller = observations.calls.get(&id).map(|call| call.controller);
        observations.arrivals.push(Arrival { worker, controller, arrived: now });
        match observations.calls.get_mut(&id) {
            Some(call) => {
                let (arrived, over, ran) = (now, None, false);
                call.attempts.push(Attempt { worker, connection, arrived, timestamped, patience, over, ran });
            }
            None => observations.strangers.push((id, worker)),
        }
    }

    /// A worker runs a call.
    pub fn attempt_ran(&self, id: u64, worker: usize) {
        self.attempt(id, worker, |attempt| attempt.ran = true);
    }

    /// An attempt was cancelled, or lost its connection: by the kernel's timestamp, else now.
    pub fn attempt_withdrawn(&self, id: u64, at: ConnectionId, timestamp: Option<KernelTime>) {
        let ConnectionId { worker, connection } = at;
        let now = self.timestamped(Moment::ZERO, timestamp).latest;
        self.call(id, |call| {
            let there = |attempt: &&mut Attempt| (attempt.worker, attempt.connection) == (worker, connection);
            if let Some(attempt) = call.attempts.iter_mut().rev().find(there) {
                attempt.over = attempt.over.or(Some(now));
            }
        });
    }

    /// A worker's newest attempt of a call was answered.
    pub fn attempt_answered(&self, id: u64, worker: usize) {
        let now = self.now();
        self.attempt(id, worker, |attempt| attempt.over = attempt.over.or(Some(now)));
    }

    /// The list changed.
    pub fn list_changed(&self, event: ListEvent) {
        self.observations().events.push(event);
    }

    /// A controller was sent a list that holds all events up to `serial`, after the moment `earliest`: by the kernel's
    /// timestamp, where there is one.
    pub fn list_sent(&self, controller: usize, serial: u32, earliest: Moment, timestamp: Option<KernelTime>) {
        let sent = self.timestamped(earliest, timestamp);
        let mut observations = self.observations();
        if !observations.sent_lists.iter().any(|told| (told.controller, told.serial) == (controller, serial))
        {
            observations.sent_lists.push(SentList { controller, serial, sent });
        }
    }

    /// A worker's process has started at that time; the list tells of it with the event `serial`.
    pub fn worker_started(&self, worker: usize, at: Interval, serial: u32) {
        self.observations().starts.push(WorkerStart { worker, at, serial });
    }

    /// Something is done to a controller.
    pub fn incident(&self, controller: usize, what: impl Into<String>) {
        let incident = Incident { at: self.now(), controller, what: what.into() };
        self.observations().incidents.push(incident);
    }

    /// The test itself ran late by so much.
    pub fn lag_seen(&self, lag: Duration) {
        let now = self.now();
        self.observations().lag.push((now, lag));
    }

    /// All that was seen.
    pub fn record(&self) -> Record {
        let mut observations = std::mem::take(&mut *self.observations());
        // Threads that lost their core have recorded late what arrived before.
        observations.calls.values_mut().for_each(|call| call.attempts.sort_by_key(|attempt| attempt.arrived));
        observations.arrivals.sort_by_key(|arrival| arrival.arrived);
        let drift = self.wall_clock.drift(&WallClock::read(|| self.now()));
        Record {
            drift,
            calls: observations.calls,
            strangers: observations.strangers,
            events: observations.events,
            sent_lists: observations.sent_lists,
            starts: observations.starts,
            incidents: observations.incidents,
            arrivals: observations.arrivals,
            lag: observations.lag,
        }
    }

    fn call(&self, id: u64, change: impl FnOnce(&mut Call)) {
        if let Some(call) = self.observations().calls.get_mut(&id) {
            change(call);
        }
    }

    fn attempt(&self, id: u64, worker: usize, change: impl FnOnce(&mut Attempt)) {
        self.call(id, |call| {
            if let Some(attempt) = call.attempts.iter_mut().rev().find(|attempt| attempt.worker == worker) {
                change(attempt);
            }
        });
    }
}
