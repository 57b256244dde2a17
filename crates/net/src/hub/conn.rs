//! One connection: its HTTP/2 side, and the streams that wait to leave on it.

use std::collections::{BTreeSet, VecDeque};
use std::future::Future;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Instant;

use bytes::Bytes;
use h2::{Reason, RecvStream, client, server};
use mio::net::TcpStream;
use slab::Slab;

use super::stream::{Stream, classify};
use super::{Closing, ConnKey, ListenerKey, StreamError, StreamKey};
use crate::io::{Io, Shared};
use crate::limits::NetLimits;

type ClientShake = Pin<
    Box<dyn Future<Output = Result<(client::SendRequest<Bytes>, client::Connection<Io, Bytes>), h2::Error>>>,
>;

enum Side {
    /// TCP is on its way.
    Connecting(Io),
    ClientShake(ClientShake),
    Client(client::SendRequest<Bytes>, client::Connection<Io, Bytes>),
    ServerShake(server::Handshake<Io, Bytes>),
    Server(Box<server::Connection<Io, Bytes>>),
    Gone,
}

pub(super) struct Conn {
    pub(super) key: ConnKey,
    pub(super) peer: SocketAddr,
    pub(super) listener: Option<ListenerKey>,
    pub(super) shared: Rc<Shared>,
    pub(super) waker: Waker,
    pub(super) alarm: Instant,
    pub(super) streams: BTreeSet<StreamKey>,
    pub(super) waiting: VecDeque<StreamKey>,
    pub(super) just_established: bool,
    pub(super) came: Vec<(http::Request<RecvStream>, server::SendResponse<Bytes>)>,
    pub(super) failed: Vec<(StreamKey, StreamError)>,
    side: Side,
    limits: NetLimits,
    /// We sent GOAWAY.
    leaving: bool,
    /// The peer takes no new streams.
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
        let side = if listener.is_some() {
            Side::ServerShake(
                server::Builder::new()
                    .max_concurrent_streams(limits.streams_per_connection)
                    .max_header_list_size(limits.header_bytes)
                    .initial_window_size(limits.stream_window)
                    .initial_connection_window_size(limits.connection_window)
                    .max_pending_accept_reset_streams(limits.reset_streams)
                    .max_concurrent_reset_streams(limits.reset_streams)
                    .max_send_buffer_size(limits.send_queue_bytes.max(16 << 10))
                    .handshake(io),
            )
        } else {
            // Writable tells that it stands.
            shared.writable.set(false);
            Side::Connecting(io)
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
            came: Vec::new(),
            failed: Vec::new(),
            side,
            limits: limits.clone(),
            leaving: false,
            closed_to_new: false,
        }
    }

    pub(super) fn established(&self) -> bool {
        matches!(self.side, Side::Client(..) | Side::Server(_))
    }

    pub(super) fn can_open(&mut self) -> bool {
        if self.closed_to_new {
            return false;
        }
        match &mut self.side {
            Side::Connecting(_) | Side::ClientShake(_) => true,
            Side::Client(send, _) => {
                let mut cx = Context::from_waker(&self.waker);
                let taken = self.streams.len() >= send.current_max_send_streams();
                match send.poll_ready(&mut cx) {
                    Poll::Ready(Ok(())) => !taken,
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

    pub(super) fn go_away(&mut self) {
        if let Side::Server(conn) = &mut self.side {
            conn.graceful_shutdown();
        }
        self.leaving = true;
        self.waker.wake_by_ref();
    }

    pub(super) fn go_away_abruptly(&mut self, reason: Reason) {
        if let Side::Server(conn) = &mut self.side {
            conn.abrupt_shutdown(reason);
        }
        self.leaving = true;
        self.waker.wake_by_ref();
    }

    /// Lets HTTP/2 read and write. `Some`: the connection has ended.
    pub(super) fn poll(&mut self, streams: &mut Slab<Stream>) -> Option<Closing> {
        let waker = self.waker.clone();
        let mut cx = Context::from_waker(&waker);
        loop {
            match std::mem::replace(&mut self.side, Side::Gone) {
                Side::Connecting(io) => {
                    if let Ok(Some(_)) = self.shared.socket.take_error() {
                        return Some(Closing::NotConnected);
                    }
                    if !self.shared.writable.get() {
                        self.side = Side::Connecting(io);
                        return None;
                    }
                    if self.shared.socket.peer_addr().is_err() {
                        // Not yet: the event was for something else.
                        self.shared.writable.set(false);
                        self.side = Side::Connecting(io);
                        return None;
                    }
                    let _ = self.shared.socket.set_nodelay(true);
                    let limits = &self.limits;
                    let mut builder = client::Builder::new();
                    builder
                        .enable_push(false)
                        .max_header_list_size(limits.header_bytes)
                        .initial_window_size(limits.stream_window)
                        .initial_connection_window_size(limits.connection_window)
                        .max_concurrent_reset_streams(limits.reset_streams)
                        .max_send_buffer_size(limits.send_queue_bytes.max(16 << 10));
                    self.side = Side::ClientShake(Box::pin(async move { builder.handshake(io).await }));
                }
                Side::ClientShake(mut shake) => match shake.as_mut().poll(&mut cx) {
                    Poll::Pending => {
                        self.side = Side::ClientShake(shake);
                        return None;
                    }
                    Poll::Ready(Ok((send, conn))) => {
                        self.side = Side::Client(send, conn);
                        self.just_established = true;
                    }
                    Poll::Ready(Err(_)) => return Some(Closing::Ended),
                },
                Side::Client(mut send, mut conn) => {
                    self.depart(&mut send, &mut cx, streams);
                    let done = Pin::new(&mut conn).poll(&mut cx);
                    self.side = Side::Client(send, conn);
                    return match done {
                        Poll::Pending => None,
                        Poll::Ready(Ok(())) => Some(Closing::Ended),
                        Poll::Ready(Err(e)) => Some(ending(&e)),
                    };
                }
                Side::ServerShake(mut shake) => match Pin::new(&mut shake).poll(&mut cx) {
                    Poll::Pending => {
                        self.side = Side::ServerShake(shake);
                        return None;
                    }
                    Poll::Ready(Ok(mut conn)) => {
                        if self.leaving {
                            conn.graceful_shutdown();
                        }
                        self.side = Side::Server(Box::new(conn));
                        self.just_established = true;
                    }
                    Poll::Ready(Err(e)) => return Some(ending(&e)),
                },
                Side::Server(mut conn) => {
                    let done = loop {
                        match conn.poll_accept(&mut cx) {
                            Poll::Pending => break None,
                            Poll::Ready(Some(Ok(came))) => self.came.push(came),
                            Poll::Ready(Some(Err(e))) => break Some(ending(&e)),
                            Poll::Ready(None) => break Some(Closing::Ended),
                        }
                    };
                    self.side = Side::Server(conn);
                    return done;
                }
                Side::Gone => return Some(Closing::Ended),
            }
        }
    }

    /// Streams that wait leave as the peer's limit allows.
    fn depart(
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
                    if let Err(error) = stream.depart(send, self.shared.written.get()) {
                        self.failed.push((key, classify(&error, true)));
                    }
                }
            }
        }
    }

    /// Lets go of the socket. Bytes already given to the kernel still leave.
    pub(super) fn shut(&mut self) {
        self.side = Side::Gone;
        let _ = self.shared.socket.shutdown(Shutdown::Both);
    }
}

fn ending(error: &h2::Error) -> Closing {
    if error.is_io() || error.is_remote() || error.reason() == Some(Reason::NO_ERROR) {
        Closing::Ended
    } else {
        Closing::Protocol
    }
}
