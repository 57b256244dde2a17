//! Fault injection for test servers: frozen connections and listeners, and connections that break inside a
//! frame.

use bytes::Bytes;
use h2::Reason;

use super::{ConnKey, Hub, ListenerKey, StreamKey};

impl Hub {
    /// Queues raw body bytes without a message prefix, so that a stream can end inside a message.
    pub fn send_raw(&mut self, key: StreamKey, bytes: Bytes) {
        if let Some(stream) = self.stream(key) {
            stream.queue_raw(bytes);
        }
    }

    /// Sends GOAWAY immediately on an accepted connection, with the id of the last stream received. Later
    /// streams are not processed.
    pub fn go_away_abruptly(&mut self, conn: ConnKey, reason: Reason) {
        if let Some(c) = self.conns.get_mut(conn.index()).filter(|c| c.key == conn) {
            c.go_away_abruptly(reason);
        }
    }

    /// Stops reading and writing on a connection until it is called again with false.
    pub fn freeze(&mut self, conn: ConnKey, frozen: bool) {
        if let Some(c) = self.conns.get_mut(conn.index()).filter(|c| c.key == conn) {
            c.shared.frozen.set(frozen);
            c.waker.wake_by_ref();
        }
    }

    /// Stops accepting on a listener until it is called again with false. The kernel still establishes
    /// connections.
    pub fn freeze_listener(&mut self, listener: ListenerKey, frozen: bool) {
        if let Some(l) = self.listeners.get_mut(listener.0) {
            l.frozen = frozen;
            if !frozen {
                self.accept(listener.0);
            }
        }
    }

    /// Breaks a connection once `more` further bytes were written.
    pub fn cut_after(&mut self, conn: ConnKey, more: u64) {
        if let Some(c) = self.conns.get_mut(conn.index()).filter(|c| c.key == conn) {
            c.shared.cut_at.set(Some(c.shared.written.get() + more));
            c.waker.wake_by_ref();
        }
    }
}
