//! Limits of the hub, and the counters that record when they were reached.

use std::time::Duration;

/// Limits of a [`crate::Hub`].
#[derive(Clone, Debug)]
pub struct NetLimits {
    /// Open connections, accepted and outgoing, at which a newly accepted one is closed immediately.
    pub connections: usize,
    /// Maximum concurrent streams that a peer may open on one connection (`SETTINGS_MAX_CONCURRENT_STREAMS`).
    pub streams_per_connection: u32,
    /// Maximum size of a gRPC message in bytes, after decompression.
    pub message_bytes: usize,
    /// Maximum bytes of the incomplete messages of all clients together. Above it the stream that holds the most is
    /// ended with [`crate::framing::FrameError::NoRoom`].
    pub message_sum: usize,
    /// Maximum size of a header list in bytes (`SETTINGS_MAX_HEADER_LIST_SIZE`). A longer or never-ending one
    /// ends the stream or the connection.
    pub header_bytes: u32,
    /// Receive window of a stream in bytes: how much a peer may send before it is read.
    pub stream_window: u32,
    /// Receive window of a connection in bytes.
    pub connection_window: u32,
    /// Send queue of a stream in bytes; above it [`super::Hub::is_full`] is true.
    pub send_queue_bytes: usize,
    /// Maximum streams per connection that the peer has reset before they were handled; more is a protocol
    /// error.
    pub reset_streams: usize,
    /// Time in which an outgoing connection must be established, including the HTTP/2 handshake.
    pub connect_timeout: Duration,
    /// Time from acceptance in which the HTTP/2 preface of a connection must be received.
    pub handshake_timeout: Duration,
    /// Time after which a connection without streams is closed: an outgoing one at once, an accepted one by
    /// GOAWAY.
    pub idle: Duration,
}

impl Default for NetLimits {
    fn default() -> Self {
        Self {
            connections: 4096,
            streams_per_connection: 16_384,
            message_bytes: 64 << 20,
            message_sum: 192 << 20,
            header_bytes: 16 << 10,
            stream_window: 1 << 20,
            connection_window: 16 << 20,
            send_queue_bytes: 256 << 10,
            reset_streams: 64,
            connect_timeout: Duration::from_millis(250),
            handshake_timeout: Duration::from_secs(5),
            idle: Duration::from_secs(30),
        }
    }
}

/// Counts of connections and streams, and of limits that were reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NetCounters {
    /// Connections accepted from peers.
    pub accepted: u64,
    /// Accepted connections closed immediately because of [`NetLimits::connections`].
    pub over_connections: u64,
    /// Times that accepting paused because no file descriptor or memory was left.
    pub over_handles: u64,
    /// Accepted connections closed because of [`NetLimits::handshake_timeout`].
    pub handshake_timeouts: u64,
    /// Outgoing connections that were refused or exceeded [`NetLimits::connect_timeout`].
    pub connect_failures: u64,
    /// Connections closed, or asked to close, because of [`NetLimits::idle`].
    pub idle_closed: u64,
    /// Accepted connections closed by [`super::Hub::close_stalled`] before their clients had received all
    /// responses.
    pub undelivered: u64,
    /// Messages that were malformed or exceeded [`NetLimits::message_bytes`].
    pub bad_messages: u64,
    /// Messages given up because of [`NetLimits::message_sum`].
    pub over_message_sum: u64,
    /// Connections ended by a protocol error of the peer, including floods of resets or headers.
    pub protocol_errors: u64,
    /// Streams opened by this side or by peers.
    pub streams: u64,
    /// Returns of the poll system call.
    pub wakeups: u64,
}
