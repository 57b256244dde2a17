//! Accepts or rejects a call when its request has come, and opens it at the engine. The limits themselves are judged by
//! the tenants' admission, by the lease, and by the limiter after a restart.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use nettleferry::{ClassId, Effect, Micros, TenantId};
use nettleferry_config::Model;
use nettleferry_engine::{CallId, Command, Event, NewCall};
use nettleferry_fleet::gate::{CallInfo, Verdict};
use nettleferry_fleet::lease::Stage;
use nettleferry_net::StreamKey;
use nettleferry_net::grpc::{Code, Status};
use nettleferry_proto::peek::{self, InferHead};

use super::failure::Failure;
use super::{Front, FrontContext, Method, OpenCall, Rpc};
use crate::audit_log::{ControllerNames, NO_TENANT};
use crate::call_steps::count_call_steps;
use crate::tenants::{CallRejection, TenantCall, model_number};

/// Clients that are rejected for want of a lease retry within this span beyond the usual advice, so that they don't all
/// come at once. Milliseconds.
const RETRY_JITTER_MS: u64 = 1_000;

impl Front {
    /// Opens the call that a message asks for, or answers it at once.
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

    /// The call as the engine opens it, or why it is rejected. `None`: its client has disconnected.
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
        self.last_number += 1;
        let number = self.last_number;
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
            repeat: rpc.headers.is_retry,
            group: model.group,
            streamed: rpc.method == Method::Stream,
            body,
        }))
    }

    /// Opens an accepted call at the engine.
    fn start_call(&mut self, context: &mut FrontContext, stream: StreamKey, id: &str, new_call: NewCall) {
        let number = new_call.front_token;
        let open_call = OpenCall { stream, id: id.into(), model: Arc::clone(&new_call.model) };
        self.calls.insert(number, open_call);
        self.opened += 1;
        let now = context.now_ms();
        if let Some(recorder) = &mut context.recorder {
            recorder.call_accepted(now, new_call.tenant.map_or(NO_TENANT, |tenant| tenant.0 as u64));
        }
        if let Some(limiter) = &mut context.limiter {
            limiter.call_admitted(now, number, model_number(&new_call.model));
        }
        let commands_before = context.commands.len();
        let id = context.engine.open(context.now, new_call, context.commands);
        let is_its_answer =
            |command: &Command| matches!(command, Command::Answer { call, .. } if *call == id);
        if !context.commands[commands_before..].iter().any(is_its_answer) {
            self.track_call(context, stream, id, number);
        }
    }

    /// A call of an RPC is open: one of too many makes its client wait.
    fn track_call(&mut self, context: &mut FrontContext, stream: StreamKey, call: CallId, number: u64) {
        let Some(rpc) = self.rpcs.get_mut(&stream) else { return };
        rpc.calls.insert(call, number);
        if rpc.full {
            context.engine.handle(context.now, Event::ClientSlow { call }, context.commands);
        }
        if rpc.calls.len() >= self.config.edge.calls_per_stream && !rpc.paused {
            rpc.paused = true;
            self.counters.over_calls_per_stream += 1;
            context.hub.pause(stream);
        }
    }

    /// After a restart: whether a call is rejected, and when its client is to retry.
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
            model: model_number(&head.model),
        };
        match limiter.admit(now, &call, rand::random()) {
            Verdict::Admit => None,
            Verdict::Reject(wait) => Some(Duration::from_millis(wait)),
        }
    }

    /// Without a lease it is not known whether the tenants' snapshot is still in force. Where the settings want that, no
    /// call is accepted then: another controller may accept it, and so may this one when it has a lease again.
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

    /// Asks the tenants' admission. An admitted call counts as open from then on.
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
        // Admission is to know what has become of other calls by now.
        count_call_steps(context.now, context.engine, context.limiter.as_deref_mut(), Some(&mut **tenants));
        let call = TenantCall {
            front: number,
            tenant: name,
            class: model.class.0,
            model: &head.model,
            memory_bytes: model.memory,
        };
        tenants.admit(context.now, &call)
    }

    /// Over a limit: a retry after a while does no harm. Without a right: no retry helps.
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
