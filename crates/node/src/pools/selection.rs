//! Chooses the connection on which a command is sent.

use std::time::Instant;

use nettleferry::WorkerId;
use nettleferry_engine::AttemptEnd;
use nettleferry_net::tcp::{Tcp, TcpKey};
use tracing::debug;

use super::ConnectionPools;
use super::connection::Connection;
use super::pending::PendingResponse;
use crate::limits::Counters;

/// Number of connections that each invoker may have at least, however many invokers share the limit.
const MIN_CONNECTIONS_PER_WORKER: usize = 2;

impl ConnectionPools {
    /// Chooses the connection for a health check: the one with the oldest open attempt, so that a timeout of
    /// the health check shows that this connection is unresponsive. Without open attempts, any connection.
    pub(super) fn choose_for_probe(
        &mut self,
        tcp: &mut Tcp,
        worker: WorkerId,
        tag: &str,
        counters: &mut Counters,
    ) -> Result<TcpKey, AttemptEnd> {
        let keys = self.pools.get(&worker).map(|pool| pool.connections.as_slice()).unwrap_or_default();
        let longest_waiting = keys
            .iter()
            .filter_map(|key| {
                let usable = |c: &&Connection| c.established && !c.draining && !c.suspect;
                let connection = self.connections.get(key).filter(usable)?;
                let attempts =
                    connection.open.values().filter(|r| matches!(r.response, PendingResponse::Attempt(_)));
                Some((attempts.map(|request| request.started).min()?, *key))
            })
            .min();
        match longest_waiting {
            Some((_, key)) => Ok(key),
            None => self.choose_connection(tcp, worker, tag, counters),
        }
    }

    /// Chooses a connection to the worker with room for one more request: an idle one, else a new one, else
    /// the one with the fewest open requests, of which established ones are preferred. All requests on a
    /// connection are lost with it, so each one carries a single request while the limit allows. Returns how
    /// the request ends if there is no such connection.
    pub(super) fn choose_connection(
        &mut self,
        tcp: &mut Tcp,
        worker: WorkerId,
        tag: &str,
        counters: &mut Counters,
    ) -> Result<TcpKey, AttemptEnd> {
        let share = self.bounds.pool_connections / self.pools.len().max(1);
        let share = share.max(MIN_CONNECTIONS_PER_WORKER);
        let now = Instant::now();
        let confirmed = self.list_confirmed;
        let listed = self.pools.get_mut(&worker).filter(|pool| pool.endpoint.is_some());
        if listed.is_none_or(|pool| pool.identity.is_replaced(now, confirmed)) {
            return Err(AttemptEnd::NotConnected);
        }
        let Some(pool) = self.pools.get(&worker) else { return Err(AttemptEnd::NotConnected) };
        let has_room = |key: &&TcpKey| self.connections.get(key).is_some_and(|c| self.has_room(c, tag, now));
        let load = |key: &&TcpKey| self.connections.get(key).map(|c| (!c.established, c.open.len()));
        let idle =
            |key: &&TcpKey| self.connections.get(key).is_some_and(|c| c.established && c.open.is_empty());
        if let Some(key) = pool.connections.iter().filter(has_room).find(idle) {
            return Ok(*key);
        }
        let full = pool.connections.len() >= share || tcp.outgoing() >= self.bounds.pool_connections;
        if full && let Some(key) = pool.connections.iter().filter(has_room).min_by_key(load) {
            return Ok(*key);
        }
        if full {
            counters.over_links += 1;
            return Err(AttemptEnd::ConnectionsExhausted);
        }
        self.connect(tcp, worker, tag, counters)
    }

    /// Whether one more request, with this tag, may be sent on a connection.
    fn has_room(&self, connection: &Connection, tag: &str, now: Instant) -> bool {
        // The idle alarm is due but not handled yet, as the process may have been suspended: the invoker may
        // already have closed the connection.
        let idle_too_long = self
            .idle
            .zip(connection.idle_since)
            .is_some_and(|(idle, since)| connection.open.is_empty() && now >= since + idle);
        !connection.draining
            && !connection.suspect
            && !idle_too_long
            && connection.open.len() < self.streams
            && !connection.has_used(tag)
    }

    /// Begins to establish a new connection to a worker.
    fn connect(
        &mut self,
        tcp: &mut Tcp,
        worker: WorkerId,
        tag: &str,
        counters: &mut Counters,
    ) -> Result<TcpKey, AttemptEnd> {
        let Some(pool) = self.pools.get_mut(&worker) else { return Err(AttemptEnd::NotConnected) };
        let over_bound = tcp.counters().over_outgoing;
        let Some(key) = tcp.connect(pool.address) else {
            if tcp.counters().over_outgoing > over_bound {
                counters.over_links += 1;
                return Err(AttemptEnd::ConnectionsExhausted);
            }
            return Err(AttemptEnd::NotConnected);
        };
        pool.connections.push(key);
        let connections = pool.connections.len();
        debug!(worker = worker.0, tag, conn = ?key, connections, "connecting to an invoker");
        self.connections.insert(key, Connection::new(worker));
        Ok(key)
    }
}
