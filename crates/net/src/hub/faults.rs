//! Faults that test servers play: frozen connections and listeners, connections cut inside a frame.

use bytes::Bytes;
use h2::Reason;

use super::{ConnKey, Hub, ListenerKey, StreamKey};

impl Hub {
    /// Queues raw bytes of the body without a prefix: to break off inside a message.
    pub fn send_raw(&mut self, key: StreamKey, bytes: Bytes) {
        if let Some(stream) = self.stream(key) {
            stream.queue_raw(bytes);
        }
    }

    /// Sends GOAWAY at once, with the last stream seen, on one connection: streams not yet seen never run.
    pub fn go_away_abruptly(&mut self, conn: ConnKey, reason: Reason) {
        if let Some(c) = self.conns.get_mut(conn.index()).filter(|c| c.key == conn) {
            c.go_away_abruptly(reason);
        }
    }

    /// A fault: neither reads nor writes on a connection until thawed.
    pub fn freeze(&mut self, conn: ConnKey, frozen: bool) {
        if let Some(c) = self.conns.get_mut(conn.index()).filter(|c| c.key == conn) {
            c.shared.frozen.set(frozen);
            c.waker.wake_by_ref();
        }
    }

    /// A fault: a listener accepts nothing until thawed; the kernel completes connections all the same.
    pub fn freeze_listener(&mut self, listener: ListenerKey, frozen: bool) {
        if let Some(l) = self.listeners.get_mut(listener.0) {
            l.frozen = frozen;
            if !frozen {
                self.accept(listener.0);
            }
        }
    }

    /// A fault: breaks a connection once `more` further bytes were written.
    pub fn cut_after(&mut self, conn: ConnKey, more: u64) {
        if let Some(c) = self.conns.get_mut(conn.index()).filter(|c| c.key == conn) {
            c.shared.cut_at.set(Some(c.shared.written.get() + more));
            c.waker.wake_by_ref();
        }
    }
}
