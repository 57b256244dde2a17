//! How clients' connections end: by their own side, for faults, for silence, idle, and with the process.

use std::time::Instant;

use nettleferry_engine::{CallId, ClientDisconnect};
use nettleferry_net::tcp::{Tcp, TcpKey};
use nettleferry_platform::frames::{self, Code};
use tracing::debug;

use super::{ClientEvent, Front};
use crate::limits::*;
use crate::reasons::{CloseReason, EndReason};

impl Front {
    /// Counts what a connection sent amiss, and closes it when it goes on.
    pub(super) fn fault(
        &mut self,
        tcp: &mut Tcp,
        key: TcpKey,
        events: &mut Vec<ClientEvent>,
        count: &mut Counters,
    ) {
        let Some(client) = self.clients.get_mut(&key) else { return };
        client.faults += 1;
        if client.faults > CLIENT_FAULTS {
            self.expel(tcp, key, "too much that can't be used", events, count);
        }
    }

    /// Says why on stream 0, reads nothing more and closes: what is open there has its final answer at once.
    pub(super) fn expel(
        &mut self,
        tcp: &mut Tcp,
        key: TcpKey,
        why: &str,
        events: &mut Vec<ClientEvent>,
        count: &mut Counters,
    ) {
        count.closed_for_faults += 1;
        debug!(why, "a client's connection is closed");
        self.say(tcp, key, 0, Code::Failed, why.as_bytes());
        self.ended(tcp, key, CloseReason::Faults, events, count);
    }

    /// Nothing more comes from a client, or nothing more is read: it can't withdraw any more, and has most likely
    /// left. So what is open there has its final answer at once, which is never wrong, and nothing of it is sent
    /// on; the connection closes after the last answer.
    pub fn ended(
        &mut self,
        tcp: &mut Tcp,
        key: TcpKey,
        why: CloseReason,
        events: &mut Vec<ClientEvent>,
        count: &mut Counters,
    ) {
        let Some(client) = self.clients.get_mut(&key) else { return };
        if !client.closing {
            debug!(conn = ?key, ?why, open = client.streams.len(), "a client's connection is closed");
            count.reasons.closed(why);
        }
        client.closing = true;
        client.began = None;
        tcp.alarm(key, None);
        self.leave(tcp, key, events, count);
        if self.clients.get(&key).is_some_and(|client| client.streams.is_empty()) {
            self.clients.remove(&key);
            tcp.finish(key);
        }
    }

    /// A client has left: what is open on its connection gets its final answer at once.
    pub(super) fn leave(
        &mut self,
        tcp: &mut Tcp,
        key: TcpKey,
        events: &mut Vec<ClientEvent>,
        count: &mut Counters,
    ) {
        let Some(client) = self.clients.get_mut(&key).filter(|client| !client.ending) else { return };
        client.ending = true;
        debug!(conn = ?key, open = client.streams.len(), "a client's connection is ending");
        for (stream, mark) in client.streams.clone() {
            match self.calls.get(&mark).and_then(|call| call.call) {
                Some(call) => events.push(ClientEvent::Left(ClientDisconnect { call, answered: true })),
                None => self.never_opened(tcp, key, stream, mark, count),
            }
        }
    }

    /// The answer of a request that was not opened, and so never is.
    pub(super) fn never_opened(
        &mut self,
        tcp: &mut Tcp,
        key: TcpKey,
        stream: u32,
        mark: u64,
        count: &mut Counters,
    ) {
        self.close_call(mark);
        count.reasons.ended(EndReason::ClientEnded);
        debug!(conn = ?key, stream, why = ?EndReason::ClientEnded, "ended");
        if let Some(client) = self.clients.get_mut(&key) {
            client.streams.remove(&stream);
        }
        self.say(tcp, key, stream, Code::Refused, b"its client's side ended: it was not run");
    }

    /// A client's connection is gone.
    pub fn closed(&mut self, key: TcpKey, events: &mut Vec<ClientEvent>, count: &mut Counters) {
        let Some(client) = self.clients.remove(&key) else { return };
        debug!(conn = ?key, open = client.streams.len(), "a client's connection broke");
        if !client.closing {
            count.reasons.closed(CloseReason::Broken);
        }
        for mark in client.streams.into_values() {
            events.extend(self.close_call(mark).map(gone));
        }
    }

    pub(super) fn set_alarm(&self, tcp: &mut Tcp, key: TcpKey) {
        let Some(client) = self.clients.get(&key).filter(|c| !c.closing) else { return };
        let frame = client.began.map(|began| began + WHOLE_FRAME);
        let first = (!client.known).then(|| client.came + FIRST_FRAME);
        // One that is within a frame is not idle: its frame has a time of its own.
        let idle = client.streams.is_empty() && client.began.is_none();
        let idle = idle.then(|| client.quiet + self.idle);
        tcp.alarm(key, [frame, first, idle].into_iter().flatten().min());
    }

    /// A connection's alarm came due. What has come by now was read before; what comes at this very moment is seen
    /// by a last look.
    pub fn alarm(&mut self, tcp: &mut Tcp, key: TcpKey, events: &mut Vec<ClientEvent>, count: &mut Counters) {
        let Some(client) = self.clients.get(&key).filter(|c| !c.closing) else { return };
        let now = Instant::now();
        let slow = client.began.is_some_and(|began| now >= began + WHOLE_FRAME);
        let silent = !client.known && now >= client.came + FIRST_FRAME;
        let idle = client.streams.is_empty() && client.began.is_none() && now >= client.quiet + self.idle;
        if !(slow || silent || idle) {
            self.set_alarm(tcp, key);
        } else if !tcp.silent(key) {
            // It is told in the next turn, and judged anew after it.
            tcp.alarm(key, Some(now + LAST_LOOK));
        } else if slow || silent {
            count.closed_for_silence += 1;
            self.say(tcp, key, 0, Code::Failed, b"nothing whole came in time");
            self.ended(tcp, key, CloseReason::Silent, events, count);
        } else {
            count.closed_idle += 1;
            self.ended(tcp, key, CloseReason::Idle, events, count);
        }
    }

    /// Asks clients for no new requests on the connections that stand. What comes all the same is served.
    pub fn go_away(&mut self, tcp: &mut Tcp) {
        self.draining = true;
        for key in self.clients.keys().copied().collect::<Vec<_>>() {
            self.send_go_away(tcp, key);
        }
    }

    pub(super) fn send_go_away(&mut self, tcp: &mut Tcp, key: TcpKey) {
        let Some(client) = self.clients.get_mut(&key).filter(|c| self.draining && !c.go_away_sent) else {
            return;
        };
        client.go_away_sent = true;
        self.buffer.clear();
        frames::go_away(&mut self.buffer);
        tcp.send(key, &self.buffer);
    }
}

/// Its client waits no longer: no answer is owed.
pub(super) fn gone(call: CallId) -> ClientEvent {
    ClientEvent::Left(ClientDisconnect { call, answered: false })
}
