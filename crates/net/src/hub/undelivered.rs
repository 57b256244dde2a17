//! Responses that clients have yet to receive. An owner that exits earlier would lose them.

use std::time::{Duration, Instant};

use super::conn::Conn;
use super::{CloseReason, ConnKey, Hub};

/// Responses that clients have yet to receive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Undelivered {
    /// Accepted connections with such responses.
    pub connections: usize,
    /// Streams whose response was not completely passed to HTTP/2.
    pub streams: usize,
    /// Bytes queued on these streams. Bytes that HTTP/2 or the kernel holds are not known.
    pub bytes: usize,
}

impl Undelivered {
    /// Whether all responses were received.
    pub fn is_empty(&self) -> bool {
        self.connections == 0
    }

    /// Adds the responses of `other`.
    pub fn add(&mut self, other: Self) {
        self.connections += other.connections;
        self.streams += other.streams;
        self.bytes += other.bytes;
    }
}

impl Hub {
    /// Responses that the clients of accepted connections have yet to receive. After [`Hub::go_away`] a
    /// connection counts until its client has closed it, which shows that it has received them.
    pub fn undelivered(&self) -> Undelivered {
        let mut all = Undelivered::default();
        for (_, conn) in &self.conns {
            all.add(self.undelivered_on(conn));
        }
        all
    }

    /// Closes the accepted connections with undelivered responses on which nothing was written or received for
    /// `stall`, counted from the first call that saw this. Returns the responses that are lost thereby.
    pub fn close_stalled(&mut self, stall: Duration) -> Undelivered {
        let now = Instant::now();
        let is_stalled = |conn: &mut Conn| conn.stalled_for(now) >= stall;
        let candidates: Vec<ConnKey> =
            self.conns.iter_mut().filter_map(|(_, conn)| is_stalled(conn).then_some(conn.key)).collect();
        let mut lost = Undelivered::default();
        for key in candidates {
            let undelivered = self.undelivered_on(&self.conns[key.index()]);
            if !undelivered.is_empty() {
                self.counters.undelivered += 1;
                lost.add(undelivered);
                self.close_conn(key, CloseReason::Ended);
            }
        }
        lost
    }

    fn undelivered_on(&self, conn: &Conn) -> Undelivered {
        if conn.listener.is_none() {
            return Undelivered::default();
        }
        let streams = conn.streams.iter().filter_map(|key| self.streams.get(key.index()));
        let (mut count, mut bytes) = (0, 0);
        for stream in streams.filter(|stream| stream.has_unsent_response()) {
            count += 1;
            bytes += stream.out_bytes;
        }
        let connections = usize::from(count > 0 || conn.has_unsent_responses());
        Undelivered { connections, streams: count, bytes }
    }
}
