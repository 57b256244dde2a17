//! Requests to invokers: how each is sent, at once or when its connection has been established.

use std::sync::Arc;
use std::time::Instant;

use nettleferry::{Micros, WorkerId};
use nettleferry_engine::{AttemptEnd, CallId, ControlRequestId};
use nettleferry_net::tcp::{Tcp, TcpKey};
use nettleferry_platform::resp;
use tracing::debug;

use super::ConnectionPools;
use super::connection::WaitingCommand;
use super::context::PoolContext;
use super::pending::{OpenRequest, OutputRange, PendingResponse, ResponseLocation};
use super::wire_command::{Attempt, OutboundRequest, WireCommand};
use crate::guard::Violation;

/// An order to load replicas of a function.
#[derive(Clone, Copy, Debug)]
pub struct LoadOrder<'a> {
    /// The engine's id of the order.
    pub id: ControlRequestId,
    /// The function.
    pub function: &'a str,
    /// Replicas wanted.
    pub replicas: u32,
}

impl ConnectionPools {
    /// Starts an attempt.
    pub fn start(&mut self, context: &mut PoolContext, worker: WorkerId, attempt: Attempt) {
        let response = PendingResponse::Attempt(attempt.id);
        let tag = Arc::clone(&attempt.call_id);
        let connection = self.choose_connection(context.tcp, worker, &tag, context.counters);
        let command = WireCommand::Attempt(attempt);
        let request = OutboundRequest { tag: tag.to_string(), response, command };
        self.send_request(context, connection, request);
    }

    /// Sends a load order.
    pub fn load(&mut self, context: &mut PoolContext, worker: WorkerId, order: LoadOrder) {
        let tag = format!("o{}", order.id.0);
        let mut bytes = Vec::new();
        resp::load(&mut bytes, &tag, order.function, order.replicas);
        let connection = self.choose_connection(context.tcp, worker, &tag, context.counters);
        let (response, command) = (PendingResponse::Load(order.id), WireCommand::Control(bytes));
        self.send_request(context, connection, OutboundRequest { tag, response, command });
    }

    /// Sends an order to unload; it has no response.
    pub fn unload(&mut self, tcp: &mut Tcp, worker: WorkerId, function: &str) {
        let keys = self.pools.get(&worker).map(|pool| pool.connections.as_slice()).unwrap_or_default();
        let usable = |key: &&TcpKey| self.connections.get(key).is_some_and(|c| c.established && !c.draining);
        if let Some(key) = keys.iter().find(usable) {
            let mut bytes = Vec::new();
            resp::unload(&mut bytes, function);
            tcp.send(*key, &bytes);
        }
    }

    /// Sends a health check.
    pub fn probe(&mut self, context: &mut PoolContext, worker: WorkerId, id: ControlRequestId) {
        let tag = format!("p{}", id.0);
        let mut bytes = Vec::new();
        resp::probe(&mut bytes, &tag, self.reports);
        let connection = self.choose_for_probe(context.tcp, worker, &tag, context.counters);
        let (response, command) = (PendingResponse::Probe(id), WireCommand::Control(bytes));
        self.send_request(context, connection, OutboundRequest { tag, response, command });
    }

    /// Sends a request on the connection that was chosen, or reports why there is none.
    fn send_request(
        &mut self,
        context: &mut PoolContext,
        connection: Result<TcpKey, AttemptEnd>,
        request: OutboundRequest,
    ) {
        let OutboundRequest { tag, response, command } = request;
        let key = match connection {
            Ok(key) => key,
            Err(end) => return context.events.push(response.ended(end)),
        };
        // What waits for its connection is checked when that is established. Here its client waits: the engine asks in
        // this step.
        let established = self.connections.get(&key).is_some_and(|connection| connection.established);
        if let Err(violation) = self.check_write(key, &command, |_| true)
            && established
        {
            context.counters.violations.report(violation, &tag);
            return context.events.push(response.ended(AttemptEnd::NotWritten));
        }
        let Some(connection) = self.connections.get_mut(&key) else { return };
        debug!(worker = connection.worker.0, tag, request = ?response, conn = ?key, "request to an invoker begun");
        connection.idle_since = None;
        let now = Instant::now();
        let output = if connection.established {
            if connection.partial_since.is_none() {
                context.tcp.alarm(key, None);
            }
            command.write(&mut self.buffer, now);
            Some(queue(context.tcp, key, &self.buffer))
        } else {
            connection.waiting.push_back(WaitingCommand { tag: tag.clone(), command });
            None
        };
        connection.open.insert(tag.clone(), OpenRequest { response, started: now, output });
        self.pending.insert(response, ResponseLocation { connection: key, tag });
    }

    /// Checks the invariants of sending for a request that is written now.
    fn check_write(
        &self,
        key: TcpKey,
        command: &WireCommand,
        awaited: impl Fn(CallId) -> bool,
    ) -> Result<(), Violation> {
        let pool = self.connections.get(&key).and_then(|connection| self.pools.get(&connection.worker));
        let in_service = pool.and_then(|pool| pool.endpoint).is_some_and(|endpoint| endpoint.in_service);
        command.write_check(awaited, in_service).map_or(Ok(()), |check| check.run(Instant::now()))
    }

    /// A connection was established: what waited for it is written, but for what has expired. `awaited`: whether a client
    /// waits for this call; `at`: now, on the engine's clock.
    pub fn connected(
        &mut self,
        context: &mut PoolContext,
        key: TcpKey,
        at: Micros,
        awaited: impl Fn(CallId) -> bool,
    ) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        let now = Instant::now();
        connection.established = true;
        connection.established_at = at;
        for WaitingCommand { tag, command } in std::mem::take(&mut connection.waiting) {
            let expired = command.is_expired(now);
            let allowed = self.check_write(key, &command, &awaited);
            let Some(connection) = self.connections.get_mut(&key) else { return };
            if expired || allowed.is_err() {
                if let Err(violation) = allowed
                    && !expired
                {
                    context.counters.violations.report(violation, &tag);
                }
                if let Some(request) = connection.open.remove(&tag) {
                    self.pending.remove(&request.response);
                    context.events.push(request.response.ended(AttemptEnd::NotWritten));
                }
            } else if let Some(request) = connection.open.get_mut(&tag) {
                command.write(&mut self.buffer, now);
                request.output = Some(queue(context.tcp, key, &self.buffer));
            }
        }
        self.retire_if_unused(context.tcp, key);
    }
}

/// Queues a command on a connection. One that is just ending accepts nothing: its end is reported, and finds this not
/// written.
fn queue(tcp: &mut Tcp, key: TcpKey, bytes: &[u8]) -> OutputRange {
    let end = tcp.send(key, bytes);
    end.map_or(OutputRange::NEVER_WRITTEN, |end| OutputRange { start: end - bytes.len() as u64, end })
}
