//! The state of one plain connection: its socket, its buffers, and which directions are closed.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::{Duration, Instant};

use bytes::{Buf, BytesMut};
use mio::net::TcpStream;

use super::events::TcpKey;

/// Allocations up to this size are not replaced by smaller ones.
const RETAINED_BYTES: usize = 4 << 10;
/// Granularity of the capacity of buffers, bytes.
const CAPACITY_STEP: usize = 1 << 10;

/// The stage of a connection that has not failed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    Connecting,
    Open,
    /// The owner has finished the connection: output is still sent, and input is discarded.
    Lingering,
}

/// The state of an outgoing connection until it is established.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectAttempt {
    pub(super) address: SocketAddr,
    /// Time of the next retry; `None` while an attempt to connect is in progress.
    pub(super) retry_at: Option<Instant>,
    /// Delay before the next retry.
    pub(super) delay: Duration,
}

/// A plain connection with its buffers.
pub(super) struct Conn {
    pub(super) key: TcpKey,
    /// `None` between a failed connect and its retry.
    pub(super) socket: Option<TcpStream>,
    pub(super) connect_attempt: Option<ConnectAttempt>,
    pub(super) stage: Stage,
    pub(super) accepted: bool,
    pub(super) readable: bool,
    pub(super) writable: bool,
    /// The poll has reported that the peer closed its sending direction. Bytes sent before may still be
    /// unread; no further event reports the end.
    pub(super) read_closed: bool,
    /// The peer has closed its sending direction, and all of its bytes were read.
    pub(super) input_ended: bool,
    /// This side has shut down its sending direction.
    pub(super) write_closed: bool,
    /// All queued bytes were sent, and the time of [`super::TcpLimits::linger`] is running.
    pub(super) is_lingering: bool,
    /// Since when the kernel may hold unread bytes, because one poll reads a limited amount from each
    /// connection.
    pub(super) unread_since: Option<Instant>,
    /// The earliest time at which the bytes read last may have arrived.
    pub(super) arrived_at: Instant,
    /// A write has failed; the next read reports the error.
    pub(super) write_failed: bool,
    /// The connection broke; its owner was notified unless it had finished the connection.
    pub(super) is_broken: bool,
    /// The connection is in the queue of connections to process.
    pub(super) is_ready: bool,
    /// Bytes were queued since the last flush.
    pub(super) has_unflushed: bool,
    /// Bytes that were read and not consumed by the owner.
    pub(super) input: BytesMut,
    /// Bytes of input that count towards [`super::TcpLimits::input_sum`].
    pub(super) input_charge: usize,
    /// Size of the allocation of the input.
    pub(super) input_allocated: usize,
    /// The owner may have consumed input since it was last accounted for.
    pub(super) input_lent: bool,
    /// The connection waits to be read because of [`super::TcpLimits::input_sum`].
    pub(super) is_starved: bool,
    /// Queued bytes that the kernel has not accepted.
    pub(super) output: BytesMut,
    /// Size of the allocation of the output.
    pub(super) output_allocated: usize,
    /// Bytes of output that count towards [`super::TcpLimits::output_sum`].
    pub(super) output_charge: usize,
    /// Total bytes queued so far.
    pub(super) queued: u64,
    /// Total bytes that the kernel has accepted so far.
    pub(super) written: u64,
    /// Alarm set by the owner.
    pub(super) alarm: Option<Instant>,
    /// Internal deadline for connecting, draining or lingering.
    pub(super) deadline: Option<Instant>,
}

/// Writes queued bytes to the socket. An error is reported by the next read, after the bytes received before
/// it. Once all output of a finished connection was sent, shuts down the sending direction.
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
    release_removed(&mut conn.output, &mut conn.output_allocated);
    // Only once: each shutdown wakes the poll, which would call this function again.
    if conn.output.is_empty() && conn.stage == Stage::Lingering && !conn.write_closed {
        conn.write_closed = true;
        let _ = socket.shutdown(Shutdown::Write);
    }
}

/// The result of reading from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadOutcome {
    /// All available bytes were read.
    Drained,
    /// The quota or the limit on the connection's input was reached; there may be more bytes.
    More,
    /// The limit on the input of all connections was reached; there may be more bytes.
    Starved,
    /// The peer has closed its sending direction.
    Ended,
    /// The connection broke, as a read or an earlier write shows.
    Broken,
}

/// How much one read may add to the input of a connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadLimits {
    /// Maximum bytes that may wait for the owner.
    pub(super) input: usize,
    /// As `input`, as far as the limit on the input of all connections permits.
    pub(super) available: usize,
    /// Maximum bytes to read.
    pub(super) quota: usize,
}

/// Reads the available bytes within the limits. Returns the number of bytes read as well.
pub(super) fn read(conn: &mut Conn, scratch: &mut [u8], limits: ReadLimits) -> (ReadOutcome, usize) {
    let Some(socket) = &mut conn.socket else { return (ReadOutcome::Drained, 0) };
    if conn.input_ended {
        // Only an error can still be received.
        let is_broken = conn.write_failed || conn.readable && !matches!(socket.take_error(), Ok(None));
        conn.readable = false;
        return (if is_broken { ReadOutcome::Broken } else { ReadOutcome::Drained }, 0);
    }
    let mut bytes_read = 0;
    while conn.readable {
        let is_discarded = conn.stage == Stage::Lingering;
        let free =
            |max: usize| if is_discarded { scratch.len() } else { max.saturating_sub(conn.input.len()) };
        if free(limits.input) == 0 || bytes_read >= limits.quota {
            return (ReadOutcome::More, bytes_read);
        }
        if free(limits.available) == 0 {
            return (ReadOutcome::Starved, bytes_read);
        }
        let room = free(limits.input.min(limits.available));
        let max_read = room.min(limits.quota - bytes_read).min(scratch.len());
        match socket.read(&mut scratch[..max_read]) {
            Ok(0) => return (ReadOutcome::Ended, bytes_read),
            Ok(n) => {
                bytes_read += n;
                if conn.stage == Stage::Open {
                    append(&mut conn.input, &mut conn.input_allocated, &scratch[..n]);
                }
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => conn.readable = false,
            Err(_) => return (ReadOutcome::Broken, bytes_read),
        }
    }
    (ReadOutcome::Drained, bytes_read)
}

/// Appends bytes without the doubling of the capacity that `extend_from_slice` would cause. `allocated`: the size of
/// the buffer's allocation, which its capacity does not show once bytes were removed from the front.
pub(super) fn append(buffer: &mut BytesMut, allocated: &mut usize, bytes: &[u8]) {
    let length = buffer.len() + bytes.len();
    if length > buffer.capacity() {
        *allocated = length.next_multiple_of(CAPACITY_STEP);
        let mut grown = BytesMut::with_capacity(*allocated);
        grown.extend_from_slice(buffer);
        *buffer = grown;
    }
    buffer.extend_from_slice(bytes);
}

/// Releases the memory of bytes that were removed from the front. `allocated` is as for [`append`].
pub(super) fn release_removed(buffer: &mut BytesMut, allocated: &mut usize) {
    if buffer.is_empty() {
        *allocated = 0;
        *buffer = BytesMut::new();
        return;
    }
    if *allocated <= RETAINED_BYTES.max(2 * buffer.len()) {
        return;
    }
    *allocated = buffer.len().next_multiple_of(CAPACITY_STEP);
    let mut kept = BytesMut::with_capacity(*allocated);
    kept.extend_from_slice(buffer);
    *buffer = kept;
}
