//! The limits and timeouts of a node, and the counters that show when they were reached.

use std::time::{Duration, Instant};

use nettleferry_platform::config;

use crate::guard::Violations;
use crate::reasons::Reasons;

/// A client connection is closed if no usable frame arrives on it within this time after it was accepted. The
/// platform requires an answer or a close within 3 s.
pub const FIRST_FRAME_TIMEOUT: Duration = Duration::from_millis(2_000);
/// A frame must be complete within this time after its first byte.
pub const FRAME_TIMEOUT: Duration = Duration::from_millis(2_000);
/// A client connection without open requests is closed after this time. Clients close idle connections after
/// 4 s.
pub const CLIENT_IDLE: Duration = Duration::from_millis(6_000);
/// Delay before a connection that was about to be closed is checked again, if input was found on it at the
/// last moment.
pub const RECHECK_DELAY: Duration = Duration::from_millis(20);
/// A client sends its request as soon as its connection is established, for which the platform allows this
/// time. A connection without a usable frame by then is evicted first. A newer one is evicted only after all
/// idle ones and those with a stalled frame.
pub const FIRST_BYTES_GRACE: Duration = Duration::from_millis(250);
/// Clients write a frame in one piece. A connection whose frame is still incomplete after this time is
/// evicted before connections that were just accepted.
pub const STALLED_FRAME: Duration = Duration::from_millis(500);
/// While the input of all connections together is at its limit, a connection whose frame has been incomplete for
/// this long gives way to others.
pub const FRAME_TIMEOUT_WHEN_SHORT: Duration = Duration::from_millis(100);
/// Maximum number of connections closed per iteration because of [`FRAME_TIMEOUT_WHEN_SHORT`].
pub const CLOSES_WHEN_SHORT: usize = 8;
/// Maximum number of connections examined per search for one to evict.
pub const EVICTION_CANDIDATES: usize = 8;
/// Maximum number of requests open at the same time on a client connection, as the platform defines it.
pub const STREAMS_PER_CLIENT: usize = 32;
/// Unusable requests and frames that are allowed in a row on one connection; one more closes it, after
/// [`FAULT_CLOSE_DELAY`]. A usable request resets the count, also if a limit of the node refuses it: a
/// proxy's connection carries the requests of many clients, and others may wait there for their answers.
pub const CONSECUTIVE_FAULTS: u32 = 8;
/// After a connection's client was told that it closes for [`CONSECUTIVE_FAULTS`], requests are refused on it
/// for this time, at most [`STREAMS_PER_CLIENT`]. It covers what was written before the client read that.
pub const FAULT_CLOSE_DELAY: Duration = Duration::from_millis(200);
/// A request may state a time to live of up to this multiple of its class's deadline, and gets the deadline.
/// Clients may exceed the deadline somewhat as they count by their own clock; a larger value shows that the
/// client does not know the class.
pub const MAX_TTL_FACTOR: f64 = 10.0;
/// Upper bound on the bytes of an answer that carries no response body of an invoker.
pub const SHORT_ANSWER_BYTES: usize = 256;
/// File descriptors that neither client nor invoker connections may use. They are needed for
/// [`ACCEPTS_PER_ITERATION`] connections accepted over the limit until others are evicted; standard input,
/// output and error; the poll; the listener; two for signals; the sockets to the directory's current and
/// previous address; the configuration file while it is read; and descriptors that the C library opens.
pub const RESERVED_DESCRIPTORS: usize = 24;
/// Maximum number of connections accepted per iteration. They may exceed the client limit until the front has
/// evicted others, which it does before the next iteration.
pub const ACCEPTS_PER_ITERATION: usize = 8;
/// Maximum number of requests opened per iteration. The others wait until the sockets have been read again,
/// which bounds the delay of client disconnects and of answers that are due.
pub const OPENS_PER_ITERATION: usize = 64;
/// Maximum number of events, such as responses of invokers, that one iteration passes to the engine. The others
/// wait until the sockets have been read again, so that the end of a client is noticed between them.
pub const ENGINE_EVENTS_PER_ITERATION: usize = 64;
/// Maximum wait of a poll. If the process is not scheduled while it waits, it may read input this much later
/// than it arrived; the platform allows this much slack on every time.
pub const MAX_POLL_WAIT: Duration = Duration::from_millis(50);
/// A response of an invoker must be complete within this time after its first byte: invokers write it in one
/// piece.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// After SIGTERM the node continues for at least this time, and for at least this time after the last client
/// activity.
pub const SHUTDOWN_QUIET_SPAN: Duration = Duration::from_millis(1_500);
/// The platform kills a controller no sooner after SIGTERM than the longest deadline plus [`KILL_GRACE`]. It
/// counts a longer deadline as this value.
pub const LONGEST_COUNTED_DEADLINE: Duration = Duration::from_millis(3_000);
/// A request that arrives later than this after SIGTERM must be answered before the platform kills the
/// process.
pub const KILL_GRACE: Duration = Duration::from_millis(700);
/// Upper bound on the transit time of an answer to the client.
pub const ANSWER_TRANSIT: Duration = Duration::from_millis(100);
/// Delay before a directory query is repeated that could not be sent or whose response was unusable.
pub const QUERY_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Consecutive directory queries that could not be sent after which the socket is replaced.
pub const MAX_UNSENT_QUERIES: u32 = 4;
/// Number of recent queries whose responses are still accepted, so that a directory that always responds late
/// is used.
pub const REMEMBERED_QUERIES: usize = 16;
/// After the directory's address has changed, responses from the old address are accepted for this long.
pub const OLD_RESOLVER_GRACE: Duration = Duration::from_millis(2_000);
/// Polling interval of the directory. A list is out of date by at most this time plus the transit time of the
/// response.
pub const QUERY_INTERVAL: Duration = Duration::from_millis(250);
/// A query without a response after this time is counted as lost.
pub const QUERY_TIMEOUT: Duration = Duration::from_millis(400);

