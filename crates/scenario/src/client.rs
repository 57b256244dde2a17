//! A client of the Open Inference Protocol: calls over sockets, and their answers as events.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request};
use nettleferry_net::grpc::{Code, Status, write_timeout};
use nettleferry_net::{ConnKey, Hub, NetEvent, NetLimits, StreamError, StreamKey};
use nettleferry_proto::inference::SERVICE;

/// What happens to an RPC, by its number.
#[derive(Clone, Debug)]
pub enum ClientEvent {
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

/// One RPC to open.
#[derive(Clone, Debug, Default)]
pub struct ClientRequest {
    /// The method's name.
    pub method: &'static str,
    /// Messages to send.
    pub messages: Vec<Bytes>,
    /// The client sends further messages later: see [`Client::send`].
    pub keep_open: bool,
    /// `grpc-timeout`.
    pub timeout: Option<Duration>,
    /// Further request headers.
    pub headers: Vec<(String, String)>,
}

/// Connections to one address.
#[derive(Default)]
struct Connections {
    keys: Vec<ConnKey>,
    /// Counts calls: the next connection in turn.
    next: usize,
}

/// An open RPC.
struct Rpc {
    number: u64,
    /// The HTTP status was not 200.
    wrong_status: bool,
}

/// A client with `width` connections to each address, used in turn.
pub struct Client {
    hub: Hub,
    width: usize,
    connections: HashMap<SocketAddr, Connections>,
    rpcs: HashMap<StreamKey, Rpc>,
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
            connections: HashMap::new(),
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

    /// Opens an RPC and gives its number. It ends with one [`ClientEvent::End`], unless it is cancelled.
    ///
    /// # Errors
    /// The system refuses a socket, or a header is not valid.
    pub fn call(&mut self, to: SocketAddr, request: ClientRequest) -> io::Result<u64> {
        self.prepare_connection(to)?;
        let mut head = Request::post(format!("http://{to}{SERVICE}{}", request.method))
            .header("content-type", "application/grpc")
            .header("te", "trailers");
        if let Some(timeout) = request.timeout {
            head = head.header("grpc-timeout", write_timeout(timeout));
        }
        for (name, value) in &request.headers {
            head = head.header(name, value);
        }
        let head = head.body(()).map_err(|error| io::Error::new(io::ErrorKind::InvalidInput, error))?;
        let stream = self.open_stream(to, head)?;
        self.next += 1;
        let rpc = self.next;
        self.rpcs.insert(stream, Rpc { number: rpc, wrong_status: false });
        self.streams.insert(rpc, stream);
        for message in request.messages {
            self.hub.send(stream, message);
        }
        if !request.keep_open {
            self.hub.finish(stream, None);
        }
        Ok(rpc)
    }

    /// Opens a connection where there are fewer than `width`, and chooses the next one.
    fn prepare_connection(&mut self, to: SocketAddr) -> io::Result<()> {
        let connections = self.connections.entry(to).or_default();
        if connections.keys.len() < self.width {
            connections.keys.push(self.hub.connect(to)?);
        }
        connections.next += 1;
        Ok(())
    }

    /// Opens a stream on the chosen connection; a connection that is gone is replaced.
    fn open_stream(&mut self, to: SocketAddr, head: Request<()>) -> io::Result<StreamKey> {
        let connections = self.connections.entry(to).or_default();
        let index = connections.next % connections.keys.len().max(1);
        let connection = &mut connections.keys[index];
        if let Some(stream) = self.hub.open(*connection, head.clone()) {
            return Ok(stream);
        }
        *connection = self.hub.connect(to)?;
        let opened = self.hub.open(*connection, head);
        opened.ok_or_else(|| io::Error::other("a new connection is gone"))
    }

    /// Sends a further message on an RPC that was kept open.
    pub fn send(&mut self, rpc: u64, message: Bytes) {
        if let Some(stream) = self.streams.get(&rpc) {
            self.hub.send(*stream, message);
        }
    }

    /// Sends bytes without a message's prefix: for tests that send what no client would.
    pub fn send_raw(&mut self, rpc: u64, bytes: Bytes) {
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

    /// Cancels an RPC: it has no further event.
    pub fn cancel(&mut self, rpc: u64) {
        if let Some(stream) = self.streams.remove(&rpc) {
            self.rpcs.remove(&stream);
            self.hub.reset(stream, h2::Reason::CANCEL);
        }
    }

    /// Stops reading from an RPC, or resumes.
    pub fn set_reading(&mut self, rpc: u64, on: bool) {
        let Some(stream) = self.streams.get(&rpc) else { return };
        if on {
            self.hub.resume(*stream);
        } else {
            self.hub.pause(*stream);
        }
    }

    /// By this another thread ends the wait of [`Client::poll`].
    pub fn waker(&self) -> std::sync::Arc<mio::Waker> {
        self.hub.waker()
    }

    /// Waits for events, `wait` at the most, and appends them.
    pub fn poll(&mut self, wait: Option<Duration>, out: &mut Vec<ClientEvent>) -> io::Result<()> {
        let mut events = std::mem::take(&mut self.events);
        self.hub.poll(wait, &mut events)?;
        for event in events.drain(..) {
            self.event(event, out);
        }
        self.events = events;
        Ok(())
    }

    fn event(&mut self, event: NetEvent, out: &mut Vec<ClientEvent>) {
        match event {
            NetEvent::Message { stream, payload } => {
                if let Some(rpc) = self.rpcs.get(&stream) {
                    out.push(ClientEvent::Message { rpc: rpc.number, payload });
                }
            }
            NetEvent::Head { stream, head } if head.status != http::StatusCode::OK => {
                if let Some(rpc) = self.rpcs.get_mut(&stream) {
                    rpc.wrong_status = true;
                }
            }
            NetEvent::Trailers { stream, trailers } => {
                if let Some(Rpc { number: rpc, wrong_status }) = self.rpcs.remove(&stream) {
                    self.streams.remove(&rpc);
                    let none = if wrong_status {
                        "the answer is no gRPC: another HTTP status"
                    } else {
                        "no status came"
                    };
                    let status = Status::read(&trailers).unwrap_or_else(|| Status::new(Code::Unknown, none));
                    out.push(ClientEvent::End { rpc, status: Ok(status), trailers });
                }
            }
            NetEvent::Failed { stream, why } => {
                if let Some(Rpc { number: rpc, .. }) = self.rpcs.remove(&stream) {
                    self.streams.remove(&rpc);
                    out.push(ClientEvent::End { rpc, status: Err(why), trailers: HeaderMap::new() });
                }
            }
            NetEvent::Closed { conn, .. } => {
                for connections in self.connections.values_mut() {
                    connections.keys.retain(|key| *key != conn);
                }
            }
            _ => {}
        }
    }
}
