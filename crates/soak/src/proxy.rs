//! A TCP proxy that stands for the network between controllers and one worker. It forwards bytes and can drop or delay
//! them, split them into small writes, or close connections. It reads a controller's commands as they arrive, even if
//! it does not forward them, and records them in the audit with the kernel's timestamps.

use std::collections::BTreeSet;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::audit::{Audit, ConnectionId};
use crate::kernel_time::{self, KernelTime};
use crate::wire::{CommandParts, CommandReader, field};

/// Stack size, in bytes, of a thread that serves one connection.
pub(crate) const CONNECTION_STACK_BYTES: usize = 128 << 10;
/// Size, in bytes, of the writes that answers are split into.
const PIECE_BYTES: usize = 7;

/// The disturbances of one worker's network.
#[derive(Debug, Default)]
pub struct Link {
    /// While true, bytes of both directions are dropped and connections stay open.
    pub unresponsive: AtomicBool,
    /// Delay of answers in milliseconds.
    pub delay: AtomicU64,
    /// While true, answers are split into small writes.
    pub pieces: AtomicBool,
    /// While true, new connections are reset.
    pub closed: AtomicBool,
    sockets: Mutex<Vec<TcpStream>>,
}

impl Link {
    /// Closes all connections, with a reset if `reset`, else with an orderly shutdown.
    pub fn close_all(&self, reset: bool) {
        let mut sockets = self.sockets.lock().unwrap_or_else(PoisonError::into_inner);
        for socket in sockets.drain(..) {
            if reset {
                reset_when_dropped(&socket);
            } else {
                let _ = socket.shutdown(Shutdown::Both);
            }
        }
    }

    fn register(&self, socket: &TcpStream) -> io::Result<()> {
        let clone = socket.try_clone()?;
        self.sockets.lock().unwrap_or_else(PoisonError::into_inner).push(clone);
        Ok(())
    }
}

/// Makes the socket send a reset when it is closed, and ends reads from it.
fn reset_when_dropped(socket: &TcpStream) {
    let _ = rustix::net::sockopt::set_socket_linger(socket, Some(Duration::ZERO));
    let _ = socket.shutdown(Shutdown::Read);
}

/// Starts a proxy to the worker with this number, which listens at `target`. Returns the proxy's address.
pub fn start(
    worker: usize,
    target: SocketAddr,
    link: Arc<Link>,
    audit: Arc<Audit>,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for (connection, socket) in (0..).zip(listener.incoming().flatten()) {
            if link.closed.load(Ordering::Acquire) {
                reset_when_dropped(&socket);
                continue;
            }
            let id = ConnectionId { worker, connection };
            let (link, audit) = (Arc::clone(&link), Arc::clone(&audit));
            // Each connection is set up in a thread of its own, so that it does not delay those accepted after it.
            let forward = move || _ = forward(id, socket, target, &link, &audit);
            let _ = std::thread::Builder::new().stack_size(CONNECTION_STACK_BYTES).spawn(forward);
        }
    });
    Ok(address)
}

fn forward(
    id: ConnectionId,
    controller: TcpStream,
    target: SocketAddr,
    link: &Arc<Link>,
    audit: &Arc<Audit>,
) -> io::Result<()> {
    let upstream = TcpStream::connect(target)?;
    controller.set_nodelay(true)?;
    upstream.set_nodelay(true)?;
    link.register(&controller)?;
    // The link may have been closed after the connection was accepted. If `close_all` ran before the registration, it
    // has missed the connection.
    if link.closed.load(Ordering::Acquire) {
        reset_when_dropped(&controller);
        return Ok(());
    }
    let open = Arc::new(Mutex::new(BTreeSet::new()));
    let forwarder = |from: TcpStream, to: TcpStream| Forwarder {
        id,
        from,
        to,
        link: Arc::clone(link),
        audit: Arc::clone(audit),
        open: Arc::clone(&open),
        lost_bytes: false,
    };
    let requests = forwarder(controller.try_clone()?, upstream.try_clone()?);
    let responses = forwarder(upstream, controller);
    let thread = || std::thread::Builder::new().stack_size(CONNECTION_STACK_BYTES);
    thread().spawn(move || requests.forward_requests())?;
    thread().spawn(move || responses.forward_responses())?;
    Ok(())
}

