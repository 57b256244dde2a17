//! Why a scenario could not be run.

use std::io;

/// Why a scenario could not be run.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The settings in it are not valid.
    #[error("the day's (settings ...) with what the day fills in: {0}")]
    Settings(nettleferry_config::Errors),
    /// The receiver's rule file is not valid.
    #[error("the day's rules: {0}")]
    Rules(#[from] nettleferry_alerts::rules::RuleError),
    /// The system refused something.
    #[error("{what}: {source}")]
    System {
        /// What was tried.
        what: &'static str,
        /// Why.
        source: io::Error,
    },
    /// The clients' thread ended.
    #[error("the clients failed")]
    Clients,
}

/// Wraps an error of the system, with what was tried.
pub(crate) fn system(what: &'static str) -> impl FnOnce(io::Error) -> ScenarioError {
    move |source| ScenarioError::System { what, source }
}
