//! Accepts or rejects a call when its request arrives, and opens accepted ones at the engine. A call is rejected, in
//! this order, while the controller is draining, where its model is not served, by the restart limiter, for want of a
//! lease, and by the rights and limits of its tenant.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use nettleferry::{ClassId, Effect, Micros, TenantId};
use nettleferry_config::Model;
use nettleferry_engine::{CallId, Command, Event, NewCall, identifies_request};
use nettleferry_fleet::gate::{CallInfo, Verdict};
use nettleferry_fleet::lease::Stage;
use nettleferry_net::StreamKey;
use nettleferry_net::grpc::{Code, Status};
use nettleferry_proto::peek::{self, InferHead};

use super::failure::Failure;
use super::{Front, FrontContext, Method, OpenCall, Rpc};
use crate::audit_log::{ControllerNames, NO_TENANT};
use crate::call_steps::count_call_steps;
use crate::tenants::{CallRejection, TenantCall, model_hash};

/// Maximum random delay, milliseconds, that is added to the retry delay of calls rejected for want of a lease, so that
/// their clients do not all retry at once.
const RETRY_JITTER_MS: u64 = 1_000;

/// Maximum size of the requests of all open calls together, bytes, or one message of the largest size if that is more.
const OPEN_BODY_BYTES: usize = 192 << 20;

impl Front {
    /// Opens the call of a request message, or answers the message at once if the call is rejected.
    pub(super) fn open_call(&mut self, context: &mut FrontContext, stream: StreamKey, payload: Bytes) {
        let head = match peek::infer_request(&payload) {
            Ok(head) => head,
            Err(error) => {
                self.counters.malformed += 1;
                let message = format!("no ModelInferRequest: {error}");
                let failure = Failure::new(Code::InvalidArgument, message);
                return self.fail_call(context, stream, "", &failure);
            }
        };
        match self.accept(context, stream, &head, payload) {
            Ok(Some(new_call)) => self.start_call(context, stream, &head.id, new_call),
            Ok(None) => {}
            Err(failure) => self.fail_call(context, stream, &head.id, &failure),
        }
    }

    /// Checks whether a call is accepted, and builds it for the engine. `None` if the client has disconnected.
    fn accept(
        &mut self,
        context: &mut FrontContext,
        stream: StreamKey,
        head: &InferHead,
        body: Bytes,
    ) -> Result<Option<NewCall>, Failure> {
        if self.draining {
            return Err(self.draining_failure());
        }
        let Some(rpc) = self.rpcs.get(&stream) else { return Ok(None) };
        let Some(model) = self.config.models.served(&head.model, &head.version) else {
            self.counters.unknown_model += 1;
            return Err(unknown_model(head));
        };
        let deadline = self.config.settings.classes[model.class.0].deadline;
        let time_left = self.time_left(rpc, deadline, context.now);
        if let Some(wait) = self.wait_after_restart(context, head, model.class, time_left) {
            self.counters.rejected_after_restart += 1;
            let message = "this controller has just come back: more would wait than can be answered in time";
            return Err(Failure::refused(message, wait));
        }
        if let Some(failure) = self.check_lease(context) {
            self.counters.without_lease += 1;
            return Err(failure);
        }
        let max_body_bytes = OPEN_BODY_BYTES.max(self.config.edge.message_bytes);
        if self.body_bytes + body.len() > max_body_bytes {
            self.counters.over_bodies += 1;
            return Err(Failure::refused("too many bytes are held here", self.pushback()));
        }
        self.last_call_number += 1;
        let number = self.last_call_number;
        let tenant = match self.admit(context, number, rpc, head, model) {
            Ok(tenant) => tenant,
            Err(rejection) => {
                self.counters.not_admitted += 1;
                return Err(self.admission_failure(&rejection));
            }
        };
        Ok(Some(NewCall {
            front_token: number,
            class: model.class,
            tenant,
            model: head.model.as_str().into(),
            version: head.version.as_str().into(),
            time_left,
            cost_hint: model.service_time,
            lanes: model.lanes,
            load_time: model.load_time,
            is_retry: rpc.headers.is_retry,
            has_idempotency_key: identifies_request(&head.id),
            group: model.group,
            streamed: rpc.method == Method::Stream,
            body,
        }))
    }

    /// Opens an accepted call at the engine. Where the engine's commands already contain the final answer, the call is
    /// not added to its RPC.
    fn start_call(&mut self, context: &mut FrontContext, stream: StreamKey, id: &str, new_call: NewCall) {
        let number = new_call.front_token;
        let body_bytes = new_call.body.len();
        self.body_bytes += body_bytes;
        let open_call = OpenCall { stream, id: id.into(), model: Arc::clone(&new_call.model), body_bytes };
        self.calls.insert(number, open_call);
        self.opened_calls += 1;
        self.count_missing_key(&new_call);
        let now = context.now_ms();
        if let Some(recorder) = &mut context.recorder {
            recorder.call_accepted(now, new_call.tenant.map_or(NO_TENANT, |tenant| tenant.0 as u64));
        }
        if let Some(limiter) = &mut context.limiter {
            limiter.call_admitted(now, number, model_hash(&new_call.model));
        }
        let commands_before = context.commands.len();
        let id = context.engine.open(context.now, new_call, context.commands);
        let is_its_answer =
            |command: &Command| matches!(command, Command::Answer { call, .. } if *call == id);
        if !context.commands[commands_before..].iter().any(is_its_answer) {
            self.track_call(context, stream, id, number);
        }
    }

