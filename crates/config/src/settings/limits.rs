//! Limits of the decision module and of the gateway's edge, which are in one list.

use nettleferry::{Limits, Micros};

use crate::form::{Bytes, Form, TimeSpan};

/// Limits and timeouts at the edge; docs/settings and the example describe each.
#[derive(Clone, Debug, PartialEq)]
pub struct EdgeLimits {
    /// Calls open at once.
    pub open_calls: usize,
    /// Models remembered by name.
    pub remembered_models: usize,
    /// A response is given this long before the client's deadline.
    pub answer_margin: Micros,
    /// Timeout of a probe.
    pub probe_timeout: Micros,
    /// Retry advice in a rejection where the decision module gives none.
    pub pushback: Micros,
    /// Bytes of one message.
    pub message_bytes: usize,
    /// Bytes of a header list.
    pub header_bytes: u32,
    /// Client connections.
    pub connections: usize,
    /// Streams on one client connection.
    pub streams_per_connection: u32,
    /// Open calls on one ModelStreamInfer stream.
    pub calls_per_stream: usize,
    /// Connections to one worker.
    pub worker_connections: usize,
    /// Streams on one connection to a worker.
    pub worker_streams: usize,
    /// Bytes queued for one client's stream before backpressure is put on its worker.
    pub send_queue: usize,
    /// Receive window of a stream.
    pub stream_window: u32,
    /// Streams of one connection that are reset before they were handled.
    pub reset_streams: usize,
    /// After how long a connection without calls is closed.
    pub idle_timeout: Micros,
    /// Within how long an accepted connection must complete the HTTP/2 handshake.
    pub handshake_timeout: Micros,
    /// How long open calls may go on after SIGTERM.
    pub drain_timeout: Micros,
}

/// Reads `(limits ...)`.
pub(super) fn limits(top: &mut Form) -> (Limits, EdgeLimits) {
    let mut form = top.list_or_empty("limits");
    let mut integer = |key, default: u64, min: u64| {
        let n = form.value_or(key, default);
        if n < min {
            form.error(format!("({key} {n}): {min} at the least"));
        }
        usize::try_from(n.max(min)).unwrap_or(usize::MAX)
    };
    let attempts = integer("attempts", 3, 1);
    let open_calls = integer("open-calls", 20_000, 1);
    let remembered_models = integer("models-remembered", 65_536, 1);
    let connections = integer("connections", 4096, 1);
    let streams = integer("streams-per-connection", 16_384, 1);
    let calls = integer("calls-per-stream", 1024, 1);
    let reset = integer("reset-streams", 64, 1);
    let worker_connections = integer("worker-connections", 4, 1);
    let worker_streams = integer("worker-streams", 1000, 1);
    let mut size = |key, default: u64, min: u64, max: u64| {
        let n = form.value_or(key, Bytes(default)).0;
        if n < min || n > max {
            form.error(format!("({key} ...): from {min}B to {max}B"));
        }
        n.clamp(min, max)
    };
    let message = size("message-size", 64 << 20, 1 << 10, 2 << 30);
    let header = size("header-size", 16 << 10, 4 << 10, 1 << 20);
    let queue = size("send-queue", 256 << 10, 16 << 10, 64 << 20);
    let window = size("stream-window", 1 << 20, 64 << 10, 64 << 20);
    let limits = Limits {
        max_attempts: u32::try_from(attempts).unwrap_or(u32::MAX),
        parallel_attempts: false,
        probes: form.value_or("probes", true),
        cancel: true,
        retry_after: form.optional::<TimeSpan>("retry-after").map(|s| s.0),
        connect_timeout: form.micros_or("connect-timeout", 250_000),
    };
    let edge = EdgeLimits {
        open_calls,
        remembered_models,
        answer_margin: form.micros_or("answer-margin", 10_000),
        probe_timeout: form.micros_or("probe-timeout", 1_000_000),
        pushback: form.micros_or("pushback", 100_000),
        message_bytes: message as usize,
        header_bytes: header as u32,
        connections,
        streams_per_connection: u32::try_from(streams).unwrap_or(u32::MAX),
        calls_per_stream: calls,
        worker_connections,
        worker_streams,
        send_queue: queue as usize,
        stream_window: window as u32,
        reset_streams: reset,
        idle_timeout: form.micros_or("idle", 30_000_000),
        handshake_timeout: form.micros_or("handshake-timeout", 5_000_000),
        drain_timeout: form.micros_or("drain", 30_000_000),
    };
    form.finish();
    (limits, edge)
}
