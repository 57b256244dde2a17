//! Bytes that come: read within bounds, and taken by the owner.

use std::time::Instant;

use bytes::BytesMut;

use super::connection::{Conn, ReadOutcome, Stage, flush, read};
use super::{ConnectionFailure, Tcp, TcpEvent, TcpKey};

impl Tcp {
    /// Bytes that were read; the owner takes what it has handled off the front.
    pub fn input(&mut self, key: TcpKey) -> Option<&mut BytesMut> {
        self.get_mut(key).filter(|c| c.stage == Stage::Open).map(|c| &mut c.input)
    }

    /// The earliest moment at which what was read there last may have arrived: what a process reads late has waited in the
    /// system, while its sender's time ran. It is the return of the poll before, when it was not there yet; a poll that
    /// slept and returned within its timeout is taken to have reported it at once.
    pub fn earliest_arrival(&self, key: TcpKey) -> Instant {
        self.get(key).map_or(self.now, |conn| conn.arrived_at)
    }

    /// Whether the poll has reported the end of the peer's side; bytes that it sent before may still be unread.
    pub fn is_read_closed(&self, key: TcpKey) -> bool {
        self.get(key).is_some_and(|conn| conn.read_closed || conn.input_ended)
    }

    /// Reads once more, as an owner does before it closes an idle connection. True: nothing has arrived; else the next poll
    /// reports it.
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

    /// Reads and writes a connection as far as it goes, and notifies its owner.
    pub(super) fn process(&mut self, key: TcpKey) {
        let Some(conn) = self.get_mut(key) else { return };
        conn.is_ready = false;
        self.check_connected(key);
        let mut scratch = std::mem::take(&mut self.scratch);
        self.read_connection(key, &mut scratch);
        self.scratch = scratch;
    }

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
        // The owner takes the last bytes after this poll's events: a broken connection is removed by the next poll.
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
