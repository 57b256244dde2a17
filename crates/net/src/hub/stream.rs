//! One stream: messages in, messages out, its end.

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

/// Messages that one poll takes from a stream; the others wait for the next.
const MAX_MESSAGES_PER_POLL: usize = 64;
/// Bytes of send capacity that are reserved at once.
const MAX_RESERVED_CAPACITY: usize = 1 << 20;

/// A request of ours.
pub(super) struct OutgoingRequest {
    pub(super) head: http::Request<()>,
    /// When its call is over, where it is one with a deadline.
    pub(super) deadline: Option<Instant>,
}

impl OutgoingRequest {
    /// The head as it is sent now.
    fn into_head(mut self, now: Instant) -> http::Request<()> {
        let left = self.deadline.map(|deadline| deadline.saturating_duration_since(now));
        let timeout = left.and_then(|left| HeaderValue::try_from(write_timeout(left)).ok());
        if let Some(timeout) = timeout {
            self.head.headers_mut().insert("grpc-timeout", timeout);
        }
        self.head
    }
}

/// One stream, of either side.
pub(super) struct Stream {
    pub(super) key: StreamKey,
    pub(super) conn: ConnKey,
    pub(super) waker: Waker,
    pub(super) decoder: Decoder,
    pub(super) paused: bool,
    pub(super) out_bytes: usize,
    /// The request of a stream that was not started yet.
    request: Option<OutgoingRequest>,
    response: Option<ResponseFuture>,
    answer: Option<SendResponse<Bytes>>,
    send: Option<SendStream<Bytes>>,
    recv: Option<RecvStream>,
    out: VecDeque<Bytes>,
    end: Option<Option<HeaderMap>>,
    sent: bool,
    was_full: bool,
    /// The peer opened it.
    is_incoming: bool,
    /// Bytes written on the connection when the request was queued.
    written_before: u64,
}

