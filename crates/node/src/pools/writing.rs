//! Writes queued commands: at the end of the iteration that queued them, or as soon as their connection is
//! established and the socket accepts them.
//!
//! An attempt states the time that its client has left. It is therefore encoded right before the system call
//! that writes it, and encoded again later if the socket does not accept it. The same reading of the clock
//! shows whether the process was suspended since the sockets were read.

use std::time::Instant;

use nettleferry::{Micros, WorkerId};
use nettleferry_engine::{AttemptEnd, CallId};
use nettleferry_net::tcp::{Tcp, TcpKey};
use nettleferry_platform::resp;
use tracing::{debug, info};

use super::ConnectionPools;
use super::connection::WaitingCommand;
use super::context::PoolContext;
use super::identity::QUESTION_TAG;
use super::pending::OutputRange;
use super::wire_command::WireCommand;
use crate::guard::Violation;

impl ConnectionPools {
    /// Queues a command on a connection.
    pub(super) fn enqueue(&mut self, key: TcpKey, command: WaitingCommand) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        connection.waiting.push_back(command);
        if connection.established {
            self.unwritten.insert(key);
        }
    }

    /// Handles an established connection: writes its queued commands, except attempts that have expired.
    /// `at`: now, on the engine's clock; `awaited`: whether a client waits for a call.
    pub fn connected(
        &mut self,
        context: &mut PoolContext,
        key: TcpKey,
        at: Micros,
        awaited: impl Fn(CallId) -> bool,
    ) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        connection.established = true;
        connection.established_at = at;
        let worker = connection.worker;
        self.ask_identity(context, key, worker);
        self.postponement.begin(context.tcp.now());
        self.write_waiting(context, key, &awaited);
        self.retire_if_unused(context.tcp, key);
    }

    /// Writes the queued commands of all established connections, as far as their sockets accept them.
    /// Attempts that have expired are ended instead. `awaited`: whether a client waits for a call.
    pub fn flush(&mut self, context: &mut PoolContext, awaited: impl Fn(CallId) -> bool) {
        self.postponement.begin(context.tcp.now());
        for key in std::mem::take(&mut self.unwritten) {
            self.write_waiting(context, key, &awaited);
            self.retire_if_unused(context.tcp, key);
        }
    }

    /// Whether writes wait until the sockets have been read again. The next poll must not wait then.
    pub fn awaits_read(&self) -> bool {
        self.postponement.is_waiting()
    }

    fn write_waiting(&mut self, context: &mut PoolContext, key: TcpKey, awaited: &impl Fn(CallId) -> bool) {
        loop {
            if !self.may_write_to_process(key) {
                return;
            }
            let Some(connection) = self.connections.get_mut(&key) else { return };
            let Some(waiting) = connection.waiting.pop_front() else { return };
            if let Err(violation) = self.check_write(key, &waiting.command, awaited) {
                self.end_unwritten(context, key, waiting, violation);
            } else if !self.write(context.tcp, key, &waiting) {
                // The next flush tries again; one follows each poll.
                let Some(connection) = self.connections.get_mut(&key) else { return };
                connection.waiting.push_front(waiting);
                self.unwritten.insert(key);
                return;
            }
        }
    }

    /// Asks who listens at the address, if that is unknown, on a connection that is established.
    fn ask_identity(&mut self, context: &mut PoolContext, key: TcpKey, worker: WorkerId) {
        let Some(pool) = self.pools.get_mut(&worker) else { return };
        let Some(function) = pool.identity.question(key, Instant::now()) else { return };
        debug!(worker = worker.0, conn = ?key, %function, "asking who listens at the address");
        context.counters.identity_questions += 1;
        self.buffer.clear();
        resp::load(&mut self.buffer, QUESTION_TAG, &function, 0);
        context.tcp.send(key, &self.buffer);
    }

    /// Whether commands may be written to the process at the other end. If not, they wait until it is known.
    fn may_write_to_process(&mut self, key: TcpKey) -> bool {
        let Some(worker) = self.connections.get(&key).map(|connection| connection.worker) else {
            return false;
        };
        let Some(pool) = self.pools.get_mut(&worker) else { return true };
        let may_write = pool.identity.may_write(Instant::now());
        if !may_write {
            self.unwritten.insert(key);
        }
        may_write
    }

    /// Handles the answer to the question who listens at the address.
    pub(super) fn identity_answered(&mut self, context: &mut PoolContext, worker: WorkerId, replicas: u32) {
        let Some(pool) = self.pools.get_mut(&worker) else { return };
        if pool.identity.answered(replicas, Instant::now()) {
            return;
        }
        info!(worker = worker.0, address = %pool.address, "another process listens at an invoker's address");
        context.counters.replaced_processes += 1;
        for key in pool.connections.clone() {
            context.tcp.finish(key);
            self.remove_connection(key, context.events, |_| AttemptEnd::NotConnected);
        }
    }

    /// Encodes and writes one command. Returns false if none of it was written; a command that is partly
    /// written stays in the connection's output.
    fn write(&mut self, tcp: &mut Tcp, key: TcpKey, waiting: &WaitingCommand) -> bool {
        if !tcp.flush(key) {
            return false;
        }
        let now = Instant::now();
        if !self.postponement.may_write(tcp.now(), now) {
            return false;
        }
        waiting.command.write(&mut self.buffer, now);
        let output = queue(tcp, key, &self.buffer);
        if !tcp.flush(key) && tcp.remove_queued(key, output.start, output.end) {
            return false;
        }
        let connection = self.connections.get_mut(&key);
        if let Some(connection) = connection
            && let Some(request) = waiting.tag.as_ref().and_then(|tag| connection.open.get_mut(tag))
        {
            request.output = Some(output);
        }
        true
    }

    /// Ends a request that may not be written any more. An expired one is not reported as a violation; any
    /// other is.
    fn end_unwritten(
        &mut self,
        context: &mut PoolContext,
        key: TcpKey,
        waiting: WaitingCommand,
        violation: Violation,
    ) {
        let Some(tag) = waiting.tag else { return };
        if !waiting.command.is_expired(Instant::now()) {
            context.counters.violations.report(violation, &tag);
        }
        let Some(connection) = self.connections.get_mut(&key) else { return };
        if let Some(request) = connection.open.remove(&tag) {
            self.pending.remove(&request.response);
            context.events.push(request.response.ended(AttemptEnd::NotWritten));
        }
    }

    /// Checks the invariants for a command that is about to be written.
    pub(super) fn check_write(
        &self,
        key: TcpKey,
        command: &WireCommand,
        awaited: impl Fn(CallId) -> bool,
    ) -> Result<(), Violation> {
        let pool = self.connections.get(&key).and_then(|connection| self.pools.get(&connection.worker));
        let in_service = pool.and_then(|pool| pool.endpoint).is_some_and(|endpoint| endpoint.in_service);
        command.write_check(awaited, in_service).map_or(Ok(()), |check| check.run(Instant::now()))
    }
}

/// Queues the encoded command in the output of a connection and returns its range there. A connection that is
/// ending accepts nothing; the range then marks the command as never written.
fn queue(tcp: &mut Tcp, key: TcpKey, bytes: &[u8]) -> OutputRange {
    let end = tcp.send(key, bytes);
    end.map_or(OutputRange::NEVER_WRITTEN, |end| OutputRange { start: end - bytes.len() as u64, end })
}
