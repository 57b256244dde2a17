//! Sends parts of answers and final answers to clients, and ends RPCs.

use bytes::Bytes;
use nettleferry_engine::{CallId, FinalAnswer};
use nettleferry_net::StreamKey;
use nettleferry_net::grpc::{Code, Status};

use super::failure::{self, Failure};
use super::response::{grpc_head, respond_only};
use super::{Front, FrontContext, Method};

impl Front {
    /// Forwards a part of an answer unchanged. `number`: the call's number in the front.
    pub(crate) fn send_part(&mut self, context: &mut FrontContext, number: u64, payload: Bytes) {
        let Some(stream) = self.calls.get(&number).map(|call| call.stream) else { return };
        self.send(context, stream, payload);
    }

    /// Sends the final answer of a call, unless its RPC has ended. `number`: the call's number in the front. Reading of
    /// a paused stream resumes once it has fewer than the maximum number of open calls.
    pub(crate) fn answer(
        &mut self,
        context: &mut FrontContext,
        id: CallId,
        number: u64,
        answer: FinalAnswer,
    ) {
        let Some(call) = self.remove_call(number) else { return };
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

    /// Answers a call with a failure: by a message on a stream, unless the client asked for errors to end the stream,
    /// else by the status of the RPC.
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

    /// Ends an RPC with the status of a failure. The engine is told that the client of its open calls has disconnected.
    /// The status applies to these calls as well, so it permits a retry only if a retry of each of them is harmless.
    pub(super) fn end_rpc(&mut self, context: &mut FrontContext, stream: StreamKey, failure: &Failure) {
        let Some(rpc) = self.rpcs.remove(&stream) else { return };
        let may_retry = rpc.calls.keys().all(|call| context.engine.client_may_retry(*call));
        let failure = if may_retry { failure } else { &failure.without_retry() };
        if rpc.responded {
            context.hub.finish(stream, Some(failure.trailers()));
        } else {
            respond_only(context.hub, stream, failure);
        }
        self.abandon_calls(context, rpc.calls);
    }

    /// Ends a stream without open calls, if the client has ended its side or this controller is draining.
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
