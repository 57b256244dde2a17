//! Errors of commands, and the exit code of each.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use nettleferry_alerts::rules::RuleError;
use nettleferry_alerts::unit::UnitTestError;
use nettleferry_net::http1_client::Http1Error;
use nettleferry_node::NodeError;
use nettleferry_scenario::run::ScenarioError;
use nettleferry_soak::SoakError;
use nettleferry_tenant_store::{SnapshotError, StoreError};
use nettleferry_wal::WalError;
use plotters::drawing::DrawingAreaErrorKind;

use super::exit_code;
use crate::controller::ControllerError;

/// An error of the library that draws SVG files.
pub(crate) type PlotError = DrawingAreaErrorKind<io::Error>;

/// An error that ends a command.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// A file can't be read.
    #[error("can't read {}: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the read.
        source: io::Error,
    },
    /// A file of settings, a scenario, a scale run, a simulation or a test worker is invalid.
    #[error("{0}")]
    InvalidFile(nettleferry_config::Errors),
    /// An alert rule file is invalid.
    #[error("{0}")]
    AlertRules(#[from] RuleError),
    /// A file of alert rule unit tests is invalid.
    #[error(transparent)]
    AlertTests(#[from] UnitTestError),
    /// The metrics registry can't be encoded as text.
    #[error("the metrics registry can't be encoded as text")]
    MetricsText(#[source] std::fmt::Error),
    /// An API key can't be hashed.
    #[error("{0}")]
    KeyHash(#[from] argon2::password_hash::Error),
    /// The tenant store can't be opened, read or written.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// A snapshot file can't be read or written.
    #[error("{0}")]
    Snapshot(#[from] SnapshotError),
    /// The store into which a snapshot is to be restored exists already.
    #[error("{} already exists; move it away first: a snapshot is restored into a new store", .0.display())]
    StoreExists(PathBuf),
    /// The audit log in a folder can't be read.
    #[error("{0}")]
    AuditLog(#[from] WalError),
    /// A plot can't be drawn or written.
    #[error("can't draw the plot {}: {source}", file.display())]
    Plot {
        /// Path of the SVG file.
        file: PathBuf,
        /// Error of the plotting library.
        source: PlotError,
    },
    /// A controller failed, or its settings are invalid.
    #[error("{0}")]
    Controller(#[from] ControllerError),
    /// A controller on the platform failed, or its configuration is unusable.
    #[error("{0}")]
    Node(#[from] NodeError),
    /// A scenario could not be run.
    #[error("{0}")]
    Scenario(ScenarioError),
    /// A soak run could not be carried out.
    #[error("{0}")]
    Soak(#[from] SoakError),
    /// A measurement of a scale run failed.
    #[error("measure {measure} at size {size}: {error}")]
    Scale {
        /// Name of the measure.
        measure: &'static str,
        /// Size at which it failed.
        size: u64,
        /// Error that ended the run.
        error: nettleferry_scale::measure::MeasureError,
    },
    /// An operation of the operating system failed.
    #[error("{context}: {source}")]
    System {
        /// Description of the failed operation.
        context: String,
        /// Error of the operation.
        source: io::Error,
    },
    /// The administration API refused a request, or could not be reached.
    #[error("request to the administration failed: {0}")]
    Api(#[from] ApiError),
    /// The command rejected arguments that the command-line parser had accepted, or failed with another error that has
    /// the same exit code.
    #[error("{0}")]
    Usage(#[from] UsageError),
}

/// A failed request to the administration API.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ApiError {
    /// No complete response was received.
    #[error("no response from {address}: {error}")]
    NoResponse {
        /// Address of the API.
        address: SocketAddr,
        /// Error of the HTTP client.
        error: Http1Error,
    },
    /// The response has an error status, with problem details (RFC 9457).
    #[error("{status} {title}: {detail}")]
    Problem {
        /// HTTP status code.
        status: u16,
        /// Title of the problem type.
        title: String,
        /// Explanation for this request.
        detail: String,
    },
}

/// Arguments that a command rejects. [`Self::Histogram`] and [`Self::Response`] have other causes, but the same exit
/// code.
#[derive(Debug, thiserror::Error)]
pub(crate) enum UsageError {
    /// `top --every` is out of range.
    #[error("--every {0}: must be from 0.1 to 60 seconds")]
    RefreshInterval(f64),
    /// `load --seconds` is out of range.
    #[error("--seconds {0}: must be more than 0 and at most 3600")]
    RoundLength(f64),
    /// `call --param` is not a name and an integer separated by `=`.
    #[error("--param {0:?}: write NAME=VALUE with a whole number, such as segments=3")]
    Parameter(String),
    /// The fields of a new tenant are not valid JSON.
    #[error("invalid JSON of the tenant: {0}")]
    TenantJson(#[source] serde_json::Error),
    /// The fields of a new tenant are valid JSON, but not an object.
    #[error("the tenant's JSON must be an object")]
    TenantNotObject,
    /// A merge patch is not valid JSON.
    #[error("invalid JSON of the merge patch: {0}")]
    PatchJson(#[source] serde_json::Error),
    /// Neither `--key-file` nor the environment provides an API key.
    #[error("no API key: set --key-file FILE, or NETTLEFERRY_KEY in the environment")]
    NoKey,
    /// The settings of hollow peers are invalid, or exceed the limits of this machine.
    #[error("{0}")]
    HollowPeers(#[from] nettleferry_hollow::bounds::SettingsError),
    /// The latency histogram can't be created.
    #[error("can't create the latency histogram: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A response can't be decoded as a message of the inference protocol.
    #[error("the response is not a message of the inference protocol: {0}")]
    Response(#[from] prost::DecodeError),
}

impl CommandError {
    /// Returns the exit code of the process that ends with this error.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => exit_code::USAGE,
            Self::Read { .. }
            | Self::InvalidFile(_)
            | Self::AlertRules(_)
            | Self::AlertTests(_)
            | Self::MetricsText(_)
            | Self::KeyHash(_)
            | Self::Store(_)
            | Self::Snapshot(_)
            | Self::StoreExists(_)
            | Self::AuditLog(_)
            | Self::Plot { .. }
            | Self::Controller(ControllerError::Settings(_)) => exit_code::INVALID_FILE,
            Self::Controller(_)
            | Self::System { .. }
            | Self::Scenario(_)
            | Self::Scale { .. }
            | Self::Soak(_) => exit_code::SYSTEM,
            Self::Node(NodeError::System { .. }) => exit_code::SYSTEM,
            // The platform expects this code for a configuration that can't be used.
            Self::Node(_) => exit_code::USAGE,
            Self::Api(_) => exit_code::FAILED,
        }
    }

    /// Returns a function for `map_err` that wraps an I/O error with a description of the failed operation.
    pub(super) fn system(context: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let context = context.into();
        move |source| Self::System { context, source }
    }

    /// Returns a function for `map_err` that wraps an error of a plot with the path of its file.
    pub(super) fn plot(file: &Path) -> impl FnOnce(PlotError) -> Self {
        let file = file.to_owned();
        move |source| Self::Plot { file, source }
    }
}
