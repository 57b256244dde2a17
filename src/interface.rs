//! The types a controller is built from and talks in: settings, events and actions.
//!
//! Nothing here decides anything. Times and spans are whole microseconds.

/// A point in time or a span, in microseconds. The clock has no particular start.
pub type Micros = u64;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}

id!(
    /// A request, unique among all that a controller is ever given.
    RequestId, u64);
id!(
    /// A worker; it keeps its id when its process restarts.
    WorkerId, u64);
id!(
    /// A function: the program a call needs loaded.
    FunctionId, u64);
id!(
    /// A request class, as its place in [`Settings::classes`].
    ClassId, usize);
id!(
    /// A tenant, as its place in [`Settings::tenants`].
    TenantId, usize);
id!(
    /// A zone: workers and controllers in one zone share their fate and are near each other.
    ZoneId, u32);
id!(
    /// A machine kind; workers of one kind are of like size.
    KindId, u32);
id!(
    /// A cell: workers that share which keys they have seen.
    CellId, u64);
id!(
    /// Another controller.
    PeerId, u64);

/// Where repeats of a keyed request are recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// By every worker.
    All,
    /// By the workers in the zone of the first attempt.
    Zone,
    /// By the workers in the cell of the first attempt.
    Cell,
}

/// What a repeat of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeats are harmless.
    Idempotent,
    /// Repeats are dropped inside `scope` for `window` after the first attempt that may have run.
    IdempotencyKey {
        /// Who recognises repeats.
        scope: KeyScope,
        /// For how long.
        window: Micros,
    },
    /// Must never run twice.
    NonIdempotent,
}

/// A request class.
#[derive(Clone, Debug)]
pub struct Class {
    /// An answer within this span has its full worth.
    pub latency_objective: Micros,
    /// How long a client waits over all its tries.
    pub deadline: Micros,
    /// What a repeat may do.
    pub effect: Effect,
    /// Worth of one request.
    pub priority_weight: f64,
    /// Share of the worth left after the aim.
    pub late_share: f64,
    /// The answer is streamed: [`Event::Started`] precedes its end.
    pub stream: bool,
}

/// A tenant and its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second over all controllers within its share; `None`: no quota.
    pub quota_per_s: Option<f64>,
}

/// How the worker list is learnt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    /// Changes come unasked.
    #[default]
    Push,
    /// Changes come only after [`Action::Watch`] or [`Action::Fetch`].
    Poll,
}

/// How workers report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reports {
    /// Never.
    #[default]
    None,
    /// With probe results only.
    Probe,
    /// With outcomes and probe results.
    Answers,
}

/// What weights in the worker list mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weights {
    /// All are one.
    #[default]
    None,
    /// The registered size.
    Nominal,
    /// The size, roughly.
    Rough,
    /// The size over the load some time ago: changes from list to list.
    Live,
}

/// What a worker does with a call of a function it has no copy of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WhenAbsent {
    /// Loads it while the call waits there.
    #[default]
    Load,
    /// Answers [`Outcome::NotLoaded`]; only [`Action::Load`] brings the function.
    Miss,
}

/// How loading works here.
#[derive(Clone, Debug, Default)]
pub struct Loading {
    /// What a call of an absent function meets.
    pub when_absent: WhenAbsent,
    /// An idle copy stays at least this long unless its room is needed.
    pub keep_alive: Micros,
    /// [`Action::Load`] and [`Action::Unload`] are permitted.
    pub orders: bool,
    /// An order without an answer ends after this span.
    pub order_timeout: Micros,
    /// Outcomes carry a [`LoadNote`].
    pub notes: bool,
    /// Outcomes tell how many calls of the function the worker held.
    pub reports_concurrency: bool,
    /// Span over which orders are rationed; 0: they are not.
    pub ration_window: Micros,
    /// Orders free in each window.
    pub ration_floor: f64,
    /// An earlier life of this controller may have given orders within the window before the start.
    pub unknown_prior_orders: bool,
    /// Further orders, per request taken in the window.
    pub ration_share: f64,
    /// Points that a full memory of idle and loading copies would cost.
    pub memory_price: f64,
}

