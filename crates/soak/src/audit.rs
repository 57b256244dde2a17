//! Records what is observed at the sockets during a run. For each call, that is the time at which it was sent, its
//! attempts at workers, and its outcome. Changes of the directory's list, starts of workers, and the lag of the test
//! itself are recorded too.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::kernel_time::{KernelTime, WallClock};

/// Time since the run began.
pub type Moment = Duration;

/// The span of time in which an event happened. The test reads the clock before and after an event and may be preempted
/// in between. It keeps both readings, so that the judge can tell which orders of events are possible.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interval {
    /// The event did not happen before this moment.
    pub earliest: Moment,
    /// The event did not happen after this moment.
    pub latest: Moment,
}

impl Interval {
    /// Creates the interval of an event whose moment is known exactly.
    pub fn at(moment: Moment) -> Self {
        Self { earliest: moment, latest: moment }
    }
}

/// Whether a call may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// The call may run any number of times.
    Safe,
    /// The call may run at most once.
    Once,
}

impl Class {
    /// The name of the class in the controllers' settings.
    pub fn name(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Once => "once",
        }
    }
}

/// The outcome of a call at its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served with the body that was sent.
    Served,
    /// Served with another body.
    Altered,
    /// Refused by the controller: a retry does no harm.
    Refused,
    /// Failed: the call may or may not have run.
    Failed,
    /// The connection ended without an answer.
    Lost,
    /// No answer arrived within half a second after [`crate::controller::DEADLINE`], even if the request's own time to
    /// live was shorter.
    Unanswered,
    /// The controller closed the idle connection while the request was on its way. A client sends such a request again.
    Crossed,
    /// In a run with connection floods, the controller closed the new connection just as the request was sent. The
    /// client can't determine whether the controller had accepted the request.
    CrossedNew,
    /// The controller's process exited after SIGTERM just as the request was sent. The client can't determine whether
    /// the controller had accepted the request.
    CrossedEnd,
    /// The request was sent within the platform's slack before the controller was killed for not exiting after SIGTERM,
    /// or before it was suspended if it was still suspended when it was killed.
    CrossedKill,
    /// The test killed the controller, as one of its disturbances.
    Killed,
}

/// An attempt of a call, as it arrived at the proxy in front of a worker. Nothing between controller and proxy delays
/// it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The worker's number.
    pub worker: usize,
    /// The connection to the worker that it arrived on.
    pub connection: u64,
    /// When the last byte of the command arrived.
    pub arrived: Moment,
    /// Whether `arrived` is a kernel timestamp. Otherwise it is the time of the reading thread, which may run late.
    pub timestamped: bool,
    /// Time limit that the controller sent to the worker as the field `patience`, in milliseconds.
    pub patience: u64,
    /// When the attempt ended: the worker answered, the controller cancelled it, or the connection ended. `None` while
    /// it is open.
    pub over: Option<Moment>,
    /// Whether the worker ran the call.
    pub ran: bool,
}

/// A call as observed at its client and at the workers.
#[derive(Clone, Debug)]
pub struct Call {
    /// Whether the call may run more than once.
    pub class: Class,
    /// The number of the controller that it was sent to.
    pub controller: usize,
    /// The interval in which the last byte of the request was passed to the operating system.
    pub sent: Interval,
    /// Time that the request gives the call, counted from its last byte.
    pub ttl: Duration,
    /// The interval in which the client cancelled the call or closed the connection.
    pub client_left: Option<Interval>,
    /// The outcome of the call at the client, and its time. `None` while the call is open.
    pub end: Option<(End, Moment)>,
    /// Number of final answers that arrived.
    pub answers: u32,
    /// Attempts at workers. In a [`Record`], they are in order of arrival.
    pub attempts: Vec<Attempt>,
}

/// A change of a worker's entry in the directory's list.
#[derive(Clone, Debug)]
pub struct ListChange {
    /// Serial number of the list with this change.
    pub serial: u32,
    /// The worker's number.
    pub worker: usize,
    /// Whether the worker takes new calls from this change on.
    pub in_service: bool,
}

