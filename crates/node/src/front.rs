//! Towards clients: frames in, answers out. Which call each stream is, and whose answer is owed.
//!
//! What a client sends amiss is answered or its connection closed; nothing here decides on a sound request.

mod closing;
mod room;

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use nettleferry::{ClassId, TenantId};
use nettleferry_engine::{CallId, ClientDisconnect, FinalAnswer};
use nettleferry_net::tcp::{Tcp, TcpKey};
use nettleferry_platform::frames::{self, Code, Frame, Reader, kind};
use nettleferry_platform::request::Request;
use tracing::debug;

use closing::gone;
use room::Yields;

use crate::guard::may_close;
use crate::limits::*;
use crate::reasons::{CloseReason, EndReason, RepeatReason};
use crate::repeat::AttemptHistory;

/// A sound request, to be opened.
pub struct Incoming {
    /// The front's mark.
    pub mark: u64,
    /// Its class.
    pub class: ClassId,
    /// Its function.
    pub function: Arc<str>,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// The client marks it as a repeat.
    pub repeat: bool,
    /// The work that it is thought to need, microseconds.
    pub cost_hint: Option<u64>,
    /// When its last byte may have come at the earliest.
    pub came: Instant,
    /// Time until the client gives up, microseconds.
    pub left: u64,
    /// Lanes of a copy.
    pub lanes: u32,
    /// Usual time of a load, microseconds.
    pub load_time: Option<u64>,
    /// Its body.
    pub body: Bytes,
}

/// What clients did.
pub enum ClientEvent {
    /// A request came.
    Request(Incoming),
    /// A client waits no longer, or its side has ended.
    Left(ClientDisconnect),
}

/// What a link must know of a call.
pub struct Call {
    conn: TcpKey,
    stream: u32,
    id: u64,
    bytes: usize,
    call: Option<CallId>,
    /// Its id as the client gave it.
    pub name: Arc<str>,
    /// Its class.
    pub class: ClassId,
    /// Its function.
    pub function: Arc<str>,
    /// The key by which invokers drop repeats.
    pub key: Option<Arc<str>>,
    /// Its attempts.
    pub attempts: AttemptHistory,
    /// How the newest attempt that has ended did so.
    pub last_end: Option<RepeatReason>,
}

struct Client {
    reader: Reader,
    /// Open streams and the marks of their calls.
    streams: BTreeMap<u32, u64>,
    last: u32,
    faults: u32,
    came: Instant,
    /// Something that can be used has come.
    known: bool,
    /// Nothing more is read; it closes after its last answer.
    closing: bool,
    /// Its side has ended: what is still read of it is answered, and not sent on.
    ending: bool,
    /// When the frame in hand began.
    began: Option<Instant>,
    /// Since when nothing whole came and nothing was answered.
    quiet: Instant,
    /// It was asked for no new requests.
    go_away_sent: bool,
}

