//! The streams as the owner uses them: requests, answers, messages, flow control.

use std::time::Instant;

use bytes::Bytes;
use h2::Reason;
use http::HeaderMap;

use super::stream::{OutgoingRequest, Stream};
use super::{ConnKey, Hub, StreamKey};
use crate::wake::Due;

impl Hub {
    /// Opens a stream on an outgoing connection, which may still be connecting. `None`: the connection is gone.
    pub fn open(&mut self, conn: ConnKey, request: http::Request<()>) -> Option<StreamKey> {
        self.open_stream(conn, request, None)
    }

    /// The same for a call that is over at `deadline`: its `grpc-timeout` is written when the connection starts the stream,
    /// and states what is left then. One that is over by then fails as not written.
    pub fn open_until(
        &mut self,
        conn: ConnKey,
        request: http::Request<()>,
        deadline: Instant,
    ) -> Option<StreamKey> {
        self.open_stream(conn, request, Some(deadline))
    }

    fn open_stream(
        &mut self,
        conn: ConnKey,
        request: http::Request<()>,
        deadline: Option<Instant>,
    ) -> Option<StreamKey> {
        let connection = self.conns.get_mut(conn.index()).filter(|c| c.key == conn)?;
        self.generation = self.generation.wrapping_add(1);
        let entry = self.streams.vacant_entry();
        let key = StreamKey::new(self.generation, entry.key());
        let waker = self.due.waker(Due::Stream(key.0));
        entry.insert(Stream::outgoing(
            key,
            conn,
            waker,
            OutgoingRequest { head: request, deadline },
            &self.limits,
        ));
        connection.streams.insert(key);
        connection.waiting.push_back(key);
        connection.waker.wake_by_ref();
        self.counters.streams += 1;
        Some(key)
    }

    pub(super) fn stream(&mut self, key: StreamKey) -> Option<&mut Stream> {
        self.streams.get_mut(key.index()).filter(|s| s.key == key)
    }

    /// Whether a stream has not ended.
    pub fn is_open(&self, key: StreamKey) -> bool {
        self.streams.get(key.index()).is_some_and(|s| s.key == key)
    }

    /// Sends the headers of an answer.
    pub fn respond(&mut self, key: StreamKey, head: http::Response<()>) {
        if let Some(stream) = self.stream(key) {
            stream.respond(head, false);
        }
    }

    /// Answers with headers alone: status and headers are the end (gRPC's Trailers-Only).
    pub fn respond_only(&mut self, key: StreamKey, head: http::Response<()>) {
        if let Some(stream) = self.stream(key) {
            stream.respond(head, true);
        }
    }

    /// Queues a message. The owner bounds the queue: see [`Hub::is_full`].
    pub fn send(&mut self, key: StreamKey, message: Bytes) {
        if let Some(stream) = self.stream(key) {
            stream.queue(message);
        }
    }

    /// Ends our side: with trailers (answers) or without (requests).
    pub fn finish(&mut self, key: StreamKey, trailers: Option<HeaderMap>) {
        if let Some(stream) = self.stream(key) {
            stream.finish(trailers);
        }
    }

    /// Whether more is queued than [`crate::NetLimits::send_queue_bytes`]; [`super::NetEvent::Drained`] reports the end.
    pub fn is_full(&mut self, key: StreamKey) -> bool {
        let limit = self.limits.send_queue_bytes;
        self.stream(key).is_some_and(|s| s.is_full(limit))
    }

    /// Bytes queued for sending.
    pub fn queued(&self, key: StreamKey) -> usize {
        self.streams.get(key.index()).filter(|s| s.key == key).map_or(0, |s| s.out_bytes)
    }

    /// Takes no more messages: the peer's window closes, and it must wait.
    pub fn pause(&mut self, key: StreamKey) {
        if let Some(stream) = self.stream(key) {
            stream.paused = true;
        }
    }

    /// Takes messages again.
    pub fn resume(&mut self, key: StreamKey) {
        if let Some(stream) = self.stream(key)
            && stream.paused
        {
            stream.paused = false;
            stream.waker.wake_by_ref();
        }
    }

    /// Takes gzip messages on this stream (for `grpc-encoding: gzip`).
    pub fn allow_gzip(&mut self, key: StreamKey) {
        if let Some(stream) = self.stream(key) {
            stream.decoder.allow_gzip();
        }
    }

    /// Ends a stream at once with RST_STREAM. No event follows.
    pub fn reset(&mut self, key: StreamKey, reason: Reason) {
        if !self.is_open(key) {
            return;
        }
        let mut stream = self.streams.remove(key.index());
        stream.reset(reason);
        self.unlink(&stream);
    }
}
