//! Why a node can't start or go on.

use std::io;
use std::path::PathBuf;

use nettleferry::SettingsError;
use nettleferry_platform::config::ConfigError;
use nettleferry_platform::directory::ListError;
use nettleferry_platform_settings::FieldError;

/// Why a node can't start or go on.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The configuration can't be read.
    #[error("can't read {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The configuration is not valid.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// Its settings are not valid.
    #[error("the settings: {0}")]
    Settings(#[from] FieldError),
    /// The decision module can't work with the settings.
    #[error("the settings: field {field}: {0}", field = module_field(.0))]
    Module(#[from] SettingsError),
    /// Its invoker list is not valid.
    #[error("the list: {0}")]
    List(#[from] ListError),
    /// The system refused an operation.
    #[error("{operation}: {source}")]
    System {
        /// The operation.
        operation: &'static str,
        /// Why.
        source: io::Error,
    },
}

impl NodeError {
    pub(crate) fn system(operation: &'static str) -> impl FnOnce(io::Error) -> Self {
        move |source| Self::System { operation, source }
    }
}

/// The field of the settings with which the decision module can't work.
fn module_field(error: &SettingsError) -> &'static str {
    match error {
        SettingsError::NoClasses => "classes",
        SettingsError::NoControllers => "n_instances",
        SettingsError::ControllerIndexOutOfRange => "me",
        SettingsError::NoAttempts => "limits.max_attempts",
    }
}
