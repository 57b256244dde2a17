//! The end of a connection by its owner: what is queued is sent, our side ends, and the peer has a moment to take it.

use bytes::BytesMut;

#[cfg(doc)]
use super::TcpLimits;
use super::connection::{Stage, flush};
use super::{Tcp, TcpKey};

impl Tcp {
    /// Sends what is queued, then ends our side, and discards what still arrives. The peer has [`TcpLimits::drain`] to take
    /// it; then the connection closes as soon as the peer's side has ended, after [`TcpLimits::linger`] at the latest. No
    /// event follows.
    pub fn finish(&mut self, key: TcpKey) {
        let until = self.now + self.limits.drain;
        self.alarm(key, None);
        let Some(conn) = self.get_mut(key) else { return };
        if conn.stage != Stage::Open || conn.is_broken {
            return self.close(key);
        }
        conn.stage = Stage::Lingering;
        conn.input = BytesMut::new();
        flush(conn);
        conn.deadline = Some(until);
        self.alarms.insert((until, key));
        self.make_ready(key.index());
        self.start_linger(key);
    }

    /// A finished connection whose last bytes were sent lingers for [`TcpLimits::linger`], or closes at once where its peer
    /// has ended its side too: nothing can arrive any more, and its descriptor is needed.
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

    /// Closes the finished connection that matters least: the one whose last bytes were sent first, else the one that was
    /// finished first. False: there is none.
    pub(super) fn evict_lingering(&mut self) -> bool {
        let finished = self.conns.iter().map(|(_, c)| c).filter(|c| c.stage == Stage::Lingering);
        let least = finished.map(|c| (!c.is_lingering, c.deadline, c.key)).min();
        let Some((.., key)) = least else { return false };
        self.counters.lingering_evicted += 1;
        self.remove(key, None);
        true
    }
}
