//! Queued bytes: sent at the start of the next poll, or earlier by a flush.

use super::connection::{Stage, append, flush};
use super::{ConnectionFailure, Tcp, TcpKey};

impl Tcp {
    /// The number of further bytes that may be queued on a connection; `None` if it accepts no output. While
    /// [`super::TcpLimits::output_sum`] is reached, that is what remains of the connection's reserve.
    pub fn send_capacity(&self, key: TcpKey) -> Option<usize> {
        let conn = self.get(key).filter(|c| c.stage != Stage::Lingering && !c.is_broken)?;
        let is_short = self.output_held >= self.limits.output_sum;
        let most = if is_short { self.limits.output_reserve } else { self.limits.output };
        Some(most.saturating_sub(conn.output.len()))
    }

    /// Queues bytes, which are sent at the start of the next poll. Returns the offset of their end among all
    /// bytes queued on the connection, to be compared with [`Tcp::written`]. `None` if the connection accepts
    /// no output, or if it was closed as [`ConnectionFailure::Slow`] because of [`super::TcpLimits::output`] or
    /// [`super::TcpLimits::output_sum`].
    pub fn send(&mut self, key: TcpKey, bytes: &[u8]) -> Option<u64> {
        let max_output = self.limits.output;
        let conn = self.get_mut(key).filter(|c| c.stage != Stage::Lingering && !c.is_broken)?;
        if conn.output.len() + bytes.len() > max_output {
            self.counters.over_output += 1;
            self.remove(key, Some(ConnectionFailure::Slow));
            return None;
        }
        append(&mut conn.output, &mut conn.output_allocated, bytes);
        conn.queued += bytes.len() as u64;
        let queued = conn.queued;
        if !conn.has_unflushed {
            conn.has_unflushed = true;
            self.unflushed.push(key);
        }
        self.account_output(key);
        if !self.keep_output_sum(key) {
            self.counters.over_output_sum += 1;
            self.remove(key, Some(ConnectionFailure::Slow));
            return None;
        }
        Some(queued)
    }

    /// Sends the bytes of a connection immediately if all connections together hold too many. False if they still
    /// do, and the connection has its part in it.
    fn keep_output_sum(&mut self, key: TcpKey) -> bool {
        let max_held = 2 * self.limits.output_sum;
        if self.output_held <= max_held {
            return true;
        }
        if let Some(conn) = self.get_mut(key) {
            flush(conn);
        }
        self.account_output(key);
        self.output_held <= max_held || self.get(key).is_none_or(|conn| conn.output_charge == 0)
    }

    /// Total bytes of a connection that the kernel has accepted; 0 for an unknown connection.
    pub fn written(&self, key: TcpKey) -> u64 {
        self.get(key).map_or(0, |c| c.written)
    }

    /// Bytes queued on a connection that the kernel has not accepted.
    pub fn unsent(&self, key: TcpKey) -> usize {
        self.get(key).map_or(0, |conn| conn.output.len())
    }

    /// Bytes queued on all accepted connections that the kernel has not accepted.
    pub fn unsent_to_peers(&self) -> usize {
        self.conns.iter().filter(|(_, c)| c.accepted).map(|(_, c)| c.output.len()).sum()
    }

    /// Removes the queued bytes between two offsets, as returned by [`Tcp::send`]. The offsets of the bytes
    /// behind them decrease by the length of the range. False, and nothing is removed, if any of them was
    /// sent or is not queued, or the connection does not exist.
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
        self.account_output(key);
        true
    }

    /// Sends the queued bytes of a connection immediately. True if the kernel has accepted all of them.
    pub fn flush(&mut self, key: TcpKey) -> bool {
        let Some(conn) = self.get_mut(key) else { return false };
        flush(conn);
        let is_flushed = conn.output.is_empty();
        if conn.readable && !conn.is_starved {
            self.make_ready(key.index());
        }
        self.account_output(key);
        self.start_linger(key);
        is_flushed
    }

    /// Sends the bytes queued on all connections since the last flush immediately.
    pub fn flush_all(&mut self) {
        for key in std::mem::take(&mut self.unflushed) {
            let Some(conn) = self.get_mut(key) else { continue };
            conn.has_unflushed = false;
            flush(conn);
            if conn.readable && !conn.is_starved {
                self.make_ready(key.index());
            }
            self.account_output(key);
            self.start_linger(key);
        }
    }
}
