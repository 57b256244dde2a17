//! Sends requests to invokers: assigns each one to a connection and queues it. `writing` writes the queue.

use std::sync::Arc;
use std::time::Instant;

use nettleferry::WorkerId;
use nettleferry_engine::{AttemptEnd, ControlRequestId};
use nettleferry_net::tcp::TcpKey;
use nettleferry_platform::resp;
use tracing::debug;

use super::ConnectionPools;
use super::connection::WaitingCommand;
use super::context::PoolContext;
use super::pending::{OpenRequest, PendingResponse, ResponseLocation};
use super::wire_command::{Attempt, OutboundRequest, WireCommand};
use crate::guard::Violation;

/// An order to load replicas of a function.
#[derive(Clone, Copy, Debug)]
pub struct LoadOrder<'a> {
    /// The engine's id of the order.
    pub id: ControlRequestId,
    /// Name of the function to load.
    pub function: &'a str,
    /// Number of replicas to load.
    pub replicas: u32,
}

impl ConnectionPools {
    /// Sends an attempt to a worker. Its end is reported as an event, unless it is cancelled or abandoned
    /// before.
    pub fn start(&mut self, context: &mut PoolContext, worker: WorkerId, attempt: Attempt) {
        let response = PendingResponse::Attempt(attempt.id);
        let tag = Arc::clone(&attempt.call_id);
        let connection = self.choose_connection(context.tcp, worker, &tag, context.counters);
        let command = WireCommand::Attempt(attempt);
        let request = OutboundRequest { tag: tag.to_string(), response, command };
        self.send_request(context, connection, request);
    }

    /// Sends a load order to a worker. Its end is reported as an event.
    pub fn load(&mut self, context: &mut PoolContext, worker: WorkerId, order: LoadOrder) {
        let tag = format!("o{}", order.id.0);
        let mut bytes = Vec::new();
        resp::load(&mut bytes, &tag, order.function, order.replicas);
        let connection = self.choose_connection(context.tcp, worker, &tag, context.counters);
        let (response, command) = (PendingResponse::Load(order.id), WireCommand::Control(bytes));
        self.send_request(context, connection, OutboundRequest { tag, response, command });
    }

    /// Sends an order to unload a function, if a connection is established. It has no response.
    pub fn unload(&mut self, worker: WorkerId, function: &str) {
        let keys = self.pools.get(&worker).map(|pool| pool.connections.as_slice()).unwrap_or_default();
        let usable = |key: &&TcpKey| self.connections.get(key).is_some_and(|c| c.established && !c.draining);
        if let Some(key) = keys.iter().find(usable).copied() {
            let mut bytes = Vec::new();
            resp::unload(&mut bytes, function);
            self.enqueue(key, WaitingCommand { tag: None, command: WireCommand::Control(bytes) });
        }
    }

    /// Sends a health check to a worker. Its end is reported as an event.
    pub fn probe(&mut self, context: &mut PoolContext, worker: WorkerId, id: ControlRequestId) {
        let tag = format!("p{}", id.0);
        let mut bytes = Vec::new();
        resp::probe(&mut bytes, &tag, self.reports);
        let connection = self.choose_for_probe(context.tcp, worker, &tag, context.counters);
        let (response, command) = (PendingResponse::Probe(id), WireCommand::Control(bytes));
        self.send_request(context, connection, OutboundRequest { tag, response, command });
    }

    /// Queues a request on the chosen connection, or reports its end if there is no connection.
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
        // A request on a connection that is being established is checked once it is established. The client
        // is known to wait, as the engine has just started this request. If the request expired meanwhile
        // because the process was suspended, it ends when it is to be written.
        let established = self.connections.get(&key).is_some_and(|connection| connection.established);
        if let Err(violation) = self.check_write(key, &command, |_| true)
            && established
            && violation != Violation::SendAfterDeadline
        {
            context.counters.violations.report(violation, &tag);
            return context.events.push(response.ended(AttemptEnd::NotWritten));
        }
        let Some(connection) = self.connections.get_mut(&key) else { return };
        debug!(worker = connection.worker.0, tag, request = ?response, conn = ?key, "request to an invoker begun");
        connection.idle_since = None;
        if connection.established && connection.partial_since.is_none() {
            context.tcp.alarm(key, None);
        }
        let function = command.function().cloned();
        let request = OpenRequest { response, function, started: Instant::now(), output: None };
        connection.open.insert(tag.clone(), request);
        self.pending.insert(response, ResponseLocation { connection: key, tag: tag.clone() });
        self.enqueue(key, WaitingCommand { tag: Some(tag), command });
    }
}
