//! How client connections end: by the client, by a timeout, or by shutdown. Their last answers.

use std::time::Instant;

use nettleferry_engine::ClientDisconnect;
use nettleferry_net::tcp::{Tcp, TcpKey};
use nettleferry_platform::frames::{self, Code};
use tracing::{debug, info};

use super::Front;
use super::call::{ClientEvent, RequestToken};
use super::client::{Client, CloseStage};
use super::context::FrontContext;
use crate::limits::{
    CLOSES_WHEN_SHORT, Counters, FIRST_FRAME_TIMEOUT, FRAME_TIMEOUT, FRAME_TIMEOUT_WHEN_SHORT, RECHECK_DELAY,
    STALLED_FRAME,
};
use crate::reasons::{CloseReason, EndReason};

impl Front {
    /// Closes a connection after its last answer and reads nothing more from it. The client can't cancel its
    /// open requests any more and has most likely disconnected, so they get their final answers at once and
    /// are not forwarded. An early answer is always correct.
    pub fn close_after_answers(&mut self, context: &mut FrontContext, key: TcpKey, reason: CloseReason) {
        let Some(client) = self.clients.get_mut(&key) else { return };
        if client.stage == CloseStage::Open {
            debug!(conn = ?key, ?reason, open = client.streams.len(), "client connection closing");
            let open = client.streams.len();
            self.record_close(context.counters, key, reason, open);
        }
        let Some(client) = self.clients.get_mut(&key) else { return };
        client.stage = CloseStage::Closing;
        client.frame_began = None;
        context.tcp.alarm(key, None);
        self.client_disconnecting(context, key);
        if self.clients.get(&key).is_some_and(|client| client.streams.is_empty()) {
            self.clients.remove(&key);
            context.tcp.finish(key);
        }
    }

    /// Handles the end of a client's side: its open requests get their final answers at once.
    pub fn client_disconnecting(&mut self, context: &mut FrontContext, key: TcpKey) {
        let Some(client) = self.clients.get_mut(&key).filter(|client| !client.disconnecting) else { return };
        client.disconnecting = true;
        debug!(conn = ?key, open = client.streams.len(), "client disconnecting");
        for (stream, token) in client.streams.clone() {
            match self.calls.get(&token).and_then(|call| call.engine_id) {
                Some(call) => context
                    .events
                    .push(ClientEvent::Disconnected(ClientDisconnect { call, expects_answer: true })),
                None => self.refuse_unopened(context.tcp, key, stream, token, context.counters),
            }
        }
    }

    /// Refuses a request that has not been opened at the engine, and never will be.
    pub(super) fn refuse_unopened(
        &mut self,
        tcp: &mut Tcp,
        key: TcpKey,
        stream: u32,
        token: RequestToken,
        counters: &mut Counters,
    ) {
        self.close_call(token);
        counters.reasons.ended(EndReason::ClientEnded);
        debug!(conn = ?key, stream, reason = ?EndReason::ClientEnded, "request answered");
        if let Some(client) = self.clients.get_mut(&key) {
            client.streams.remove(&stream);
        }
        self.send_answer(tcp, key, stream, Code::Refused, b"its client's side ended: it was not run");
    }

    /// Handles a broken client connection: its open requests are cancelled and get no answer.
    pub fn connection_closed(&mut self, context: &mut FrontContext, key: TcpKey) {
        let Some(client) = self.clients.remove(&key) else { return };
        debug!(conn = ?key, open = client.streams.len(), "client connection broke");
        if client.stage == CloseStage::Open {
            self.record_close(context.counters, key, CloseReason::Broken, client.streams.len());
        }
        for token in client.streams.into_values() {
            context.events.extend(self.close_call(token).map(ClientEvent::cancelled));
        }
    }

    /// Counts the end of a connection, and logs it if requests were open, subject to the rate limit.
    pub(super) fn record_close(
        &mut self,
        counters: &mut Counters,
        key: TcpKey,
        reason: CloseReason,
        open: usize,
    ) {
        counters.reasons.closed(reason, open);
        if open == 0 {
            return;
        }
        if let Some(left_out) = self.close_log.take(Instant::now()) {
            info!(conn = ?key, ?reason, open, left_out, "client connection ended with requests open");
        }
    }

