//! Answers: parts of them, the final answer of a call, and the end of its RPC.

use bytes::Bytes;
use nettleferry_engine::{CallId, FinalAnswer};
use nettleferry_net::StreamKey;
use nettleferry_net::grpc::{Code, Status};

use super::failure::{self, Failure};
use super::response::{grpc_head, respond_only};
use super::{Front, FrontContext, Method};

impl Front {
    /// Sends a part of an answer as it came. `number`: the front's number of the call.
    pub(crate) fn send_part(&mut self, context: &mut FrontContext, number: u64, payload: Bytes) {
        let Some(stream) = self.calls.get(&number).map(|call| call.stream) else { return };
        self.send(context, stream, payload);
    }

    /// Sends a call's final answer. `number`: the front's number of the call.
    pub(crate) fn answer(
        &mut self,
        context: &mut FrontContext,
        id: CallId,
        number: u64,
        answer: FinalAnswer,
    ) {
        let Some(call) = self.calls.remove(&number) else { return };
        let pushback = self.pushback();
        let Some(rpc) = self.rpcs.get_mut(&call.stream) else { return };
        rpc.calls.remove(&id);
        if rpc.paused && rpc.calls.len() < self.config.edge.calls_per_stream {
            rpc.paused = false;
            context.hub.resume(call.stream);
        }
        let streamed = rpc.method == Method::Stream;
        match (failure::failure_for_answer(&answer, pushback), answer) {
            (Some(failure), _) => self.fail_call(context, call.stream, &call.id, &failure),
            (None, FinalAnswer::Served { last }) => {
                let empty = || streamed.then(|| failure::empty_final_message(&call.id, &call.model));
                if let Some(payload) = last.or_else(empty) {
                    self.send(context, call.stream, payload);
                }
                if !streamed {
                    context.hub.finish(call.stream, Some(Status::new(Code::Ok, "").trailers()));
                }
            }
            (None, _) => {}
        }
        self.finish_if_done(context, call.stream);
    }

    fn send(&mut self, context: &mut FrontContext, stream: StreamKey, payload: Bytes) {
        let Some(rpc) = self.rpcs.get_mut(&stream) else { return };
        if !rpc.responded {
            rpc.responded = true;
            context.hub.respond(stream, grpc_head());
        }
        context.hub.send(stream, payload);
        if !rpc.send_queue_full && context.hub.is_full(stream) {
            self.set_send_queue_full(context, stream, true);
        }
    }

    /// Answers a call without success: by a message on a stream, else by the status of its RPC.
    pub(super) fn fail_call(
        &mut self,
        context: &mut FrontContext,
        stream: StreamKey,
        id: &str,
        failure: &Failure,
    ) {
        let Some(rpc) = self.rpcs.get(&stream) else { return };
        if rpc.method == Method::Stream && !rpc.headers.errors_end_stream {
            self.send(context, stream, failure.message(id));
        } else {
            self.end_rpc(context, stream, failure);
        }
    }

    /// Ends an RPC with a status; its open calls lose their client.
    pub(super) fn end_rpc(&mut self, context: &mut FrontContext, stream: StreamKey, failure: &Failure) {
        let Some(rpc) = self.rpcs.remove(&stream) else { return };
        if rpc.responded {
            context.hub.finish(stream, Some(failure.trailers()));
        } else {
            respond_only(context.hub, stream, failure);
        }
        self.abandon_calls(context, rpc.calls);
    }

    /// Ends a stream whose calls have all ended, when its client sends no more or this controller drains.
    pub(super) fn finish_if_done(&mut self, context: &mut FrontContext, stream: StreamKey) {
        let Some(rpc) = self.rpcs.get_mut(&stream) else { return };
        if rpc.method != Method::Stream || !rpc.calls.is_empty() {
            return;
        }
        if rpc.half_closed {
            if !rpc.responded {
                rpc.responded = true;
                context.hub.respond(stream, grpc_head());
            }
            context.hub.finish(stream, Some(Status::new(Code::Ok, "").trailers()));
        } else if self.draining {
            let failure = self.draining_failure();
            self.end_rpc(context, stream, &failure);
        }
    }
}
