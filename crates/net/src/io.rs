//! A mio TCP socket with the I/O traits that `h2` needs. The hub, and fault injection in test servers, access
//! the socket through shared state while `h2` owns the I/O object.

use std::cell::Cell;
use std::io::{self, Read, Write};
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use mio::net::TcpStream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The socket and its state, shared between the hub and the [`Io`] that `h2` owns.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) socket: TcpStream,
    // mio is edge-triggered: an event sets each readiness flag, and `WouldBlock` clears it.
    pub(crate) readable: Cell<bool>,
    pub(crate) writable: Cell<bool>,
    /// Bytes that the kernel has accepted. If it has not changed since a request was passed to HTTP/2, no
    /// byte of that request was written.
    pub(crate) written: Cell<u64>,
    /// Bytes received. Together with `written` it shows whether the peer makes progress.
    pub(crate) received: Cell<u64>,
    /// The peer has closed its sending direction, and all that it sent was read.
    pub(crate) input_ended: Cell<bool>,
    /// Injected fault of test servers: the socket neither reads nor writes, as with a network partition or an
    /// unresponsive machine.
    pub(crate) frozen: Cell<bool>,
    /// Injected fault of test servers: the connection breaks once this many bytes were written, inside a
    /// frame.
    pub(crate) cut_at: Cell<Option<u64>>,
}

/// The I/O object that is passed to `h2`.
#[derive(Debug)]
pub(crate) struct Io(pub(crate) Rc<Shared>);

impl Io {
    pub(crate) fn new(socket: TcpStream) -> (Self, Rc<Shared>) {
        let shared = Rc::new(Shared {
            socket,
            readable: Cell::new(true),
            writable: Cell::new(true),
            written: Cell::new(0),
            received: Cell::new(0),
            input_ended: Cell::new(false),
            frozen: Cell::new(false),
            cut_at: Cell::new(None),
        });
        (Self(Rc::clone(&shared)), shared)
    }
}

impl AsyncRead for Io {
    fn poll_read(self: Pin<&mut Self>, _: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        self.0.poll_read(buf.initialize_unfilled()).map_ok(|n| buf.advance(n))
    }
}

impl Shared {
    /// Reads into `buffer`, which is not empty. 0 bytes are the end of the peer's sending direction.
    pub(crate) fn poll_read(&self, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        if !self.readable.get() || self.frozen.get() {
            return Poll::Pending;
        }
        poll_io(&self.readable, || (&self.socket).read(buffer)).map_ok(|n| {
            self.received.set(self.received.get() + n as u64);
            self.input_ended.set(n == 0);
            n
        })
    }
}

/// Calls `call`, and again if the system call is interrupted. `WouldBlock` clears `ready` until the next
/// event.
fn poll_io(ready: &Cell<bool>, mut call: impl FnMut() -> io::Result<usize>) -> Poll<io::Result<usize>> {
    loop {
        return match call() {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                ready.set(false);
                Poll::Pending
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
            done => Poll::Ready(done),
        };
    }
}

impl Io {
    /// Writes with `call` if the socket is writable, and counts the bytes written.
    fn write_with(&self, call: impl FnMut() -> io::Result<usize>) -> Poll<io::Result<usize>> {
        let shared = &self.0;
        if !shared.writable.get() || shared.frozen.get() {
            return Poll::Pending;
        }
        poll_io(&shared.writable, call).map_ok(|n| {
            shared.written.set(shared.written.get() + n as u64);
            n
        })
    }

    /// Writes up to the injected fault [`Shared::cut_at`], and breaks the connection there.
    fn write(&self, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let shared = &self.0;
        let mut bytes = bytes;
        if let Some(at) = shared.cut_at.get() {
            let left = at.saturating_sub(shared.written.get());
            if left == 0 {
                let _ = shared.socket.shutdown(Shutdown::Both);
                return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
            }
            let most = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len());
            bytes = &bytes[..most];
        }
        self.write_with(|| (&shared.socket).write(bytes))
    }
}

impl AsyncWrite for Io {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.write(bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let shared = &self.0;
        if shared.cut_at.get().is_some() {
            let first = parts.iter().find(|p| !p.is_empty()).map_or(&[][..], |p| p);
            return self.write(first);
        }
        self.write_with(|| (&shared.socket).write_vectored(parts))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.0.socket.shutdown(Shutdown::Write) {
            Err(e) if e.kind() != io::ErrorKind::NotConnected => Poll::Ready(Err(e)),
            _ => Poll::Ready(Ok(())),
        }
    }
}