/// What the site permits.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Attempts per request.
    pub max_attempts: u32,
    /// A request may have two attempts out at once.
    pub parallel: bool,
    /// [`Action::Probe`] is permitted.
    pub probes: bool,
    /// [`Action::Cancel`] is permitted.
    pub cancel: bool,
    /// Longest advice to stay away that clients heed; `None`: advice reaches nobody.
    pub retry_after: Option<Micros>,
    /// A connect attempt fails after this span.
    pub connect_timeout: Micros,
}

/// Figures of the rules.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// A final answer is in time until this long after the client's deadline.
    pub answer_grace: Micros,
    /// Span after word of a drain within which sends must stop.
    pub drain_grace: Micros,
    /// With [`Discovery::Poll`]: unasked for this long, a controller is deemed told.
    pub must_poll_within: Micros,
    /// A started worker has at least this share of its capacity.
    pub start_capacity: f64,
    /// It is warm after this span at the latest.
    pub warm_up: Micros,
    /// Sent more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... for this long it falls over.
    pub overload_span: Micros,
}

/// What a controller is told when it starts.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// This controller's number, from 0.
    pub me: u32,
    /// How many controllers there are.
    pub controllers: u32,
    /// This controller's zone, where known.
    pub zone: Option<ZoneId>,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants; may be none.
    pub tenants: Vec<Tenant>,
    /// Worth of a request over its tenant's quota, as a share of its class's.
    pub over_quota_worth: f64,
    /// How the worker list is learnt.
    pub discovery: Discovery,
    /// How load is reported.
    pub reports: Reports,
    /// What weights mean.
    pub weights: Weights,
    /// How loading works.
    pub loading: Loading,
    /// What is permitted.
    pub limits: Limits,
    /// The rules' figures.
    pub rules: Rules,
    /// Events come at most this often.
    pub step: Micros,
}

/// Settings that no controller can work with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// There are no request classes.
    NoClasses,
    /// The number of controllers is zero.
    NoControllers,
    /// `me` is not below the number of controllers.
    NotAmongControllers,
    /// No attempt is permitted at all.
    NoAttempts,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::NoClasses => "the settings name no request class",
            Self::NoControllers => "the number of controllers is zero",
            Self::NotAmongControllers => "this controller's number is not below their count",
            Self::NoAttempts => "no attempt is permitted",
        })
    }
}

impl std::error::Error for SettingsError {}

/// State of a worker in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerState {
    /// Runs.
    On,
    /// Finishes its work; nothing new may be sent.
    Draining,
    /// Is gone.
    #[default]
    Gone,
}

/// A line of the worker list.
#[derive(Clone, Debug, Default)]
pub struct WorkerEntry {
    /// The worker.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine kind.
    pub kind: KindId,
    /// Its weight; see [`Settings::weights`].
    pub weight: f64,
    /// Its cell.
    pub cell: CellId,
    /// Its state.
    pub state: WorkerState,
    /// When it last started; `None`: long ago.
    pub started_at: Option<Micros>,
}

/// A listed worker's health, as the module sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Health {
    /// The worker.
    pub worker: WorkerId,
    /// Its state in the list.
    pub state: WorkerState,
    /// Its recent outcomes keep calls from it, but for trials.
    pub ejected: bool,
    /// Its process died or is silent.
    pub down: bool,
}

/// What a worker list event brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListForm {
    /// Changed lines only.
    Changes,
    /// The complete list.
    Complete,
    /// The complete list as last held before a restart; may be stale.
    Restored,
    /// A call failed or the subscription broke; no lines.
    Failed,
}

