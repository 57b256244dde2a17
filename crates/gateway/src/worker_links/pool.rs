//! The connections to one worker: the one with the fewest streams is used, up to a bound of connections and streams.

use std::net::SocketAddr;

use nettleferry_engine::AttemptEnd;
use nettleferry_net::{ConnKey, Hub};

/// Bounds of the connections to one worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolLimits {
    /// Connections at once.
    pub connections: usize,
    /// Streams on each of them at once.
    pub streams: usize,
}

/// The connections to one worker.
pub(super) struct ConnectionPool {
    pub(super) address: SocketAddr,
    connections: Vec<ConnKey>,
}

impl ConnectionPool {
    /// A pool without connections; they are made when they are needed.
    pub(super) fn new(address: SocketAddr) -> Self {
        Self { address, connections: Vec::new() }
    }

    /// A connection that takes one more stream; a new one where all others are full.
    pub(super) fn connection(&mut self, hub: &mut Hub, limits: PoolLimits) -> Result<ConnKey, AttemptEnd> {
        let accepts_stream = |key: &ConnKey| hub.can_open(*key) && hub.streams_on(*key) < limits.streams;
        let usable: Vec<ConnKey> = self.connections.iter().copied().filter(accepts_stream).collect();
        if let Some(least_used) = usable.into_iter().min_by_key(|key| hub.streams_on(*key)) {
            return Ok(least_used);
        }
        // A connection with GOAWAY does not count: it ends with its last stream.
        let counted = self.connections.iter().filter(|key| !hub.is_going_away(**key)).count();
        if counted >= limits.connections {
            return Err(AttemptEnd::NoRoom);
        }
        let key = hub.connect(self.address).map_err(|_| AttemptEnd::NotConnected)?;
        self.connections.push(key);
        Ok(key)
    }

    /// A connection is closed.
    pub(super) fn remove(&mut self, closed: ConnKey) {
        self.connections.retain(|key| *key != closed);
    }
}
