//! Bytes that are held for all connections together: input that the owner has not consumed, and output that the
//! kernel has not accepted.

use super::connection::release_removed;
use super::{Tcp, TcpKey};

/// Room in the input of all connections for which one waiting connection is read again.
const ROOM_PER_STARVED: usize = 4 << 10;

impl Tcp {
    /// Whether a connection waits to be read because of [`super::TcpLimits::input_sum`].
    pub fn is_input_short(&self) -> bool {
        !self.starved.is_empty()
    }

    /// Bytes of input and of output held for all connections, beyond the reserve of each.
    pub fn held(&self) -> (usize, usize) {
        (self.input_held, self.output_held)
    }

    /// Bytes that the input of a connection may have in total, given what the others hold.
    pub(super) fn available_input(&self, key: TcpKey) -> usize {
        let own = self.get(key).map_or(0, |conn| conn.input_charge);
        let room = self.limits.input_sum.saturating_sub(self.input_held);
        self.limits.input_reserve + own + room
    }

    /// Accounts for the input of a connection after bytes were received or consumed.
    pub(super) fn account_input(&mut self, key: TcpKey) {
        let reserve = self.limits.input_reserve;
        let Some(conn) = self.get_mut(key) else { return };
        conn.input_lent = false;
        release_removed(&mut conn.input, &mut conn.input_allocated);
        let charge = conn.input_allocated.saturating_sub(reserve);
        let before = std::mem::replace(&mut conn.input_charge, charge);
        self.input_held = self.input_held + charge - before;
    }

    /// Accounts for the output of a connection after bytes were queued or sent.
    pub(super) fn account_output(&mut self, key: TcpKey) {
        let reserve = self.limits.output_reserve;
        let Some(conn) = self.get_mut(key) else { return };
        let charge = conn.output_allocated.saturating_sub(reserve);
        let before = std::mem::replace(&mut conn.output_charge, charge);
        self.output_held = self.output_held + charge - before;
    }

    /// Accounts for the input that the owner has consumed since the last poll, and makes connections that wait for
    /// the room ready.
    pub(super) fn account_lent_input(&mut self) {
        for key in std::mem::take(&mut self.lent) {
            self.account_input(key);
        }
        let room = self.limits.input_sum.saturating_sub(self.input_held);
        for _ in 0..room / ROOM_PER_STARVED {
            let Some(key) = self.starved.pop_front() else { return };
            if let Some(conn) = self.get_mut(key) {
                conn.is_starved = false;
                self.make_ready(key.index());
            }
        }
    }

    /// Parks a connection until there is room for its input.
    pub(super) fn starve(&mut self, key: TcpKey) {
        self.counters.over_input_sum += 1;
        if let Some(conn) = self.get_mut(key).filter(|conn| !conn.is_starved) {
            conn.is_starved = true;
            self.starved.push_back(key);
        }
    }
}
