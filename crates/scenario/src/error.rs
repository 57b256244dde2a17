//! Errors of scenario runs.

use std::io;

/// The reason why a scenario could not be run.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The scenario's settings, combined with those that the run adds, are invalid.
    #[error("invalid (settings ...) of the scenario, combined with the settings that the run adds: {0}")]
    Settings(nettleferry_config::Errors),
    /// The alert rule file of the receiver is invalid.
    #[error("invalid alert rules of the scenario: {0}")]
    Rules(#[from] nettleferry_alerts::rules::RuleError),
    /// A system call failed.
    #[error("{operation}: {source}")]
    System {
        /// The operation that failed.
        operation: &'static str,
        /// The error of the system call.
        source: io::Error,
    },
    /// The thread of the clients panicked.
    #[error("the thread of the clients panicked")]
    ClientsPanicked,
    /// The scenario has no controllers, whose settings the clients need.
    #[error("the scenario has no controllers")]
    NoControllers,
}

/// Converts an I/O error to a [`ScenarioError`] that names the failed operation.
pub(crate) fn system(operation: &'static str) -> impl FnOnce(io::Error) -> ScenarioError {
    move |source| ScenarioError::System { operation, source }
}