    /// Counts a call of a keyed class whose repeats workers can't recognise.
    fn count_missing_key(&mut self, call: &NewCall) {
        let class_effect = self.config.settings.classes[call.class.0].effect;
        let is_keyed = matches!(class_effect, Effect::IdempotencyKey { .. });
        self.counters.keyed_without_id += u64::from(is_keyed && !call.has_idempotency_key);
    }

    /// Adds an open call to its RPC. Reading of the stream is paused once it has the maximum number of open calls.
    /// Where the stream's send queue is full, the engine is told that the client of the call is slow.
    fn track_call(&mut self, context: &mut FrontContext, stream: StreamKey, call: CallId, number: u64) {
        let Some(rpc) = self.rpcs.get_mut(&stream) else { return };
        rpc.calls.insert(call, number);
        if rpc.send_queue_full {
            context.engine.handle(context.now, Event::ClientSlow { call }, context.commands);
        }
        if rpc.calls.len() >= self.config.edge.calls_per_stream && !rpc.paused {
            rpc.paused = true;
            self.counters.over_calls_per_stream += 1;
            context.hub.pause(stream);
        }
    }

    /// Asks the restart limiter about a call. Returns the retry delay if the limiter rejects it, and `None` if it is
    /// admitted or no limiter is active.
    fn wait_after_restart(
        &self,
        context: &mut FrontContext,
        head: &InferHead,
        class: ClassId,
        time_left: Micros,
    ) -> Option<Duration> {
        let now = context.now_ms();
        let limiter = context.limiter.as_mut()?;
        let classes = &self.config.settings.classes;
        let class = classes.get(class.0)?;
        let highest_weight =
            classes.iter().map(|class| class.priority_weight).fold(f64::MIN_POSITIVE, f64::max);
        let call = CallInfo {
            remaining: time_left / 1000,
            latency_objective: class.latency_objective / 1000,
            priority_weight: class.priority_weight / highest_weight,
            non_idempotent: class.effect != Effect::Idempotent,
            model: model_hash(&head.model),
        };
        match limiter.admit(now, &call, rand::random()) {
            Verdict::Admit => None,
            Verdict::Reject(wait) => Some(Duration::from_millis(wait)),
        }
    }

    /// Checks the lease, and returns the failure of the call where it may not be accepted; `None` also for a controller
    /// that needs no lease. Once a lease has expired it is not known whether the tenants' snapshot is still current. If
    /// the settings then forbid calls, the client is to retry: another controller may accept the call, and so may this
    /// one after its lease is renewed.
    fn check_lease(&self, context: &mut FrontContext) -> Option<Failure> {
        let now = context.now_ms();
        let stage = context.lease.as_mut()?.check_call(now);
        if let Some(recorder) = &mut context.recorder {
            let names = ControllerNames { tenants: context.tenants.as_deref(), engine: context.engine };
            recorder.lease_stage_changed(now, stage.as_str(), &names);
            if !stage.accepts_calls() {
                recorder.call_rejected(now);
            }
        }
        if stage.accepts_calls() {
            return None;
        }
        let message = match stage {
            Stage::Fenced => "this controller was shut out",
            _ => "this controller does not know whether its book of tenants still holds",
        };
        let jitter = Duration::from_millis(rand::random_range(0..=RETRY_JITTER_MS));
        Some(Failure::refused(message, self.pushback() + jitter))
    }

    /// Asks admission control whether the call's tenant may open the call, and returns the tenant's id. An admitted
    /// call counts as open from then on. Without an administration every call is admitted, and the id is that of the
    /// tenant in the settings, if it is listed there.
    fn admit(
        &self,
        context: &mut FrontContext,
        number: u64,
        rpc: &Rpc,
        head: &InferHead,
        model: &Model,
    ) -> Result<Option<TenantId>, CallRejection> {
        let name = rpc.headers.tenant.as_deref();
        let Some(tenants) = &mut context.tenants else {
            return Ok(name.and_then(|name| self.config.tenants.get(name).copied()));
        };
        // Admission control needs the current state of the other calls first.
        count_call_steps(context.now, context.engine, context.limiter.as_deref_mut(), Some(&mut **tenants));
        let call = TenantCall {
            call_number: number,
            tenant: name,
            class: model.class.0,
            model: &head.model,
            memory_bytes: model.memory,
        };
        tenants.admit(context.now, &call)
    }

    /// The failure for a call that was not admitted: PERMISSION_DENIED where the caller lacks the right, as no retry
    /// helps, else RESOURCE_EXHAUSTED with a retry delay.
    fn admission_failure(&self, rejection: &CallRejection) -> Failure {
        if rejection.denied {
            return Failure::new(Code::PermissionDenied, rejection.message.clone());
        }
        let wait = rejection.retry_after.map_or(self.pushback(), Duration::from_micros);
        let failure = Failure::refused(rejection.message.clone(), wait.max(Duration::from_millis(1)));
        Failure { status: Status::new(Code::ResourceExhausted, rejection.message.clone()), ..failure }
    }
}

fn unknown_model(head: &InferHead) -> Failure {
    let version = if head.version.is_empty() { String::new() } else { format!(" version {}", head.version) };
    Failure::new(Code::NotFound, format!("no model {:?}{version} is served here", head.model))
}