    pub(super) fn set_alarm(&self, tcp: &mut Tcp, key: TcpKey) {
        let Some(client) = self.clients.get(&key) else { return };
        match client.stage {
            CloseStage::Open => {}
            CloseStage::Refusing { until, .. } => return tcp.alarm(key, Some(until)),
            CloseStage::Closing => return,
        }
        let frame = client.frame_began.map(|began| began + FRAME_TIMEOUT);
        let first = (!client.active).then(|| client.accepted_at + FIRST_FRAME_TIMEOUT);
        // A connection with an incomplete frame is not idle: `FRAME_TIMEOUT` applies instead.
        let idle = client.streams.is_empty() && client.frame_began.is_none();
        let idle = idle.then(|| client.idle_since + self.idle);
        tcp.alarm(key, [frame, first, idle].into_iter().flatten().min());
    }

    /// Handles a connection's alarm. Input reported by the poll has been read before; input that has arrived
    /// since is found by a last check before the connection is closed.
    pub fn alarm_due(&mut self, context: &mut FrontContext, key: TcpKey) {
        let Some(client) = self.clients.get(&key) else { return };
        let now = Instant::now();
        match client.stage {
            CloseStage::Open => {}
            CloseStage::Refusing { until, .. } if now >= until => {
                return self.close_after_answers(context, key, CloseReason::Faults);
            }
            CloseStage::Refusing { .. } | CloseStage::Closing => return self.set_alarm(context.tcp, key),
        }
        let slow = client.frame_began.is_some_and(|began| now >= began + FRAME_TIMEOUT);
        let unresponsive = !client.active && now >= client.accepted_at + FIRST_FRAME_TIMEOUT;
        let idle =
            client.streams.is_empty() && client.frame_began.is_none() && now >= client.idle_since + self.idle;
        if !(slow || unresponsive || idle) {
            self.set_alarm(context.tcp, key);
        } else if !context.tcp.confirm_idle(key) {
            // The input is read in the next iteration, and the connection is checked again after it.
            context.tcp.alarm(key, Some(now + RECHECK_DELAY));
        } else if slow || unresponsive {
            context.counters.closed_for_silence += 1;
            self.send_answer(context.tcp, key, 0, Code::Failed, b"nothing whole came in time");
            self.close_after_answers(context, key, CloseReason::Unresponsive);
        } else {
            context.counters.closed_idle += 1;
            self.close_after_answers(context, key, CloseReason::Idle);
        }
    }

    /// Closes connections whose frame has been incomplete for [`FRAME_TIMEOUT_WHEN_SHORT`] while others can't be
    /// read for lack of room: the oldest frames, first those of connections without open requests.
    pub fn close_stalled_frames(&mut self, context: &mut FrontContext) {
        if !context.tcp.is_input_short() {
            return;
        }
        let now = Instant::now();
        let stalled = self.clients.iter().filter_map(|(key, client)| {
            let began = client.frame_began.filter(|began| now >= *began + FRAME_TIMEOUT_WHEN_SHORT)?;
            Some((!client.streams.is_empty(), began, *key))
        });
        let mut stalled: Vec<_> = stalled.collect();
        stalled.sort_unstable();
        for (_, began, key) in stalled.into_iter().take(CLOSES_WHEN_SHORT) {
            // The rest of the frame may have arrived and not been read for lack of room.
            let has_received = context.tcp.read_beyond_sum(key);
            self.data(context, key);
            let is_same_frame = |client: &Client| client.frame_began == Some(began);
            let gives_way = !has_received || now >= began + STALLED_FRAME;
            if !gives_way || !self.clients.get(&key).is_some_and(is_same_frame) {
                continue;
            }
            context.counters.closed_when_short += 1;
            self.send_answer(context.tcp, key, 0, Code::Failed, b"nothing whole came in time");
            self.close_after_answers(context, key, CloseReason::Unresponsive);
        }
    }

    /// Asks clients to open no new requests on the existing connections. Requests that still arrive are
    /// served.
    pub fn announce_shutdown(&mut self, tcp: &mut Tcp) {
        self.draining = true;
        for key in self.clients.keys().copied().collect::<Vec<_>>() {
            self.send_go_away(tcp, key);
        }
    }

    /// Asks a client once to open no new requests on its connection.
    pub(super) fn send_go_away(&mut self, tcp: &mut Tcp, key: TcpKey) {
        let Some(client) = self.clients.get_mut(&key).filter(|client| !client.go_away_sent) else { return };
        client.go_away_sent = true;
        self.buffer.clear();
        frames::go_away(&mut self.buffer);
        tcp.send(key, &self.buffer);
    }
}