/// Forwards the bytes of one direction of a connection.
struct Forwarder {
    id: ConnectionId,
    from: TcpStream,
    to: TcpStream,
    link: Arc<Link>,
    audit: Arc<Audit>,
    /// Ids of the calls whose attempts arrived on the connection and were not cancelled.
    open: Arc<Mutex<BTreeSet<u64>>>,
    /// Bytes of this direction were dropped. Nothing more is forwarded, as the stream would have a gap.
    lost_bytes: bool,
}

impl Forwarder {
    /// Forwards commands from the controller to the worker. Each is recorded as it arrives, even if it is not
    /// forwarded.
    fn forward_requests(mut self) {
        let (mut buffer, mut reader) = (vec![0; 16 << 10], CommandReader::default());
        let _ = kernel_time::enable_receive_timestamps(&self.from);
        while let Ok((length @ 1.., timestamp)) = kernel_time::read_with_timestamp(&self.from, &mut buffer) {
            reader.push(&buffer[..length]);
            let commands: Vec<CommandParts> = std::iter::from_fn(|| reader.next_command()).collect();
            for (index, parts) in commands.iter().enumerate() {
                // The timestamp belongs to the last byte read, and so to the last command.
                self.record_command(parts, timestamp.filter(|_| index + 1 == commands.len()));
            }
            if self.should_forward() && self.to.write_all(&buffer[..length]).is_err() {
                break;
            }
        }
        self.end();
    }

    /// Forwards answers from the worker to the controller, delayed and split as set in the link.
    fn forward_responses(mut self) {
        let mut buffer = vec![0; 16 << 10];
        while let Ok(length @ 1..) = self.from.read(&mut buffer) {
            if !self.should_forward() {
                continue;
            }
            let delay = self.link.delay.load(Ordering::Acquire);
            std::thread::sleep(Duration::from_millis(delay));
            let piece = if self.link.pieces.load(Ordering::Acquire) { PIECE_BYTES } else { length };
            for bytes in buffer[..length].chunks(piece) {
                if self.to.write_all(bytes).is_err() {
                    break;
                }
            }
        }
        self.end();
    }

    /// Whether to forward the bytes that were just read.
    fn should_forward(&mut self) -> bool {
        self.lost_bytes |= self.link.unresponsive.load(Ordering::Acquire);
        !self.lost_bytes
    }

    fn open(&self) -> MutexGuard<'_, BTreeSet<u64>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_command(&self, parts: &[Vec<u8>], timestamp: Option<KernelTime>) {
        let Some(call) = parts.get(1).and_then(|call| std::str::from_utf8(call).ok()) else { return };
        let Ok(call) = u64::from_str_radix(call, 16) else { return };
        match parts[0].as_slice() {
            b"CALL" => {
                let patience = parts.get(2).and_then(|fields| field(fields, "patience"));
                let patience = patience.and_then(|text| text.parse().ok()).unwrap_or(u64::MAX);
                self.open().insert(call);
                self.audit.attempt_arrived(call, self.id, patience, timestamp);
            }
            b"CANCEL" => {
                self.open().remove(&call);
                self.audit.attempt_withdrawn(call, self.id, timestamp);
            }
            _ => {}
        }
    }

    /// Handles the end of the connection: records its open attempts as withdrawn and closes the other side.
    fn end(&self) {
        let calls = std::mem::take(&mut *self.open());
        for call in calls {
            self.audit.attempt_withdrawn(call, self.id, None);
        }
        let _ = self.to.shutdown(Shutdown::Both);
    }
}
