//! Received bytes: read within the limits, and consumed by the owner.

use std::time::Instant;

use bytes::BytesMut;

use super::connection::{Conn, ReadOutcome, Stage, flush, read};
use super::{ConnectionFailure, Tcp, TcpEvent, TcpKey};

impl Tcp {
    /// Bytes that were received; the owner removes from the front those that it has handled. `None` if the
    /// connection is not open.
    pub fn input(&mut self, key: TcpKey) -> Option<&mut BytesMut> {
        self.get_mut(key).filter(|c| c.stage == Stage::Open).map(|c| &mut c.input)
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
        self.process(key);
        self.get(key).is_some_and(|c| c.input.len() == before && !c.input_ended)
    }

    /// Checks whether a connection is established, writes and reads without blocking, and reports the
    /// resulting events.
    pub(super) fn process(&mut self, key: TcpKey) {
        let Some(conn) = self.get_mut(key) else { return };
        conn.is_ready = false;
        self.check_connected(key);
        let mut scratch = std::mem::take(&mut self.scratch);
        self.read_connection(key, &mut scratch);
        self.scratch = scratch;
    }

    /// Flushes and reads a connection that is established and not broken, and reports the result.
    fn read_connection(&mut self, key: TcpKey, scratch: &mut [u8]) {
        let (max_input, quota) = (self.limits.input, self.limits.read_quota);
        let earliest_arrival = self.earliest_arrival;
        let is_readable = |conn: &&mut Conn| conn.stage != Stage::Connecting && !conn.is_broken;
        let Some(conn) = self.get_mut(key).filter(is_readable) else { return };
        flush(conn);
        conn.arrived_at = conn.unread_since.unwrap_or(earliest_arrival);
        let outcome = read(conn, scratch, max_input, quota);
        conn.unread_since = (outcome == ReadOutcome::More).then_some(conn.arrived_at);
        conn.input_ended |= matches!(outcome, ReadOutcome::Ended | ReadOutcome::Broken);
        conn.is_broken = outcome == ReadOutcome::Broken;
        let is_open = conn.stage == Stage::Open;
        if is_open && !conn.input.is_empty() {
            self.out.push(TcpEvent::Data(key));
        }
        // A broken connection is removed only by the next poll, so that the owner can still read its last
        // bytes.
        match outcome {
            ReadOutcome::Drained => {}
            ReadOutcome::More => self.make_ready(key.index()),
            ReadOutcome::Ended if is_open => self.out.push(TcpEvent::Ended(key)),
            ReadOutcome::Broken if is_open => {
                self.out.push(TcpEvent::Closed(key, ConnectionFailure::Broken));
                self.to_remove.push(key);
            }
            ReadOutcome::Ended | ReadOutcome::Broken => self.to_remove.push(key),
        }
        self.start_linger(key);
    }
}
