//! A client of the Open Inference Protocol that sends RPCs over non-blocking sockets and returns responses as events.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request};
use nettleferry_net::grpc::{Code, Status, write_timeout};
use nettleferry_net::{ConnKey, Hub, NetEvent, NetLimits, StreamError, StreamKey};
use nettleferry_proto::inference::SERVICE;

/// An event of an RPC, which is identified by the number that [`Client::call`] returned.
#[derive(Clone, Debug)]
pub enum ClientEvent {
    /// A response message arrived.
    Message {
        /// Number of the RPC.
        rpc: u64,
        /// The message without its gRPC prefix.
        payload: Bytes,
    },
    /// The RPC ended.
    End {
        /// Number of the RPC.
        rpc: u64,
        /// The gRPC status, or the error if the stream failed before a status arrived.
        status: Result<Status, StreamError>,
        /// Response trailers; empty if the stream failed.
        trailers: HeaderMap,
    },
}

/// The request of an RPC.
#[derive(Clone, Debug, Default)]
pub struct ClientRequest {
    /// Name of the method, without the service.
    pub method: &'static str,
    /// Messages that are sent when the RPC is opened.
    pub messages: Vec<Bytes>,
    /// Whether the request stream stays open for further messages, see [`Client::send`].
    pub keep_open: bool,
    /// Value of the `grpc-timeout` header; `None` sends none.
    pub timeout: Option<Duration>,
    /// Additional request headers as name and value.
    pub headers: Vec<(String, String)>,
}

/// The connections to one address, which are used in turn.
#[derive(Default)]
struct Connections {
    keys: Vec<ConnKey>,
    /// Number of RPCs opened; modulo the number of connections, it selects the connection.
    next: usize,
}

/// An open RPC.
struct Rpc {
    number: u64,
    /// Whether the HTTP status of the response was not 200.
    wrong_http_status: bool,
}

/// A gRPC client with a limited number of connections to each address, which it uses in turn.
pub struct Client {
    hub: Hub,
    connections_per_address: usize,
    connections: HashMap<SocketAddr, Connections>,
    rpcs: HashMap<StreamKey, Rpc>,
    streams: HashMap<u64, StreamKey>,
    /// Number of the RPC that was opened last.
    last_rpc: u64,
    events: Vec<NetEvent>,
}

impl Client {
    /// Creates a client that opens up to `connections_per_address` connections, at least one, to each address on
    /// demand.
    ///
    /// # Errors
    /// The event queue of the sockets can't be created.
    pub fn new(connections_per_address: usize, limits: NetLimits) -> io::Result<Self> {
        Ok(Self {
            hub: Hub::new(limits)?,
            connections_per_address: connections_per_address.max(1),
            connections: HashMap::new(),
            rpcs: HashMap::new(),
            streams: HashMap::new(),
            last_rpc: 0,
            events: Vec::new(),
        })
    }

    /// Returns the number of RPCs that have not ended.
    pub fn open_rpcs(&self) -> usize {
        self.rpcs.len()
    }

