//! Limits of plain connections, and the counters that record when they were reached.

use std::time::Duration;

/// Lower bound of [`TcpLimits::read_quota`] when many connections are ready.
pub const MIN_READ_QUOTA: usize = 4 << 10;

/// No limit on the bytes of all connections together, unless the owner sets one.
pub(super) const UNLIMITED: usize = usize::MAX / 4;

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
    /// Bytes of input of each connection that do not count towards [`TcpLimits::input_sum`]: a connection with
    /// less is read also when that limit is reached.
    pub input_reserve: usize,
    /// Maximum bytes of input held on all connections together, beyond [`TcpLimits::input_reserve`] of each.
    /// When it is reached, further bytes remain in the kernel until the owner has consumed some.
    pub input_sum: usize,
    /// Maximum bytes queued on a connection; when more is queued the connection is closed as
    /// [`super::ConnectionFailure::Slow`].
    pub output: usize,
    /// Bytes of output of each connection that do not count towards [`TcpLimits::output_sum`].
    pub output_reserve: usize,
    /// Bytes queued on all connections together, beyond [`TcpLimits::output_reserve`] of each, above which
    /// [`super::Tcp::send_capacity`] is reduced to that reserve. At twice this number, a connection that does
    /// not take its bytes at once is closed as [`super::ConnectionFailure::Slow`].
    pub output_sum: usize,
    /// Bytes read from a connection in one poll, after which the rest is left to the next poll. It is less when
    /// many connections are ready, but at least [`MIN_READ_QUOTA`].
    pub read_quota: usize,
    /// Bytes read in one poll from all accepted connections, and as many from all outgoing ones, after which the
    /// others are left to the next poll, in which they come first.
    pub read_sum: usize,
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
            input_reserve: 2 << 10,
            input_sum: UNLIMITED,
            output: 1 << 20,
            output_reserve: 2 << 10,
            output_sum: UNLIMITED,
            read_quota: 64 << 10,
            read_sum: 256 << 10,
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
    /// Connections closed because of [`TcpLimits::output_sum`].
    pub over_output_sum: u64,
    /// Reads that waited because of [`TcpLimits::input_sum`].
    pub over_input_sum: u64,
    /// Polls that left ready connections to the next one because of [`TcpLimits::read_sum`].
    pub over_read_sum: u64,
    /// Outgoing connections that were refused, broke while connecting or exceeded
    /// [`TcpLimits::connect_timeout`].
    pub connect_failures: u64,
    /// Retries scheduled after a transient failure to connect.
    pub connect_retries: u64,
}
