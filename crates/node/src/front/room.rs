//! Which client's connection makes room for a new one.

use std::time::Instant;

use nettleferry_net::tcp::{Tcp, TcpKey};

use super::{Client, Front};
use crate::limits::*;

/// What a connection without an open request is, in the order in which they make room for a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Yields {
    /// It has sent nothing for [`FIRST_BYTES`].
    Silent,
    /// It was answered and is idle, or was asked whether the controller is ready.
    Idle,
    /// It stopped within a frame for [`STOPPED_FRAME`].
    Stopped,
    /// It has just come: what it came for is on its way. Guards against a crowd in which each that comes takes the place
    /// of the one before.
    New,
    /// It is within a frame.
    Within,
}

impl Client {
    /// What it is, and since when.
    pub(super) fn yields(&self, now: Instant) -> (Yields, Instant) {
        match self.began {
            Some(began) if now >= began + STOPPED_FRAME => (Yields::Stopped, began),
            Some(began) => (Yields::Within, began),
            None if self.known => (Yields::Idle, self.quiet),
            None if now >= self.came + FIRST_BYTES => (Yields::Silent, self.came),
            None => (Yields::New, self.came),
        }
    }
}

impl Front {
    /// Which connection makes room, of those that yield no later than `last`: see [`Yields`]. Never one that waits
    /// for an answer or has not taken one, and none whose request is there unread, which its client would see reset.
    pub(super) fn makes_room(&self, tcp: &mut Tcp, last: Yields) -> Option<TcpKey> {
        let now = Instant::now();
        let idle = self.clients.iter().filter(|(_, client)| client.streams.is_empty() && !client.closing);
        let mut order: Vec<_> = idle
            .map(|(key, client)| {
                let (yields, since) = client.yields(now);
                (yields, since, *key)
            })
            .filter(|(yields, ..)| *yields <= last)
            .collect();
        order.sort_unstable();
        let mut looked = order.into_iter().take(ROOM_LOOKS);
        // What stands read and not yet judged counts as well.
        looked
            .find(|(yields, _, key)| {
                let within = matches!(yields, Yields::Stopped | Yields::Within);
                let unseen = !within && tcp.input(*key).is_some_and(|input| !input.is_empty());
                // What it is owed is with the system.
                let taken = tcp.flush(*key);
                taken && !unseen && tcp.silent(*key)
            })
            .map(|(.., key)| key)
    }
}
