//! Input of the engine: new calls and events. Times and durations are in whole microseconds.

use std::sync::Arc;

use bytes::Bytes;
use nettleferry::{ClassId, ListForm, LoadNote, Micros, Report, TenantId, WorkerState};

use crate::ids::{AttemptId, CallId, ControlRequestId};
use crate::outcome::AttemptEnd;

/// A new call, as a front end passes it to [`crate::Engine::open`].
#[derive(Clone, Debug)]
pub struct NewCall {
    /// A token that the front end chooses; commands for this call carry it back.
    pub front_token: u64,
    /// The class of the call.
    pub class: ClassId,
    /// The tenant that makes the call; `None` where no tenants are configured.
    pub tenant: Option<TenantId>,
    /// The name of the model that the call is for.
    pub model: Arc<str>,
    /// The model's version; an empty version leaves the choice to the worker.
    pub version: Arc<str>,
    /// Time until the client's deadline.
    pub time_left: Micros,
    /// Expected execution time, if the client states one.
    pub cost_hint: Option<Micros>,
    /// Number of calls that one replica of the model runs concurrently.
    pub lanes: u32,
    /// Typical duration of a load of the model, if known.
    pub load_time: Option<Micros>,
    /// Whether the client marked the call as a retry.
    pub is_retry: bool,
    /// Whether the request carries an idempotency key, by which workers recognise its repeats.
    pub has_idempotency_key: bool,
    /// Metrics group of the model, chosen by the front end and returned in [`crate::Measurement::CallEnded`].
    pub group: u32,
    /// Whether the answer may arrive in parts, each delivered to the client as soon as it arrives.
    pub streamed: bool,
    /// The request as received from the client; workers receive it unchanged.
    pub body: Bytes,
}

/// Whether workers can recognise a repeat of a request by this idempotency key, which the client may have left empty or
/// blank.
pub fn identifies_request(idempotency_key: &str) -> bool {
    !idempotency_key.trim().is_empty()
}

/// An entry of the worker list. Worker, zone, machine kind and cell are given by name.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The worker's name, which stays the same when its process restarts.
    pub name: String,
    /// The zone that the worker runs in.
    pub zone: String,
    /// The kind of machine that the worker runs on.
    pub kind: String,
    /// The worker's weight; see [`nettleferry::Weights`] for its meaning.
    pub weight: f64,
    /// The worker's cell. Workers of one cell share the record of the idempotency keys they have seen.
    pub cell: String,
    /// Whether the worker accepts calls, is draining or is gone.
    pub state: WorkerState,
    /// Time at which the worker's process started, on the engine's clock; `None` if it is unknown or long ago.
    pub started_at: Option<Micros>,
}

/// An event that the engine handles. Calls are opened with [`crate::Engine::open`].
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the worker list.
    Workers {
        /// Whether the entries replace the list or change it.
        form: ListForm,
        /// The entries of the update.
        members: Vec<Member>,
    },
    /// A client disconnected; its call is dropped without an answer.
    ClientDisconnected {
        /// The call whose client disconnected.
        call: CallId,
    },
    /// Several clients disconnected at the same time. One event reports all of them, so that capacity freed by the
    /// call of one client is not granted to the call of another.
    ClientsDisconnected {
        /// The clients that disconnected.
        clients: Vec<ClientDisconnect>,
    },
    /// A client does not read its answer, so the attempt must be paused.
    ClientSlow {
        /// The call whose client does not read.
        call: CallId,
    },
    /// A slow client reads its answer again.
    ClientReady {
        /// The call whose client reads again.
        call: CallId,
    },
    /// A part of an answer arrived from a worker.
    ResponsePart {
        /// The attempt that is being answered.
        attempt: AttemptId,
        /// The part in the form in which the client receives it.
        payload: Bytes,
        /// Whether the worker marked the part as the last.
        last: bool,
    },
    /// An attempt ended, with or without a response of the worker.
    AttemptEnded {
        /// The attempt that ended.
        attempt: AttemptId,
        /// How the attempt ended.
        end: AttemptEnd,
        /// The worker's reports that came with the response.
        report: AttemptReport,
    },
    /// A load order ended.
    LoadEnded {
        /// The id of the load order.
        request_id: ControlRequestId,
        /// How the load order ended.
        end: AttemptEnd,
        /// Number of replicas of the model that are loaded at the worker.
        replicas: u32,
    },
    /// A health check ended.
    ProbeEnded {
        /// The id of the health check.
        request_id: ControlRequestId,
        /// How the health check ended.
        end: AttemptEnd,
        /// The worker's load report, if the response carried one.
        load_report: Option<Report>,
    },
    /// A tenant was removed. Its open calls get their final answers at once.
    TenantRemoved {
        /// The tenant that was removed.
        tenant: TenantId,
    },
    /// Nothing but the passage of time. Due timers fire.
    Tick,
}

/// A client that has disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientDisconnect {
    /// The call whose client disconnected.
    pub call: CallId,
    /// Whether the connection can still deliver an answer. If so, the call gets its final answer at once; if not, it
    /// is dropped without one.
    pub expects_answer: bool,
}

/// A worker's report on the model's replicas and on its load, received with the end of an attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AttemptReport {
    /// Whether the worker had a replica of the model loaded; `None` if it did not report this.
    pub load_note: Option<LoadNote>,
    /// Number of calls of the model that are queued or running at the worker.
    pub queue_depth: Option<u32>,
    /// The worker's load report, if the response carried one.
    pub load_report: Option<Report>,
}