/// A load report. Late and noisy wherever it comes from.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests in work.
    pub inflight: Option<f64>,
    /// Requests waiting.
    pub queue: Option<f64>,
    /// Share of the cores in use.
    pub util: Option<f64>,
    /// Share of memory that can't be freed.
    pub memory_held: Option<f64>,
    /// Loads under way or waiting.
    pub loads: Option<f64>,
}

/// How an attempt, a probe or an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The worker failed it; it may have run.
    Error,
    /// Turned away unseen.
    Rejected,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection came about.
    ConnectFailed,
    /// The connection came about but broke before all of it had left; it never ran.
    PartlySent,
    /// The connection broke; it may have run.
    Reset,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Never sent.
    NeverSent,
    /// The function is not loaded there and no load is under way, or the load failed.
    NotLoaded,
}

/// What an outcome tells of loaded copies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadNote {
    /// A copy stood loaded.
    Warm,
    /// This request began a load.
    Began,
    /// It waited for a load begun before.
    Waited,
    /// The load failed.
    Failed,
}

/// A call a client wants made.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are tenants.
    pub tenant: Option<TenantId>,
    /// The function it calls.
    pub function: FunctionId,
    /// Time until the client gives up.
    pub left: Micros,
    /// Work it is thought to need on a standard core.
    pub cpu_time_hint: Option<Micros>,
    /// Calls one copy runs at once.
    pub lanes: u32,
    /// Usual time of a load.
    pub load_time: Option<Micros>,
    /// The client marked it as a repeat.
    pub repeat: bool,
}

/// Something the controller learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// The worker list changed.
    Workers {
        /// What kind of news it is.
        form: ListForm,
        /// Its lines.
        entries: Vec<WorkerEntry>,
    },
    /// A request arrived.
    Request(Request),
    /// An attempt ended.
    Outcome {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// The request is finished: nothing more is owed.
        finished: bool,
        /// Time since it was sent.
        elapsed: Micros,
        /// What it tells of loaded copies.
        note: Option<LoadNote>,
        /// Calls of the function the worker held, where told.
        concurrent_calls: Option<u32>,
        /// Load report, where attached.
        report: Option<Report>,
    },
    /// The answer of a streamed request began; it now belongs to the client.
    Started {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An order to load, or a question, was answered.
    Loaded {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// How it ended.
        outcome: Outcome,
        /// Copies that stand there.
        copies: u32,
        /// Time since the order.
        elapsed: Micros,
    },
    /// A probe ended.
    Probed {
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// Load report, where attached.
        report: Option<Report>,
    },
    /// A timer came due.
    Timer {
        /// The tag given when it was set.
        tag: u64,
    },
    /// The client left; the request is finished.
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// Another controller sent a message.
    Message {
        /// The sender.
        from: PeerId,
        /// The payload.
        bytes: Vec<u8>,
    },
}

/// Something the embedding program is to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Begin an attempt; attempts of a request are numbered from 0 in this order.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        worker: WorkerId,
        /// Time-out; `None`: until the client gives up.
        timeout: Option<Micros>,
    },
    /// Stop waiting on an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: not served, and another try is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// Advice to stay away this long.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed, nothing promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Order a worker to hold at least `count` copies; 0 only asks.
    Load {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// Copies wanted, up to 16.
        count: u32,
    },
    /// A load that was ordered is not wanted any more: an order that has not left need not leave, and is answered
    /// [`Outcome::Cancelled`] then; one that has left goes on.
    CancelLoad {
        /// Where.
        worker: WorkerId,
        /// Of what.
        function: FunctionId,
    },
    /// Unload the idle copies of a function.
    Unload {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
    },
    /// Probe a worker.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Deliver [`Event::Timer`] with this tag after a span.
    SetTimer {
        /// From now.
        after: Micros,
        /// To be handed back.
        tag: u64,
    },
    /// Subscribe to the worker list.
    Watch,
    /// Ask for the complete list once.
    Fetch,
    /// A line for the log.
    Log(String),
}