impl Stream {
    fn new(key: StreamKey, conn: ConnKey, waker: Waker, limits: &NetLimits) -> Self {
        Self {
            key,
            conn,
            waker,
            decoder: Decoder::new(limits.message_bytes, false),
            paused: false,
            out_bytes: 0,
            request: None,
            response: None,
            answer: None,
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

    /// A stream of ours; it waits until its connection can start it.
    pub(super) fn outgoing(
        key: StreamKey,
        conn: ConnKey,
        waker: Waker,
        request: OutgoingRequest,
        limits: &NetLimits,
    ) -> Self {
        Self { request: Some(request), ..Self::new(key, conn, waker, limits) }
    }

    /// A stream that a peer opened.
    pub(super) fn incoming(
        key: StreamKey,
        conn: ConnKey,
        waker: Waker,
        recv: RecvStream,
        answer: SendResponse<Bytes>,
        limits: &NetLimits,
    ) -> Self {
        Self {
            recv: Some(recv),
            answer: Some(answer),
            is_incoming: true,
            ..Self::new(key, conn, waker, limits)
        }
    }

    /// Whether it was not started yet.
    pub(super) fn is_waiting(&self) -> bool {
        self.request.is_some()
    }

    /// Whether it was not started yet and its call is over.
    pub(super) fn is_expired(&self, now: Instant) -> bool {
        let deadline = self.request.as_ref().and_then(|request| request.deadline);
        deadline.is_some_and(|deadline| deadline <= now)
    }

    /// Whether nothing was written on the connection since the request was queued.
    pub(super) fn is_unwritten(&self, written: u64) -> bool {
        !self.is_incoming && (self.is_waiting() || written == self.written_before)
    }

    /// Hands the request to HTTP/2. `written`: bytes written on the connection so far.
    pub(super) fn start(&mut self, send: &mut SendRequest<Bytes>, written: u64) -> Result<(), h2::Error> {
        let Some(request) = self.request.take() else { return Ok(()) };
        self.written_before = written;
        let (response, body) = send.send_request(request.into_head(Instant::now()), false)?;
        self.response = Some(response);
        self.send = Some(body);
        self.waker.wake_by_ref();
        Ok(())
    }

    pub(super) fn respond(&mut self, head: http::Response<()>, only: bool) {
        if let Some(answer) = &mut self.answer
            && let Ok(send) = answer.send_response(head, only)
        {
            self.send = Some(send);
            if only {
                (self.sent, self.end) = (true, Some(None));
                self.out.clear();
            }
        }
        self.waker.wake_by_ref();
    }

    pub(super) fn queue(&mut self, message: Bytes) {
        let head = prefix(&message);
        self.queue_raw(head);
        if !message.is_empty() {
            self.queue_raw(message);
        }
    }

    pub(super) fn queue_raw(&mut self, bytes: Bytes) {
        if self.end.is_none() {
            self.out_bytes += bytes.len();
            self.out.push_back(bytes);
            self.waker.wake_by_ref();
        }
    }

    pub(super) fn finish(&mut self, trailers: Option<HeaderMap>) {
        if self.end.is_none() {
            self.end = Some(trailers);
            self.waker.wake_by_ref();
        }
    }

    pub(super) fn is_full(&mut self, limit: usize) -> bool {
        self.was_full |= self.out_bytes > limit;
        self.was_full
    }

    pub(super) fn reset(&mut self, reason: Reason) {
        match (&mut self.send, &mut self.answer) {
            (Some(send), _) => send.send_reset(reason),
            (None, Some(answer)) => answer.send_reset(reason),
            _ => {}
        }
    }

    /// Polls both directions. True: the stream has ended, and its last event was reported.
    pub(super) fn poll(
        &mut self,
        written: u64,
        limits: &NetLimits,
        counters: &mut NetCounters,
        out: &mut Vec<NetEvent>,
    ) -> bool {
        let waker = self.waker.clone();
        let mut cx = Context::from_waker(&waker);
        if let Some(done) = self.poll_head(&mut cx, written, out) {
            return done;
        }
        if let Some(done) = self.poll_recv(&mut cx, written, counters, out) {
            return done;
        }
        if let Err(error) = self.poll_send(&mut cx) {
            // An answer may be complete although the peer did not want all of the request.
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
        // The client's cancel, also after it has sent everything.
        let reset = match (&mut self.send, &mut self.answer) {
            (Some(send), _) => send.poll_reset(&mut cx),
            (None, Some(answer)) => answer.poll_reset(&mut cx),
            _ => Poll::Pending,
        };
        match reset {
            Poll::Pending => false,
            Poll::Ready(Ok(reason)) => {
                out.push(NetEvent::Failed { stream: self.key, why: error_of_reason(reason) });
                true
            }
            Poll::Ready(Err(error)) => self.fail(&error, written, out),
        }
    }

    fn fail(&self, error: &h2::Error, written: u64, out: &mut Vec<NetEvent>) -> bool {
        let why = error_of(error, self.is_unwritten(written));
        out.push(NetEvent::Failed { stream: self.key, why });
        true
    }

    fn poll_head(&mut self, cx: &mut Context<'_>, written: u64, out: &mut Vec<NetEvent>) -> Option<bool> {
        let response = self.response.as_mut()?;
        match Pin::new(response).poll(cx) {
            Poll::Pending => None,
            Poll::Ready(Err(error)) => Some(self.fail(&error, written, out)),
            Poll::Ready(Ok(answer)) => {
                self.response = None;
                let (head, body) = answer.into_parts();
                if head.headers.get("grpc-encoding").is_some_and(|v| v == "gzip") {
                    self.decoder.allow_gzip();
                }
                let only = body.is_end_stream().then(|| head.headers.clone());
                self.recv = Some(body);
                out.push(NetEvent::Head { stream: self.key, head });
                // Trailers-Only: the headers are the trailers.
                only.map(|trailers| {
                    out.push(NetEvent::Trailers { stream: self.key, trailers });
                    true
                })
            }
        }
    }

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
                    // What is read frees its window at once; a paused stream is not read, so that its window closes.
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
            let part = front.split_to(send.capacity().min(front.len()));
            self.out_bytes -= part.len();
            if front.is_empty() {
                self.out.pop_front();
            }
            let last = self.out.is_empty() && matches!(self.end, Some(None));
            send.send_data(part, last)?;
            self.sent |= last;
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

fn error_of_reason(reason: Reason) -> StreamError {
    if reason == Reason::REFUSED_STREAM {
        StreamError::Refused
    } else {
        StreamError::Reset(reason.to_string())
    }
}

/// What an error of `h2` means for a stream. `unwritten`: nothing was written since it was queued.
pub(super) fn error_of(error: &h2::Error, unwritten: bool) -> StreamError {
    if error.is_remote() && error.is_go_away() {
        // `h2` gives this to streams above the last id alone; those below it break with the connection.
        StreamError::GoneAway
    } else if error.is_remote() && error.is_reset() {
        error.reason().map_or(StreamError::Broken, error_of_reason)
    } else if unwritten {
        StreamError::NotWritten
    } else if error.is_io() {
        StreamError::Broken
    } else {
        StreamError::Protocol(error.to_string())
    }
}
