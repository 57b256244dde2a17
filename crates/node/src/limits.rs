//! Every bound of the node by name, and the counter that tells when it was hit.

use std::time::{Duration, Instant};

use nettleferry_platform::config;

use crate::guard::Violations;
use crate::reasons::Reasons;

/// A connection on which nothing that can be used came within this span of its coming is closed: the platform
/// owes such a client an answer or a close within 3 s.
pub const FIRST_FRAME: Duration = Duration::from_millis(2_000);
/// A frame must come whole within this span of its first byte.
pub const WHOLE_FRAME: Duration = Duration::from_millis(2_000);
/// A client's connection without open requests is closed after this span. Clients close theirs after 4 s.
pub const CLIENT_IDLE: Duration = Duration::from_millis(6_000);
/// After a last look that found something, a connection that was to be closed is judged again after this span.
pub const LAST_LOOK: Duration = Duration::from_millis(20);
/// A client sends what it connected for as soon as its connection has come about, for which the platform allows this: one
/// that has sent nothing by then makes room first, and none that is newer does so before any that is idle.
pub const FIRST_BYTES: Duration = Duration::from_millis(250);
/// A client writes a frame at once: one that has not come whole after this span makes room before those that just came.
pub const STOPPED_FRAME: Duration = Duration::from_millis(500);
/// Connections looked at for one that may make room for a new one.
pub const ROOM_LOOKS: usize = 8;
/// Requests open at once on a client's connection: the platform's figure.
pub const CLIENT_STREAMS: usize = 32;
/// Requests and frames that can't be used, in a row on one connection; with one more it is closed. A connection of a
/// front carries the requests of many: one that can be used shows that others wait there for their answers.
pub const CLIENT_FAULTS: u32 = 8;
/// A request may tell of so many times its class's deadline, and has the deadline then: its client sent it early, by a
/// clock of its own. Beyond that the figure is none of a client that knows the class.
pub const LONGEST_TTL: f64 = 10.0;
/// Bytes of an answer without a body that invokers gave, at the most.
pub const SHORT_ANSWER: usize = 256;
/// Descriptors that neither clients nor links may take: [`ACCEPTED_A_TURN`] connections that wait to be judged; standard
/// input, output and error; the poll, the listener, the signals' two; the directory's socket and the one that it had
/// before it moved; the configuration's file while it is read; and some for what the C library opens for itself.
pub const OWN_DESCRIPTORS: usize = 24;
/// Connections accepted in one turn, over the bound on clients: the front makes room for them before the next.
pub const ACCEPTED_A_TURN: usize = 8;
/// Requests opened in one turn; the others wait until the sockets have been looked at again: so no client's leaving and no
/// answer that is due waits behind more work than that.
pub const OPENED_A_TURN: usize = 64;
/// The sockets are looked at this often at the least: a process that was not run while it slept may read what came by so
/// much later, which is the platform's own slack on each time.
pub const LOOK_EVERY: Duration = Duration::from_millis(50);
/// An answer must come whole within this span of its first byte: invokers write theirs at once.
pub const WHOLE_ANSWER: Duration = Duration::from_millis(500);
/// After SIGTERM the node goes on for this long at the least, and after the last request that came.
pub const LAST_REQUESTS: Duration = Duration::from_millis(1_500);
/// The platform kills a controller no sooner after SIGTERM than the longest deadline, or this where it is longer,
pub const KILL_LEAST: Duration = Duration::from_millis(3_000);
/// and this: a request that came later after SIGTERM must have its answer by then.
pub const KILL_AFTER: Duration = Duration::from_millis(700);
/// An answer is on its way for no longer than this.
pub const ANSWER_WAY: Duration = Duration::from_millis(100);
/// A query's answer that could not be used is asked for again after this span.
pub const ASK_AGAIN: Duration = Duration::from_millis(50);
/// After so many queries in a row that could not be sent, the directory is asked from another socket.
pub const UNSENT_MOST: u32 = 4;
/// Queries whose answers are still taken: an answer that is always late is heard all the same.
pub const QUERIES: usize = 16;
/// After the directory has moved, what its old address still says is heard for this long.
pub const OLD_ADDRESS: Duration = Duration::from_millis(2_000);
/// The directory is asked this often; what it tells is current by so much and its answer's way.
pub const ASK_EVERY: Duration = Duration::from_millis(250);
/// An answer of the directory that has not come by then is taken for lost.
pub const ASK_WAIT: Duration = Duration::from_millis(400);