/// If more than this time has passed since the sockets were read, writes to invokers wait until they have
/// been read again: if the process was suspended meanwhile, it does not know which clients have disconnected.
pub const OUTDATED_READ: Duration = Duration::from_millis(20);
/// A list that no response has confirmed for this time is old, which is logged and counted.
pub const OLD_LIST_AGE: Duration = Duration::from_millis(1_000);
/// Interval at which the shutdown progress is logged.
pub const SHUTDOWN_LOG_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the time left, in microseconds, for a call that is opened at `now`, when shutdown was requested at
/// `since`. `left`: the time until its client stops waiting, microseconds; `longest`: the longest deadline of
/// any class.
///
/// Up to [`KILL_GRACE`] less [`ANSWER_TRANSIT`] after `since`, that is `left`: a deadline of up to
/// [`LONGEST_COUNTED_DEADLINE`] then ends before the platform may kill the process. Later, the time is
/// limited so that the answer reaches the client before the platform may do so.
pub fn time_before_kill(since: Instant, now: Instant, longest: Duration, left: u64) -> u64 {
    if now.saturating_duration_since(since) <= KILL_GRACE - ANSWER_TRANSIT {
        return left;
    }
    let end = since + longest.min(LONGEST_COUNTED_DEADLINE) + KILL_GRACE - ANSWER_TRANSIT;
    left.min(end.saturating_duration_since(now).as_micros() as u64)
}

/// Bytes of input that all connections together may hold, for each megabyte of memory; as many of output.
const BUFFER_BYTES_PER_MEGABYTE: usize = 64 << 10;
/// Bytes of input and of output of each connection that are always permitted, so that small requests and short
/// answers pass while others hold the rest. It is less where the memory is small for the connections.
const MAX_BUFFER_RESERVE: usize = 2 << 10;
/// Memory of an open request beside its body and its key, bytes: its records in the front, the engine and the
/// decision module, and what it has waiting for an invoker.
pub const CALL_BYTES: usize = 2 << 10;
/// Requests that each client connection may have open while three quarters of [`Bounds::call_bytes`] are taken:
/// the last quarter is left to clients that have fewer.
pub const CALLS_WHEN_SHORT: usize = 2;
/// Ids of ended requests that are remembered, for each megabyte of memory; each takes some 32 bytes.
const FINISHED_IDS_PER_MEGABYTE: usize = 1_024;
/// Functions for which state is kept, for each megabyte of memory.
const FUNCTIONS_PER_MEGABYTE: usize = 96;

/// Limits derived from the resources of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of client connections. One more evicts a connection without open requests; if there is
    /// none, the new connection is closed.
    pub clients: usize,
    /// Number of client connections from which each new one evicts an idle one, if there is one. It is below
    /// the third of the descriptors that clients may hold, so that idle connections don't keep out clients
    /// that have a request.
    pub idle_clients: usize,
    /// Maximum number of connections to invokers.
    pub pool_connections: usize,
    /// Maximum number of open requests.
    pub open_calls: usize,
    /// Maximum memory of all open requests beside their bodies, bytes: [`CALL_BYTES`] and the key of each.
    pub call_bytes: usize,
    /// Maximum size of the bodies of all open requests, bytes.
    pub body_bytes: usize,
    /// Number of ids remembered of ended requests that may have run and must not run twice.
    pub finished_ids: usize,
    /// Bytes of input of all connections together, beyond `buffer_reserve` of each; as many of output.
    pub buffer_bytes: usize,
    /// Bytes of input and of output of each connection that are always permitted.
    pub buffer_reserve: usize,
    /// Maximum number of functions for which the engine keeps state.
    pub functions: usize,
}

