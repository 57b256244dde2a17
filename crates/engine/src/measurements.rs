//! What the engine reports for metrics and admission control, beside its commands.

use nettleferry::{ClassId, LoadNote, Micros, Outcome, TenantId};

/// A measurement for metrics: see [`crate::Engine::drain_measurements`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Measurement {
    /// A call ended.
    CallEnded {
        /// Its class.
        class: ClassId,
        /// Its tenant.
        tenant: Option<TenantId>,
        /// Its group of models.
        group: u32,
        /// How it ended.
        outcome: CallOutcome,
        /// Microseconds from its arrival to its end.
        latency: Micros,
    },
    /// An attempt started.
    AttemptStarted {
        /// The outcome of the call's previous attempt; `None`: it is the first.
        after: Option<Outcome>,
    },
    /// A response reported the state of replicas.
    LoadNote(LoadNote),
    /// A load order was sent.
    LoadSent,
    /// A load order ended.
    LoadEnded(Outcome),
    /// A health check ended.
    ProbeEnded {
        /// The worker answered it.
        answered: bool,
    },
}

/// A step in the life of a call, for admission control: see [`crate::Engine::drain_phases`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Phase {
    /// The front end's token of the call.
    pub front: u64,
    /// What happened.
    pub step: Step,
}

/// A step in the life of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// An attempt was sent to a worker.
    AttemptStarted,
    /// The attempt ended; the call may be retried.
    AttemptEnded,
    /// The call ended; an attempt in flight has its [`Step::AttemptEnded`] first.
    CallEnded(CallOutcome),
}

/// How a call ended: the kinds of [`crate::FinalAnswer`], and a client that disconnected first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// [`crate::FinalAnswer::Served`].
    Served,
    /// [`crate::FinalAnswer::Rejected`].
    Rejected,
    /// [`crate::FinalAnswer::Refused`].
    Refused,
    /// [`crate::FinalAnswer::Failed`].
    Failed,
    /// The client disconnected before the answer.
    ClientGone,
}
