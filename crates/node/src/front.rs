//! Towards clients: frames in, answers out. Which call each stream is, and who waits for an answer.
//!
//! What a client sends amiss is answered or its connection closed; nothing here decides on a valid request.
//!
//! * `input`: frames of clients. `validation`: checks a request and takes it in. `closing`: how connections end.
//!   `eviction`: which one is closed for a new one.
//! * `client`, `call`: what is known of a connection and of a request.

mod call;
mod client;
mod closing;
mod context;
mod eviction;
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
use self::client::{Client, EvictionOrder};
pub use self::context::FrontContext;
use crate::limits::{
    Bounds, CLIENT_IDLE, Counters, FIRST_FRAME_TIMEOUT, SHORT_ANSWER_BYTES, STREAMS_PER_CLIENT,
};
use crate::log_budget::LogBudget;
use crate::reasons::{CloseReason, EndReason};

/// The front: all clients' connections and their open requests.
pub struct Front {
    classes: BTreeMap<String, ClassId>,
    tenants: BTreeMap<String, TenantId>,
    /// The classes' deadlines, milliseconds: no request has longer, whatever its client says.
    deadlines: Vec<f64>,
    bounds: Bounds,
    /// A connection without open requests is closed after this span: [`CLIENT_IDLE`].
    idle: Duration,
    clients: BTreeMap<TcpKey, Client>,
    /// Open requests by token.
    calls: BTreeMap<RequestToken, Call>,
    tokens: BTreeMap<CallId, RequestToken>,
    /// Ids of the open requests, as their clients gave them.
    ids: HashSet<u64>,
    /// Bytes of the bodies of the open requests.
    body_bytes: usize,
    last_token: u64,
    /// Clients are asked to open no new requests.
    draining: bool,
    /// Lines about connections that end with requests open.
    close_log: LogBudget,
    buffer: Vec<u8>,
}

impl Front {
    /// A front for these classes and their deadlines in milliseconds.
    pub fn new(classes: &[String], tenants: &[String], deadlines: Vec<f64>, bounds: Bounds) -> Self {
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
            body_bytes: 0,
            last_token: 0,
            draining: false,
            close_log: LogBudget::default(),
            buffer: Vec::new(),
        }
    }

    /// Whether this is a client's connection.
    pub fn owns(&self, key: TcpKey) -> bool {
        self.clients.contains_key(&key)
    }

    /// Clients connected.
    pub fn clients(&self) -> usize {
        self.clients.len()
    }

    /// A client connected.
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

    /// Whether a client still waits for it. One may cancel with the very bytes that bring its request.
    pub fn is_waiting(&self, token: RequestToken) -> bool {
        self.calls.contains_key(&token)
    }

    /// Limits the time of a request that is to be opened.
    pub fn limit_deadline(&mut self, token: RequestToken, deadline: Instant) {
        if let Some(call) = self.calls.get_mut(&token) {
            call.deadline = call.deadline.min(deadline);
        }
    }

    /// A request was opened as this call of the engine.
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

    /// The call of a token, while its client waits.
    pub fn call_by_token(&self, token: RequestToken) -> Option<&Call> {
        self.calls.get(&token)
    }

    /// The call of the engine's number, while its client waits.
    pub fn call_mut(&mut self, id: CallId) -> Option<&mut Call> {
        self.calls.get_mut(self.tokens.get(&id)?)
    }

    /// Gives a call its final answer.
    pub fn answer(
        &mut self,
        tcp: &mut Tcp,
        token: RequestToken,
        answer: &FinalAnswer,
        counters: &mut Counters,
    ) {
        self.answer_with_reason(tcp, token, answer, EndReason::of(answer), counters);
    }

    /// The same, with a reason that the answer does not state.
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
            last_answer = client.closing && client.streams.is_empty();
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

    /// Forgets an open request; the engine's number, where it was opened there.
    fn close_call(&mut self, token: RequestToken) -> Option<CallId> {
        let call = self.calls.remove(&token)?;
        self.ids.remove(&call.id);
        self.body_bytes -= call.body_bytes;
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

/// Whether the connection has room for an answer with so many bytes, and for a short one to each other request that may
/// be open on it. Without that room the answer would end the connection, and all others on it.
fn has_output_room(tcp: &mut Tcp, key: TcpKey, bytes: usize) -> bool {
    let wanted = bytes + STREAMS_PER_CLIENT * SHORT_ANSWER_BYTES;
    let fits = |tcp: &Tcp| tcp.room(key).is_none_or(|room| wanted <= room);
    fits(tcp) || {
        tcp.flush(key);
        fits(tcp)
    }
}

#[cfg(test)]
mod tests;
