//! Bytes that leave: queued by the owner, handed to the system at the end of a poll or at once.

use super::connection::{Stage, flush};
use super::{ConnectionFailure, Tcp, TcpKey};

impl Tcp {
    /// How many bytes may still be queued there; `None`: the connection takes nothing.
    pub fn send_capacity(&self, key: TcpKey) -> Option<usize> {
        let conn = self.get(key).filter(|c| c.stage != Stage::Lingering && !c.is_broken)?;
        Some(self.limits.output.saturating_sub(conn.output.len()))
    }

    /// Queues bytes; they are sent when the next poll begins. Returns the offset of their end among all bytes queued there,
    /// to be compared with [`Tcp::written`]. `None`: the connection is gone, or is closed as [`ConnectionFailure::Slow`].
    pub fn send(&mut self, key: TcpKey, bytes: &[u8]) -> Option<u64> {
        let max_output = self.limits.output;
        let conn = self.get_mut(key).filter(|c| c.stage != Stage::Lingering && !c.is_broken)?;
        if conn.output.len() + bytes.len() > max_output {
            self.counters.over_output += 1;
            self.remove(key, Some(ConnectionFailure::Slow));
            return None;
        }
        conn.output.extend_from_slice(bytes);
        conn.queued += bytes.len() as u64;
        let queued = conn.queued;
        if !conn.has_unflushed {
            conn.has_unflushed = true;
            self.unflushed.push(key);
        }
        Some(queued)
    }

    /// Bytes handed to the system so far.
    pub fn written(&self, key: TcpKey) -> u64 {
        self.get(key).map_or(0, |c| c.written)
    }

    /// Bytes queued there that the system has not taken.
    pub fn unsent(&self, key: TcpKey) -> usize {
        self.get(key).map_or(0, |conn| conn.output.len())
    }

    /// Bytes queued for accepted connections that the system has not taken.
    pub fn unsent_to_peers(&self) -> usize {
        self.conns.iter().filter(|(_, c)| c.accepted).map(|(_, c)| c.output.len()).sum()
    }

    /// Removes a range of queued bytes, by their offsets among all bytes queued ([`Tcp::send`] returns the end's). False:
    /// some of them were sent, or are gone with the connection. The offsets of what follows shrink by its length.
    pub fn remove_queued(&mut self, key: TcpKey, from: u64, to: u64) -> bool {
        let Some(conn) = self.get_mut(key) else { return false };
        if from < conn.written || to > conn.queued || from > to {
            return false;
        }
        let (at, end) = ((from - conn.written) as usize, (to - conn.written) as usize);
        let rest = conn.output.split_off(end);
        conn.output.truncate(at);
        conn.output.unsplit(rest);
        conn.queued -= to - from;
        true
    }

    /// Hands what is queued there to the system now. True: it has taken all of it.
    pub fn flush(&mut self, key: TcpKey) -> bool {
        let Some(conn) = self.get_mut(key) else { return false };
        flush(conn);
        let all = conn.output.is_empty();
        if conn.readable {
            self.make_ready(key.index());
        }
        self.start_linger(key);
        all
    }

    /// Hands what is queued to the system now.
    pub fn flush_all(&mut self) {
        for key in std::mem::take(&mut self.unflushed) {
            let Some(conn) = self.get_mut(key) else { continue };
            conn.has_unflushed = false;
            flush(conn);
            if conn.readable {
                self.make_ready(key.index());
            }
            self.start_linger(key);
        }
    }
}
