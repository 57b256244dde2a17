//! One connection: its HTTP/2 state machine and the outgoing streams that wait to be started.

use std::collections::{BTreeSet, VecDeque};
use std::future::Future;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use bytes::Bytes;
use h2::{Reason, RecvStream, client, server};
use mio::net::TcpStream;
use slab::Slab;

use super::events::{CloseReason, ConnKey, ListenerKey, StreamError, StreamKey};
use super::stream::{Stream, stream_error};
use crate::io::{Io, Shared};
use crate::limits::NetLimits;

type ClientHalves = (client::SendRequest<Bytes>, client::Connection<Io, Bytes>);
type ClientHandshake = Pin<Box<dyn Future<Output = Result<ClientHalves, h2::Error>>>>;

/// The state of a connection from connecting to closed.
enum State {
    /// The TCP connection is being established.
    Connecting(Io),
    ClientHandshake(ClientHandshake),
    Client(client::SendRequest<Bytes>, client::Connection<Io, Bytes>),
    ServerHandshake(server::Handshake<Io, Bytes>),
    Server(Box<server::Connection<Io, Bytes>>),
    /// All responses were passed to the kernel and the sending direction is shut down. What the peer still
    /// sends is discarded until it closes the connection: closing the socket under its bytes would reset the
    /// connection, and responses that it has not received yet would be lost.
    Lingering,
    Closed,
}

/// The result of one step of [`Conn::poll`].
enum Progress {
    /// The connection has entered another state, which must be polled as well.
    NextState,
    Pending,
    Ended(CloseReason),
}

/// A new stream that the peer opened.
pub(super) struct AcceptedStream {
    pub(super) request: http::Request<RecvStream>,
    pub(super) response: server::SendResponse<Bytes>,
}

pub(super) struct Conn {
    pub(super) key: ConnKey,
    pub(super) peer: SocketAddr,
    /// The listener that accepted the connection; `None` for an outgoing one.
    pub(super) listener: Option<ListenerKey>,
    pub(super) shared: Rc<Shared>,
    pub(super) waker: Waker,
    /// Deadline of connecting and of the handshake, or end of the idle time.
    pub(super) alarm: Instant,
    pub(super) streams: BTreeSet<StreamKey>,
    /// Outgoing streams that are not started yet, in the order opened.
    pub(super) waiting: VecDeque<StreamKey>,
    pub(super) just_established: bool,
    /// Streams opened by the peer since the last poll.
    pub(super) accepted_streams: Vec<AcceptedStream>,
    /// Outgoing streams that could not be started since the last poll.
    pub(super) failed: Vec<(StreamKey, StreamError)>,
    state: State,
    limits: NetLimits,
    /// GOAWAY was requested; it is sent after the handshake if that is not complete.
    goaway_sent: bool,
    /// GOAWAY was requested by [`Conn::go_away`]: open streams continue.
    graceful: bool,
    /// Bytes written and received when the connection was last seen to make progress, and the time of that.
    progress: (u64, Instant),
    /// The peer accepts no new streams.
    pub(super) closed_to_new: bool,
}

impl Conn {
    pub(super) fn new(
        key: ConnKey,
        socket: TcpStream,
        peer: SocketAddr,
        listener: Option<ListenerKey>,
        waker: Waker,
        alarm: Instant,
        limits: &NetLimits,
    ) -> Self {
        let (io, shared) = Io::new(socket);
        let state = if listener.is_some() {
            State::ServerHandshake(server_builder(limits).handshake(io))
        } else {
            // The connection is established when the socket becomes writable.
            shared.writable.set(false);
            State::Connecting(io)
        };
        waker.wake_by_ref();
        Self {
            key,
            peer,
            listener,
            shared,
            waker,
            alarm,
            streams: BTreeSet::new(),
            waiting: VecDeque::new(),
            just_established: false,
            accepted_streams: Vec::new(),
            failed: Vec::new(),
            state,
            limits: limits.clone(),
            goaway_sent: false,
            graceful: false,
            progress: (0, Instant::now()),
            closed_to_new: false,
        }
    }

    pub(super) fn is_established(&self) -> bool {
        matches!(self.state, State::Client(..) | State::Server(_))
    }

    /// See [`super::Hub::can_open`].
    pub(super) fn can_open(&mut self) -> bool {
        if self.closed_to_new {
            return false;
        }
        match &mut self.state {
            State::Connecting(_) | State::ClientHandshake(_) => true,
            State::Client(send, _) => {
                let mut cx = Context::from_waker(&self.waker);
                let is_at_limit = self.streams.len() >= send.current_max_send_streams();
                match send.poll_ready(&mut cx) {
                    Poll::Ready(Ok(())) => !is_at_limit,
                    Poll::Ready(Err(_)) => {
                        self.closed_to_new = true;
                        false
                    }
                    Poll::Pending => false,
                }
            }
            _ => false,
        }
    }

