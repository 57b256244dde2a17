//! Why a command ended without success, and the exit code that follows.

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

/// Why a command ended without success.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// A file can't be read.
    #[error("can't read {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file of settings, a scenario, a scale run or a simulation is not valid.
    #[error("{0}")]
    InvalidFile(nettleferry_config::Errors),
    /// An alert rule file is not valid.
    #[error("{0}")]
    AlertRules(#[from] RuleError),
    /// A file of alert rule unit tests is not valid.
    #[error(transparent)]
    AlertTests(#[from] UnitTestError),
    /// The metrics registry can't be written as text.
    #[error("the registry can't be written as text")]
    MetricsText(#[source] std::fmt::Error),
    /// An API key can't be hashed.
    #[error("{0}")]
    KeyHash(#[from] argon2::password_hash::Error),
    /// The tenant store can't be used.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// A snapshot file can't be used.
    #[error("{0}")]
    Snapshot(#[from] SnapshotError),
    /// A snapshot is to be restored over a store that exists.
    #[error("{} is there; move it away first: a snapshot fills a new store", .0.display())]
    StoreExists(PathBuf),
    /// The audit log of a folder can't be read.
    #[error("{0}")]
    AuditLog(#[from] WalError),
    /// A plot can't be drawn or written.
    #[error("{}: {source}", file.display())]
    Plot {
        /// The SVG file.
        file: PathBuf,
        /// Why.
        source: PlotError,
    },
    /// The controller failed.
    #[error("{0}")]
    Controller(#[from] ControllerError),
    /// The controller on the platform failed.
    #[error("{0}")]
    Node(#[from] NodeError),
    /// A scenario could not be run.
    #[error("{0}")]
    Scenario(ScenarioError),
    /// A soak run could not be played.
    #[error("{0}")]
    Soak(#[from] SoakError),
    /// A scale run could not go on.
    #[error("{measure} {size}: {error}")]
    Scale {
        /// What was measured.
        measure: &'static str,
        /// At which size.
        size: u64,
        /// Why it ended.
        error: nettleferry_scale::measure::MeasureError,
    },
    /// The system refused something.
    #[error("{what}: {source}")]
    System {
        /// What was tried.
        what: String,
        /// Why.
        source: io::Error,
    },
    /// The administration refused, or could not be reached.
    #[error("the administration: {0}")]
    Api(#[from] ApiError),
    /// Arguments that the command-line parser accepts and the command does not.
    #[error("{0}")]
    Usage(#[from] UsageError),
}

/// Why a request to the administration API gave no result.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ApiError {
    /// No response came.
    #[error("{address}: {error}")]
    NoResponse {
        /// The API's address.
        address: SocketAddr,
        /// Why.
        error: Http1Error,
    },
    /// The response is a problem (RFC 9457).
    #[error("{status} {title}: {detail}")]
    Problem {
        /// The HTTP status.
        status: u16,
        /// The kind of problem.
        title: String,
        /// What is wrong with this request.
        detail: String,
    },
}

/// Arguments that can't be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum UsageError {
    /// `top --every` is out of bounds.
    #[error("--every: from 0.1 to 60")]
    RefreshInterval,
    /// `load --seconds` is out of bounds.
    #[error("--seconds: more than 0, at most 3600")]
    RoundLength,
    /// `call --param` is no pair of a name and a whole number.
    #[error("--param {0:?}: write NAME=VALUE with a whole number, such as segments=3")]
    Parameter(String),
    /// A tenant is not valid JSON.
    #[error("the tenant's JSON: {0}")]
    TenantJson(#[source] serde_json::Error),
    /// A tenant's JSON is no object.
    #[error("the tenant's JSON is to be an object")]
    TenantNotObject,
    /// A merge patch is not valid JSON.
    #[error("the patch: {0}")]
    PatchJson(#[source] serde_json::Error),
    /// There is no API key.
    #[error("no key: --key-file FILE, or NETTLEFERRY_KEY in the environment")]
    NoKey,
    /// Hollow peers that this machine can't carry.
    #[error("{0}")]
    HollowPeers(#[from] nettleferry_hollow::bounds::Refused),
    /// A histogram can't be made.
    #[error("histogram: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// The server at the address does not speak the protocol.
    #[error("the answer is no message of the protocol: {0}")]
    Response(#[from] prost::DecodeError),
}

impl CommandError {
    /// The exit code.
    pub(crate) fn code(&self) -> u8 {
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

    /// Wraps an error of the system, with what was tried.
    pub(super) fn system(what: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let what = what.into();
        move |source| Self::System { what, source }
    }

    /// Wraps an error of a plot, with its file.
    pub(super) fn plot(file: &Path) -> impl FnOnce(PlotError) -> Self {
        let file = file.to_owned();
        move |source| Self::Plot { file, source }
    }
}
