//! One stream: sent and received messages, flow control and the end of the stream.

use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::time::Instant;

use bytes::Bytes;
use h2::client::{ResponseFuture, SendRequest};
use h2::server::SendResponse;
use h2::{Reason, RecvStream, SendStream};
use http::{HeaderMap, HeaderValue};

use super::events::{ConnKey, NetEvent, StreamError, StreamKey};
use crate::framing::{Decoder, prefix};
use crate::grpc::write_timeout;
use crate::limits::{NetCounters, NetLimits};

/// Maximum messages that one poll reports for a stream; further ones are left to the next poll.
const MAX_MESSAGES_PER_POLL: usize = 64;
/// Maximum HTTP/2 send capacity that is reserved at a time, in bytes.
const MAX_RESERVED_CAPACITY: usize = 1 << 20;

/// A request to be sent on an outgoing stream.
pub(super) struct OutgoingRequest {
    pub(super) head: http::Request<()>,
    /// Deadline of the call, if it has one.
    pub(super) deadline: Option<Instant>,
}

impl OutgoingRequest {
    /// The head with `grpc-timeout` set to the time that is left at `now`.
    fn into_head(mut self, now: Instant) -> http::Request<()> {
        let left = self.deadline.map(|deadline| deadline.saturating_duration_since(now));
        let timeout = left.and_then(|left| HeaderValue::try_from(write_timeout(left)).ok());
        if let Some(timeout) = timeout {
            self.head.headers_mut().insert("grpc-timeout", timeout);
        }
        self.head
    }
}

/// An outgoing or incoming stream.
pub(super) struct Stream {
    pub(super) key: StreamKey,
    pub(super) conn: ConnKey,
    pub(super) waker: Waker,
    pub(super) decoder: Decoder,
    /// Bytes of the stream in the sum of the incomplete messages; 0 for an outgoing stream.
    pub(super) held: usize,
    /// Received data is not read, so that the receive window closes.
    pub(super) paused: bool,
    /// Size of `out` in bytes.
    pub(super) out_bytes: usize,
    /// The request of an outgoing stream that is not started yet.
    request: Option<OutgoingRequest>,
    /// The response of an outgoing stream until its headers are received.
    response: Option<ResponseFuture>,
    /// Sends the response of an incoming stream.
    responder: Option<SendResponse<Bytes>>,
    send: Option<SendStream<Bytes>>,
    recv: Option<RecvStream>,
    /// Queued body bytes, with the prefixes of messages, that were not passed to HTTP/2.
    out: VecDeque<Bytes>,
    /// The end of the sending direction once it is finished, with the trailers to send.
    end: Option<Option<HeaderMap>>,
    /// All data and the end were passed to HTTP/2.
    sent: bool,
    /// The send queue was full; [`NetEvent::Drained`] is due.
    was_full: bool,
    /// The peer opened the stream.
    is_incoming: bool,
    /// Bytes written on the connection before the request was passed to HTTP/2.
    written_before: u64,
}

impl Stream {
    fn new(key: StreamKey, conn: ConnKey, waker: Waker, limits: &NetLimits) -> Self {
        Self {
            key,
            conn,
            waker,
            decoder: Decoder::new(limits.message_bytes, false),
            held: 0,
            paused: false,
            out_bytes: 0,
            request: None,
            response: None,
            responder: None,
            send: None,
            recv: None,
            out: VecDeque::new(),
            end: None,
            sent: false,
            was_full: false,
            is_incoming: false,
            written_before: 0,
        }
    }

    /// An outgoing stream; it waits until its connection can start it.
    pub(super) fn outgoing(
        key: StreamKey,
        conn: ConnKey,
        waker: Waker,
        request: OutgoingRequest,
        limits: &NetLimits,
    ) -> Self {
        Self { request: Some(request), ..Self::new(key, conn, waker, limits) }
    }

