//! One plain connection: its socket, its buffers, and how far both sides have ended.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::{Duration, Instant};

use bytes::{Buf, BytesMut};
use mio::net::TcpStream;

use super::events::TcpKey;

/// Bytes of capacity that an empty buffer keeps: an idle connection holds next to none.
const RETAINED_BYTES: usize = 4 << 10;

#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    Connecting,
    Open,
    /// Our side is ended: input is thrown away.
    Lingering,
}

/// A connection that is being made.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectAttempt {
    pub(super) address: SocketAddr,
    /// When it is tried again, while it has no socket.
    pub(super) retry_at: Option<Instant>,
    pub(super) pause: Duration,
}

pub(super) struct Conn {
    pub(super) key: TcpKey,
    /// None while a connect that failed for a moment is to be tried again.
    pub(super) socket: Option<TcpStream>,
    pub(super) connect_attempt: Option<ConnectAttempt>,
    pub(super) stage: Stage,
    pub(super) accepted: bool,
    pub(super) readable: bool,
    pub(super) writable: bool,
    /// The poll has reported the end of the peer's side: it follows the bytes that are still to be read, and no
    /// further event reports it.
    pub(super) read_closed: bool,
    /// The peer sends no more, and all that it sent was read.
    pub(super) input_ended: bool,
    /// Our side has ended.
    pub(super) write_closed: bool,
    /// What is queued has left and [`TcpLimits::linger`] runs.
    pub(super) is_lingering: bool,
    /// Since when the system may hold bytes that were not read yet: one poll reads only so much of each connection.
    pub(super) unread_since: Option<Instant>,
    /// The earliest moment at which what was read last may have arrived.
    pub(super) arrived_at: Instant,
    /// A write failed.
    pub(super) write_failed: bool,
    /// It broke, and its owner was notified.
    pub(super) is_broken: bool,
    /// It is in the queue of connections to process.
    pub(super) is_ready: bool,
    /// Bytes were queued since the last flush.
    pub(super) has_unflushed: bool,
    /// Read and not taken by the owner.
    pub(super) input: BytesMut,
    /// Queued and not taken by the system.
    pub(super) output: BytesMut,
    /// Bytes queued so far.
    pub(super) queued: u64,
    /// Bytes that the system has taken so far.
    pub(super) written: u64,
    pub(super) alarm: Option<Instant>,
    /// Own deadline: for connecting and lingering.
    pub(super) deadline: Option<Instant>,
}

/// Hands queued bytes to the system. An error is left for a read to find: what came before it is still to be read.
pub(super) fn flush(conn: &mut Conn) {
    let Some(socket) = &mut conn.socket else { return };
    while conn.writable && !conn.output.is_empty() && conn.stage != Stage::Connecting {
        match socket.write(&conn.output) {
            Ok(n) => {
                conn.written += n as u64;
                conn.output.advance(n);
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => {
                conn.writable = false;
                let failed = e.kind() != io::ErrorKind::WouldBlock;
                conn.readable |= failed;
                conn.write_failed |= failed;
            }
        }
    }
    if conn.output.is_empty() && conn.output.capacity() > RETAINED_BYTES {
        conn.output = BytesMut::new();
    }
    // Once: each shutdown wakes the poll, and would be followed by the next.
    if conn.output.is_empty() && conn.stage == Stage::Lingering && !conn.write_closed {
        conn.write_closed = true;
        let _ = socket.shutdown(Shutdown::Write);
    }
}

/// How far a read of a connection went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadOutcome {
    /// All that was there is read.
    Drained,
    /// A bound was reached: there may be more.
    More,
    /// The peer sends no more.
    Ended,
    /// The connection broke.
    Broken,
}

/// Reads what is there: at most `quota` bytes, and `max_input` that the owner has not taken.
pub(super) fn read(conn: &mut Conn, scratch: &mut [u8], max_input: usize, quota: usize) -> ReadOutcome {
    let Some(socket) = &mut conn.socket else { return ReadOutcome::Drained };
    if conn.input_ended {
        // Nothing can come but an error.
        let is_broken = conn.write_failed || conn.readable && !matches!(socket.take_error(), Ok(None));
        conn.readable = false;
        return if is_broken { ReadOutcome::Broken } else { ReadOutcome::Drained };
    }
    if conn.input.is_empty() && conn.input.capacity() > RETAINED_BYTES {
        conn.input = BytesMut::new();
    }
    let mut taken = 0;
    while conn.readable {
        let is_discarded = conn.stage == Stage::Lingering;
        let room = if is_discarded { scratch.len() } else { max_input.saturating_sub(conn.input.len()) };
        let room = room.min(scratch.len());
        if room == 0 || taken >= quota {
            return ReadOutcome::More;
        }
        match socket.read(&mut scratch[..room]) {
            Ok(0) => return ReadOutcome::Ended,
            Ok(n) => {
                taken += n;
                if conn.stage == Stage::Open {
                    conn.input.extend_from_slice(&scratch[..n]);
                }
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => conn.readable = false,
            Err(_) => return ReadOutcome::Broken,
        }
    }
    ReadOutcome::Drained
}
