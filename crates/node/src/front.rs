//! Client connections: reads frames, writes answers, and maps each stream to its open call.
//!
//! Invalid input is answered with an error, or its connection is closed. Valid requests are passed on without
//! any decision about them.
//!
//! * `input`: handles frames from clients.
//! * `validation`: validates and registers requests.
//! * `faults`: what is counted against a client, and the close that follows. `closing`: how client connections
//!   end.
//! * `eviction`: chooses the connection that is closed for a new one.
//! * `client`, `call`: the state of a connection and of a request.

mod call;
mod client;
mod closing;
mod context;
mod eviction;
mod faults;
mod finished_ids;
mod input;
mod validation;

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use nettleferry::{ClassId, TenantId};
use nettleferry_engine::{CallId, FinalAnswer};
use nettleferry_net::tcp::{Tcp, TcpKey};
use nettleferry_platform::frames::{self, Code};
use tracing::debug;

pub use self::call::{Call, ClientEvent, IncomingRequest, RequestToken};
use self::client::{Client, CloseStage, EvictionOrder};
pub use self::context::FrontContext;
use self::finished_ids::FinishedIds;
use crate::limits::{
    Bounds, CLIENT_IDLE, Counters, FIRST_FRAME_TIMEOUT, SHORT_ANSWER_BYTES, STREAMS_PER_CLIENT,
};
use crate::log_budget::LogBudget;
use crate::reasons::{CloseReason, EndReason};

/// The client side of a node: all client connections and their open requests.
pub struct Front {
    classes: BTreeMap<String, ClassId>,
    tenants: BTreeMap<String, TenantId>,
    /// Deadlines of the classes, milliseconds. The time to live of a request is limited to the deadline of
    /// its class.
    deadlines: Vec<f64>,
    bounds: Bounds,
    /// Idle timeout of connections without open requests: [`CLIENT_IDLE`], except in tests.
    idle: Duration,
    clients: BTreeMap<TcpKey, Client>,
    /// Open requests by token, until their final answer.
    calls: BTreeMap<RequestToken, Call>,
    /// Tokens of the open requests that the engine has opened, by its call id.
    tokens: BTreeMap<CallId, RequestToken>,
    /// Ids of the open requests, as stated by their clients.
    ids: HashSet<u64>,
    /// Ids of ended requests that may have run and must not run twice.
    finished_ids: FinishedIds,
    /// Whether a second run of a request is harmless, by class.
    idempotent: Vec<bool>,
    /// Total size of the bodies of the open requests, bytes.
    body_bytes: usize,
    /// Total memory of the open requests beside their bodies, bytes.
    call_bytes: usize,
    last_token: u64,
    /// Shutdown has begun: clients are asked to open no new requests.
    draining: bool,
    /// Rate limit for log lines about connections that end with requests open.
    close_log: LogBudget,
    buffer: Vec<u8>,
}

impl Front {
    /// Creates a front without connections. `classes` and `deadlines` (milliseconds) have the same order.
    /// `idempotent` states in the same order whether a second run of a request is harmless.
    pub fn new(
        classes: &[String],
        tenants: &[String],
        deadlines: Vec<f64>,
        idempotent: Vec<bool>,
        bounds: Bounds,
    ) -> Self {
        Self {
            classes: classes.iter().enumerate().map(|(at, name)| (name.clone(), ClassId(at))).collect(),
            tenants: tenants.iter().enumerate().map(|(at, name)| (name.clone(), TenantId(at))).collect(),
            deadlines,
            bounds,
            idle: CLIENT_IDLE,
            clients: BTreeMap::new(),
            calls: BTreeMap::new(),
            tokens: BTreeMap::new(),
            ids: HashSet::new(),
            finished_ids: FinishedIds::default(),
            idempotent,
            body_bytes: 0,
            call_bytes: 0,
            last_token: 0,
            draining: false,
            close_log: LogBudget::default(),
            buffer: Vec::new(),
        }
    }

    /// Whether this is a client connection.
    pub fn owns(&self, key: TcpKey) -> bool {
        self.clients.contains_key(&key)
    }

    /// Bytes held by the bodies of the open requests, and by the open requests besides.
    pub fn held(&self) -> (usize, usize) {
        (self.body_bytes, self.call_bytes)
    }

    /// Number of client connections.
    pub fn clients(&self) -> usize {
        self.clients.len()
    }

    /// Handles a new client connection. From [`Bounds::idle_clients`] on it evicts another one if possible.
    /// At [`Bounds::clients`] it is closed itself if no other connection can be evicted.
    pub fn accepted(&mut self, tcp: &mut Tcp, key: TcpKey, counters: &mut Counters) {
        let now = Instant::now();
        let full = self.clients.len() >= self.bounds.clients;
        if full || self.clients.len() >= self.bounds.idle_clients {
            counters.over_clients += u64::from(full);
            let last = if full { EvictionOrder::WithinFrame } else { EvictionOrder::StalledFrame };
            match self.eviction_candidate(tcp, last) {
                Some(old) => self.evict(tcp, old, counters),
                None if full => {
                    counters.no_room += 1;
                    counters.reasons.closed(CloseReason::NoRoom, 0);
                    return tcp.close(key);
                }
                None => {}
            }
        }
        debug!(conn = ?key, "client connected");
        self.clients.insert(key, Client::new(now));
        tcp.alarm(key, Some(now + FIRST_FRAME_TIMEOUT));
    }