    /// An incoming stream, opened by the peer.
    pub(super) fn incoming(
        key: StreamKey,
        conn: ConnKey,
        waker: Waker,
        recv: RecvStream,
        responder: SendResponse<Bytes>,
        limits: &NetLimits,
    ) -> Self {
        Self {
            recv: Some(recv),
            responder: Some(responder),
            is_incoming: true,
            ..Self::new(key, conn, waker, limits)
        }
    }

    /// Bytes received of a message that a client has not completed.
    pub(super) fn incomplete_bytes(&self) -> usize {
        if self.is_incoming { self.decoder.buffered() } else { 0 }
    }

    /// Gives up the message that is being received. The stream stays open for its response.
    pub(super) fn give_up_message(&mut self, limits: &NetLimits) {
        self.recv = None;
        self.decoder = Decoder::new(limits.message_bytes, false);
    }

    /// Whether the stream is outgoing and not started yet.
    pub(super) fn is_waiting(&self) -> bool {
        self.request.is_some()
    }

    /// Whether the stream is not started yet and the deadline of its call has passed.
    pub(super) fn is_expired(&self, now: Instant) -> bool {
        let deadline = self.request.as_ref().and_then(|request| request.deadline);
        deadline.is_some_and(|deadline| deadline <= now)
    }

    /// Whether no byte of the request was written. `written`: bytes written on the connection so far.
    pub(super) fn is_unwritten(&self, written: u64) -> bool {
        !self.is_incoming && (self.is_waiting() || written == self.written_before)
    }

    /// Passes the request to HTTP/2. `written`: bytes written on the connection so far.
    pub(super) fn start(&mut self, send: &mut SendRequest<Bytes>, written: u64) -> Result<(), h2::Error> {
        let Some(request) = self.request.take() else { return Ok(()) };
        self.written_before = written;
        let (response, body) = send.send_request(request.into_head(Instant::now()), false)?;
        self.response = Some(response);
        self.send = Some(body);
        self.waker.wake_by_ref();
        Ok(())
    }

    /// Sends the headers of the response. `headers_only`: the response ends with them, and queued data is
    /// dropped.
    pub(super) fn respond(&mut self, head: http::Response<()>, headers_only: bool) {
        if let Some(responder) = &mut self.responder
            && let Ok(send) = responder.send_response(head, headers_only)
        {
            self.send = Some(send);
            if headers_only {
                (self.sent, self.end) = (true, Some(None));
                self.out.clear();
            }
        }
        self.waker.wake_by_ref();
    }

    /// Queues a message with its prefix.
    pub(super) fn queue(&mut self, message: Bytes) {
        let prefix = prefix(&message);
        self.queue_raw(prefix);
        if !message.is_empty() {
            self.queue_raw(message);
        }
    }

    /// Queues bytes, unless the sending direction is finished.
    pub(super) fn queue_raw(&mut self, bytes: Bytes) {
        if self.end.is_none() {
            self.out_bytes += bytes.len();
            self.out.push_back(bytes);
            self.waker.wake_by_ref();
        }
    }

    /// Whether the stream has a response of which a part was not passed to HTTP/2. An open call without any
    /// part of its response has none.
    pub(super) fn has_unsent_response(&self) -> bool {
        self.is_incoming && (self.out_bytes > 0 || self.end.is_some())
    }

    /// Finishes the sending direction after the queued bytes.
    pub(super) fn finish(&mut self, trailers: Option<HeaderMap>) {
        if self.end.is_none() {
            self.end = Some(trailers);
            self.waker.wake_by_ref();
        }
    }

    /// Whether more than `limit` bytes were queued, and [`NetEvent::Drained`] was not reported since.
    pub(super) fn is_full(&mut self, limit: usize) -> bool {
        self.was_full |= self.out_bytes > limit;
        self.was_full
    }

    /// Sends RST_STREAM, if the stream was started.
    pub(super) fn reset(&mut self, reason: Reason) {
        match (&mut self.send, &mut self.responder) {
            (Some(send), _) => send.send_reset(reason),
            (None, Some(responder)) => responder.send_reset(reason),
            _ => {}
        }
    }

