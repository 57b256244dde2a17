//! Every bound of the node by name, and the counter that shows when it was reached.

use std::time::{Duration, Instant};

use nettleferry_platform::config;

use crate::guard::Violations;
use crate::reasons::Reasons;

/// A connection on which no usable frame has arrived within this span of its acceptance is closed: the platform wants an
/// answer or a close within 3 s.
pub const FIRST_FRAME_TIMEOUT: Duration = Duration::from_millis(2_000);
/// A frame must be complete within this span of its first byte.
pub const FRAME_TIMEOUT: Duration = Duration::from_millis(2_000);
/// A client's connection without open requests is closed after this span. Clients close theirs after 4 s.
pub const CLIENT_IDLE: Duration = Duration::from_millis(6_000);
/// A connection that was to be closed, and on which a last check found something, is judged again after this span.
pub const RECHECK_DELAY: Duration = Duration::from_millis(20);
/// A client sends its request as soon as its connection is established, for which the platform allows this span: one that
/// has sent nothing by then is evicted first, and none that is newer is evicted before any that is idle.
pub const FIRST_BYTES_GRACE: Duration = Duration::from_millis(250);
/// A client writes a frame at once: one whose frame is incomplete after this span is evicted before those that were just
/// accepted.
pub const STALLED_FRAME: Duration = Duration::from_millis(500);
/// Connections examined for one that may be evicted.
pub const EVICTION_CANDIDATES: usize = 8;
/// Requests open at once on a client's connection: the platform's number.
pub const STREAMS_PER_CLIENT: usize = 32;
/// Unusable requests and frames in a row on one connection; with one more it is closed. A proxy's connection carries the
/// requests of many clients: a usable one shows that others wait there for their answers.
pub const CONSECUTIVE_FAULTS: u32 = 8;
/// A request may state so many times its class's deadline, and has the deadline then: its client sent it early, by a clock
/// of its own. Beyond that its client does not know the class.
pub const MAX_TTL_FACTOR: f64 = 10.0;
/// Bytes of an answer without a body of an invoker, at the most.
pub const SHORT_ANSWER_BYTES: usize = 256;
/// Descriptors that neither clients nor connections to invokers may use: [`ACCEPTS_PER_ITERATION`] connections that wait to be judged; standard
/// input, output and error; the poll, the listener, the signals' two; the directory's socket and the one that it had
/// before it moved; the configuration's file while it is read; and some for what the C library opens for itself.
pub const RESERVED_DESCRIPTORS: usize = 24;
/// Connections accepted in one iteration, over the bound on clients: the front evicts others for them before the next.
pub const ACCEPTS_PER_ITERATION: usize = 8;
/// Requests opened in one iteration; the others wait until the sockets have been read again: so no client's disconnect and
/// no answer that is due waits behind more work than that.
pub const OPENS_PER_ITERATION: usize = 64;
/// The longest wait of a poll: a process that was not scheduled while it slept may read what arrived by so much later,
/// which is the platform's own slack on each time.
pub const MAX_POLL_WAIT: Duration = Duration::from_millis(50);
/// An invoker's response must be complete within this span of its first byte: they are written at once.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// After SIGTERM the node continues for this long at the least, also after the last request that arrived.
pub const SHUTDOWN_QUIET_SPAN: Duration = Duration::from_millis(1_500);
/// The platform kills a controller no sooner after SIGTERM than the longest deadline, which counts as this span where it
/// is longer, and [`KILL_GRACE`].
pub const LONGEST_COUNTED_DEADLINE: Duration = Duration::from_millis(3_000);
/// A request that arrived later than this after SIGTERM must have its answer before the kill.
pub const KILL_GRACE: Duration = Duration::from_millis(700);
/// An answer is on its way for no longer than this.
pub const ANSWER_TRANSIT: Duration = Duration::from_millis(100);
/// A query that could not be sent, or whose answer was unusable, is repeated after this span.
pub const QUERY_RETRY_DELAY: Duration = Duration::from_millis(50);
/// After so many queries in a row that could not be sent, another socket is used.
pub const MAX_UNSENT_QUERIES: u32 = 4;
/// Queries whose answers are still received: an answer that is always late is used all the same.
pub const REMEMBERED_QUERIES: usize = 16;
/// After the directory has moved, answers of its old address are received for this long.
pub const OLD_RESOLVER_GRACE: Duration = Duration::from_millis(2_000);
/// The directory is polled this often; a list is current by this span and its answer's way.
pub const QUERY_INTERVAL: Duration = Duration::from_millis(250);
/// A query whose answer has not arrived by then is counted as lost.
pub const QUERY_TIMEOUT: Duration = Duration::from_millis(400);

/// What is to be written to invokers later than this after the sockets were read waits until they have been read again: a
/// process that stood still meanwhile does not know which clients have left.
pub const OUTDATED_READ: Duration = Duration::from_millis(20);
/// A list that no answer has confirmed for this span is old, which is logged.
pub const OLD_LIST_AGE: Duration = Duration::from_millis(1_000);
/// During a shutdown it is logged this often what it waits for.
pub const SHUTDOWN_LOG_INTERVAL: Duration = Duration::from_millis(500);

