//! Cancels and abandons requests, and withdraws those that are not written yet.

use nettleferry::WorkerId;
use nettleferry_engine::{AttemptEnd, AttemptId, ControlRequestId, Event};
use nettleferry_net::tcp::{Tcp, TcpKey};
use nettleferry_platform::resp;
use tracing::debug;

use super::ConnectionPools;
use super::context::PoolContext;
use super::pending::{PendingResponse, ResponseLocation};

impl ConnectionPools {
    /// Cancels an attempt; no event about it follows. The engine may send the call to another worker next, so
    /// the cancellation is written at once. If that is not possible, the connection is closed with all
    /// requests open on it.
    pub fn cancel(&mut self, context: &mut PoolContext, attempt: AttemptId) {
        let Some(location) = self.pending.remove(&PendingResponse::Attempt(attempt)) else { return };
        let ResponseLocation { connection: key, tag } = location;
        // An attempt that is not written yet is dropped from the queue, which does not affect its connection.
        if self.withdraw(key, &tag) {
            if let Some(connection) = self.connections.get_mut(&key) {
                connection.open.remove(&tag);
            }
            return self.retire_if_unused(context.tcp, key);
        }
        let Some(connection) = self.connections.get_mut(&key) else { return };
        if connection.open.remove(&tag).is_some() {
            let mut bytes = Vec::new();
            resp::cancel(&mut bytes, &tag);
            if context.tcp.send(key, &bytes).is_none() || !context.tcp.flush(key) {
                let worker = connection.worker.0;
                debug!(worker, tag, conn = ?key, "connection closed: a cancellation can't be written");
                return self.close_to_cancel(context, key);
            }
            // No response to the attempt has arrived, so the connection may be faulty: it gets no new
            // requests.
            connection.draining = true;
        }
        connection.remember_finished(&tag);
        self.retire_if_unused(context.tcp, key);
    }

    fn close_to_cancel(&mut self, context: &mut PoolContext, key: TcpKey) {
        context.counters.cut_to_withdraw += 1;
        let written = context.tcp.written(key);
        context.tcp.close(key);
        self.remove_connection(key, context.events, |request| match request.output {
            Some(output) if output.end <= written => AttemptEnd::Broken,
            _ => AttemptEnd::NotWritten,
        });
    }

    /// Stops waiting for the response of an attempt for which the settings allow no cancellation; no event
    /// about it follows.
    pub fn abandon(&mut self, tcp: &mut Tcp, attempt: AttemptId) {
        let Some(location) = self.pending.remove(&PendingResponse::Attempt(attempt)) else { return };
        let ResponseLocation { connection: key, tag } = location;
        let Some(connection) = self.connections.get_mut(&key) else { return };
        connection.open.remove(&tag);
        // An attempt that is not written yet is dropped from the queue.
        if !connection.remove_waiting(&tag) {
            connection.draining = true;
            connection.remember_finished(&tag);
        }
        self.retire_if_unused(tcp, key);
    }

    /// Withdraws a load order that is not needed any more, if it is not written yet.
    pub fn cancel_load(&mut self, context: &mut PoolContext, id: ControlRequestId) {
        let response = PendingResponse::Load(id);
        let Some(ResponseLocation { connection: key, tag }) = self.pending.get(&response).cloned() else {
            return;
        };
        if self.withdraw(key, &tag) {
            self.pending.remove(&response);
            if let Some(connection) = self.connections.get_mut(&key) {
                connection.open.remove(&tag);
            }
            context.events.push(response.ended(AttemptEnd::Cancelled));
            self.retire_if_unused(context.tcp, key);
        }
    }

    /// Stops waiting for the response of a load order or health check that timed out; no event about it
    /// follows.
    pub fn forget(&mut self, tcp: &mut Tcp, id: ControlRequestId) {
        let load = self.pending.remove(&PendingResponse::Load(id));
        let location = load.or_else(|| self.pending.remove(&PendingResponse::Probe(id)));
        let Some(ResponseLocation { connection: key, tag }) = location else { return };
        let Some(connection) = self.connections.get_mut(&key) else { return };
        let request = connection.open.remove(&tag);
        // A health check that was written got no response: the connection is suspect until the next input on
        // it.
        connection.suspect |=
            request.is_some_and(|request| request.response.is_probe() && request.output.is_some());
        connection.remove_waiting(&tag);
        connection.remember_finished(&tag);
        self.retire_if_unused(tcp, key);
    }

    /// Withdraws all attempts and load orders that are not written to this invoker yet, and ends them as not
    /// written.
    pub(super) fn return_unsent(&mut self, tcp: &mut Tcp, worker: WorkerId, out: &mut Vec<Event>) {
        let keys = self.pools.get(&worker).map(|pool| pool.connections.clone()).unwrap_or_default();
        for key in keys {
            let mut returned = self.withdraw_all(key);
            returned.sort();
            out.extend(returned.into_iter().map(|response| response.ended(AttemptEnd::NotWritten)));
            self.retire_if_unused(tcp, key);
        }
    }

    /// Withdraws all requests of a connection that are not written yet, except health checks.
    fn withdraw_all(&mut self, key: TcpKey) -> Vec<PendingResponse> {
        let Some(connection) = self.connections.get(&key) else { return Vec::new() };
        let requests = connection.open.iter().filter(|(_, request)| !request.response.is_probe());
        let tags: Vec<String> = requests.map(|(tag, _)| tag.clone()).collect();
        let mut returned = Vec::new();
        for tag in tags {
            if !self.withdraw(key, &tag) {
                continue;
            }
            let Some(request) = self.connections.get_mut(&key).and_then(|c| c.open.remove(&tag)) else {
                continue;
            };
            self.pending.remove(&request.response);
            returned.push(request.response);
        }
        returned
    }

    /// Drops a command that is not written yet from the queue. Returns false if it is written, or writing has
    /// begun.
    fn withdraw(&mut self, key: TcpKey, tag: &str) -> bool {
        self.connections.get_mut(&key).is_some_and(|connection| connection.remove_waiting(tag))
    }
}
