//! Operations of the owner on streams: requests, responses, messages and flow control.

use std::time::Instant;

use bytes::Bytes;
use h2::Reason;
use http::HeaderMap;

use super::stream::{OutgoingRequest, Stream};
use super::{ConnKey, Hub, StreamKey};
use crate::wake::Due;

impl Hub {
    /// Opens a stream on an outgoing connection, which may still be connecting. `None` if the connection no
    /// longer exists.
    pub fn open(&mut self, conn: ConnKey, request: http::Request<()>) -> Option<StreamKey> {
        self.open_stream(conn, request, None)
    }

    /// Like [`Hub::open`], for a call with a deadline. `grpc-timeout` is set to the time left when the
    /// connection starts the stream. If the deadline has passed by then, the stream fails with
    /// [`super::StreamError::NotWritten`].
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

    /// Sends the headers of the response on an incoming stream.
    pub fn respond(&mut self, key: StreamKey, head: http::Response<()>) {
        if let Some(stream) = self.stream(key) {
            stream.respond(head, false);
        }
    }

    /// Sends a response that consists of headers only (Trailers-Only in gRPC), which ends the stream.
    pub fn respond_only(&mut self, key: StreamKey, head: http::Response<()>) {
        if let Some(stream) = self.stream(key) {
            stream.respond(head, true);
        }
    }

    /// Queues a message. The queue is not bounded here: the owner must check [`Hub::is_full`].
    pub fn send(&mut self, key: StreamKey, message: Bytes) {
        if let Some(stream) = self.stream(key) {
            stream.queue(message);
        }
    }

    /// Finishes the sending direction: a response with trailers, a request without.
    pub fn finish(&mut self, key: StreamKey, trailers: Option<HeaderMap>) {
        if let Some(stream) = self.stream(key) {
            stream.finish(trailers);
        }
    }

    /// Whether the send queue has exceeded [`crate::NetLimits::send_queue_bytes`]. Once true, it stays so
    /// until [`super::NetEvent::Drained`] is reported.
    pub fn is_full(&mut self, key: StreamKey) -> bool {
        let limit = self.limits.send_queue_bytes;
        self.stream(key).is_some_and(|s| s.is_full(limit))
    }

    /// Bytes queued on a stream and not passed to HTTP/2; 0 if it has ended.
    pub fn queued(&self, key: StreamKey) -> usize {
        self.streams.get(key.index()).filter(|s| s.key == key).map_or(0, |s| s.out_bytes)
    }

    /// Stops reading messages of a stream: its receive window closes, and the peer has to wait.
    pub fn pause(&mut self, key: StreamKey) {
        if let Some(stream) = self.stream(key) {
            stream.paused = true;
        }
    }

    /// Resumes reading messages of a paused stream.
    pub fn resume(&mut self, key: StreamKey) {
        if let Some(stream) = self.stream(key)
            && stream.paused
        {
            stream.paused = false;
            stream.waker.wake_by_ref();
        }
    }

    /// Accepts gzip-compressed messages on a stream, for requests with `grpc-encoding: gzip`.
    pub fn allow_gzip(&mut self, key: StreamKey) {
        if let Some(stream) = self.stream(key) {
            stream.decoder.allow_gzip();
        }
    }

    /// Ends a stream immediately with RST_STREAM. No event follows.
    pub fn reset(&mut self, key: StreamKey, reason: Reason) {
        if !self.is_open(key) {
            return;
        }
        let mut stream = self.remove_stream(key);
        stream.reset(reason);
        self.unlink(&stream);
    }
}
