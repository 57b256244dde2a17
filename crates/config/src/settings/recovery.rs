//! Behaviour after a restart.

use crate::form::Form;

/// Behaviour after a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// When calls that can't be answered in time are rejected on arrival.
    pub restart_admission: RestartAdmissionPolicy,
}

/// When calls are judged on arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RestartAdmissionPolicy {
    /// Never.
    Never,
    /// After a start that found the worker list of an earlier incarnation.
    #[default]
    Restart,
    /// After every start.
    Always,
}

/// Reads `(recovery ...)`.
pub(super) fn recovery(top: &mut Form) -> Recovery {
    let mut form = top.list_or_empty("recovery");
    let words = [
        ("never", RestartAdmissionPolicy::Never),
        ("restart", RestartAdmissionPolicy::Restart),
        ("always", RestartAdmissionPolicy::Always),
    ];
    let restart_admission = form.keyword_or("gate", &words, RestartAdmissionPolicy::Restart);
    form.finish();
    Recovery { restart_admission }
}
