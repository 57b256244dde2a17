//! Orderly close by the owner: queued bytes are sent, the sending direction is shut down, and the socket
//! stays open while the peer reads.

use bytes::BytesMut;

#[cfg(doc)]
use super::TcpLimits;
use super::connection::{Stage, flush};
use super::{Tcp, TcpKey};

impl Tcp {
    /// Sends the queued bytes, then shuts down the sending direction, and discards further input. The bytes
    /// must be sent within [`TcpLimits::drain`]. The connection is then closed when the peer closes its
    /// sending direction, after [`TcpLimits::linger`] at the latest. A connection that is not open is closed
    /// immediately. No event follows.
    pub fn finish(&mut self, key: TcpKey) {
        let until = self.now + self.limits.drain;
        self.alarm(key, None);
        let Some(conn) = self.get_mut(key) else { return };
        if conn.stage != Stage::Open || conn.is_broken {
            return self.close(key);
        }
        conn.stage = Stage::Lingering;
        conn.input = BytesMut::new();
        conn.input_allocated = 0;
        flush(conn);
        conn.deadline = Some(until);
        self.alarms.insert((until, key));
        self.account_input(key);
        self.account_output(key);
        self.make_ready(key.index());
        self.start_linger(key);
    }

    /// Starts the time of [`TcpLimits::linger`] for a finished connection whose last bytes were sent. If the
    /// peer has closed its sending direction, nothing can arrive any more: the connection is closed
    /// immediately, which frees its descriptor.
    pub(super) fn start_linger(&mut self, key: TcpKey) {
        let until = self.now + self.limits.linger;
        let Some(conn) = self.get_mut(key).filter(|c| c.write_closed && !c.is_lingering) else { return };
        conn.is_lingering = true;
        if conn.input_ended {
            return self.remove(key, None);
        }
        let old = conn.deadline.replace(until);
        if let Some(old) = old {
            self.alarms.remove(&(old, key));
        }
        self.alarms.insert((until, key));
    }

    /// Closes a finished connection to free its descriptor: the one whose last bytes were sent first, or else
    /// the one that was finished first. False if there is none.
    pub(super) fn evict_lingering(&mut self) -> bool {
        let finished = self.conns.iter().map(|(_, c)| c).filter(|c| c.stage == Stage::Lingering);
        let candidate = finished.map(|c| (!c.is_lingering, c.deadline, c.key)).min();
        let Some((.., key)) = candidate else { return false };
        self.counters.lingering_evicted += 1;
        self.remove(key, None);
        true
    }
}
