//! Clients of the protocol: calls over sockets, answers as they come. For the day, for load and for people.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request};
use nettleferry_net::grpc::{Code, Status, write_timeout};
use nettleferry_net::{ConnKey, Hub, NetEvent, NetLimits, StreamError, StreamKey};
use nettleferry_proto::inference::SERVICE;

/// What a client hears of an RPC, by the number it was given.
#[derive(Clone, Debug)]
pub enum Heard {
    /// A message.
    Message {
        /// The RPC.
        rpc: u64,
        /// The message.
        payload: Bytes,
    },
    /// Its end.
    End {
        /// The RPC.
        rpc: u64,
        /// The status, or how the stream failed without one.
        status: Result<Status, StreamError>,
        /// Trailers.
        trailers: HeaderMap,
    },
}

/// What to call.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    /// The method's name.
    pub method: &'static str,
    /// Messages to send.
    pub messages: Vec<Bytes>,
    /// The client sends more later: see [`Client::more`].
    pub keep_open: bool,
    /// `grpc-timeout`.
    pub timeout: Option<Duration>,
    /// Further request headers.
    pub headers: Vec<(String, String)>,
}

/// A client with its connections: `width` to each address, used in turn.
pub struct Client {
    hub: Hub,
    width: usize,
    conns: HashMap<SocketAddr, (Vec<ConnKey>, usize)>,
    rpcs: HashMap<StreamKey, (u64, bool)>,
    streams: HashMap<u64, StreamKey>,
    next: u64,
    events: Vec<NetEvent>,
}

impl Client {
    /// A client without connections.
    pub fn new(width: usize, limits: NetLimits) -> io::Result<Self> {
        Ok(Self {
            hub: Hub::new(limits)?,
            width: width.max(1),
            conns: HashMap::new(),
            rpcs: HashMap::new(),
            streams: HashMap::new(),
            next: 0,
            events: Vec::new(),
        })
    }

    /// RPCs that have not ended.
    pub fn open(&self) -> usize {
        self.rpcs.len()
    }

    /// Begins an RPC; its end is heard of, whatever happens.
    pub fn call(&mut self, to: SocketAddr, ask: Ask) -> io::Result<u64> {
        let (conns, turn) = self.conns.entry(to).or_default();
        if conns.len() < self.width {
            conns.push(self.hub.connect(to)?);
        }
        *turn += 1;
        let at = *turn % conns.len();
        let mut request = Request::post(format!("http://{to}{SERVICE}{}", ask.method))
            .header("content-type", "application/grpc")
            .header("te", "trailers");
        if let Some(span) = ask.timeout {
            request = request.header("grpc-timeout", write_timeout(span));
        }
        for (name, value) in &ask.headers {
            request = request.header(name, value);
        }
        let build = || request.body(()).map_err(|e| io::Error::new(io::ErrorKind::InvalidInput, e));
        let request = build()?;
        let stream = match self.hub.open(conns[at], request.clone()) {
            Some(stream) => stream,
            None => {
                conns[at] = self.hub.connect(to)?;
                self.hub
                    .open(conns[at], request)
                    .ok_or_else(|| io::Error::other("a new connection is gone"))?
            }
        };
        self.next += 1;
        let rpc = self.next;
        self.rpcs.insert(stream, (rpc, false));
        self.streams.insert(rpc, stream);
        for message in ask.messages {
            self.hub.send(stream, message);
        }
        if !ask.keep_open {
            self.hub.finish(stream, None);
        }
        Ok(rpc)
    }

    /// Sends a further message on an RPC that was kept open.
    pub fn more(&mut self, rpc: u64, message: Bytes) {
        if let Some(stream) = self.streams.get(&rpc) {
            self.hub.send(*stream, message);
        }
    }

    /// Sends bytes without a message's prefix: for tests that send what no client would.
    pub fn raw(&mut self, rpc: u64, bytes: Bytes) {
        if let Some(stream) = self.streams.get(&rpc) {
            self.hub.send_raw(*stream, bytes);
        }
    }

    /// Sends no more on an RPC that was kept open.
    pub fn finish(&mut self, rpc: u64) {
        if let Some(stream) = self.streams.get(&rpc) {
            self.hub.finish(*stream, None);
        }
    }

    /// Cancels an RPC: nothing more is heard of it.
    pub fn cancel(&mut self, rpc: u64) {
        if let Some(stream) = self.streams.remove(&rpc) {
            self.rpcs.remove(&stream);
            self.hub.reset(stream, h2::Reason::CANCEL);
        }
    }

    /// Reads nothing more of an RPC, or reads on.
    pub fn read(&mut self, rpc: u64, on: bool) {
        let Some(stream) = self.streams.get(&rpc) else { return };
        if on {
            self.hub.resume(*stream);
        } else {
            self.hub.pause(*stream);
        }
    }

    /// Another thread's handle to end [`Client::poll`]'s wait.
    pub fn waker(&self) -> std::sync::Arc<mio::Waker> {
        self.hub.waker()
    }

    /// One round.
    pub fn poll(&mut self, wait: Option<Duration>, heard: &mut Vec<Heard>) -> io::Result<()> {
        let mut events = std::mem::take(&mut self.events);
        self.hub.poll(wait, &mut events)?;
        for event in events.drain(..) {
            self.event(event, heard);
        }
        self.events = events;
        Ok(())
    }

    fn event(&mut self, event: NetEvent, heard: &mut Vec<Heard>) {
        match event {
            NetEvent::Message { stream, payload } => {
                if let Some((rpc, _)) = self.rpcs.get(&stream) {
                    heard.push(Heard::Message { rpc: *rpc, payload });
                }
            }
            NetEvent::Head { stream, head } if head.status != http::StatusCode::OK => {
                if let Some(rpc) = self.rpcs.get_mut(&stream) {
                    rpc.1 = true;
                }
            }
            NetEvent::Trailers { stream, trailers } => {
                if let Some((rpc, odd)) = self.rpcs.remove(&stream) {
                    self.streams.remove(&rpc);
                    let none =
                        if odd { "the answer is no gRPC: another HTTP status" } else { "no status came" };
                    let status = Status::read(&trailers).unwrap_or_else(|| Status::new(Code::Unknown, none));
                    heard.push(Heard::End { rpc, status: Ok(status), trailers });
                }
            }
            NetEvent::Failed { stream, why } => {
                if let Some((rpc, _)) = self.rpcs.remove(&stream) {
                    self.streams.remove(&rpc);
                    heard.push(Heard::End { rpc, status: Err(why), trailers: HeaderMap::new() });
                }
            }
            NetEvent::Closed { conn, .. } => {
                for (conns, _) in self.conns.values_mut() {
                    conns.retain(|c| *c != conn);
                }
            }
            _ => {}
        }
    }
}
