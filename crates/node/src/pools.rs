//! Connection pools to invokers: sends attempts, load orders and health checks over RESP connections, and
//! reports how each of them ended, as far as it was observed.
//!
//! * `connection`: the state of one connection.
//! * `pending`: requests whose response is awaited.
//! * `wire_command`: commands and their encoding.
//! * `selection`: chooses the connection for a command.
//! * `requests`: sends attempts, load orders and health checks.
//! * `writing`: writes queued commands to their connections.
//! * `postponement`: decides when writes wait until the sockets have been read again.
//! * `cancellation`: cancels requests and withdraws those that are not written yet.
//! * `identity`: who listens at an invoker's address after its connections have ended.
//! * `responses`: handles responses, and connections that end.

mod cancellation;
mod connection;
mod context;
mod identity;
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
use self::identity::Identity;
use self::pending::{PendingResponse, ResponseLocation};
use self::postponement::Postponement;
pub use self::requests::LoadOrder;
pub use self::wire_command::Attempt;
use crate::limits::Bounds;

/// The connections to one invoker.
struct WorkerPool {
    /// The invoker as listed; `None` if it is not listed any more.
    endpoint: Option<Endpoint>,
    address: SocketAddr,
    connections: Vec<TcpKey>,
    identity: Identity,
}

/// An invoker's address and state, as listed by the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The address to connect to.
    pub address: SocketAddr,
    /// Start of the invoker's process, on the engine's clock; `None` if the list does not state it.
    pub started: Option<Micros>,
    /// Whether the invoker may be sent new requests.
    pub in_service: bool,
}

/// The connections to all invokers, and the requests open on them.
pub struct ConnectionPools {
    pools: BTreeMap<WorkerId, WorkerPool>,
    connections: BTreeMap<TcpKey, Connection>,
    /// Connection and tag of each awaited response.
    pending: BTreeMap<PendingResponse, ResponseLocation>,
    /// Established connections with commands to be written.
    unwritten: BTreeSet<TcpKey>,
    postponement: Postponement,
    bounds: Bounds,
    /// Maximum number of requests open at the same time on one connection.
    streams: usize,
    /// Idle timeout of connections without open requests, shorter than that of the invokers; `None`: no
    /// timeout.
    idle: Option<Duration>,
    /// Whether health checks ask for a load report.
    reports: bool,
    /// Time for which a replica stays loaded after a request; zero if an invoker can't be asked for replicas.
    keep_alive: Duration,
    /// Time at which the directory last confirmed or changed the list.
    list_confirmed: Option<Instant>,
    buffer: Vec<u8>,
}

impl ConnectionPools {
    /// Creates pools without connections. `streams`: maximum number of requests open on one connection;
    /// `idle`: the invokers' idle timeout, `None` if they have none; `reports`: whether health checks ask for
    /// a load report.
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
            keep_alive: Duration::ZERO,
            list_confirmed: None,
            buffer: Vec::new(),
        }
    }

    /// Asks an invoker whose connections have all ended for replicas that it must still have. `keep_alive`: how long
    /// a replica stays loaded after a request.
    pub fn check_identity(&mut self, keep_alive: Duration) {
        self.keep_alive = keep_alive;
    }

    /// Records when the directory last confirmed or changed the list.
    pub fn list_confirmed(&mut self, at: Option<Instant>) {
        self.list_confirmed = at;
    }

    /// Whether this is a connection to an invoker.
    pub fn owns(&self, key: TcpKey) -> bool {
        self.connections.contains_key(&key)
    }

    /// Applies a list of all invokers. Connections to an invoker whose address or process changed are closed
    /// when no request is open on them. Attempts and load orders that are not written yet are ended as not
    /// written, with events in `out`, if their invoker is out of service, is not listed any more, or has
    /// another address or process than before.
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
                pool.identity = Identity::default();
                stale.extend(pool.connections.iter().copied());
                to_return.push(*id);
                continue;
            };
            if new.started.is_some() && old.is_some_and(|old| old.started != new.started) {
                pool.identity = Identity::default();
                // The invoker is another process: connections established before its start are dead.
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
            let new_pool =
                || WorkerPool { endpoint, address, connections: Vec::new(), identity: Identity::default() };
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

    /// If no request is open on a connection, closes it if it is draining, or else sets its idle alarm.
    fn retire_if_unused(&mut self, tcp: &mut Tcp, key: TcpKey) {
        let Some(connection) = self.connections.get_mut(&key).filter(|c| c.open.is_empty()) else { return };
        if connection.draining {
            self.close_connection(tcp, key);
        } else {
            let since = *connection.idle_since.get_or_insert_with(Instant::now);
            // An incomplete response keeps its alarm: though it belongs to no open request, it must complete
            // in time.
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
