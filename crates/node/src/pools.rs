//! Towards invokers: attempts, load orders and health checks on pools of RESP connections, and how each of them ended,
//! as an observed fact.
//!
//! * `connection`: one connection. `pending`: what is open on it. `wire_command`: what is written to it.
//! * `selection`: which connection a command is sent on. `requests`: what is sent. `writing`: when it is written.
//!   `postponement`: when it waits for another read. `cancellation`: what is cancelled or taken back. `responses`: what arrives, and connections that end.

mod cancellation;
mod connection;
mod context;
mod pending;
mod postponement;
mod requests;
mod responses;
mod selection;
mod wire_command;
mod writing;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nettleferry::{Micros, WorkerId};
use nettleferry_engine::{AttemptEnd, Event};
use nettleferry_net::tcp::{Tcp, TcpKey};

use self::connection::Connection;
pub use self::context::PoolContext;
use self::pending::{PendingResponse, ResponseLocation};
use self::postponement::Postponement;
pub use self::requests::LoadOrder;
pub use self::wire_command::Attempt;
use crate::limits::Bounds;

/// The connections to one invoker.
struct WorkerPool {
    /// `None`: it is not listed any more.
    endpoint: Option<Endpoint>,
    address: SocketAddr,
    connections: Vec<TcpKey>,
}

/// What the list states of an invoker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Its address.
    pub address: SocketAddr,
    /// When its process started, on the engine's clock, where stated.
    pub started: Option<Micros>,
    /// It may be sent new requests.
    pub in_service: bool,
}

/// The connections to all invokers, and the requests open on them.
pub struct ConnectionPools {
    pools: BTreeMap<WorkerId, WorkerPool>,
    connections: BTreeMap<TcpKey, Connection>,
    pending: BTreeMap<PendingResponse, ResponseLocation>,
    /// Established connections with commands to be written.
    unwritten: BTreeSet<TcpKey>,
    postponement: Postponement,
    bounds: Bounds,
    /// Requests that one connection carries at the same time.
    streams: usize,
    /// A connection without an open request is closed after this span, before its other end would.
    idle: Option<Duration>,
    /// Health checks ask for a load report.
    reports: bool,
    buffer: Vec<u8>,
}

impl ConnectionPools {
    /// Pools without connections. `streams`: requests that one connection carries at the same time; `idle`: after what
    /// span invokers close an idle one; `reports`: health checks ask for a load report.
    pub fn new(bounds: Bounds, streams: usize, idle: Option<Duration>, reports: bool) -> Self {
        Self {
            pools: BTreeMap::new(),
            connections: BTreeMap::new(),
            pending: BTreeMap::new(),
            unwritten: BTreeSet::new(),
            postponement: Postponement::default(),
            bounds,
            streams: streams.max(1),
            idle: idle.map(|idle| idle * 3 / 4),
            reports,
            buffer: Vec::new(),
        }
    }

    /// Whether this is an invoker's connection.
    pub fn owns(&self, key: TcpKey) -> bool {
        self.connections.contains_key(&key)
    }

    /// Applies the list: every invoker that is known, and its address. Requests that were not written to one that is to
    /// get nothing new, or that is another process than the one that they were meant for, are returned.
    pub fn update_endpoints(
        &mut self,
        tcp: &mut Tcp,
        listed: &BTreeMap<WorkerId, Endpoint>,
        out: &mut Vec<Event>,
    ) {
        let (mut stale, mut to_return) = (Vec::new(), Vec::new());
        for (id, pool) in &mut self.pools {
            let (old, new) = (pool.endpoint, listed.get(id).copied());
            pool.endpoint = new;
            if !new.is_some_and(|new| new.in_service) {
                to_return.push(*id);
            }
            let Some(new) = new.filter(|new| new.address == pool.address) else {
                pool.address = new.map_or(pool.address, |new| new.address);
                stale.extend(pool.connections.iter().copied());
                to_return.push(*id);
                continue;
            };
            if new.started.is_some() && old.is_some_and(|old| old.started != new.started) {
                // Another process is there: connections from before its start lead nowhere.
                let from_before = |key: &&TcpKey| {
                    self.connections
                        .get(key)
                        .is_some_and(|c| !c.established || Some(c.established_at) <= new.started)
                };
                stale.extend(pool.connections.iter().filter(from_before).copied());
                to_return.push(*id);
            }
        }
        for (id, endpoint) in listed {
            let (endpoint, address) = (Some(*endpoint), endpoint.address);
            let new_pool = || WorkerPool { endpoint, address, connections: Vec::new() };
            self.pools.entry(*id).or_insert_with(new_pool);
        }
        for id in to_return {
            self.return_unsent(tcp, id, out);
        }
        for key in stale {
            if let Some(connection) = self.connections.get_mut(&key) {
                connection.draining = true;
            }
            self.retire_if_unused(tcp, key);
        }
        self.pools.retain(|_, pool| pool.endpoint.is_some() || !pool.connections.is_empty());
    }

    /// A connection without an open request is closed, at once where it drains, else when it has been idle.
    fn retire_if_unused(&mut self, tcp: &mut Tcp, key: TcpKey) {
        let Some(connection) = self.connections.get_mut(&key).filter(|c| c.open.is_empty()) else { return };
        if connection.draining {
            self.close_connection(tcp, key);
        } else {
            let since = *connection.idle_since.get_or_insert_with(Instant::now);
            // A response that began keeps its own alarm: it belongs to nothing open, and must end all the same.
            if connection.partial_since.is_none() {
                tcp.alarm(key, self.idle.map(|idle| since + idle));
            }
        }
    }

    fn close_connection(&mut self, tcp: &mut Tcp, key: TcpKey) {
        tcp.finish(key);
        self.remove_connection(key, &mut Vec::new(), |_| AttemptEnd::Broken);
    }
}

#[cfg(test)]
mod tests;