/// The time that a call has, microseconds, which came now: `left` of its client's, and no more than until the platform
/// may kill a process that was asked to end at `since`, where a client waits `longest` at the most.
pub fn until_kill(since: Instant, now: Instant, longest: Duration, left: u64) -> u64 {
    let end = since + longest.max(KILL_LEAST) + KILL_AFTER - ANSWER_WAY;
    left.min(end.saturating_duration_since(now).as_micros() as u64)
}

/// Bounds that follow from what the machine gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Accepted connections; at one more, one without an open request goes, else the new one.
    pub clients: usize,
    /// At one more, one that is idle goes, if there is one. Clients may hold a third of the descriptors and no more: what
    /// idle ones held of it would keep those out that have something to ask.
    pub idle_clients: usize,
    /// Connections to invokers.
    pub links: usize,
    /// Requests open.
    pub open_calls: usize,
    /// Bytes of bodies of open requests.
    pub body_bytes: usize,
    /// Functions remembered by name.
    pub functions: usize,
}

impl Bounds {
    /// Of this machine. Clients may hold a third of the descriptors: half of them are theirs here, a third is for
    /// invokers, and never less than [`OWN_DESCRIPTORS`] for what the process itself needs.
    pub fn of(limits: &config::Limits, open_calls: Option<u64>) -> Self {
        let sockets = usize::try_from(limits.sockets).unwrap_or(usize::MAX).clamp(64, 1 << 20);
        let megabytes = usize::try_from(limits.memory_mb).unwrap_or(usize::MAX).clamp(16, 1 << 20);
        let open = open_calls.and_then(|n| usize::try_from(n).ok()).unwrap_or(usize::MAX);
        Self {
            clients: sockets / 2,
            idle_clients: sockets / 4,
            links: (sockets / 3).min(sockets - sockets / 2 - OWN_DESCRIPTORS),
            open_calls: open.min(megabytes * 256),
            body_bytes: megabytes << 18,
            functions: megabytes * 128,
        }
    }
}

/// How often each bound was hit, and what else is worth counting.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests taken.
    pub requests: u64,
    /// Requests that could not be used.
    pub bad_requests: u64,
    /// Frames that could not be read, or that a client may not send.
    pub bad_frames: u64,
    /// Connections closed for [`CLIENT_FAULTS`], unreadable frames or [`CLIENT_STREAMS`].
    pub closed_for_faults: u64,
    /// [`FIRST_FRAME`] and [`WHOLE_FRAME`].
    pub closed_for_silence: u64,
    /// [`CLIENT_IDLE`].
    pub closed_idle: u64,
    /// [`Bounds::clients`].
    pub over_clients: u64,
    /// Connections without an open request that went for a new one.
    pub made_room: u64,
    /// New connections that were closed at once, as none of the others made room.
    pub no_room: u64,
    /// [`Bounds::body_bytes`].
    pub over_bodies: u64,
    /// Answers that did not fit into what their connection takes: their requests failed, the connection goes on.
    pub over_answers: u64,
    /// Requests that tell of more time than their class has: they have the class's.
    pub over_deadline: u64,
    /// Requests whose id was open already.
    pub ids_open: u64,
    /// The longest that a request may have waited in the system before it was read, microseconds.
    pub read_late_most: u64,
    /// The longest turn, microseconds: from the look at the sockets to the next.
    pub turn_most: u64,
    /// Answers of invokers that could not be read.
    pub bad_answers: u64,
    /// Answers that belonged to nothing open.
    pub stray_answers: u64,
    /// Connections to invokers that were cut, as the end of a withdrawn request could not be told there at once.
    pub cut_to_withdraw: u64,
    /// [`Bounds::links`], of which each invoker has an equal part.
    pub over_links: u64,
    /// Answers of the directory that could not be used.
    pub bad_lists: u64,
    /// Queries to the directory without an answer in time.
    pub lost_lists: u64,
    /// Queries to the directory that the system did not send.
    pub unsent_queries: u64,
    /// Answers of the directory with an older list.
    pub old_lists: u64,
    /// Requests that came so long after SIGTERM that they were refused at once.
    pub after_end: u64,
    /// Why requests ended, were sent again, and connections were closed.
    pub reasons: Reasons,
    /// Invariants that were about to be broken: see [`crate::guard`].
    pub violations: Violations,
}