/// A list that a controller was sent, in an answer of the directory or in its configuration.
#[derive(Clone, Copy, Debug)]
pub struct SentList {
    /// The controller's number.
    pub controller: usize,
    /// Serial number of the last change that the list contains.
    pub serial: u32,
    /// The interval in which the list was sent.
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
    /// The number of the controller that sent the attempt. `None` if no client had sent the call.
    pub controller: Option<usize>,
    /// When the last byte of the command arrived.
    pub arrived: Moment,
}

/// A call that arrived at a worker although no client had sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownCall {
    /// The call's id.
    pub id: u64,
    /// The number of the worker that it arrived at.
    pub worker: usize,
}

/// A start of a worker's process.
#[derive(Clone, Copy, Debug)]
pub struct WorkerStart {
    /// The worker's number.
    pub worker: usize,
    /// The interval in which the process started.
    pub at: Interval,
    /// Serial number of the list change that announces the start.
    pub serial: u32,
}

/// A start, signal or exit of a controller's process, for the timeline of a finding.
#[derive(Clone, Debug)]
pub struct Incident {
    /// The time of the start, signal or exit.
    pub at: Moment,
    /// The controller's number.
    pub controller: usize,
    /// Description for the report.
    pub description: String,
}

#[derive(Default)]
struct Observations {
    calls: BTreeMap<u64, Call>,
    unknown_calls: Vec<UnknownCall>,
    list_changes: Vec<ListChange>,
    sent_lists: Vec<SentList>,
    starts: Vec<WorkerStart>,
    incidents: Vec<Incident>,
    arrivals: Vec<Arrival>,
    lag: Vec<(Moment, Duration)>,
}

/// Collects observations from all threads of a run.
pub struct Audit {
    began: Instant,
    wall_clock: WallClock,
    observations: Mutex<Observations>,
}

/// All observations of a run, for the judge.
pub struct Record {
    /// Calls sent by clients, by id.
    pub calls: BTreeMap<u64, Call>,
    /// Calls that no client had sent.
    pub unknown_calls: Vec<UnknownCall>,
    /// Changes of the directory's list.
    pub list_changes: Vec<ListChange>,
    /// Lists sent to controllers. For each controller and serial number, only the first is recorded.
    pub sent_lists: Vec<SentList>,
    /// Starts of workers' processes after rolling replacements.
    pub starts: Vec<WorkerStart>,
    /// Starts, signals and exits of controllers' processes.
    pub incidents: Vec<Incident>,
    /// Arrivals of all attempts at workers, in order of time.
    pub arrivals: Vec<Arrival>,
    /// Measurements of how late the test's own threads ran, each with its moment.
    pub lag: Vec<(Moment, Duration)>,
    /// Drift of the wall clock, which kernel timestamps use, against the run's monotonic clock.
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

    /// Returns the current moment of the run.
    pub fn now(&self) -> Moment {
        self.began.elapsed()
    }

    /// Returns the interval of an event that happened between `earliest` and now. It is a single moment if `timestamp`
    /// lies between the two.
    fn event_interval(&self, earliest: Moment, timestamp: Option<KernelTime>) -> Interval {
        let observed = Interval { earliest, latest: self.now() };
        let moment = timestamp.and_then(|timestamp| self.wall_clock.moment(timestamp, observed));
        moment.map_or(observed, Interval::at)
    }

    /// Records that a client is about to send the last bytes of a request.
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

    /// Records that the last byte of a request was passed to the operating system.
    pub fn request_sent(&self, id: u64) {
        let now = self.now();
        self.call(id, |call| call.sent.latest = now);
    }

    /// Records that the client cancelled a call or closed its connection between `earliest` and now.
    pub fn client_left(&self, id: u64, earliest: Moment) {
        let latest = self.now();
        self.call(id, |call| call.client_left = Some(Interval { earliest, latest }));
    }

    /// Records the end of a call. The first end is kept, and every final answer is counted.
    pub fn call_ended(&self, id: u64, end: End) {
        let now = self.now();
        self.call(id, |call| {
            let is_answer = matches!(end, End::Served | End::Altered | End::Refused | End::Failed);
            call.answers += u32::from(is_answer);
            call.end = call.end.or(Some((end, now)));
        });
    }

