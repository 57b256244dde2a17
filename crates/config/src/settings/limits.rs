//! Bounds: those of the decision module and those at the edge, which stand in one form.

use nettleferry::{Limits, Micros};

use crate::form::{Bytes, Form, TimeSpan};

/// Bounds and spans at the edge; each is told in the settings' page.
#[derive(Clone, Debug, PartialEq)]
pub struct Edge {
    /// Calls open at once.
    pub open_calls: usize,
    /// Models remembered by name.
    pub models: usize,
    /// An answer is given this long before the client's deadline.
    pub answer_margin: Micros,
    /// A probe without an answer ends.
    pub probe_timeout: Micros,
    /// Advice in a refusal where the module gives none.
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
    /// Bytes queued for one client's stream before its worker is made to wait.
    pub send_queue: usize,
    /// Receive window of a stream.
    pub stream_window: u32,
    /// Streams reset before they were looked at, on one connection.
    pub reset_streams: usize,
    /// A connection without calls is closed.
    pub idle: Micros,
    /// An accepted connection must speak HTTP/2 within this span.
    pub handshake_timeout: Micros,
    /// At SIGTERM, open calls have this long.
    pub drain: Micros,
}

/// Reads `(limits ...)`.
pub(super) fn limits(top: &mut Form) -> (Limits, Edge) {
    let mut form = top.group("limits");
    let mut whole = |key, default: u64, least: u64| {
        let n = form.or(key, default);
        if n < least {
            form.fault(format!("({key} {n}): {least} at the least"));
        }
        usize::try_from(n.max(least)).unwrap_or(usize::MAX)
    };
    let (attempts, open_calls, models) =
        (whole("attempts", 3, 1), whole("open-calls", 20_000, 1), whole("models-remembered", 65_536, 1));
    let (connections, streams) = (whole("connections", 4096, 1), whole("streams-per-connection", 16_384, 1));
    let (calls, reset) = (whole("calls-per-stream", 1024, 1), whole("reset-streams", 64, 1));
    let (worker_connections, worker_streams) =
        (whole("worker-connections", 4, 1), whole("worker-streams", 1000, 1));
    let mut size = |key, default: u64, least: u64, most: u64| {
        let n = form.or(key, Bytes(default)).0;
        if n < least || n > most {
            form.fault(format!("({key} ...): from {least}B to {most}B"));
        }
        n.clamp(least, most)
    };
    let message = size("message-size", 64 << 20, 1 << 10, 2 << 30);
    let header = size("header-size", 16 << 10, 4 << 10, 1 << 20);
    let queue = size("send-queue", 256 << 10, 16 << 10, 64 << 20);
    let window = size("stream-window", 1 << 20, 64 << 10, 64 << 20);
    let limits = Limits {
        max_attempts: u32::try_from(attempts).unwrap_or(u32::MAX),
        parallel: false,
        probes: form.or("probes", true),
        cancel: true,
        retry_after: form.get::<TimeSpan>("retry-after").map(|s| s.0),
        connect_timeout: form.span_or("connect-timeout", 250_000),
    };
    let edge = Edge {
        open_calls,
        models,
        answer_margin: form.span_or("answer-margin", 10_000),
        probe_timeout: form.span_or("probe-timeout", 1_000_000),
        pushback: form.span_or("pushback", 100_000),
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
        idle: form.span_or("idle", 30_000_000),
        handshake_timeout: form.span_or("handshake-timeout", 5_000_000),
        drain: form.span_or("drain", 30_000_000),
    };
    form.end();
    (limits, edge)
}
