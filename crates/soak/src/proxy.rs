//! The network between controllers and one worker: forwards bytes, and can be silent, slow, cut bytes into pieces, or
//! end connections. What a controller sends is read at once whatever the trouble, and noted for the audit.

use std::collections::BTreeSet;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::audit::Audit;
use crate::wire::{CommandReader, field};

/// Stack of a thread that forwards bytes.
pub(crate) const SMALL_STACK: usize = 128 << 10;
/// Bytes of a piece where answers are cut up.
const PIECE: usize = 7;

/// The troubles of one worker's network.
#[derive(Debug, Default)]
pub struct Link {
    /// Bytes towards the worker are dropped, and none come back: connections stay up.
    pub silent: AtomicBool,
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
    pub fn end_all(&self, reset: bool) {
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
            let place = Place { worker, connection };
            let (link, audit) = (Arc::clone(&link), Arc::clone(&audit));
            // Aside: a connection that is being forwarded holds up none behind it.
            let forward = move || _ = forward(place, socket, target, &link, &audit);
            let _ = std::thread::Builder::new().stack_size(SMALL_STACK).spawn(forward);
        }
    });
    Ok(address)
}

/// A connection to a worker.
#[derive(Clone, Copy)]
struct Place {
    worker: usize,
    connection: u64,
}

fn forward(
    place: Place,
    controller: TcpStream,
    target: SocketAddr,
    link: &Arc<Link>,
    audit: &Arc<Audit>,
) -> io::Result<()> {
    let upstream = TcpStream::connect(target)?;
    controller.set_nodelay(true)?;
    upstream.set_nodelay(true)?;
    link.keep(&controller)?;
    // A link that was closed since the connection came has ended those that it knew of.
    if link.closed.load(Ordering::Acquire) {
        reset_when_dropped(&controller);
        return Ok(());
    }
    let open = Arc::new(Mutex::new(BTreeSet::new()));
    let up = Up {
        place,
        from: controller.try_clone()?,
        to: upstream.try_clone()?,
        link: Arc::clone(link),
        audit: Arc::clone(audit),
        open: Arc::clone(&open),
        lost_bytes: false,
    };
    let down = Down {
        place,
        from: upstream,
        to: controller,
        link: Arc::clone(link),
        audit: Arc::clone(audit),
        open,
        lost_bytes: false,
    };
    let small = || std::thread::Builder::new().stack_size(SMALL_STACK);
    small().spawn(move || up.run())?;
    small().spawn(move || down.run())?;
    Ok(())
}

/// Ids whose attempts are out on a connection.
type OpenIds = Arc<Mutex<BTreeSet<u64>>>;

fn all_over(open: &OpenIds, place: Place, audit: &Audit) {
    let ids = std::mem::take(&mut *open.lock().unwrap_or_else(PoisonError::into_inner));
    for id in ids {
        audit.given_up(id, place.worker, place.connection);
    }
}

/// From a controller to the worker.
struct Up {
    place: Place,
    from: TcpStream,
    to: TcpStream,
    link: Arc<Link>,
    audit: Arc<Audit>,
    open: OpenIds,
    /// Bytes of it were dropped.
    lost_bytes: bool,
}

impl Up {
    fn run(mut self) {
        let (mut buffer, mut reader) = (vec![0; 16 << 10], CommandReader::default());
        while let Ok(length @ 1..) = self.from.read(&mut buffer) {
            reader.push(&buffer[..length]);
            while let Some(parts) = reader.next_command() {
                self.note(&parts);
            }
            // What was dropped can't be made up for: nothing more passes on a connection that lost bytes.
            self.lost_bytes |= self.link.silent.load(Ordering::Acquire);
            if !self.lost_bytes && self.to.write_all(&buffer[..length]).is_err() {
                break;
            }
        }
        // Its connection has ended: what is out on it is given up.
        all_over(&self.open, self.place, &self.audit);
        let _ = self.to.shutdown(Shutdown::Both);
    }

    fn note(&self, parts: &[Vec<u8>]) {
        let Some(id) = parts.get(1).and_then(|id| std::str::from_utf8(id).ok()) else { return };
        let Ok(id) = u64::from_str_radix(id, 16) else { return };
        match parts[0].as_slice() {
            b"CALL" => {
                let patience = parts.get(2).and_then(|fields| field(fields, "patience"));
                let patience = patience.and_then(|text| text.parse().ok()).unwrap_or(u64::MAX);
                self.open.lock().unwrap_or_else(PoisonError::into_inner).insert(id);
                self.audit.came(id, self.place.worker, self.place.connection, patience);
            }
            b"CANCEL" => {
                self.open.lock().unwrap_or_else(PoisonError::into_inner).remove(&id);
                self.audit.given_up(id, self.place.worker, self.place.connection);
            }
            _ => {}
        }
    }
}

/// From the worker to a controller.
struct Down {
    place: Place,
    from: TcpStream,
    to: TcpStream,
    link: Arc<Link>,
    audit: Arc<Audit>,
    open: OpenIds,
    /// Bytes of it were dropped.
    lost_bytes: bool,
}

impl Down {
    fn run(mut self) {
        let mut buffer = vec![0; 16 << 10];
        while let Ok(length @ 1..) = self.from.read(&mut buffer) {
            self.lost_bytes |= self.link.silent.load(Ordering::Acquire);
            if self.lost_bytes {
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
        all_over(&self.open, self.place, &self.audit);
        let _ = self.to.shutdown(Shutdown::Both);
    }
}
