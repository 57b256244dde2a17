//! Bounds of plain connections, and the counters that tell when they were hit.

use std::time::Duration;

/// Bounds of plain connections.
#[derive(Clone, Debug)]
pub struct TcpLimits {
    /// Accepted connections at once; one more is closed at once.
    pub accepted: usize,
    /// Connections accepted in one poll; the others wait in the system for the next, before which the owner may make
    /// room.
    pub accepts_per_poll: usize,
    /// Outgoing connections at once; one more is not connects.
    pub outgoing: usize,
    /// Bytes read from a connection and not yet taken by the owner; more waits in the kernel.
    pub input: usize,
    /// Bytes queued for a connection; one whose peer takes too little is closed.
    pub output: usize,
    /// Bytes read from one connection in one poll.
    pub read_quota: usize,
    /// A connection that is not established within this span has failed.
    pub connect_timeout: Duration,
    /// After [`super::Tcp::finish`] a peer has this long to take what is queued for it.
    pub drain: Duration,
    /// After that what still arrives is discarded for this long, so that the peer gets our last bytes rather than a reset; no
    /// longer than until its side has ended as well.
    pub linger: Duration,
}

impl Default for TcpLimits {
    fn default() -> Self {
        Self {
            accepted: 1024,
            accepts_per_poll: 64,
            outgoing: 256,
            input: 64 << 10,
            output: 1 << 20,
            read_quota: 64 << 10,
            connect_timeout: Duration::from_millis(250),
            drain: Duration::from_secs(10),
            linger: Duration::from_millis(200),
        }
    }
}

/// Counts of connections, and of bounds that were hit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TcpCounters {
    /// Connections accepted.
    pub accepted: u64,
    /// Outgoing connections begun.
    pub connects: u64,
    /// [`TcpLimits::accepted`].
    pub over_accepted: u64,
    /// [`TcpLimits::outgoing`].
    pub over_outgoing: u64,
    /// Accepting paused because the process had no descriptor left.
    pub over_handles: u64,
    /// Finished connections that were closed before their linger was over, for a new one.
    pub lingering_evicted: u64,
    /// [`TcpLimits::output`].
    pub over_output: u64,
    /// [`TcpLimits::connect_timeout`], and connections refused.
    pub connect_failures: u64,
    /// Connects that failed for a reason on this side or on the way, and were retried.
    pub connect_retries: u64,
}
