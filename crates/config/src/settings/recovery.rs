//! The list `(recovery ...)`: the behaviour after a restart.

use crate::form::Form;

/// The settings of the behaviour after a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// The starts after which the controller limits admission: it rejects calls on arrival that can't be answered in
    /// time.
    pub restart_admission: RestartAdmissionPolicy,
}

/// The starts after which a controller limits admission.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RestartAdmissionPolicy {
    /// No start.
    Never,
    /// A start that finds the persisted worker list of an earlier incarnation.
    #[default]
    Restart,
    /// Every start.
    Always,
}

/// Reads `(recovery ...)`.
pub(super) fn recovery(top: &mut Form) -> Recovery {
    let mut form = top.list_or_empty("recovery");
    let keywords = [
        ("never", RestartAdmissionPolicy::Never),
        ("restart", RestartAdmissionPolicy::Restart),
        ("always", RestartAdmissionPolicy::Always),
    ];
    let restart_admission = form.keyword_or("gate", &keywords, RestartAdmissionPolicy::Restart);
    form.finish();
    Recovery { restart_admission }
}
