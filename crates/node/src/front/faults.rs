//! Faults of clients: unusable requests and frames are counted, and too many in a row close their connection.

use std::time::Instant;

use nettleferry_net::tcp::TcpKey;
use nettleferry_platform::frames::{Code, Frame, kind};
use tracing::debug;

use super::Front;
use super::client::CloseStage;
use super::context::FrontContext;
use crate::limits::{CONSECUTIVE_FAULTS, FAULT_CLOSE_DELAY, STREAMS_PER_CLIENT};
use crate::reasons::CloseReason;

impl Front {
    /// Counts an unusable request or frame. Closes the connection after too many in a row.
    pub(super) fn count_fault(&mut self, context: &mut FrontContext, key: TcpKey) {
        let Some(client) = self.clients.get_mut(&key) else { return };
        client.faults += 1;
        if client.faults > CONSECUTIVE_FAULTS {
            self.close_after_refusals(context, key, "too much that can't be used");
        }
    }

    /// Reports a fault on stream 0 and closes the connection after its open requests have got their final
    /// answers. Nothing more is read: where the next request begins, or which one an answer would belong to,
    /// is unknown after such a fault.
    pub(super) fn close_for_fault(&mut self, context: &mut FrontContext, key: TcpKey, fault: &str) {
        if self.clients.get(&key).is_some_and(|client| client.stage == CloseStage::Open) {
            self.report_fault(context, key, fault);
        }
        self.close_after_answers(context, key, CloseReason::Faults);
    }

    /// Reports a fault on stream 0, answers the open requests, and closes the connection after
    /// [`FAULT_CLOSE_DELAY`]. Until then requests are refused: the connection may carry the requests of other
    /// clients, which were written before the close was known there.
    fn close_after_refusals(&mut self, context: &mut FrontContext, key: TcpKey, fault: &str) {
        self.report_fault(context, key, fault);
        self.send_go_away(context.tcp, key);
        let Some(client) = self.clients.get_mut(&key) else { return };
        client.stage = CloseStage::Refusing {
            until: Instant::now() + FAULT_CLOSE_DELAY,
            // All requests that a client may have open. It opens no further one once it has read an answer, as
            // the go-away frame comes before it.
            remaining: STREAMS_PER_CLIENT,
        };
        let open = client.streams.len();
        self.record_close(context.counters, key, CloseReason::Faults, open);
        self.client_disconnecting(context, key);
        self.set_alarm(context.tcp, key);
    }

    fn report_fault(&mut self, context: &mut FrontContext, key: TcpKey, fault: &str) {
        context.counters.closed_for_faults += 1;
        debug!(conn = ?key, fault, "client connection closed for a fault");
        self.send_answer(context.tcp, key, 0, Code::Failed, fault.as_bytes());
    }

    /// Refuses a request on a connection that closes for faults. Ends the connection if it can't be one that
    /// was written before the client knew of the close. Other frames need no answer any more.
    pub(super) fn refuse_at_close(&mut self, context: &mut FrontContext, key: TcpKey, frame: &Frame) {
        let (Frame::Complete { kind, stream, .. } | Frame::TooLong { kind, stream }) = frame;
        let Some(client) = self.clients.get_mut(&key).filter(|_| *kind == kind::REQUEST) else { return };
        let CloseStage::Refusing { remaining, .. } = &mut client.stage else { return };
        if *remaining == 0 || *stream <= client.last_stream {
            return self.close_after_answers(context, key, CloseReason::Faults);
        }
        *remaining -= 1;
        client.last_stream = *stream;
        context.counters.refused_at_close += 1;
        debug!(conn = ?key, stream, "request refused as its connection closes");
        self.send_answer(context.tcp, key, *stream, Code::Refused, b"its connection closes: it was not run");
    }
}
