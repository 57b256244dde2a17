//! Reads and handles frames from clients.

use std::time::Instant;

use nettleferry_net::tcp::{Tcp, TcpKey};
use nettleferry_platform::frames::{self, Code, Frame, kind};
use tracing::debug;

use super::Front;
use super::call::{ClientEvent, RequestOrigin};
use super::client::CloseStage;
use super::context::FrontContext;
use crate::limits::STREAMS_PER_CLIENT;

impl Front {
    /// Reads and handles the input of a client connection.
    pub fn data(&mut self, context: &mut FrontContext, key: TcpKey) {
        // The client may have ended its side after more input than one iteration reads. It has disconnected
        // in any case.
        if context.tcp.is_read_closed(key) {
            self.client_disconnecting(context, key);
        }
        loop {
            let Some(client) = self.clients.get_mut(&key) else { return };
            let Some(input) = context.tcp.input(key) else { return };
            if client.stage == CloseStage::Closing {
                return input.clear();
            }
            match client.reader.next(input) {
                Ok(Some(frame)) => {
                    client.frame_began = None;
                    client.idle_since = Instant::now();
                    self.frame(context, key, frame);
                }
                Ok(None) => {
                    let within = client.reader.is_mid_frame(input);
                    client.frame_began =
                        if within { client.frame_began.or_else(|| Some(Instant::now())) } else { None };
                    return self.set_alarm(context.tcp, key);
                }
                Err(error) => {
                    context.counters.bad_frames += 1;
                    return self.close_for_fault(context, key, &error.to_string());
                }
            }
        }
    }

    fn frame(&mut self, context: &mut FrontContext, key: TcpKey, frame: Frame) {
        let Some(client) = self.clients.get_mut(&key) else { return };
        if client.stage != CloseStage::Open {
            return self.refuse_at_close(context, key, &frame);
        }
        match frame {
            Frame::Complete { kind: kind::REQUEST, stream, payload } => {
                self.request(context, key, stream, &payload);
            }
            Frame::Complete { kind: kind::CANCEL, stream, .. } => {
                if let Some(token) = client.streams.remove(&stream) {
                    debug!(conn = ?key, stream, "request cancelled by its client");
                    client.active = true;
                    context.events.extend(self.close_call(token).map(ClientEvent::cancelled));
                }
            }
            Frame::Complete { kind: kind::READY, stream, .. } => {
                client.active = true;
                self.buffer.clear();
                frames::ready(&mut self.buffer, stream, !self.draining);
                context.tcp.send(key, &self.buffer);
            }
            Frame::TooLong { kind: kind::REQUEST, stream } => {
                client.last_stream = client.last_stream.max(stream);
                context.counters.bad_requests += 1;
                self.send_answer(context.tcp, key, stream, Code::Failed, b"a request is too long");
                self.count_fault(context, key);
            }
            Frame::Complete { .. } | Frame::TooLong { .. } => {
                context.counters.bad_frames += 1;
                self.send_answer(context.tcp, key, 0, Code::Failed, b"a client sends no such frame");
                self.count_fault(context, key);
            }
        }
    }

    fn request(&mut self, context: &mut FrontContext, key: TcpKey, stream: u32, payload: &[u8]) {
        let Some(client) = self.clients.get_mut(&key) else { return };
        if stream == 0 || stream <= client.last_stream {
            context.counters.bad_frames += 1;
            return self.close_for_fault(context, key, "a request's stream is not new");
        }
        client.last_stream = stream;
        if client.streams.len() >= STREAMS_PER_CLIENT {
            context.counters.bad_requests += 1;
            self.send_answer(context.tcp, key, stream, Code::Refused, b"more than 32 requests are open");
            return self.count_fault(context, key);
        }
        let origin = RequestOrigin { connection: key, stream, arrived: context.tcp.earliest_arrival(key) };
        match self.accept_request(origin, payload, context.counters) {
            Ok(request) => {
                context.counters.requests += 1;
                self.usable_request(context.tcp, key);
                if self.clients.get(&key).is_some_and(|client| client.disconnecting) {
                    return self.refuse_unopened(context.tcp, key, stream, request.token, context.counters);
                }
                context.events.push(ClientEvent::Request(request));
            }
            Err(rejected) => {
                let message = rejected.to_string();
                let is_client_fault = rejected.is_client_fault();
                debug!(conn = ?key, stream, message, is_client_fault, "request rejected");
                self.send_answer(context.tcp, key, stream, rejected.code(), message.as_bytes());
                if is_client_fault {
                    self.count_fault(context, key);
                } else {
                    self.usable_request(context.tcp, key);
                }
            }
        }
    }

    /// Records that the client has sent a usable request, whether it was accepted or a limit of the node
    /// refused it.
    fn usable_request(&mut self, tcp: &mut Tcp, key: TcpKey) {
        let Some(client) = self.clients.get_mut(&key) else { return };
        client.faults = 0;
        client.active = true;
        // A connection accepted during shutdown gets the go-away frame only after its first request.
        if self.draining {
            self.send_go_away(tcp, key);
        }
    }
}