    /// Records the arrival of an attempt at a worker's proxy, at the kernel's timestamp or else now. `patience` is the
    /// time limit sent to the worker, in milliseconds.
    pub fn attempt_arrived(&self, id: u64, at: ConnectionId, patience: u64, timestamp: Option<KernelTime>) {
        let ConnectionId { worker, connection } = at;
        let interval = self.event_interval(Moment::ZERO, timestamp);
        let (arrived, timestamped) = (interval.latest, interval.earliest == interval.latest);
        let mut observations = self.observations();
        let controller = observations.calls.get(&id).map(|call| call.controller);
        observations.arrivals.push(Arrival { worker, controller, arrived });
        match observations.calls.get_mut(&id) {
            Some(call) => {
                let (over, ran) = (None, false);
                call.attempts.push(Attempt { worker, connection, arrived, timestamped, patience, over, ran });
            }
            None => observations.unknown_calls.push(UnknownCall { id, worker }),
        }
    }

    /// Records that a worker runs its newest attempt of a call.
    pub fn attempt_ran(&self, id: u64, worker: usize) {
        self.attempt(id, worker, |attempt| attempt.ran = true);
    }

    /// Records that an attempt was cancelled or lost its connection, at the kernel's timestamp or else now.
    pub fn attempt_withdrawn(&self, id: u64, at: ConnectionId, timestamp: Option<KernelTime>) {
        let ConnectionId { worker, connection } = at;
        let now = self.event_interval(Moment::ZERO, timestamp).latest;
        self.call(id, |call| {
            let is_at_connection =
                |attempt: &&mut Attempt| (attempt.worker, attempt.connection) == (worker, connection);
            if let Some(attempt) = call.attempts.iter_mut().rev().find(is_at_connection) {
                attempt.over = attempt.over.or(Some(now));
            }
        });
    }

    /// Records that a worker answered its newest attempt of a call.
    pub fn attempt_answered(&self, id: u64, worker: usize) {
        let now = self.now();
        self.attempt(id, worker, |attempt| attempt.over = attempt.over.or(Some(now)));
    }

    /// Records a change of the directory's list.
    pub fn list_changed(&self, change: ListChange) {
        self.observations().list_changes.push(change);
    }

    /// Records that a controller was sent a list with all changes up to `serial`, at the kernel's timestamp or else
    /// between `earliest` and now.
    pub fn list_sent(&self, controller: usize, serial: u32, earliest: Moment, timestamp: Option<KernelTime>) {
        let sent = self.event_interval(earliest, timestamp);
        let mut observations = self.observations();
        if !observations.sent_lists.iter().any(|list| (list.controller, list.serial) == (controller, serial))
        {
            observations.sent_lists.push(SentList { controller, serial, sent });
        }
    }

    /// Records the start of a worker's process, which the directory's list announces with change `serial`.
    pub fn worker_started(&self, worker: usize, at: Interval, serial: u32) {
        self.observations().starts.push(WorkerStart { worker, at, serial });
    }

    /// Records a start, signal or exit of a controller's process, for the timeline of findings.
    pub fn incident(&self, controller: usize, description: impl Into<String>) {
        let incident = Incident { at: self.now(), controller, description: description.into() };
        self.observations().incidents.push(incident);
    }

    /// Records a measurement of how late the test's own threads ran.
    pub fn lag_measured(&self, lag: Duration) {
        let now = self.now();
        self.observations().lag.push((now, lag));
    }

    /// Takes all observations out of the audit, with attempts and arrivals sorted by time.
    pub fn record(&self) -> Record {
        let mut observations = std::mem::take(&mut *self.observations());
        // Preempted threads may have recorded arrivals after later ones of other threads.
        observations.calls.values_mut().for_each(|call| call.attempts.sort_by_key(|attempt| attempt.arrived));
        observations.arrivals.sort_by_key(|arrival| arrival.arrived);
        let drift = self.wall_clock.drift(&WallClock::read(|| self.now()));
        Record {
            drift,
            calls: observations.calls,
            unknown_calls: observations.unknown_calls,
            list_changes: observations.list_changes,
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
