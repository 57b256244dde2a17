//! What a controller is built from: classes, tenants, limits and rules of its site.
//!
//! Leaves reading them from text to the embedding program. Spans are microseconds.

use super::{Micros, ZoneId};

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
    /// An answer within this span has its full priority weight.
    pub latency_objective: Micros,
    /// How long a client waits over all its attempts.
    pub deadline: Micros,
    /// What a repeat may do.
    pub effect: Effect,
    /// Priority weight of one request.
    pub priority_weight: f64,
    /// Share of the weight that is left after the objective.
    pub late_share: f64,
    /// The answer is streamed: [`Event::Started`](crate::Event::Started) precedes its end.
    pub stream: bool,
}

/// A tenant and its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second over all controllers within its share; `None`: no quota.
    pub quota_per_s: Option<f64>,
}

/// How the worker list is received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    /// Changes come by themselves.
    #[default]
    Push,
    /// Changes come only after [`Action::Watch`](crate::Action::Watch) or
    /// [`Action::Fetch`](crate::Action::Fetch).
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

/// What a worker does with a call of a function it has no replica of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WhenAbsent {
    /// Loads it while the call waits there.
    #[default]
    Load,
    /// Answers [`Outcome::NotLoaded`](crate::Outcome::NotLoaded); only
    /// [`Action::Load`](crate::Action::Load) brings the function.
    Miss,
}

/// How loading works here.
#[derive(Clone, Debug, Default)]
pub struct Loading {
    /// What a call of an absent function meets.
    pub when_absent: WhenAbsent,
    /// An idle replica stays at least this long unless its room is needed.
    pub keep_alive: Micros,
    /// [`Action::Load`](crate::Action::Load) and [`Action::Unload`](crate::Action::Unload) are permitted.
    pub orders: bool,
    /// An order without an answer ends after this span.
    pub order_timeout: Micros,
    /// Outcomes carry a [`LoadNote`](crate::LoadNote).
    pub notes: bool,
    /// Outcomes report how many calls of the function the worker held.
    pub reports_concurrency: bool,
    /// Span over which orders are rationed; 0: they are not.
    pub ration_window: Micros,
    /// Orders free in each window.
    pub ration_floor: f64,
    /// An earlier incarnation of this controller may have given orders within the window before the start.
    pub unknown_prior_orders: bool,
    /// Further orders, per request taken in the window.
    pub ration_share: f64,
    /// Points that a full memory of idle and loading replicas would cost.
    pub memory_price: f64,
}

/// What the site permits.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Attempts per request.
    pub max_attempts: u32,
    /// A request may have two attempts out at once.
    pub parallel_attempts: bool,
    /// [`Action::Probe`](crate::Action::Probe) is permitted.
    pub probes: bool,
    /// [`Action::Cancel`](crate::Action::Cancel) is permitted.
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
    /// Span after the notice of a drain within which sends must stop.
    pub drain_grace: Micros,
    /// With [`Discovery::Poll`]: a controller that has not polled for this long is deemed notified.
    pub must_poll_within: Micros,
    /// A started worker has at least this share of its capacity.
    pub start_capacity: f64,
    /// It is warmed up after this span at the latest.
    pub warm_up: Micros,
    /// Sent more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... for this long it falls over.
    pub overload_span: Micros,
}

/// What a controller is given when it starts.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// This controller's number, from 0.
    pub controller_index: u32,
    /// How many controllers there are.
    pub controllers: u32,
    /// This controller's zone, where known.
    pub zone: Option<ZoneId>,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants; may be none.
    pub tenants: Vec<Tenant>,
    /// Priority weight of a request over its tenant's quota, as a share of its class's.
    pub over_quota_weight: f64,
    /// How the worker list is received.
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
    pub event_interval: Micros,
}

/// Settings that no controller can work with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// There are no request classes.
    NoClasses,
    /// The number of controllers is zero.
    NoControllers,
    /// `controller_index` is not below the number of controllers.
    ControllerIndexOutOfRange,
    /// No attempt is permitted at all.
    NoAttempts,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::NoClasses => "the settings name no request class",
            Self::NoControllers => "the number of controllers is zero",
            Self::ControllerIndexOutOfRange => "this controller's number is not below their count",
            Self::NoAttempts => "no attempt is permitted",
        })
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Can a controller work with these?
    pub(crate) fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            Err(SettingsError::NoClasses)
        } else if self.controllers == 0 {
            Err(SettingsError::NoControllers)
        } else if self.controller_index >= self.controllers {
            Err(SettingsError::ControllerIndexOutOfRange)
        } else if self.limits.max_attempts == 0 {
            Err(SettingsError::NoAttempts)
        } else {
            Ok(())
        }
    }
}
