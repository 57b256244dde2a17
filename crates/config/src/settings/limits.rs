//! The list `(limits ...)`, which contains the limits of the decision module and those of the gateway's connections.

use nettleferry::{Limits, Micros};

use crate::form::{Bytes, Form, TimeSpan};

/// Limits and timeouts of the gateway's client and worker connections. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct EdgeLimits {
    /// Maximum number of open calls.
    pub open_calls: usize,
    /// Maximum number of models whose names and ids the engine stores. The least recently used ones without open calls
    /// are evicted.
    pub remembered_models: usize,
    /// Responses are sent at least this long before the client's deadline.
    pub answer_margin: Micros,
    /// Timeout of a probe request to a worker.
    pub probe_timeout: Micros,
    /// `grpc-retry-pushback-ms` of a rejection for which the decision module returns no retry advice.
    pub pushback: Micros,
    /// Maximum size of a message, bytes.
    pub message_bytes: usize,
    /// Maximum size of a header list, bytes.
    pub header_bytes: u32,
    /// Maximum number of client connections.
    pub connections: usize,
    /// Maximum number of streams on a client connection.
    pub streams_per_connection: u32,
    /// Maximum number of open calls on a ModelStreamInfer stream.
    pub calls_per_stream: usize,
    /// Maximum number of connections to a worker.
    pub worker_connections: usize,
    /// Maximum number of streams on a connection to a worker.
    pub worker_streams: usize,
    /// Size of a client stream's send queue, bytes; when it is full, backpressure is applied to the worker.
    pub send_queue: usize,
    /// HTTP/2 receive window of a stream, bytes.
    pub stream_window: u32,
    /// Maximum number of streams of a connection that the client has reset before they were handled. A connection with
    /// more is closed.
    pub reset_streams: usize,
    /// Time after which a connection without calls is closed.
    pub idle_timeout: Micros,
    /// Timeout of the HTTP/2 handshake on an accepted connection.
    pub handshake_timeout: Micros,
    /// Time for which open calls may continue after SIGTERM.
    pub drain_timeout: Micros,
}

/// Reads `(limits ...)`. Without an entry, a limit has its default.
pub(super) fn limits(top: &mut Form) -> (Limits, EdgeLimits) {
    let mut form = top.list_or_empty("limits");
    let mut integer = |key, default: u64, min: u64| {
        let number = form.value_or(key, default);
        if number < min {
            form.error(format!("({key} {number}): {min} at the least"));
        }
        usize::try_from(number.max(min)).unwrap_or(usize::MAX)
    };
    let attempts = integer("attempts", 3, 1);
    let open_calls = integer("open-calls", 20_000, 1);
    let remembered_models = integer("models-remembered", 65_536, 1);
    let connections = integer("connections", 4096, 1);
    let streams_per_connection = integer("streams-per-connection", 16_384, 1);
    let calls_per_stream = integer("calls-per-stream", 1024, 1);
    let reset_streams = integer("reset-streams", 64, 1);
    let worker_connections = integer("worker-connections", 4, 1);
    let worker_streams = integer("worker-streams", 1000, 1);
    let mut size = |key, default: u64, min: u64, max: u64| {
        let bytes = form.value_or(key, Bytes(default)).0;
        if bytes < min || bytes > max {
            form.error(format!("({key} ...): must be from {min}B to {max}B"));
        }
        bytes.clamp(min, max)
    };
    let message_bytes = size("message-size", 64 << 20, 1 << 10, 2 << 30);
    let header_bytes = size("header-size", 16 << 10, 4 << 10, 1 << 20);
    let send_queue = size("send-queue", 256 << 10, 16 << 10, 64 << 20);
    let stream_window = size("stream-window", 1 << 20, 64 << 10, 64 << 20);
    let pushback = form.micros_or("pushback", 100_000);
    let limits = module_limits(&mut form, attempts, pushback);
    let edge = EdgeLimits {
        open_calls,
        remembered_models,
        answer_margin: form.micros_or("answer-margin", 10_000),
        probe_timeout: form.micros_or("probe-timeout", 1_000_000),
        pushback,
        message_bytes: message_bytes as usize,
        header_bytes: header_bytes as u32,
        connections,
        streams_per_connection: u32::try_from(streams_per_connection).unwrap_or(u32::MAX),
        calls_per_stream,
        worker_connections,
        worker_streams,
        send_queue: send_queue as usize,
        stream_window: stream_window as u32,
        reset_streams,
        idle_timeout: form.micros_or("idle", 30_000_000),
        handshake_timeout: form.micros_or("handshake-timeout", 5_000_000),
        drain_timeout: form.micros_or("drain", 30_000_000),
    };
    form.finish();
    (limits, edge)
}

/// Reads the limits of the decision module. Each refusal advises a delay, that of the module or the pushback, so the
/// longest advice covers both.
fn module_limits(form: &mut Form, attempts: usize, pushback: Micros) -> Limits {
    let longest_advice = form.optional::<TimeSpan>("retry-after").map_or(0, |span| span.0);
    Limits {
        max_attempts: u32::try_from(attempts).unwrap_or(u32::MAX),
        parallel_attempts: false,
        probes: form.value_or("probes", true),
        cancel: true,
        retry_after: Some(longest_advice.max(pushback)),
        connect_timeout: form.micros_or("connect-timeout", 250_000),
    }
}