    /// See [`super::Hub::go_away`].
    pub(super) fn go_away(&mut self) {
        if let State::Server(conn) = &mut self.state {
            conn.graceful_shutdown();
        }
        self.goaway_sent = true;
        self.graceful = true;
        self.waker.wake_by_ref();
    }

    /// Whether the responses of the connection's streams have been passed to HTTP/2 but not all of them to the
    /// peer.
    pub(super) fn has_unsent_responses(&self) -> bool {
        match &self.state {
            // A socket is only full while there is something to write.
            State::Server(connection) => {
                !self.shared.writable.get() || self.streams.is_empty() && connection.has_streams()
            }
            State::Lingering => true,
            _ => false,
        }
    }

    /// Time since the connection last made progress, as seen by the calls of this function.
    pub(super) fn stalled_for(&mut self, now: Instant) -> Duration {
        let bytes = self.shared.written.get() + self.shared.received.get();
        if self.progress.0 != bytes {
            self.progress = (bytes, now);
        }
        now.saturating_duration_since(self.progress.1)
    }

    /// Whether [`Conn::go_away`] was called, and the handshake is complete.
    pub(super) fn is_going_away(&self) -> bool {
        self.graceful && matches!(self.state, State::Server(_) | State::Lingering)
    }

    /// See [`super::Hub::go_away_abruptly`].
    pub(super) fn go_away_abruptly(&mut self, reason: Reason) {
        if let State::Server(conn) = &mut self.state {
            conn.abrupt_shutdown(reason);
        }
        self.goaway_sent = true;
        self.waker.wake_by_ref();
    }

    /// Lets HTTP/2 read and write. Returns the reason once the connection has ended.
    pub(super) fn poll(&mut self, streams: &mut Slab<Stream>) -> Option<CloseReason> {
        let waker = self.waker.clone();
        let mut cx = Context::from_waker(&waker);
        loop {
            let progress = match std::mem::replace(&mut self.state, State::Closed) {
                State::Connecting(io) => self.poll_connecting(io),
                State::ClientHandshake(handshake) => self.poll_client_handshake(handshake, &mut cx),
                State::Client(send, connection) => self.poll_client(send, connection, &mut cx, streams),
                State::ServerHandshake(handshake) => self.poll_server_handshake(handshake, &mut cx),
                State::Server(connection) => self.poll_server(connection, &mut cx),
                State::Lingering => self.poll_lingering(),
                State::Closed => Progress::Ended(CloseReason::Ended),
            };
            match progress {
                Progress::NextState => {}
                Progress::Pending => return None,
                Progress::Ended(why) => return Some(why),
            }
        }
    }

    fn poll_connecting(&mut self, io: Io) -> Progress {
        if let Ok(Some(_)) = self.shared.socket.take_error() {
            return Progress::Ended(CloseReason::NotConnected);
        }
        if !self.shared.writable.get() {
            self.state = State::Connecting(io);
            return Progress::Pending;
        }
        if self.shared.socket.peer_addr().is_err() {
            // Not connected yet: the event had another cause.
            self.shared.writable.set(false);
            self.state = State::Connecting(io);
            return Progress::Pending;
        }
        let _ = self.shared.socket.set_nodelay(true);
        let builder = client_builder(&self.limits);
        self.state = State::ClientHandshake(Box::pin(async move { builder.handshake(io).await }));
        Progress::NextState
    }

    fn poll_client_handshake(&mut self, mut handshake: ClientHandshake, cx: &mut Context<'_>) -> Progress {
        match handshake.as_mut().poll(cx) {
            Poll::Pending => {
                self.state = State::ClientHandshake(handshake);
                Progress::Pending
            }
            Poll::Ready(Ok((send, connection))) => {
                self.state = State::Client(send, connection);
                self.just_established = true;
                Progress::NextState
            }
            Poll::Ready(Err(_)) => Progress::Ended(CloseReason::Ended),
        }
    }

    fn poll_client(
        &mut self,
        mut send: client::SendRequest<Bytes>,
        mut connection: client::Connection<Io, Bytes>,
        cx: &mut Context<'_>,
        streams: &mut Slab<Stream>,
    ) -> Progress {
        self.start_waiting(&mut send, cx, streams);
        let result = Pin::new(&mut connection).poll(cx);
        self.state = State::Client(send, connection);
        match result {
            Poll::Pending => Progress::Pending,
            Poll::Ready(Ok(())) => Progress::Ended(CloseReason::Ended),
            Poll::Ready(Err(error)) => Progress::Ended(close_reason(&error)),
        }
    }

    fn poll_server_handshake(
        &mut self,
        mut handshake: server::Handshake<Io, Bytes>,
        cx: &mut Context<'_>,
    ) -> Progress {
        match Pin::new(&mut handshake).poll(cx) {
            Poll::Pending => {
                self.state = State::ServerHandshake(handshake);
                Progress::Pending
            }
            Poll::Ready(Ok(mut connection)) => {
                if self.goaway_sent {
                    connection.graceful_shutdown();
                }
                self.state = State::Server(Box::new(connection));
                self.just_established = true;
                Progress::NextState
            }
            Poll::Ready(Err(error)) => Progress::Ended(close_reason(&error)),
        }
    }