    /// Polls both directions. True once the stream has ended and its last event was reported.
    pub(super) fn poll(
        &mut self,
        written: u64,
        limits: &NetLimits,
        counters: &mut NetCounters,
        out: &mut Vec<NetEvent>,
    ) -> bool {
        let waker = self.waker.clone();
        let mut cx = Context::from_waker(&waker);
        if let Some(has_ended) = self.poll_head(&mut cx, written, out) {
            return has_ended;
        }
        if let Some(has_ended) = self.poll_recv(&mut cx, written, counters, out) {
            return has_ended;
        }
        if let Err(error) = self.poll_send(&mut cx) {
            // The peer may respond completely without reading the whole request.
            if self.is_incoming || self.recv.is_none() && self.response.is_none() {
                return self.fail(&error, written, out);
            }
        }
        if self.was_full && self.out_bytes <= limits.send_queue_bytes / 2 {
            self.was_full = false;
            out.push(NetEvent::Drained { stream: self.key });
        }
        if !self.is_incoming {
            return false;
        }
        if self.sent {
            out.push(NetEvent::Sent { stream: self.key });
            return true;
        }
        // The client may cancel the call even after it has sent its complete request.
        let reset = match (&mut self.send, &mut self.responder) {
            (Some(send), _) => send.poll_reset(&mut cx),
            (None, Some(responder)) => responder.poll_reset(&mut cx),
            _ => Poll::Pending,
        };
        match reset {
            Poll::Pending => false,
            Poll::Ready(Ok(reason)) => {
                out.push(NetEvent::Failed { stream: self.key, why: reset_error(reason) });
                true
            }
            Poll::Ready(Err(error)) => self.fail(&error, written, out),
        }
    }

    /// Reports the failure of the stream. Always true: the stream has ended.
    fn fail(&self, error: &h2::Error, written: u64, out: &mut Vec<NetEvent>) -> bool {
        let why = stream_error(error, self.is_unwritten(written));
        out.push(NetEvent::Failed { stream: self.key, why });
        true
    }

    /// Receives the headers of the response. `Some` ends the poll; true in it means that the stream has
    /// ended.
    fn poll_head(&mut self, cx: &mut Context<'_>, written: u64, out: &mut Vec<NetEvent>) -> Option<bool> {
        let response = self.response.as_mut()?;
        match Pin::new(response).poll(cx) {
            Poll::Pending => None,
            Poll::Ready(Err(error)) => Some(self.fail(&error, written, out)),
            Poll::Ready(Ok(response)) => {
                self.response = None;
                let (head, body) = response.into_parts();
                if head.headers.get("grpc-encoding").is_some_and(|v| v == "gzip") {
                    self.decoder.allow_gzip();
                }
                let trailers = body.is_end_stream().then(|| head.headers.clone());
                self.recv = Some(body);
                out.push(NetEvent::Head { stream: self.key, head });
                // In a Trailers-Only response the headers are the trailers.
                trailers.map(|trailers| {
                    out.push(NetEvent::Trailers { stream: self.key, trailers });
                    true
                })
            }
        }
    }

