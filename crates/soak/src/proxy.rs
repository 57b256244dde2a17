//! The network between controllers and one worker: forwards bytes, and can be unresponsive, slow, cut bytes into pieces, or
//! end connections. What a controller sends is read at once whatever the disturbance, and noted for the audit with the
//! kernel's time.

use std::collections::BTreeSet;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::audit::{Audit, ConnectionId};
use crate::kernel_time::{self, KernelTime};
use crate::wire::{CommandParts, CommandReader, field};

/// Stack of a thread that forwards bytes.
pub(crate) const SMALL_STACK: usize = 128 << 10;
/// Bytes of a piece where answers are cut up.
const PIECE: usize = 7;

/// The disturbances of one worker's network.
#[derive(Debug, Default)]
pub struct Link {
    /// Bytes towards the worker are dropped, and none come back: connections stay up.
    pub unresponsive: AtomicBool,
    /// Answers are held up for so many milliseconds.
    pub delay: AtomicU64,
    /// Answers come in small pieces.
    pub pieces: AtomicBool,
    /// New connections are reset.
    pub closed: AtomicBool,
    sockets: Mutex<Vec<TcpStream>>,
}

impl Link {
    /// Ends all connections: with a reset, or in order.
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

    fn keep(&self, socket: &TcpStream) -> io::Result<()> {
        let clone = socket.try_clone()?;
        self.sockets.lock().unwrap_or_else(PoisonError::into_inner).push(clone);
        Ok(())
    }
}

/// Lets a connection be reset when it is dropped, and ends its reading.
fn reset_when_dropped(socket: &TcpStream) {
    let _ = rustix::net::sockopt::set_socket_linger(socket, Some(Duration::ZERO));
    let _ = socket.shutdown(Shutdown::Read);
}

/// Starts a proxy to `target`; gives its address.
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
            // Aside: a connection that is being forwarded holds up none behind it.
            let forward = move || _ = forward(id, socket, target, &link, &audit);
            let _ = std::thread::Builder::new().stack_size(SMALL_STACK).spawn(forward);
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
    link.keep(&controller)?;
    // A link that was closed since the connection arrived has ended those that it knew of.
    if link.closed.load(Ordering::Acquire) {
        reset_when_dropped(&controller);
        return Ok(());
    }
    let open = Arc::new(Mutex::new(BTreeSet::new()));
    let half = |from: TcpStream, to: TcpStream| Half {
        id,
        from,
        to,
        link: Arc::clone(link),
        audit: Arc::clone(audit),
        open: Arc::clone(&open),
        lost_bytes: false,
    };
    let requests = half(controller.try_clone()?, upstream.try_clone()?);
    let responses = half(upstream, controller);
    let small = || std::thread::Builder::new().stack_size(SMALL_STACK);
    small().spawn(move || requests.forward_requests())?;
    small().spawn(move || responses.forward_responses())?;
    Ok(())
}

/// One direction of a connection.
struct Half {
    id: ConnectionId,
    from: TcpStream,
    to: TcpStream,
    link: Arc<Link>,
    audit: Arc<Audit>,
    /// Ids whose attempts are out on the connection.
    open: Arc<Mutex<BTreeSet<u64>>>,
    /// Bytes of it were dropped: nothing more passes, as what was dropped can't be made up for.
    lost_bytes: bool,
}

impl Half {
    /// From a controller to the worker: what is sent is noted at once, whatever becomes of it.
    fn forward_requests(mut self) {
        let (mut buffer, mut reader) = (vec![0; 16 << 10], CommandReader::default());
        let _ = kernel_time::enable_receive_timestamps(&self.from);
        while let Ok((length @ 1.., timestamp)) = kernel_time::read_with_timestamp(&self.from, &mut buffer) {
            reader.push(&buffer[..length]);
            let commands: Vec<CommandParts> = std::iter::from_fn(|| reader.next_command()).collect();
            for (index, parts) in commands.iter().enumerate() {
                // The timestamp is of the last byte read.
                self.note(parts, timestamp.filter(|_| index + 1 == commands.len()));
            }
            if self.passes() && self.to.write_all(&buffer[..length]).is_err() {
                break;
            }
        }
        self.end();
    }

    /// From the worker to a controller: held up and cut to pieces as the link says.
    fn forward_responses(mut self) {
        let mut buffer = vec![0; 16 << 10];
        while let Ok(length @ 1..) = self.from.read(&mut buffer) {
            if !self.passes() {
                continue;
            }
            let delay = self.link.delay.load(Ordering::Acquire);
            std::thread::sleep(Duration::from_millis(delay));
            let piece = if self.link.pieces.load(Ordering::Acquire) { PIECE } else { length };
            for bytes in buffer[..length].chunks(piece) {
                if self.to.write_all(bytes).is_err() {
                    break;
                }
            }
        }
        self.end();
    }

    /// Whether bytes that were read now are forwarded.
    fn passes(&mut self) -> bool {
        self.lost_bytes |= self.link.unresponsive.load(Ordering::Acquire);
        !self.lost_bytes
    }

    fn open(&self) -> MutexGuard<'_, BTreeSet<u64>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note(&self, parts: &[Vec<u8>], timestamp: Option<KernelTime>) {
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

    /// The connection has ended: what is out on it is withdrawn.
    fn end(&self) {
        let calls = std::mem::take(&mut *self.open());
        for call in calls {
            self.audit.attempt_withdrawn(call, self.id, None);
        }
        let _ = self.to.shutdown(Shutdown::Both);
    }
}
