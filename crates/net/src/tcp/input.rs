//! Received bytes: read within the limits, and consumed by the owner.

use std::time::Instant;

use bytes::BytesMut;

use super::connection::{Conn, ReadLimits, ReadOutcome, Stage, flush, read};
use super::limits::UNLIMITED;
use super::{ConnectionFailure, Tcp, TcpEvent, TcpKey};

impl Tcp {
    /// Bytes that were received; the owner removes from the front those that it has handled. `None` if the
    /// connection is not open.
    pub fn input(&mut self, key: TcpKey) -> Option<&mut BytesMut> {
        let is_lent = self.get(key).is_some_and(|conn| conn.input_lent);
        if !is_lent {
            self.lent.push(key);
        }
        let conn = self.get_mut(key).filter(|conn| conn.stage == Stage::Open)?;
        conn.input_lent = true;
        Some(&mut conn.input)
    }

    /// The earliest time at which the bytes read last may have arrived. A process that reads late leaves data
    /// waiting in the kernel while timeouts of the sender are running. A poll that slept and returned within
    /// its timeout reports data as it arrives; otherwise the data may have arrived since the poll before.
    pub fn earliest_arrival(&self, key: TcpKey) -> Instant {
        self.get(key).map_or(self.now, |conn| conn.arrived_at)
    }

    /// Whether the poll has reported that the peer closed its sending direction; bytes sent before may still
    /// be unread.
    pub fn is_read_closed(&self, key: TcpKey) -> bool {
        self.get(key).is_some_and(|conn| conn.read_closed || conn.input_ended)
    }

    /// Reads once more, for an owner that is about to close an idle connection. True if nothing has arrived;
    /// otherwise the next poll reports the data or the end.
    pub fn confirm_idle(&mut self, key: TcpKey) -> bool {
        let before = match self.get_mut(key) {
            Some(conn) if conn.stage == Stage::Open && !conn.input_ended => {
                conn.readable = true;
                conn.input.len()
            }
            _ => return true,
        };
        self.process(key, self.limits.read_quota);
        // A connection that can't be read for lack of room may have received something.
        self.get(key).is_some_and(|c| c.input.len() == before && !c.input_ended && !c.readable)
    }

    /// Reads a connection even if the input of all connections is at its limit, for an owner that is about to close
    /// it for an incomplete message. True if something was received; the next poll reports it as well.
    pub fn read_beyond_sum(&mut self, key: TcpKey) -> bool {
        let Some(conn) = self.get_mut(key).filter(|conn| conn.stage == Stage::Open) else { return false };
        conn.readable = true;
        let before = conn.input.len();
        let input_sum = std::mem::replace(&mut self.limits.input_sum, UNLIMITED);
        self.process(key, self.limits.read_quota);
        self.limits.input_sum = input_sum;
        self.get(key).is_some_and(|conn| conn.input.len() > before || conn.input_ended)
    }

    /// Checks whether a connection is established, writes, reads up to `quota` bytes without blocking, and reports
    /// the resulting events. Returns the number of bytes read.
    pub(super) fn process(&mut self, key: TcpKey, quota: usize) -> usize {
        let Some(conn) = self.get_mut(key) else { return 0 };
        conn.is_ready = false;
        self.check_connected(key);
        let mut scratch = std::mem::take(&mut self.scratch);
        let bytes_read = self.read_connection(key, &mut scratch, quota);
        self.scratch = scratch;
        bytes_read
    }

    /// Flushes and reads a connection that is established and not broken, and reports the result.
    fn read_connection(&mut self, key: TcpKey, scratch: &mut [u8], quota: usize) -> usize {
        let available = self.available_input(key);
        let limits = ReadLimits { input: self.limits.input, available, quota };
        let earliest_arrival = self.earliest_arrival;
        let is_readable = |conn: &&mut Conn| conn.stage != Stage::Connecting && !conn.is_broken;
        let Some(conn) = self.get_mut(key).filter(is_readable) else { return 0 };
        flush(conn);
        conn.arrived_at = conn.unread_since.unwrap_or(earliest_arrival);
        let (outcome, bytes_read) = read(conn, scratch, limits);
        let has_more = matches!(outcome, ReadOutcome::More | ReadOutcome::Starved);
        conn.unread_since = has_more.then_some(conn.arrived_at);
        conn.input_ended |= matches!(outcome, ReadOutcome::Ended | ReadOutcome::Broken);
        conn.is_broken = outcome == ReadOutcome::Broken;
        let is_open = conn.stage == Stage::Open;
        if is_open && !conn.input.is_empty() {
            self.out.push(TcpEvent::Data(key));
        }
        self.account_output(key);
        self.account_input(key);
        // A broken connection is removed only by the next poll, so that the owner can still read its last
        // bytes.
        match outcome {
            ReadOutcome::Drained => {}
            ReadOutcome::More => self.make_ready(key.index()),
            ReadOutcome::Starved => self.starve(key),
            ReadOutcome::Ended if is_open => self.out.push(TcpEvent::Ended(key)),
            ReadOutcome::Broken if is_open => {
                self.out.push(TcpEvent::Closed(key, ConnectionFailure::Broken));
                self.to_remove.push(key);
            }
            ReadOutcome::Ended | ReadOutcome::Broken => self.to_remove.push(key),
        }
        self.start_linger(key);
        bytes_read
    }
}