    /// Whether a client still waits for this request. A request may be cancelled before it is opened at the
    /// engine.
    pub fn is_waiting(&self, token: RequestToken) -> bool {
        self.calls.contains_key(&token)
    }

    /// Limits the deadline of a request that is about to be opened to at most `deadline`.
    pub fn limit_deadline(&mut self, token: RequestToken, deadline: Instant) {
        if let Some(call) = self.calls.get_mut(&token) {
            call.deadline = call.deadline.min(deadline);
        }
    }

    /// Records that the engine opened a request as call `id`.
    pub fn opened(&mut self, token: RequestToken, id: CallId) {
        if let Some(call) = self.calls.get_mut(&token) {
            call.engine_id = Some(id);
            self.tokens.insert(id, token);
        }
    }

    /// Whether a client still waits for this call's answer.
    pub fn is_awaited(&self, id: CallId) -> bool {
        self.tokens.contains_key(&id)
    }

    /// Returns the open request with this token, while its client waits.
    pub fn call_by_token(&self, token: RequestToken) -> Option<&Call> {
        self.calls.get(&token)
    }

    /// Returns the open request that the engine opened as this call, while its client waits.
    pub fn call_mut(&mut self, id: CallId) -> Option<&mut Call> {
        self.calls.get_mut(self.tokens.get(&id)?)
    }

    /// Sends the final answer of a request, if its client still waits.
    pub fn answer(
        &mut self,
        tcp: &mut Tcp,
        token: RequestToken,
        answer: &FinalAnswer,
        counters: &mut Counters,
    ) {
        self.answer_with_reason(tcp, token, answer, EndReason::of(answer), counters);
    }

    /// As [`Front::answer`], with an explicit reason for the counters.
    pub fn answer_with_reason(
        &mut self,
        tcp: &mut Tcp,
        token: RequestToken,
        answer: &FinalAnswer,
        reason: EndReason,
        counters: &mut Counters,
    ) {
        let Some(call) = self.calls.get(&token) else { return };
        let (key, stream, call_id) = (call.connection, call.stream, Arc::clone(&call.call_id));
        let may_have_run = call.attempts.may_have_run();
        self.close_call(token);
        let mut last_answer = false;
        if let Some(client) = self.clients.get_mut(&key) {
            client.streams.remove(&stream);
            client.idle_since = Instant::now();
            last_answer = client.stage == CloseStage::Closing && client.streams.is_empty();
        }
        counters.reasons.ended(reason);
        debug!(conn = ?key, stream, id = %call_id, ?reason, may_have_run, "request answered");
        self.send_final_answer(tcp, key, stream, answer, counters);
        if last_answer {
            self.clients.remove(&key);
            return tcp.finish(key);
        }
        self.set_alarm(tcp, key);
    }

    fn send_final_answer(
        &mut self,
        tcp: &mut Tcp,
        key: TcpKey,
        stream: u32,
        answer: &FinalAnswer,
        counters: &mut Counters,
    ) {
        match answer {
            FinalAnswer::Served { last } => {
                let body = last.as_deref().unwrap_or_default();
                if has_output_room(tcp, key, body.len()) {
                    self.send_answer(tcp, key, stream, Code::Served, body);
                } else {
                    counters.over_answers += 1;
                    let message = b"its connection takes its answers too slowly";
                    self.send_answer(tcp, key, stream, Code::Failed, message);
                }
            }
            FinalAnswer::Refused { .. } => {
                self.send_answer(tcp, key, stream, Code::Refused, b"refused: a new try does no harm");
            }
            FinalAnswer::Rejected { message } | FinalAnswer::Failed { message, .. } => {
                self.send_answer(tcp, key, stream, Code::Failed, message.as_bytes());
            }
        }
    }

    /// Removes an open request. Returns the engine's call id if the request was opened there.
    fn close_call(&mut self, token: RequestToken) -> Option<CallId> {
        let call = self.calls.remove(&token)?;
        self.ids.remove(&call.id);
        let is_idempotent = self.idempotent.get(call.class.0).copied().unwrap_or(false);
        if call.attempts.may_have_run() && !is_idempotent {
            self.finished_ids.insert(call.id, self.bounds.finished_ids);
        }
        self.body_bytes -= call.body_bytes;
        self.call_bytes -= call.call_bytes;
        let id = call.engine_id?;
        self.tokens.remove(&id);
        Some(id)
    }

    fn send_answer(&mut self, tcp: &mut Tcp, key: TcpKey, stream: u32, code: Code, body: &[u8]) {
        self.buffer.clear();
        frames::answer(&mut self.buffer, stream, code, body);
        tcp.send(key, &self.buffer);
    }
}

/// Whether the output buffer of a connection has room for an answer of `bytes`, and for a short answer to
/// every other request that may be open on it. Without that room the answer would end the connection and all
/// requests on it.
fn has_output_room(tcp: &mut Tcp, key: TcpKey, bytes: usize) -> bool {
    let wanted = bytes + STREAMS_PER_CLIENT * SHORT_ANSWER_BYTES;
    let fits = |tcp: &Tcp| tcp.send_capacity(key).is_none_or(|room| wanted <= room);
    fits(tcp) || {
        // A client that has taken all of its answers gets this one, whatever others hold.
        let is_flushed = tcp.flush(key);
        is_flushed || fits(tcp)
    }
}

#[cfg(test)]
mod tests;
