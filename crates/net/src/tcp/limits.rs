//! Limits of plain connections, and the counters that record when they were reached.

use std::time::Duration;

/// Limits of a [`super::Tcp`].
#[derive(Clone, Debug)]
pub struct TcpLimits {
    /// Maximum accepted connections. A further one replaces a finished connection, or is closed immediately.
    pub accepted: usize,
    /// Maximum connections accepted from a listener in one poll. Further ones wait in the kernel until the
    /// next poll, before which the owner may close other connections.
    pub accepts_per_poll: usize,
    /// Maximum outgoing connections; further ones are not started.
    pub outgoing: usize,
    /// Maximum bytes read from a connection and not consumed by the owner; more remains in the kernel.
    pub input: usize,
    /// Maximum bytes queued on a connection; when more is queued the connection is closed as
    /// [`super::ConnectionFailure::Slow`].
    pub output: usize,
    /// Bytes read from a connection in one poll, after which the rest is left to the next poll.
    pub read_quota: usize,
    /// Time in which an outgoing connection must be established, including retries.
    pub connect_timeout: Duration,
    /// Time after [`super::Tcp::finish`] in which the queued bytes must be sent; the connection is closed
    /// afterwards.
    pub drain: Duration,
    /// Time after the last queued byte was sent for which received data is discarded before the socket is
    /// closed. Closing with unread data would reset the connection, and the peer could lose the last bytes.
    /// It ends early when the peer closes its sending direction.
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

/// Counts of connections, and of limits that were reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TcpCounters {
    /// Incoming connections accepted within [`TcpLimits::accepted`].
    pub accepted: u64,
    /// Outgoing connections started, without the retries of each.
    pub connects: u64,
    /// Incoming connections closed immediately because of [`TcpLimits::accepted`].
    pub over_accepted: u64,
    /// Outgoing connections not started because of [`TcpLimits::outgoing`].
    pub over_outgoing: u64,
    /// Times that accepting paused because no file descriptor or memory was left.
    pub over_handles: u64,
    /// Finished connections closed early so that a new one could be accepted.
    pub lingering_evicted: u64,
    /// Connections closed because of [`TcpLimits::output`].
    pub over_output: u64,
    /// Outgoing connections that were refused, broke while connecting or exceeded
    /// [`TcpLimits::connect_timeout`].
    pub connect_failures: u64,
    /// Retries scheduled after a transient failure to connect.
    pub connect_retries: u64,
}
