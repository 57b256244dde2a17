//! Handles responses of invokers, and connections that end with requests open.

use std::time::Instant;

use bytes::Bytes;
use nettleferry::{LoadNote, WorkerId};
use nettleferry_engine::{AttemptEnd, AttemptReport, Event};
use nettleferry_net::tcp::{ConnectionFailure, TcpKey};
use nettleferry_platform::answer::{AnswerFields, AnswerKind};
use nettleferry_platform::resp::{self, Answer};
use tracing::debug;

use super::ConnectionPools;
use super::context::PoolContext;
use super::identity::QUESTION_TAG;
use super::pending::{OpenRequest, PendingResponse};
use crate::limits::RESPONSE_TIMEOUT;

impl ConnectionPools {
    /// Reads and handles the input of a connection to an invoker.
    pub fn data(&mut self, context: &mut PoolContext, key: TcpKey) {
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.suspect = false;
        }
        loop {
            let Some(input) = context.tcp.input(key) else { return };
            match resp::next(input) {
                Ok(Some(answer)) => {
                    if !self.response(context, key, answer) {
                        return;
                    }
                }
                Ok(None) if input.is_empty() => break,
                Ok(None) => {
                    let Some(connection) = self.connections.get_mut(&key) else { return };
                    let since = *connection.partial_since.get_or_insert_with(Instant::now);
                    context.tcp.alarm(key, Some(since + RESPONSE_TIMEOUT));
                    return;
                }
                Err(error) => {
                    debug!(conn = ?key, %error, "response of an invoker is unreadable");
                    return self.close_for_bad_response(context, key);
                }
            }
        }
        self.retire_if_unused(context.tcp, key);
    }

    /// Handles a complete response. Returns false if its connection was closed or removed.
    fn response(&mut self, context: &mut PoolContext, key: TcpKey, answer: Answer) -> bool {
        let Some(connection) = self.connections.get_mut(&key) else { return false };
        // The response is complete, even if it belongs to no open request.
        if connection.partial_since.take().is_some() {
            context.tcp.alarm(key, None);
        }
        let Some((kind, fields)) = AnswerKind::parse(&answer.kind).zip(AnswerFields::parse(&answer.fields))
        else {
            self.close_for_bad_response(context, key);
            return false;
        };
        let worker = connection.worker;
        let is_identity = answer.id == QUESTION_TAG
            && self.pools.get(&worker).is_some_and(|pool| pool.identity.is_asked_on(key));
        if is_identity {
            self.identity_answered(context, worker, fields.instances.unwrap_or(0));
            return self.connections.contains_key(&key);
        }
        let Some(connection) = self.connections.get_mut(&key) else { return false };
        let Some(request) = connection.open.remove(&answer.id) else {
            context.counters.stray_answers += 1;
            return true;
        };
        let age = request.started.elapsed();
        debug!(worker = worker.0, tag = answer.id, ?kind, fields = answer.fields, ?age, "response received");
        connection.remember_finished(&answer.id);
        if request.response.is_probe() {
            self.close_suspects(context, worker);
        }
        if let Some(function) = request.function.filter(|_| kind == AnswerKind::Served)
            && let Some(pool) = self.pools.get_mut(&worker)
        {
            pool.identity.served(&function, Instant::now(), self.keep_alive);
        }
        self.deliver(request.response, kind, &fields, answer.body, context.events);
        true
    }

    fn close_for_bad_response(&mut self, context: &mut PoolContext, key: TcpKey) {
        context.counters.bad_answers += 1;
        context.tcp.close(key);
        self.remove_connection(key, context.events, |_| AttemptEnd::Broken);
    }

    /// Closes the connections on which an earlier health check timed out, as the invoker has now answered one
    /// on another connection.
    fn close_suspects(&mut self, context: &mut PoolContext, worker: WorkerId) {
        let keys = self.pools.get(&worker).map(|pool| pool.connections.clone()).unwrap_or_default();
        for key in keys {
            if self.connections.get(&key).is_some_and(|connection| connection.suspect) {
                context.tcp.close(key);
                self.remove_connection(key, context.events, |_| AttemptEnd::TimedOut);
            }
        }
    }

    /// Reports a response to the engine as events.
    fn deliver(
        &mut self,
        response: PendingResponse,
        kind: AnswerKind,
        fields: &AnswerFields,
        body: Bytes,
        out: &mut Vec<Event>,
    ) {
        self.pending.remove(&response);
        match response {
            PendingResponse::Attempt(attempt) => {
                if kind == AnswerKind::Served {
                    out.push(Event::ResponsePart { attempt, payload: body, last: true });
                }
                let report =
                    AttemptReport { load_note: fields.note, queue_depth: None, load_report: fields.report };
                out.push(Event::AttemptEnded { attempt, end: attempt_end(kind, fields), report });
            }
            PendingResponse::Load(request_id) => {
                let replicas = fields.instances.unwrap_or(0);
                out.push(Event::LoadEnded { request_id, end: attempt_end(kind, fields), replicas });
            }
            PendingResponse::Probe(request_id) => {
                let healthy = kind == AnswerKind::InService;
                let end = if healthy { AttemptEnd::Served } else { attempt_end(kind, fields) };
                out.push(Event::ProbeEnded { request_id, end, load_report: fields.report });
            }
        }
    }

    /// Handles the end of a connection: ends its open requests, depending on whether they were written.
    pub fn connection_closed(&mut self, context: &mut PoolContext, key: TcpKey, reason: ConnectionFailure) {
        let written = context.tcp.written(key);
        let established = self.connections.get(&key).filter(|connection| connection.established);
        let worker = established.map(|connection| connection.worker);
        self.remove_connection(key, context.events, |request| match (reason, request.output) {
            (ConnectionFailure::Refused | ConnectionFailure::NotConnected, _) => AttemptEnd::NotConnected,
            (_, None) => AttemptEnd::NotWritten,
            (ConnectionFailure::Slow, _) => AttemptEnd::Broken,
            (_, Some(output)) if output.end > written => AttemptEnd::NotWritten,
            _ => AttemptEnd::Broken,
        });
        if let Some(worker) = worker {
            self.peer_closed(worker);
        }
    }

    /// Records that an invoker's side has ended a connection. After the last one it is unknown who listens there.
    fn peer_closed(&mut self, worker: WorkerId) {
        let Some(pool) = self.pools.get_mut(&worker) else { return };
        let is_established =
            |key: &TcpKey| self.connections.get(key).is_some_and(|connection| connection.established);
        if !pool.connections.iter().any(is_established) {
            pool.identity.connections_ended(Instant::now());
        }
    }

    /// Removes a connection and ends its open requests, each as returned by `end_of`.
    pub(super) fn remove_connection(
        &mut self,
        key: TcpKey,
        out: &mut Vec<Event>,
        end_of: impl Fn(&OpenRequest) -> AttemptEnd,
    ) {
        let Some(connection) = self.connections.remove(&key) else { return };
        let worker = connection.worker;
        if !connection.open.is_empty() {
            let open = connection.open.len();
            debug!(worker = worker.0, conn = ?key, open, "connection to an invoker ended with requests open");
        }
        if let Some(pool) = self.pools.get_mut(&worker) {
            pool.connections.retain(|other| *other != key);
            if pool.endpoint.is_none() && pool.connections.is_empty() {
                self.pools.remove(&worker);
            }
        }
        let mut open: Vec<_> = connection.open.into_iter().collect();
        open.sort_by_key(|(_, request)| request.response);
        for (tag, request) in open {
            let end = end_of(&request);
            let age = request.started.elapsed();
            debug!(worker = worker.0, tag, conn = ?key, ?age, ?end, "request ended with its connection");
            self.pending.remove(&request.response);
            out.push(request.response.ended(end));
        }
    }

    /// Handles a connection's alarm: closes the connection if a response is incomplete for too long, or if it
    /// is idle.
    pub fn alarm_due(&mut self, context: &mut PoolContext, key: TcpKey) {
        let Some(connection) = self.connections.get(&key) else { return };
        let is_over =
            |since: Option<Instant>, span| since.is_some_and(|since| Instant::now() >= since + span);
        if is_over(connection.partial_since, RESPONSE_TIMEOUT) {
            debug!(worker = connection.worker.0, conn = ?key, "response of an invoker is incomplete");
            self.close_for_bad_response(context, key);
        } else if connection.open.is_empty()
            && self.idle.is_some_and(|idle| is_over(connection.idle_since, idle))
        {
            self.close_connection(context.tcp, key);
        }
    }
}

/// Returns the end of a request that a response of this kind states.
fn attempt_end(kind: AnswerKind, fields: &AnswerFields) -> AttemptEnd {
    match kind {
        AnswerKind::Served => AttemptEnd::Served,
        AnswerKind::NotLoaded if fields.note == Some(LoadNote::Failed) => AttemptEnd::MarkedLoadFailed,
        AnswerKind::NotLoaded => AttemptEnd::MarkedMiss,
        AnswerKind::Overloaded => AttemptEnd::MarkedFull,
        AnswerKind::Crashed => AttemptEnd::Status { message: "the invoker failed it".to_owned() },
        AnswerKind::AlreadyEnded => AttemptEnd::AlreadyEnded,
        AnswerKind::InService | AnswerKind::OutOfService => {
            AttemptEnd::Status { message: "the invoker is not in service".to_owned() }
        }
    }
}