impl Bounds {
    /// Derives the limits from the machine's resources, of which at least 64 descriptors and 16 MB are
    /// assumed. The platform lets clients hold a third of all descriptors. Here half of all descriptors are
    /// allotted to clients and up to a third to invokers, so that at least [`RESERVED_DESCRIPTORS`] remain
    /// for the process itself.
    pub fn of(limits: &config::Limits, open_calls: Option<u64>) -> Self {
        let sockets = usize::try_from(limits.sockets).unwrap_or(usize::MAX).clamp(64, 1 << 20);
        let megabytes = usize::try_from(limits.memory_mb).unwrap_or(usize::MAX).clamp(16, 1 << 20);
        let buffer_bytes = megabytes * BUFFER_BYTES_PER_MEGABYTE;
        let open = open_calls.and_then(|n| usize::try_from(n).ok()).unwrap_or(usize::MAX);
        Self {
            clients: sockets / 2,
            idle_clients: sockets / 4,
            pool_connections: (sockets / 3).min(sockets - sockets / 2 - RESERVED_DESCRIPTORS),
            open_calls: open.min(megabytes * 256),
            call_bytes: megabytes << 17,
            body_bytes: megabytes << 18,
            finished_ids: megabytes * FINISHED_IDS_PER_MEGABYTE,
            buffer_bytes,
            buffer_reserve: (buffer_bytes / sockets).min(MAX_BUFFER_RESERVE),
            functions: megabytes * FUNCTIONS_PER_MEGABYTE,
        }
    }
}

/// Counters of reached limits and of other notable events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Valid requests, including those that are refused later.
    pub requests: u64,
    /// Requests rejected as unusable.
    pub bad_requests: u64,
    /// Frames that could not be read or that clients may not send, and requests whose stream id is not new.
    pub bad_frames: u64,
    /// Client connections closed because of [`CONSECUTIVE_FAULTS`], an unreadable frame or a stream id that
    /// is not new.
    pub closed_for_faults: u64,
    /// Client connections closed because of [`FIRST_FRAME_TIMEOUT`] or [`FRAME_TIMEOUT`].
    pub closed_for_silence: u64,
    /// Client connections closed because of [`FRAME_TIMEOUT_WHEN_SHORT`].
    pub closed_when_short: u64,
    /// Client connections closed after [`CLIENT_IDLE`].
    pub closed_idle: u64,
    /// Client connections accepted over [`Bounds::clients`].
    pub over_clients: u64,
    /// Client connections evicted for a new one.
    pub made_room: u64,
    /// New client connections closed at once because no other could be evicted.
    pub no_room: u64,
    /// Requests refused on a connection within [`FAULT_CLOSE_DELAY`].
    pub refused_at_close: u64,
    /// Requests refused because of [`Bounds::body_bytes`].
    pub over_bodies: u64,
    /// Requests refused because of [`Bounds::call_bytes`].
    pub over_calls: u64,
    /// Answers that did not fit into the output buffer of their client connection. The request fails; the
    /// connection stays open.
    pub over_answers: u64,
    /// Requests whose time to live exceeded the deadline of their class and was limited to it.
    pub over_deadline: u64,
    /// Requests rejected because a request with the same id was open.
    pub ids_open: u64,
    /// Requests rejected because a request with the same id may have run: see [`Bounds::finished_ids`].
    pub ids_used: u64,
    /// The longest time that a request may have waited between its arrival and its opening, microseconds.
    pub longest_read_delay: u64,
    /// The longest iteration, microseconds: from the return of the poll to the end of the iteration.
    pub longest_iteration: u64,
    /// Responses of invokers that could not be read or were incomplete.
    pub bad_answers: u64,
    /// Responses of invokers that belong to no open request.
    pub stray_answers: u64,
    /// Questions who listens at an invoker's address, after all connections to it had ended.
    pub identity_questions: u64,
    /// Times that another process was found at an invoker's address before a list named it.
    pub replaced_processes: u64,
    /// Connections to invokers closed because a cancellation could not be written at once.
    pub cut_to_withdraw: u64,
    /// Requests for which no connection was available because of [`Bounds::pool_connections`], which is
    /// shared equally among invokers.
    pub over_links: u64,
    /// Datagrams from the directory that could not be used.
    pub bad_lists: u64,
    /// Queries to the directory without a response within [`QUERY_TIMEOUT`].
    pub lost_lists: u64,
    /// Queries to the directory that could not be sent.
    pub unsent_queries: u64,
    /// Responses of the directory with a list older than the current one.
    pub old_lists: u64,
    /// Times that the list became older than [`OLD_LIST_AGE`] without being confirmed by the directory.
    pub list_outages: u64,
    /// Requests whose time left was limited because they were opened late after SIGTERM: see
    /// [`time_before_kill`].
    pub after_end: u64,
    /// Why requests ended, were retried, and connections were closed.
    pub reasons: Reasons,
    /// Actions that would have broken an invariant: see [`crate::guard`].
    pub violations: Violations,
}