/// The time that a call has, microseconds, which arrived now: `left` by its client, and if it arrived after the grace, no
/// more than until the platform may kill a process that was asked to end at `since`, where a client waits `longest` at
/// the most.
pub fn time_before_kill(since: Instant, now: Instant, longest: Duration, left: u64) -> u64 {
    if now.saturating_duration_since(since) <= KILL_GRACE - ANSWER_TRANSIT {
        return left;
    }
    let end = since + longest.min(LONGEST_COUNTED_DEADLINE) + KILL_GRACE - ANSWER_TRANSIT;
    left.min(end.saturating_duration_since(now).as_micros() as u64)
}

/// Bounds that follow from what the machine gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Accepted connections; at one more, one without an open request is closed, else the new one.
    pub clients: usize,
    /// At one more, one that is idle is closed, if there is one. Clients may hold a third of the descriptors and no more:
    /// idle ones would keep those out that have a request.
    pub idle_clients: usize,
    /// Connections to invokers.
    pub pool_connections: usize,
    /// Requests open.
    pub open_calls: usize,
    /// Bytes of bodies of open requests.
    pub body_bytes: usize,
    /// Functions remembered by name.
    pub functions: usize,
}

impl Bounds {
    /// The bounds of this machine. Clients may hold a third of the descriptors: half of them are theirs here, a third is for
    /// invokers, and never less than [`RESERVED_DESCRIPTORS`] for what the process itself needs.
    pub fn of(limits: &config::Limits, open_calls: Option<u64>) -> Self {
        let sockets = usize::try_from(limits.sockets).unwrap_or(usize::MAX).clamp(64, 1 << 20);
        let megabytes = usize::try_from(limits.memory_mb).unwrap_or(usize::MAX).clamp(16, 1 << 20);
        let open = open_calls.and_then(|n| usize::try_from(n).ok()).unwrap_or(usize::MAX);
        Self {
            clients: sockets / 2,
            idle_clients: sockets / 4,
            pool_connections: (sockets / 3).min(sockets - sockets / 2 - RESERVED_DESCRIPTORS),
            open_calls: open.min(megabytes * 256),
            body_bytes: megabytes << 18,
            functions: megabytes * 128,
        }
    }
}

/// How often each bound was reached, and other events worth counting.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests accepted.
    pub requests: u64,
    /// Requests that could not be used.
    pub bad_requests: u64,
    /// Frames that could not be read, or that a client may not send.
    pub bad_frames: u64,
    /// Connections closed for [`CONSECUTIVE_FAULTS`], unreadable frames or [`STREAMS_PER_CLIENT`].
    pub closed_for_faults: u64,
    /// Connections closed for [`FIRST_FRAME_TIMEOUT`] or [`FRAME_TIMEOUT`].
    pub closed_for_silence: u64,
    /// Connections closed for [`CLIENT_IDLE`].
    pub closed_idle: u64,
    /// Connections accepted over [`Bounds::clients`].
    pub over_clients: u64,
    /// Connections evicted for a new one.
    pub made_room: u64,
    /// New connections that were closed at once, as none of the others could be evicted.
    pub no_room: u64,
    /// Requests refused for [`Bounds::body_bytes`].
    pub over_bodies: u64,
    /// Answers that did not fit into what their connection takes: their requests failed, the connection goes on.
    pub over_answers: u64,
    /// Requests that state more time than their class has: they have the class's.
    pub over_deadline: u64,
    /// Requests whose id was open already.
    pub ids_open: u64,
    /// The longest that a request may have waited in the system before it was opened, microseconds.
    pub longest_read_delay: u64,
    /// The longest iteration, microseconds: from the return of one poll to the next.
    pub longest_iteration: u64,
    /// Answers of invokers that could not be read.
    pub bad_answers: u64,
    /// Answers that belonged to no open request.
    pub stray_answers: u64,
    /// Connections to invokers that were closed, as a cancellation could not be written there at once.
    pub cut_to_withdraw: u64,
    /// Requests without a connection for [`Bounds::pool_connections`], of which each invoker has an equal part.
    pub over_links: u64,
    /// Answers of the directory that could not be used.
    pub bad_lists: u64,
    /// Queries to the directory without an answer in time.
    pub lost_lists: u64,
    /// Queries to the directory that the system did not send.
    pub unsent_queries: u64,
    /// Answers of the directory with an older list.
    pub old_lists: u64,
    /// Times at which the list became older than [`OLD_LIST_AGE`]: no answer of the directory confirmed it for so long.
    pub list_outages: u64,
    /// Requests that arrived so long after SIGTERM that they have less time than their client gives them.
    pub after_end: u64,
    /// Why requests ended, were retried, and connections were closed.
    pub reasons: Reasons,
    /// Invariants that were about to be broken: see [`crate::guard`].
    pub violations: Violations,
}
