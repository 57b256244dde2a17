//! What is done first after a restart.

use crate::form::Form;

/// What is done first after a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// When calls that can't be answered in time are refused as they come.
    pub gate: GateWhen,
}

/// When the gate judges calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum GateWhen {
    /// Never.
    Never,
    /// After a start that found an earlier life's worker list.
    #[default]
    Restart,
    /// After every start.
    Always,
}

/// Reads `(recovery ...)`.
pub(super) fn recovery(top: &mut Form) -> Recovery {
    let mut form = top.group("recovery");
    let words = [("never", GateWhen::Never), ("restart", GateWhen::Restart), ("always", GateWhen::Always)];
    let gate = form.word_or("gate", &words, GateWhen::Restart);
    form.end();
    Recovery { gate }
}
