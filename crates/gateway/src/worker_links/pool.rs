//! The connections to one worker. A new stream goes to the connection with the fewest streams; the numbers of
//! connections and of streams per connection are bounded.

use std::net::SocketAddr;

use nettleferry_engine::AttemptEnd;
use nettleferry_net::{ConnKey, Hub};

/// Limits of the connections to one worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolLimits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum number of open streams per connection.
    pub streams: usize,
}

/// The connections to one worker.
pub(super) struct ConnectionPool {
    pub(super) address: SocketAddr,
    connections: Vec<ConnKey>,
}

impl ConnectionPool {
    /// Creates an empty pool. Connections are opened on demand.
    pub(super) fn new(address: SocketAddr) -> Self {
        Self { address, connections: Vec::new() }
    }

    /// Returns a connection for one more stream: the one with the fewest streams, or a new one where none accepts
    /// another stream.
    ///
    /// # Errors
    /// `ConnectionsExhausted` where the limits are reached, `NotConnected` where no connection could be opened.
    pub(super) fn connection(&mut self, hub: &mut Hub, limits: PoolLimits) -> Result<ConnKey, AttemptEnd> {
        let accepts_stream = |key: &ConnKey| hub.can_open(*key) && hub.streams_on(*key) < limits.streams;
        let usable: Vec<ConnKey> = self.connections.iter().copied().filter(accepts_stream).collect();
        if let Some(least_used) = usable.into_iter().min_by_key(|key| hub.streams_on(*key)) {
            return Ok(least_used);
        }
        // A connection that received GOAWAY does not count: it closes after its last stream.
        let counted = self.connections.iter().filter(|key| !hub.is_going_away(**key)).count();
        if counted >= limits.connections {
            return Err(AttemptEnd::ConnectionsExhausted);
        }
        let key = hub.connect(self.address).map_err(|_| AttemptEnd::NotConnected)?;
        self.connections.push(key);
        Ok(key)
    }

    /// Removes a closed connection, if it belongs to this pool.
    pub(super) fn remove(&mut self, closed: ConnKey) {
        self.connections.retain(|key| *key != closed);
    }
}
