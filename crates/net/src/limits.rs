//! Bounds of the hub, and the counters that tell when they were hit.

use std::time::Duration;

/// Bounds of a hub.
#[derive(Clone, Debug)]
pub struct NetLimits {
    /// Connections accepted at once, over all listeners; one more is closed at once.
    pub connections: usize,
    /// Streams that a peer may have open on one connection (`SETTINGS_MAX_CONCURRENT_STREAMS`).
    pub streams_per_connection: u32,
    /// Bytes of one gRPC message, after decompression.
    pub message_bytes: usize,
    /// Bytes of a header list (`SETTINGS_MAX_HEADER_LIST_SIZE`); a longer one, or one without end, ends the
    /// stream or the connection.
    pub header_bytes: u32,
    /// Receive window of a stream, bytes: what a peer may send unread.
    pub stream_window: u32,
    /// Receive window of a connection, bytes.
    pub connection_window: u32,
    /// Bytes queued for sending on a stream from which on [`super::Hub::is_full`] holds.
    pub send_queue_bytes: usize,
    /// Streams that a peer has reset before they were handled, at once on a connection.
    pub reset_streams: usize,
    /// A TCP connection not established within this span has failed.
    pub connect_timeout: Duration,
    /// An accepted connection whose HTTP/2 preface is not received within this span is closed.
    pub handshake_timeout: Duration,
    /// A connection without streams is closed after this span.
    pub idle: Duration,
}

impl Default for NetLimits {
    fn default() -> Self {
        Self {
            connections: 4096,
            streams_per_connection: 16_384,
            message_bytes: 64 << 20,
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

/// Counts of connections and streams, and of bounds that were hit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NetCounters {
    /// Connections accepted.
    pub accepted: u64,
    /// Connections closed at once: [`NetLimits::connections`].
    pub over_connections: u64,
    /// Connections closed at once: the process had no descriptor left.
    pub over_handles: u64,
    /// [`NetLimits::handshake_timeout`].
    pub handshake_timeouts: u64,
    /// [`NetLimits::connect_timeout`], and connections refused.
    pub connect_failures: u64,
    /// Connections closed as [`NetLimits::idle`] says.
    pub idle_closed: u64,
    /// [`NetLimits::message_bytes`], and malformed messages.
    pub bad_messages: u64,
    /// Connections that ended by a protocol error of the peer, among them floods of resets and of headers.
    pub protocol_errors: u64,
    /// Streams opened by either side.
    pub streams: u64,
    /// Returns of the poll's system call.
    pub wakeups: u64,
}