    fn poll_server(
        &mut self,
        mut connection: Box<server::Connection<Io, Bytes>>,
        cx: &mut Context<'_>,
    ) -> Progress {
        let progress = loop {
            match connection.poll_accept(cx) {
                Poll::Pending => break Progress::Pending,
                Poll::Ready(Some(Ok((request, response)))) => {
                    self.accepted_streams.push(AcceptedStream { request, response });
                }
                Poll::Ready(Some(Err(error))) => break Progress::Ended(close_reason(&error)),
                Poll::Ready(None) => break Progress::Ended(CloseReason::Ended),
            }
        };
        if matches!(progress, Progress::Ended(CloseReason::Ended)) && self.may_linger() {
            self.state = State::Lingering;
            return Progress::NextState;
        }
        self.state = State::Server(connection);
        progress
    }

    /// Whether the connection has ended because its last stream after [`Conn::go_away`] has, and the peer has
    /// yet to close it.
    fn may_linger(&self) -> bool {
        self.graceful && self.streams.is_empty() && !self.shared.input_ended.get()
    }

    /// Discards what the peer sends, until it closes the connection.
    fn poll_lingering(&mut self) -> Progress {
        let mut discarded = [0; DISCARD_BUFFER];
        for _ in 0..MAX_DISCARDS_PER_POLL {
            match self.shared.poll_read(&mut discarded) {
                Poll::Pending => {
                    self.state = State::Lingering;
                    return Progress::Pending;
                }
                Poll::Ready(Ok(n)) if n > 0 => {}
                Poll::Ready(_) => return Progress::Ended(CloseReason::Ended),
            }
        }
        self.waker.wake_by_ref();
        self.state = State::Lingering;
        Progress::Pending
    }

    /// Starts waiting streams up to the stream limit of the peer.
    fn start_waiting(
        &mut self,
        send: &mut client::SendRequest<Bytes>,
        cx: &mut Context<'_>,
        streams: &mut Slab<Stream>,
    ) {
        while let Some(key) = self.waiting.front().copied() {
            match send.poll_ready(cx) {
                Poll::Pending => return,
                Poll::Ready(Err(_)) => {
                    self.closed_to_new = true;
                    self.waiting.pop_front();
                    self.failed.push((key, StreamError::NotWritten));
                }
                Poll::Ready(Ok(())) => {
                    self.waiting.pop_front();
                    let Some(stream) = streams.get_mut(key.index()).filter(|s| s.key == key) else {
                        continue;
                    };
                    if stream.is_expired(Instant::now()) {
                        self.failed.push((key, StreamError::NotWritten));
                    } else if let Err(error) = stream.start(send, self.shared.written.get()) {
                        self.failed.push((key, stream_error(&error, true)));
                    }
                }
            }
        }
    }

    /// Closes the socket. The kernel still sends the bytes that it has accepted.
    pub(super) fn close(&mut self) {
        self.state = State::Closed;
        let _ = self.shared.socket.shutdown(Shutdown::Both);
    }
}

/// Size of the buffer for bytes that are discarded, in bytes.
const DISCARD_BUFFER: usize = 4 << 10;
/// Maximum reads of bytes that are discarded in one poll; the rest is left to the next.
const MAX_DISCARDS_PER_POLL: usize = 16;
/// Minimum size of the HTTP/2 send buffer of a stream in bytes.
const MIN_SEND_BUFFER: usize = 16 << 10;

fn server_builder(limits: &NetLimits) -> server::Builder {
    let mut builder = server::Builder::new();
    builder
        .max_concurrent_streams(limits.streams_per_connection)
        .max_header_list_size(limits.header_bytes)
        .initial_window_size(limits.stream_window)
        .initial_connection_window_size(limits.connection_window)
        .max_pending_accept_reset_streams(limits.reset_streams)
        .max_concurrent_reset_streams(limits.reset_streams)
        .max_send_buffer_size(limits.send_queue_bytes.max(MIN_SEND_BUFFER));
    builder
}

fn client_builder(limits: &NetLimits) -> client::Builder {
    let mut builder = client::Builder::new();
    builder
        .enable_push(false)
        .max_header_list_size(limits.header_bytes)
        .initial_window_size(limits.stream_window)
        .initial_connection_window_size(limits.connection_window)
        .max_concurrent_reset_streams(limits.reset_streams)
        .max_send_buffer_size(limits.send_queue_bytes.max(MIN_SEND_BUFFER));
    builder
}

/// The reason to report for a connection that ended with an error.
fn close_reason(error: &h2::Error) -> CloseReason {
    if error.is_io() || error.is_remote() || error.reason() == Some(Reason::NO_ERROR) {
        CloseReason::Ended
    } else {
        CloseReason::Protocol
    }
}
