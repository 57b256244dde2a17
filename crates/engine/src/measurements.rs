//! Data that the engine records for metrics and admission control, apart from its commands.

use nettleferry::{ClassId, LoadNote, Micros, Outcome, TenantId};

/// A measurement for metrics, delivered by [`crate::Engine::drain_measurements`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Measurement {
    /// A call got its final answer, or its client disconnected.
    CallEnded {
        /// The class of the call.
        class: ClassId,
        /// The tenant that made the call.
        tenant: Option<TenantId>,
        /// The metrics group of the model ([`crate::NewCall::group`]).
        group: u32,
        /// The kind of final answer, or the disconnect.
        outcome: CallOutcome,
        /// Microseconds from the call's arrival to its end; 0 for a call that could not be opened.
        latency: Micros,
    },
    /// An attempt of a call was started.
    AttemptStarted {
        /// The outcome of the call's previous attempt; `None` for the first attempt.
        after: Option<Outcome>,
    },
    /// A response reported whether a replica of the model was loaded.
    LoadNote(LoadNote),
    /// A load order was sent.
    LoadSent,
    /// A load order ended with this outcome.
    LoadEnded(Outcome),
    /// A health check ended.
    ProbeEnded {
        /// Whether the worker answered the health check.
        answered: bool,
    },
}

/// A state change of a call, for admission control; delivered by [`crate::Engine::drain_phases`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Phase {
    /// The front end's token for the call ([`crate::NewCall::front_token`]).
    pub front_token: u64,
    /// What happened to the call.
    pub step: Step,
}

/// What happened to a call in a [`Phase`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// An attempt of the call was sent to a worker.
    AttemptStarted,
    /// The call's attempt ended. A retry may follow.
    AttemptEnded,
    /// The call ended. If an attempt was in flight and was cancelled, its [`Step::AttemptEnded`] comes first.
    CallEnded(CallOutcome),
}

/// How a call ended: the variants of [`crate::FinalAnswer`] without their contents, or a disconnect of the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The final answer was [`crate::FinalAnswer::Served`].
    Served,
    /// The final answer was [`crate::FinalAnswer::Rejected`].
    Rejected,
    /// The final answer was [`crate::FinalAnswer::Refused`].
    Refused,
    /// The final answer was [`crate::FinalAnswer::Failed`].
    Failed,
    /// The client disconnected before the final answer.
    ClientGone,
}
