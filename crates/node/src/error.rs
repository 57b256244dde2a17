//! Errors that prevent a node from starting or end it.

use std::io;
use std::path::PathBuf;

use nettleferry::SettingsError;
use nettleferry_platform::config::ConfigError;
use nettleferry_platform::directory::ListError;
use nettleferry_platform_settings::FieldError;

/// An error that prevents a node from starting or ends it.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The configuration file can't be read.
    #[error("can't read {}: {source}", path.display())]
    Read {
        /// Path of the configuration file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The configuration is not valid.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// The settings in the configuration are not valid.
    #[error("the settings: {0}")]
    Settings(#[from] FieldError),
    /// The decision module rejects the settings.
    #[error("the settings: field {field}: {0}", field = module_field(.0))]
    Module(#[from] SettingsError),
    /// The invoker list in the configuration is not valid.
    #[error("the list: {0}")]
    List(#[from] ListError),
    /// A system call failed.
    #[error("{operation}: {source}")]
    System {
        /// The operation that failed.
        operation: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
}

impl NodeError {
    pub(crate) fn system(operation: &'static str) -> impl FnOnce(io::Error) -> Self {
        move |source| Self::System { operation, source }
    }
}

/// The name of the settings field that the decision module rejects.
fn module_field(error: &SettingsError) -> &'static str {
    match error {
        SettingsError::NoClasses => "classes",
        SettingsError::NoControllers => "n_instances",
        SettingsError::ControllerIndexOutOfRange => "me",
        SettingsError::NoAttempts => "limits.max_attempts",
    }
}