    /// Opens an RPC and returns its number. The RPC ends with exactly one [`ClientEvent::End`], unless it is cancelled.
    ///
    /// # Errors
    /// A socket can't be created, a header is invalid, or a new connection closes before the stream is opened.
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
        self.last_rpc += 1;
        let rpc = self.last_rpc;
        self.rpcs.insert(stream, Rpc { number: rpc, wrong_http_status: false });
        self.streams.insert(rpc, stream);
        for message in request.messages {
            self.hub.send(stream, message);
        }
        if !request.keep_open {
            self.hub.finish(stream, None);
        }
        Ok(rpc)
    }

    /// Opens a connection if there are fewer than permitted, and selects the next one in turn.
    fn prepare_connection(&mut self, to: SocketAddr) -> io::Result<()> {
        let connections = self.connections.entry(to).or_default();
        if connections.keys.len() < self.connections_per_address {
            connections.keys.push(self.hub.connect(to)?);
        }
        connections.next += 1;
        Ok(())
    }

    /// Opens a stream on the selected connection, which is replaced if it is closed.
    fn open_stream(&mut self, to: SocketAddr, head: Request<()>) -> io::Result<StreamKey> {
        let connections = self.connections.entry(to).or_default();
        let index = connections.next % connections.keys.len().max(1);
        let connection = &mut connections.keys[index];
        if let Some(stream) = self.hub.open(*connection, head.clone()) {
            return Ok(stream);
        }
        *connection = self.hub.connect(to)?;
        let opened = self.hub.open(*connection, head);
        opened.ok_or_else(|| io::Error::other("a new connection closed before a stream was opened"))
    }

    /// Sends another message on an RPC that was opened with `keep_open`; does nothing if the RPC has ended.
    pub fn send(&mut self, rpc: u64, message: Bytes) {
        if let Some(stream) = self.streams.get(&rpc) {
            self.hub.send(*stream, message);
        }
    }

    /// Sends raw bytes without the gRPC message prefix, for tests of malformed requests.
    pub fn send_raw(&mut self, rpc: u64, bytes: Bytes) {
        if let Some(stream) = self.streams.get(&rpc) {
            self.hub.send_raw(*stream, bytes);
        }
    }

    /// Closes the request stream of an RPC that was opened with `keep_open`.
    pub fn finish(&mut self, rpc: u64) {
        if let Some(stream) = self.streams.get(&rpc) {
            self.hub.finish(*stream, None);
        }
    }

    /// Cancels an RPC, which then has no further events.
    pub fn cancel(&mut self, rpc: u64) {
        if let Some(stream) = self.streams.remove(&rpc) {
            self.rpcs.remove(&stream);
            self.hub.reset(stream, h2::Reason::CANCEL);
        }
    }

    /// Resumes (`reading`) or pauses reading the responses of an RPC; does nothing if the RPC has ended.
    pub fn set_reading(&mut self, rpc: u64, reading: bool) {
        let Some(stream) = self.streams.get(&rpc) else { return };
        if reading {
            self.hub.resume(*stream);
        } else {
            self.hub.pause(*stream);
        }
    }

    /// Returns a waker with which another thread ends the wait of [`Client::poll`].
    pub fn waker(&self) -> std::sync::Arc<mio::Waker> {
        self.hub.waker()
    }

    /// Waits for events for at most `wait` (`None`: without limit) and appends them to `out`.
    ///
    /// # Errors
    /// The system call that waits for socket events fails.
    pub fn poll(&mut self, wait: Option<Duration>, out: &mut Vec<ClientEvent>) -> io::Result<()> {
        let mut events = std::mem::take(&mut self.events);
        self.hub.poll(wait, &mut events)?;
        for event in events.drain(..) {
            self.handle_event(event, out);
        }
        self.events = events;
        Ok(())
    }

    fn handle_event(&mut self, event: NetEvent, out: &mut Vec<ClientEvent>) {
        match event {
            NetEvent::Message { stream, payload } => {
                if let Some(rpc) = self.rpcs.get(&stream) {
                    out.push(ClientEvent::Message { rpc: rpc.number, payload });
                }
            }
            NetEvent::Head { stream, head } if head.status != http::StatusCode::OK => {
                if let Some(rpc) = self.rpcs.get_mut(&stream) {
                    rpc.wrong_http_status = true;
                }
            }
            NetEvent::Trailers { stream, trailers } => {
                if let Some(Rpc { number: rpc, wrong_http_status }) = self.rpcs.remove(&stream) {
                    self.streams.remove(&rpc);
                    let fallback = if wrong_http_status {
                        "the response is not gRPC: its HTTP status is not 200"
                    } else {
                        "the response has no valid grpc-status"
                    };
                    let status =
                        Status::read(&trailers).unwrap_or_else(|| Status::new(Code::Unknown, fallback));
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