    /// Receives messages and the end of the peer's direction. `Some` ends the poll; true in it means that the
    /// stream has ended.
    fn poll_recv(
        &mut self,
        cx: &mut Context<'_>,
        written: u64,
        counters: &mut NetCounters,
        out: &mut Vec<NetEvent>,
    ) -> Option<bool> {
        let mut budget = MAX_MESSAGES_PER_POLL;
        while self.recv.is_some() && !self.paused {
            match self.decoder.next_message() {
                Ok(Some(payload)) => {
                    out.push(NetEvent::Message { stream: self.key, payload });
                    budget -= 1;
                    if budget == 0 {
                        self.waker.wake_by_ref();
                        return None;
                    }
                    continue;
                }
                Ok(None) => {}
                Err(error) => return self.malformed(error, counters, out),
            }
            let recv = self.recv.as_mut()?;
            match recv.poll_data(cx) {
                Poll::Pending => return None,
                Poll::Ready(Some(Ok(chunk))) => {
                    // The receive window is released as data is read; a paused stream is not read, so its
                    // window closes.
                    let _ = recv.flow_control().release_capacity(chunk.len());
                    self.decoder.push(chunk);
                }
                Poll::Ready(Some(Err(error))) => return Some(self.fail(&error, written, out)),
                Poll::Ready(None) => {
                    let trailers = match recv.poll_trailers(cx) {
                        Poll::Pending => return None,
                        Poll::Ready(Ok(trailers)) => trailers,
                        Poll::Ready(Err(error)) => return Some(self.fail(&error, written, out)),
                    };
                    if let Err(error) = self.decoder.end() {
                        return self.malformed(error, counters, out);
                    }
                    self.recv = None;
                    if self.is_incoming {
                        out.push(NetEvent::HalfClosed { stream: self.key });
                        return None;
                    }
                    out.push(NetEvent::Trailers { stream: self.key, trailers: trailers.unwrap_or_default() });
                    return Some(true);
                }
            }
        }
        None
    }

    /// Reports a message that can't be decoded. An incoming stream stays open for its response; an outgoing
    /// one is reset.
    fn malformed(
        &mut self,
        error: crate::framing::FrameError,
        counters: &mut NetCounters,
        out: &mut Vec<NetEvent>,
    ) -> Option<bool> {
        counters.bad_messages += 1;
        self.recv = None;
        if self.is_incoming {
            out.push(NetEvent::Malformed { stream: self.key, error });
            return None;
        }
        self.reset(Reason::CANCEL);
        out.push(NetEvent::Failed { stream: self.key, why: StreamError::Message(error) });
        Some(true)
    }

    /// Passes queued bytes, and the end of the stream, to HTTP/2 as far as flow control allows.
    fn poll_send(&mut self, cx: &mut Context<'_>) -> Result<(), h2::Error> {
        let Some(send) = &mut self.send else { return Ok(()) };
        if self.sent {
            return Ok(());
        }
        while let Some(front) = self.out.front_mut() {
            if send.capacity() == 0 {
                send.reserve_capacity(self.out_bytes.min(MAX_RESERVED_CAPACITY));
                match send.poll_capacity(cx) {
                    Poll::Pending => return Ok(()),
                    Poll::Ready(None) => return Ok(()),
                    Poll::Ready(Some(Err(error))) => return Err(error),
                    Poll::Ready(Some(Ok(0))) => continue,
                    Poll::Ready(Some(Ok(_))) => {}
                }
            }
            let chunk = front.split_to(send.capacity().min(front.len()));
            self.out_bytes -= chunk.len();
            if front.is_empty() {
                self.out.pop_front();
            }
            let is_last = self.out.is_empty() && matches!(self.end, Some(None));
            send.send_data(chunk, is_last)?;
            self.sent |= is_last;
        }
        if !self.sent
            && let Some(end) = self.end.take()
        {
            match end {
                Some(trailers) => send.send_trailers(trailers)?,
                None => send.send_data(Bytes::new(), true)?,
            }
            self.sent = true;
            self.end = Some(None);
        }
        Ok(())
    }
}

/// The error of a stream that the peer has reset.
fn reset_error(reason: Reason) -> StreamError {
    if reason == Reason::REFUSED_STREAM {
        StreamError::Refused
    } else {
        StreamError::Reset(reason.to_string())
    }
}

/// The error of a stream that failed with an error of `h2`. `unwritten`: no byte of its request was written.
pub(super) fn stream_error(error: &h2::Error, unwritten: bool) -> StreamError {
    if error.is_remote() && error.is_go_away() {
        // `h2` reports this only for streams above the last id; those below fail with the connection.
        StreamError::GoneAway
    } else if error.is_remote() && error.is_reset() {
        error.reason().map_or(StreamError::Broken, reset_error)
    } else if unwritten {
        StreamError::NotWritten
    } else if error.is_io() {
        StreamError::Broken
    } else {
        StreamError::Protocol(error.to_string())
    }
}
