//! Frames of clients: each one is read and acted on.

use std::time::Instant;

use nettleferry_net::tcp::{Tcp, TcpKey};
use nettleferry_platform::frames::{self, Code, Frame, kind};
use tracing::debug;

use super::Front;
use super::call::{ClientEvent, RequestOrigin};
use crate::limits::{Counters, STREAMS_PER_CLIENT};

impl Front {
    /// Bytes arrived from a client.
    pub fn data(
        &mut self,
        tcp: &mut Tcp,
        key: TcpKey,
        events: &mut Vec<ClientEvent>,
        counters: &mut Counters,
    ) {
        // Its end stands behind bytes that take more than one iteration to read: it has left all the same.
        if tcp.ending(key) {
            self.client_disconnecting(tcp, key, events, counters);
        }
        loop {
            let Some(client) = self.clients.get_mut(&key) else { return };
            let Some(input) = tcp.input(key) else { return };
            if client.closing {
                return input.clear();
            }
            match client.reader.next(input) {
                Ok(Some(frame)) => {
                    client.frame_began = None;
                    client.idle_since = Instant::now();
                    self.frame(tcp, key, frame, events, counters);
                }
                Ok(None) => {
                    let within = client.reader.is_mid_frame(input);
                    client.frame_began =
                        if within { client.frame_began.or_else(|| Some(Instant::now())) } else { None };
                    return self.set_alarm(tcp, key);
                }
                Err(error) => {
                    counters.bad_frames += 1;
                    return self.close_for_fault(tcp, key, &error.to_string(), events, counters);
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
        counters: &mut Counters,
    ) {
        let Some(client) = self.clients.get_mut(&key) else { return };
        match frame {
            Frame::Complete { kind: kind::REQUEST, stream, payload } => {
                self.request(tcp, key, stream, &payload, events, counters);
            }
            Frame::Complete { kind: kind::CANCEL, stream, .. } => {
                if let Some(token) = client.streams.remove(&stream) {
                    debug!(conn = ?key, stream, "request cancelled by its client");
                    client.active = true;
                    events.extend(self.close_call(token).map(ClientEvent::cancelled));
                }
            }
            Frame::Complete { kind: kind::READY, stream, .. } => {
                client.active = true;
                self.buffer.clear();
                frames::ready(&mut self.buffer, stream, !self.draining);
                tcp.send(key, &self.buffer);
            }
            Frame::TooLong { kind: kind::REQUEST, stream } => {
                client.last_stream = client.last_stream.max(stream);
                counters.bad_requests += 1;
                self.send_answer(tcp, key, stream, Code::Failed, b"a request is too long");
                self.count_fault(tcp, key, events, counters);
            }
            Frame::Complete { .. } | Frame::TooLong { .. } => {
                counters.bad_frames += 1;
                self.send_answer(tcp, key, 0, Code::Failed, b"a client sends no such frame");
                self.count_fault(tcp, key, events, counters);
            }
        }
    }

    fn request(
        &mut self,
        tcp: &mut Tcp,
        key: TcpKey,
        stream: u32,
        payload: &[u8],
        events: &mut Vec<ClientEvent>,
        counters: &mut Counters,
    ) {
        let Some(client) = self.clients.get_mut(&key) else { return };
        if stream == 0 || stream <= client.last_stream {
            counters.bad_frames += 1;
            return self.close_for_fault(tcp, key, "a request's stream is not new", events, counters);
        }
        client.last_stream = stream;
        if client.streams.len() >= STREAMS_PER_CLIENT {
            counters.bad_requests += 1;
            self.send_answer(tcp, key, stream, Code::Refused, b"more than 32 requests are open");
            return self.count_fault(tcp, key, events, counters);
        }
        let origin = RequestOrigin { connection: key, stream, arrived: tcp.earliest_arrival(key) };
        match self.accept_request(origin, payload, counters) {
            Ok(request) => {
                counters.requests += 1;
                if let Some(client) = self.clients.get_mut(&key) {
                    client.faults = 0;
                    if client.disconnecting {
                        return self.refuse_unopened(tcp, key, stream, request.token, counters);
                    }
                }
                events.push(ClientEvent::Request(request));
                // A connection accepted while draining is asked for no more once its first request has arrived.
                self.send_go_away(tcp, key);
            }
            Err(rejected) => {
                let message = rejected.to_string();
                debug!(conn = ?key, stream, message, "request rejected as unusable");
                self.send_answer(tcp, key, stream, rejected.code(), message.as_bytes());
                self.count_fault(tcp, key, events, counters);
            }
        }
    }
}
