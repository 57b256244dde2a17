//! The measures of a run, one module each, behind the trait [`Measure`]. A new measure is a module here and an entry
//! in [`MEASURE_KINDS`].

pub mod administration;
pub mod list;
pub mod module;
pub mod worker;

use std::io;

use nettleferry_config::form::Form;
use nettleferry_config::syntax::Span;
use serde::Serialize;

use crate::capacity::Needs;
use crate::context::Context;
use crate::fit::MIN_SIZES;

/// The unit of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Unit {
    /// Time in microseconds.
    Microseconds,
    /// Memory or other data in bytes.
    Bytes,
    /// A number of things, or of events per second.
    Count,
    /// Cores: processor time divided by elapsed time.
    Cores,
    /// Data rate in bytes per second.
    BytesPerSecond,
}

/// A metric that a measure reports at each size.
#[derive(Debug, PartialEq, Eq)]
pub struct Metric {
    /// Name of the metric in bounds and reports.
    pub name: &'static str,
    /// Unit of the values.
    pub unit: Unit,
    /// Description in one line, which is also the doc comment of the metric's static.
    pub description: &'static str,
}

/// Defines metrics as statics, and `METRICS` with all of them.
macro_rules! metrics {
    ($($constant:ident = $name:literal, $unit:ident, $description:literal;)*) => {
        $(
            #[doc = $description]
            pub static $constant: Metric = Metric { name: $name, unit: $unit, description: $description };
        )*
        /// All metrics of the measure.
        pub static METRICS: &[&Metric] = &[$(&$constant),*];
    };
}
pub(crate) use metrics;

/// The values that a measure observed at one size.
#[derive(Debug, Default)]
pub struct Observations {
    /// Metrics with their values, in the order of the report.
    pub values: Vec<(&'static Metric, f64)>,
    /// Whether the measured code ran inside the rig's own process.
    pub in_process: bool,
}

impl Observations {
    /// Adds a value; one that is not finite counts as not observed and is ignored.
    pub fn add(&mut self, metric: &'static Metric, value: f64) {
        if value.is_finite() {
            self.values.push((metric, value));
        }
    }
}

/// An error that ends a measure before it has its results.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// The run was cancelled by a signal or a caller.
    #[error("interrupted")]
    Interrupted,
    /// The run passed the deadline of its plan file.
    #[error("the run passed the deadline of its plan file")]
    Deadline,
    /// The run and its children use more memory than allowed.
    #[error("{used} bytes of memory are in use; the limit of a run is {allowed}")]
    Memory {
        /// Bytes in use by the run and its children.
        used: u64,
        /// Bytes that the run may use.
        allowed: u64,
    },
    /// A child exited without being stopped by the run.
    #[error("child {label} ended ({status}); its last log lines:\n{log}")]
    ChildDied {
        /// Label of the child.
        label: String,
        /// Exit status of the child.
        status: String,
        /// Last lines of the child's log.
        log: String,
    },
    /// A child's output was missing or not as expected.
    #[error("child {label}: {what}; its last log lines:\n{log}")]
    Child {
        /// Label of the child.
        label: String,
        /// Description of the failure.
        what: String,
        /// Last lines of the child's log.
        log: String,
    },
    /// An operation of the operating system failed.
    #[error("{what}: {source}")]
    System {
        /// The operation, or the resource that it concerned.
        what: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The measured program, or the measure itself, did something unexpected that the text describes.
    #[error("{0}")]
    Unexpected(String),
}

impl MeasureError {
    /// Returns a function that wraps an I/O error with the operation that failed.
    pub fn system(what: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let what = what.into();
        move |source| Self::System { what, source }
    }
}

/// The sizes of a measure, with their position in the plan file.
#[derive(Clone, Debug)]
pub struct Sizes {
    /// Dimension of the sizes, such as `workers` or `followers`. It is the key of the list in the plan file.
    pub dimension: &'static str,
    /// Sizes in ascending order.
    pub values: Vec<u64>,
    /// Position of the list in the plan file, for errors.
    pub span: Span,
}

/// Maximum number of sizes of a measure.
const MAX_SIZES: usize = 12;

impl Sizes {
    /// Reads the required list `(DIMENSION SIZE SIZE ...)` of a measure. Invalid sizes are recorded as errors of the
    /// form.
    pub fn read(form: &mut Form, dimension: &'static str) -> Option<Self> {
        let mut list = form.required_list(dimension)?;
        let span = list.span();
        let mut values: Vec<u64> = Vec::new();
        while let Some(size) = list.next_item::<u64>() {
            values.push(size);
        }
        if values.is_empty() || values.len() > MAX_SIZES {
            list.error(format!(
                "({dimension} ...): write 1 to {MAX_SIZES} sizes; a fit needs at least {MIN_SIZES}"
            ));
        }
        if values.contains(&0) {
            list.error(format!("({dimension} ...): a size is at least 1"));
        }
        if values.windows(2).any(|pair| pair[0] >= pair[1]) {
            list.error(format!("({dimension} ...): write each size once, the smallest first"));
        }
        list.finish();
        Some(Self { dimension, values, span })
    }
}

/// A measurement that is repeated at several sizes.
pub trait Measure {
    /// Name of the measure, which is its key in the plan file.
    fn name(&self) -> &'static str;

    /// The sizes to measure at.
    fn sizes(&self) -> &Sizes;

    /// The metrics that the measure may report.
    fn metrics(&self) -> &'static [&'static Metric];

    /// Upper estimate of the resources that a size needs. It must not decrease as the size grows.
    fn needs(&self, size: u64) -> Needs;

    /// Measures at one size. The run calls this once for each size, in ascending order, and then stops the children
    /// that are still running.
    fn run_at(&mut self, size: u64, context: &mut Context<'_>) -> Result<Observations, MeasureError>;
}

/// A kind of measure that a plan file may contain.
pub struct MeasureKind {
    /// Key of the measure in the plan file.
    pub name: &'static str,
    /// Parses the measure's list. `None` if it is invalid; the errors are then recorded in the form.
    pub read: fn(&mut Form) -> Option<Box<dyn Measure>>,
}

/// All kinds of measures, in the order in which they run.
pub const MEASURE_KINDS: &[MeasureKind] = &[
    MeasureKind { name: module::NAME, read: module::read },
    MeasureKind { name: list::NAME, read: list::read },
    MeasureKind { name: administration::NAME, read: administration::read },
    MeasureKind { name: worker::NAME, read: worker::read },
];
