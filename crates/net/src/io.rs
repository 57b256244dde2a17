//! A mio TCP socket with the I/O traits that `h2` needs, and the state by which the hub, and the faults of test servers,
//! reach it while `h2` owns it.

use std::cell::Cell;
use std::io::{self, Read, Write};
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use mio::net::TcpStream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// What the hub and the owner of a connection share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) socket: TcpStream,
    // mio is edge-triggered: each flag is set by an event and cleared by WouldBlock.
    pub(crate) readable: Cell<bool>,
    pub(crate) writable: Cell<bool>,
    /// Bytes that the system has taken. While it has not changed since a request was queued, nothing of it was written.
    pub(crate) written: Cell<u64>,
    /// Neither reads nor writes: a cut link or an unresponsive machine, for test servers.
    pub(crate) frozen: Cell<bool>,
    /// Breaks the connection once so many bytes were written: half-written frames, for test servers.
    pub(crate) cut_at: Cell<Option<u64>>,
}

/// The socket as `h2` holds it.
#[derive(Debug)]
pub(crate) struct Io(pub(crate) Rc<Shared>);

impl Io {
    pub(crate) fn new(socket: TcpStream) -> (Self, Rc<Shared>) {
        let shared = Rc::new(Shared {
            socket,
            readable: Cell::new(true),
            writable: Cell::new(true),
            written: Cell::new(0),
            frozen: Cell::new(false),
            cut_at: Cell::new(None),
        });
        (Self(Rc::clone(&shared)), shared)
    }
}

impl AsyncRead for Io {
    fn poll_read(self: Pin<&mut Self>, _: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let shared = &self.0;
        if !shared.readable.get() || shared.frozen.get() {
            return Poll::Pending;
        }
        poll_io(&shared.readable, || (&shared.socket).read(buf.initialize_unfilled())).map_ok(|n| {
            buf.advance(n);
        })
    }
}

/// Repeats an interrupted system call; WouldBlock clears its flag until the next event.
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
    fn put(&self, call: impl FnMut() -> io::Result<usize>) -> Poll<io::Result<usize>> {
        let shared = &self.0;
        if !shared.writable.get() || shared.frozen.get() {
            return Poll::Pending;
        }
        poll_io(&shared.writable, call).map_ok(|n| {
            shared.written.set(shared.written.get() + n as u64);
            n
        })
    }

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
        self.put(|| (&shared.socket).write(bytes))
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
        self.put(|| (&shared.socket).write_vectored(parts))
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