/// The front.
pub struct Front {
    classes: BTreeMap<String, ClassId>,
    tenants: BTreeMap<String, TenantId>,
    /// The classes' deadlines, milliseconds: no request has longer, whatever its client says.
    deadlines: Vec<f64>,
    bounds: Bounds,
    /// A connection without open requests is closed after this span: [`CLIENT_IDLE`].
    idle: Duration,
    clients: BTreeMap<TcpKey, Client>,
    calls: BTreeMap<u64, Call>,
    marks: BTreeMap<CallId, u64>,
    ids: HashSet<u64>,
    bytes: usize,
    next: u64,
    /// No new requests are asked for.
    draining: bool,
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
            marks: BTreeMap::new(),
            ids: HashSet::new(),
            bytes: 0,
            next: 0,
            draining: false,
            buffer: Vec::new(),
        }
    }

    /// Is this a client's connection?
    pub fn owns(&self, key: TcpKey) -> bool {
        self.clients.contains_key(&key)
    }

    /// Clients connected.
    pub fn clients(&self) -> usize {
        self.clients.len()
    }

    /// A client connected.
    pub fn accepted(&mut self, tcp: &mut Tcp, key: TcpKey, count: &mut Counters) {
        let now = Instant::now();
        let full = self.clients.len() >= self.bounds.clients;
        if full || self.clients.len() >= self.bounds.idle_clients {
            count.over_clients += u64::from(full);
            match self.makes_room(tcp, if full { Yields::Within } else { Yields::Stopped }) {
                Some(old) => self.give_room(tcp, old, count),
                None if full => {
                    count.no_room += 1;
                    count.reasons.closed(CloseReason::NoRoom);
                    return tcp.close(key);
                }
                None => {}
            }
        }
        let client = Client {
            reader: Reader::default(),
            streams: BTreeMap::new(),
            last: 0,
            faults: 0,
            came: now,
            known: false,
            closing: false,
            ending: false,
            began: None,
            quiet: now,
            go_away_sent: false,
        };
        debug!(conn = ?key, "a client came");
        self.clients.insert(key, client);
        tcp.alarm(key, Some(now + FIRST_FRAME));
    }

    /// Closes a connection for a new one, unless an answer would be lost with it.
    fn give_room(&mut self, tcp: &mut Tcp, key: TcpKey, count: &mut Counters) {
        let Some(client) = self.clients.get(&key) else { return };
        if let Err(violation) = may_close(client.streams.len(), tcp.unsent(key)) {
            return count.violations.report(violation, &key);
        }
        let now = Instant::now();
        let (yields, since) = client.yields(now);
        debug!(conn = ?key, ?yields, age = ?now - since, "a connection makes room");
        self.clients.remove(&key);
        count.made_room += 1;
        count.reasons.closed(CloseReason::Room);
        tcp.close(key);
    }

    /// Bytes came from a client.
    pub fn data(&mut self, tcp: &mut Tcp, key: TcpKey, events: &mut Vec<ClientEvent>, count: &mut Counters) {
        // Its end stands behind bytes that take more than one turn to read: it has left all the same.
        if tcp.ending(key) {
            self.leave(tcp, key, events, count);
        }
        loop {
            let Some(client) = self.clients.get_mut(&key) else { return };
            let Some(input) = tcp.input(key) else { return };
            if client.closing {
                return input.clear();
            }
            match client.reader.next(input) {
                Ok(Some(frame)) => {
                    client.began = None;
                    client.quiet = Instant::now();
                    self.frame(tcp, key, frame, events, count);
                }
                Ok(None) => {
                    let within = client.reader.within(input);
                    client.began = if within { client.began.or_else(|| Some(Instant::now())) } else { None };
                    return self.set_alarm(tcp, key);
                }
                Err(error) => {
                    count.bad_frames += 1;
                    return self.expel(tcp, key, &error.to_string(), events, count);
                }
            }
        }
    }

    fn frame(
        &mut self,
        tcp: &mut Tcp,
        key: TcpKey,
        frame: Frame,
        events: &mut Vec<ClientEvent>,
        count: &mut Counters,
    ) {
        let Some(client) = self.clients.get_mut(&key) else { return };
        match frame {
            Frame::Whole { kind: kind::REQUEST, stream, payload } => {
                if stream == 0 || stream <= client.last {
                    count.bad_frames += 1;
                    return self.expel(tcp, key, "a request's stream is not new", events, count);
                }
                client.last = stream;
                if client.streams.len() >= CLIENT_STREAMS {
                    count.bad_requests += 1;
                    self.say(tcp, key, stream, Code::Refused, b"more than 32 requests are open");
                    return self.fault(tcp, key, events, count);
                }
                let came = tcp.came(key);
                match self.take(key, stream, &payload, came, count) {
                    Ok(request) => {
                        count.requests += 1;
                        if let Some(client) = self.clients.get_mut(&key) {
                            client.faults = 0;
                            if client.ending {
                                return self.never_opened(tcp, key, stream, request.mark, count);
                            }
                        }
                        events.push(ClientEvent::Request(request));
                        // One that came since is told once the request that it came for is here.
                        self.send_go_away(tcp, key);
                    }
                    Err((code, words)) => {
                        debug!(conn = ?key, stream, words, "a request can't be used");
                        self.say(tcp, key, stream, code, words.as_bytes());
                        self.fault(tcp, key, events, count);
                    }
                }
            }
            Frame::Whole { kind: kind::CANCEL, stream, .. } => {
                if let Some(mark) = client.streams.remove(&stream) {
                    debug!(conn = ?key, stream, "withdrawn");
                    client.known = true;
                    events.extend(self.close_call(mark).map(gone));
                }
            }
            Frame::Whole { kind: kind::READY, stream, .. } => {
                client.known = true;
                self.buffer.clear();
                frames::ready(&mut self.buffer, stream, !self.draining);
                tcp.send(key, &self.buffer);
            }
            Frame::TooLong { kind: kind::REQUEST, stream } => {
                client.last = client.last.max(stream);
                count.bad_requests += 1;
                self.say(tcp, key, stream, Code::Failed, b"a request is too long");
                self.fault(tcp, key, events, count);
            }
            Frame::Whole { .. } | Frame::TooLong { .. } => {
                count.bad_frames += 1;
                self.say(tcp, key, 0, Code::Failed, b"a client sends no such frame");
                self.fault(tcp, key, events, count);
            }
        }
    }

    fn take(
        &mut self,
        key: TcpKey,
        stream: u32,
        payload: &[u8],
        came: Instant,
        count: &mut Counters,
    ) -> Result<Incoming, (Code, String)> {
        let bad = |count: &mut Counters, words: String| {
            count.bad_requests += 1;
            (Code::Failed, words)
        };
        let request = Request::read(payload).map_err(|e| bad(count, e.to_string()))?;
        let class = self.classes.get(request.op).copied();
        let class = class.ok_or_else(|| bad(count, "there is no such class".to_owned()))?;
        // What holds a sign of the fields' own form would be read as other fields, and invokers close on that.
        let plain = |text: &str| !text.contains([',', '=']);
        if !plain(request.op) || !request.dedupe.is_none_or(plain) {
            return Err(bad(count, "its class or key can't be named to an invoker".to_owned()));
        }
        // A client counts from its own clock, and one that sends early has longer than its class: it is no worse a client
        // for it. Turned away, such requests failed untried, and nine of them ended their connection under all others.
        let deadline = self.deadlines.get(class.0).copied().unwrap_or(0.0);
        if request.ttl_ms > deadline * LONGEST_TTL {
            return Err(bad(count, "ttl is far longer than the class's deadline".to_owned()));
        }
        count.over_deadline += u64::from(request.ttl_ms > deadline);
        let ttl_ms = request.ttl_ms.min(deadline);
        let id = u64::from_str_radix(request.call, 16).map_err(|e| bad(count, e.to_string()))?;
        if self.ids.contains(&id) {
            count.ids_open += 1;
            // The first with this id may run: a refusal would say that a new try does no harm.
            return Err((Code::Failed, "this id is open already".to_owned()));
        }
        // Where there are tenants, one that the settings do not know is no customer of this controller.
        let tenant = match request.org.filter(|_| !self.tenants.is_empty()) {
            Some(org) => {
                let known = self.tenants.get(org).copied();
                Some(known.ok_or_else(|| bad(count, "there is no such tenant".to_owned()))?)
            }
            None => None,
        };
        if self.bytes + request.body.len() > self.bounds.body_bytes {
            count.over_bodies += 1;
            return Err((Code::Refused, "too many bytes are held".to_owned()));
        }
        self.next += 1;
        let mark = self.next;
        debug!(
            conn = ?key,
            stream,
            waited = ?came.elapsed(),
            id = request.call,
            op = request.op,
            function = request.row,
            ttl = request.ttl_ms,
            bytes = request.body.len(),
            "taken"
        );
        self.ids.insert(id);
        self.bytes += request.body.len();
        let function: Arc<str> = request.row.into();
        let call = Call {
            conn: key,
            stream,
            id,
            bytes: request.body.len(),
            call: None,
            name: request.call.into(),
            class,
            function: Arc::clone(&function),
            key: request.dedupe.map(Arc::from),
            attempts: AttemptHistory::default(),
            last_end: None,
        };
        self.calls.insert(mark, call);
        if let Some(client) = self.clients.get_mut(&key) {
            client.streams.insert(stream, mark);
            client.known = true;
        }
        let micros = |ms: f64| (ms * 1000.0) as u64;
        Ok(Incoming {
            mark,
            class,
            function,
            tenant,
            repeat: request.repeat,
            cost_hint: request.work_ms.map(micros),
            came,
            left: micros(ttl_ms),
            lanes: request.lanes.unwrap_or(1),
            load_time: request.load_ms.map(micros),
            body: Bytes::copy_from_slice(request.body),
        })
    }

    /// Does a client still wait for it? One may withdraw with the very bytes that bring its request.
    pub fn waits(&self, mark: u64) -> bool {
        self.calls.contains_key(&mark)
    }

    /// The engine's number of a call, as soon as it is known.
    pub fn opened(&mut self, mark: u64, id: CallId) {
        if let Some(call) = self.calls.get_mut(&mark) {
            call.call = Some(id);
            self.marks.insert(id, mark);
        }
    }

    /// Does a client still wait for this call's answer?
    pub fn awaits(&self, id: CallId) -> bool {
        self.marks.contains_key(&id)
    }

    /// The call of a mark, while its client waits.
    pub fn call_of(&self, mark: u64) -> Option<&Call> {
        self.calls.get(&mark)
    }

    /// What a link must know of a call.
    pub fn call(&mut self, id: CallId) -> Option<&mut Call> {
        self.calls.get_mut(self.marks.get(&id)?)
    }

    /// A call has its final answer.
    pub fn end(&mut self, tcp: &mut Tcp, mark: u64, end: &FinalAnswer, count: &mut Counters) {
        self.end_because(tcp, mark, end, EndReason::of(end), count);
    }

    /// The same, with a reason that the answer does not tell.
    pub fn end_because(
        &mut self,
        tcp: &mut Tcp,
        mark: u64,
        end: &FinalAnswer,
        why: EndReason,
        count: &mut Counters,
    ) {
        let Some(call) = self.calls.get(&mark) else { return };
        let (key, stream, name) = (call.conn, call.stream, Arc::clone(&call.name));
        let may_have_run = call.attempts.may_have_run();
        self.close_call(mark);
        let mut over = false;
        if let Some(client) = self.clients.get_mut(&key) {
            client.streams.remove(&stream);
            client.quiet = Instant::now();
            over = client.closing && client.streams.is_empty();
        }
        count.reasons.ended(why);
        debug!(conn = ?key, stream, id = %name, ?why, may_have_run, "ended");
        match end {
            FinalAnswer::Served { last } => {
                let body = last.as_deref().unwrap_or_default();
                if takes(tcp, key, body.len()) {
                    self.say(tcp, key, stream, Code::Served, body);
                } else {
                    count.over_answers += 1;
                    self.say(tcp, key, stream, Code::Failed, b"its connection takes its answers too slowly");
                }
            }
            FinalAnswer::Refused { .. } => {
                self.say(tcp, key, stream, Code::Refused, b"refused: a new try does no harm")
            }
            FinalAnswer::Rejected { message } | FinalAnswer::Failed { message, .. } => {
                self.say(tcp, key, stream, Code::Failed, message.as_bytes());
            }
        }
        if over {
            self.clients.remove(&key);
            return tcp.finish(key);
        }
        self.set_alarm(tcp, key);
    }

    /// Takes a call off the book.
    fn close_call(&mut self, mark: u64) -> Option<CallId> {
        let call = self.calls.remove(&mark)?;
        self.ids.remove(&call.id);
        self.bytes -= call.bytes;
        let id = call.call?;
        self.marks.remove(&id);
        Some(id)
    }

    fn say(&mut self, tcp: &mut Tcp, key: TcpKey, stream: u32, code: Code, body: &[u8]) {
        self.buffer.clear();
        frames::answer(&mut self.buffer, stream, code, body);
        tcp.send(key, &self.buffer);
    }
}

/// Has the connection room for an answer with so many bytes, and for a short one to each other request that may be open
/// on it? Without that room the answer would end the connection, and all others on it.
fn takes(tcp: &mut Tcp, key: TcpKey, bytes: usize) -> bool {
    let wanted = bytes + CLIENT_STREAMS * SHORT_ANSWER;
    let fits = |tcp: &Tcp| tcp.room(key).is_none_or(|room| wanted <= room);
    fits(tcp) || {
        tcp.flush(key);
        fits(tcp)
    }
}

#[cfg(test)]
mod tests;
