//! Settings of a controller: request classes, tenants, limits and rules of the site.
//!
//! Parsing settings files is up to the embedding program. All durations are in microseconds.

use super::{Micros, ZoneId};

/// The workers that recognise a repeated idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All workers recognise a key that any worker has seen.
    All,
    /// The workers in the zone of the first attempt.
    Zone,
    /// The workers in the cell of the first attempt.
    Cell,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Repeated execution is harmless.
    Idempotent,
    /// Workers within `scope` drop repeats for `window`, counted from the first attempt that may have
    /// executed. Applies to requests that carry an idempotency key; the others of such a class must not be
    /// executed twice.
    IdempotencyKey {
        /// The workers that recognise the key.
        scope: KeyScope,
        /// Time for which these workers recognise the key, from the first attempt that may have executed.
        window: Micros,
    },
    /// The request must not be executed twice.
    #[default]
    NonIdempotent,
}

/// A request class: what the requests of one class have in common.
#[derive(Clone, Debug)]
pub struct Class {
    /// An answer within this time has its full priority weight.
    pub latency_objective: Micros,
    /// Time that a client waits for the final answer, over all attempts.
    pub deadline: Micros,
    /// Whether a request may be executed more than once; for a single request see [`Effect::of_request`].
    pub effect: Effect,
    /// Priority weight of a request that meets its objective.
    pub priority_weight: f64,
    /// Share of the weight that remains once the objective is missed.
    pub late_share: f64,
    /// The response is streamed: [`Event::Started`](crate::Event::Started) precedes the outcome.
    pub stream: bool,
}

/// A tenant and its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second within the quota, over all controllers; `None` means no quota.
    pub quota_per_s: Option<f64>,
}

/// Whether updates of the worker list are pushed to the controller or requested by it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    /// Updates are pushed without a request.
    #[default]
    Push,
    /// Updates are sent only in reply to [`Action::Watch`](crate::Action::Watch) or
    /// [`Action::Fetch`](crate::Action::Fetch).
    Poll,
}

/// The messages with which workers report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reports {
    /// Workers send no load reports.
    #[default]
    None,
    /// Workers report their load with probe results.
    Probe,
    /// Workers report their load with the outcomes of attempts and with probe results.
    Answers,
}

/// The meaning of the weights in the worker list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weights {
    /// Weights are ignored; all workers count the same.
    #[default]
    None,
    /// Each weight is the registered capacity of the worker.
    Nominal,
    /// Each weight is an estimate of the worker's capacity.
    Rough,
    /// Each weight is the worker's capacity divided by a recent load; it changes with every list.
    Live,
}

/// A worker's treatment of a call whose function it has not loaded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WhenAbsent {
    /// The worker loads the function while the call waits.
    #[default]
    Load,
    /// The worker answers [`Outcome::NotLoaded`](crate::Outcome::NotLoaded); functions are loaded only by
    /// [`Action::Load`](crate::Action::Load).
    Miss,
}

/// Settings for loading functions.
#[derive(Clone, Debug, Default)]
pub struct Loading {
    /// A worker's treatment of a call whose function it has not loaded.
    pub when_absent: WhenAbsent,
    /// Minimum time that an idle replica stays loaded, unless its memory is needed.
    pub keep_alive: Micros,
    /// Whether the controller may order loads and unloads ([`Action::Load`](crate::Action::Load),
    /// [`Action::Unload`](crate::Action::Unload)).
    pub orders: bool,
    /// A load order fails if it is not answered within this time.
    pub order_timeout: Micros,
    /// Outcomes carry a [`LoadNote`](crate::LoadNote).
    pub notes: bool,
    /// Outcomes report the number of concurrent calls of the function at the worker.
    pub reports_concurrency: bool,
    /// Window over which load orders are rationed; 0 means no ration.
    pub ration_window: Micros,
    /// Load orders permitted in each window regardless of the number of requests.
    pub ration_floor: f64,
    /// An earlier incarnation of this controller may have sent load orders within the window before the
    /// start.
    pub unknown_prior_orders: bool,
    /// Additional load orders permitted per request received in the window.
    pub ration_share: f64,
    /// Cost, in score points, of a memory that is filled with idle and loading replicas.
    pub memory_price: f64,
}

/// Limits and permissions of the site.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Maximum number of attempts per request, including the first.
    pub max_attempts: u32,
    /// Whether a request may have two attempts in flight.
    pub parallel_attempts: bool,
    /// Whether the controller may send health probes ([`Action::Probe`](crate::Action::Probe)).
    pub probes: bool,
    /// Whether the controller may cancel attempts ([`Action::Cancel`](crate::Action::Cancel)).
    pub cancel: bool,
    /// Longest retry advice that clients follow, given by the controller or by the embedding program for it;
    /// `None` means that clients get no such advice.
    pub retry_after: Option<Micros>,
    /// Timeout for establishing a connection.
    pub connect_timeout: Micros,
}

/// Parameters of the site's rules.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// A final answer counts as in time until this long after the client's deadline.
    pub answer_grace: Micros,
    /// Time after the notification of a drain within which sending must stop.
    pub drain_grace: Micros,
    /// With [`Discovery::Poll`]: longest time between polls. A controller that polls later than that is
    /// assumed to know of all changes.
    pub must_poll_within: Micros,
    /// Share of its full capacity, from 0 to 1, that a worker has right after its start.
    pub start_capacity: f64,
    /// A worker reaches its full capacity at most this long after its start.
    pub warm_up: Micros,
    /// Multiple of its current capacity above which a worker is overloaded.
    pub overload_factor: f64,
    /// A worker that is sent more than `overload_factor` of its capacity throughout this span fails; 0 means
    /// that slow start does not limit calls.
    pub overload_span: Micros,
}

/// Settings of one controller.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of this controller, from 0.
    pub controller_index: u32,
    /// Total number of controllers.
    pub controllers: u32,
    /// Zone of this controller, if known.
    pub zone: Option<ZoneId>,
    /// The request classes, indexed by [`ClassId`](crate::ClassId); at least one.
    pub classes: Vec<Class>,
    /// The tenants, if any, indexed by [`TenantId`](crate::TenantId).
    pub tenants: Vec<Tenant>,
    /// Priority weight of a request over its tenant's quota, relative to the weight of its class.
    pub over_quota_weight: f64,
    /// Whether updates of the worker list are pushed to the controller or requested by it.
    pub discovery: Discovery,
    /// The messages with which workers report their load.
    pub reports: Reports,
    /// The meaning of the weights in the worker list.
    pub weights: Weights,
    /// Settings for loading functions.
    pub loading: Loading,
    /// Limits and permissions of the site.
    pub limits: Limits,
    /// Parameters of the site's rules.
    pub rules: Rules,
    /// Shortest interval between two events; the time margin in deadline and window checks.
    pub event_interval: Micros,
}

/// Why a controller can't run with the given settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The settings contain no request class.
    NoClasses,
    /// The number of controllers is zero.
    NoControllers,
    /// `controller_index` is not less than `controllers`.
    ControllerIndexOutOfRange,
    /// [`Limits::max_attempts`] is zero, so that no request could be sent.
    NoAttempts,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::NoClasses => "the settings name no request class",
            Self::NoControllers => "the number of controllers is zero",
            Self::ControllerIndexOutOfRange => "controller number is not below the number of controllers",
            Self::NoAttempts => "no attempt is permitted",
        })
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Returns the first reason why no controller can run with these settings.
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
