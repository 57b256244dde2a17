//! What a run measures: one module a measure, each behind the trait [`Measure`]. A new one is a module here and a
//! line in [`MEASURE_KINDS`].

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

/// The unit of a figure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Unit {
    /// Microseconds.
    Microseconds,
    /// Bytes.
    Bytes,
    /// Things that are counted.
    Count,
    /// Cores: processor time over time.
    Cores,
    /// Bytes a second.
    BytesPerSecond,
}

/// A figure that a measure gives at each size.
#[derive(Debug, PartialEq, Eq)]
pub struct Metric {
    /// Its name, as bounds and reports have it.
    pub name: &'static str,
    /// Its unit.
    pub unit: Unit,
    /// What it says, in one line.
    pub what: &'static str,
}

/// Defines figures as statics, and `METRICS` with all of them.
macro_rules! metrics {
    ($($constant:ident = $name:literal, $unit:ident, $what:literal;)*) => {
        $(
            #[doc = $what]
            pub static $constant: Metric = Metric { name: $name, unit: $unit, what: $what };
        )*
        /// All of them.
        pub static METRICS: &[&Metric] = &[$(&$constant),*];
    };
}
pub(crate) use metrics;

/// The figures of one size.
#[derive(Debug, Default)]
pub struct Observations {
    /// Figures and their values.
    pub values: Vec<(&'static Metric, f64)>,
    /// What was measured ran inside the rig's own process.
    pub in_process: bool,
}

impl Observations {
    /// Adds a figure. What is no number was not observed.
    pub fn add(&mut self, metric: &'static Metric, value: f64) {
        if value.is_finite() {
            self.values.push((metric, value));
        }
    }
}

/// Why a measure ended before it had its figures.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// The run was interrupted.
    #[error("interrupted")]
    Interrupted,
    /// The deadline of the file has passed.
    #[error("the deadline of the file has passed")]
    Deadline,
    /// More memory is in use than a run may have.
    #[error("{used} bytes of memory are in use; a run may have {allowed}")]
    Memory {
        /// Bytes in use by the run and its children.
        used: u64,
        /// Bytes that it may have.
        allowed: u64,
    },
    /// A child ended that was not told to.
    #[error("child {label} ended ({status}); its last log lines:\n{log}")]
    ChildDied {
        /// What the child is called.
        label: String,
        /// How it ended.
        status: String,
        /// The last lines of its log.
        log: String,
    },
    /// A child said nothing, or not what was expected.
    #[error("child {label}: {what}; its last log lines:\n{log}")]
    Child {
        /// What the child is called.
        label: String,
        /// What is wrong.
        what: String,
        /// The last lines of its log.
        log: String,
    },
    /// The system refused something.
    #[error("{what}: {source}")]
    System {
        /// What was tried.
        what: String,
        /// Why it failed.
        source: io::Error,
    },
    /// What was measured did not behave as a measure relies on.
    #[error("{0}")]
    Unexpected(String),
}

impl MeasureError {
    /// Wraps an error of the system with what was tried.
    pub fn system(what: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let what = what.into();
        move |source| Self::System { what, source }
    }
}

/// The sizes of a measure, in growing order, and where they stand in the file.
#[derive(Clone, Debug)]
pub struct Sizes {
    /// What grows, for people and for targets: `workers`, `followers`.
    pub of: &'static str,
    /// The sizes.
    pub values: Vec<u64>,
    /// Where they stand.
    pub span: Span,
}

/// Sizes of a measure at the most.
const MOST_SIZES: usize = 12;

impl Sizes {
    /// Reads `(of SIZE SIZE ...)`, which must stand in the measure's list.
    pub fn read(form: &mut Form, of: &'static str) -> Option<Self> {
        let mut list = form.required_list(of)?;
        let span = list.span();
        let mut values: Vec<u64> = Vec::new();
        while let Some(size) = list.next_item::<u64>() {
            values.push(size);
        }
        if values.is_empty() || values.len() > MOST_SIZES {
            list.error(format!("({of} ...): write 1 to {MOST_SIZES} sizes; a fit needs at least 4"));
        }
        if values.contains(&0) {
            list.error(format!("({of} ...): a size is at least 1"));
        }
        if values.windows(2).any(|pair| pair[0] >= pair[1]) {
            list.error(format!("({of} ...): write each size once, the smallest first"));
        }
        list.finish();
        Some(Self { of, values, span })
    }
}

/// Something that is measured at several sizes.
pub trait Measure {
    /// Its name: its key in the file.
    fn name(&self) -> &'static str;

    /// Its sizes.
    fn sizes(&self) -> &Sizes;

    /// The figures that it may give.
    fn metrics(&self) -> &'static [&'static Metric];

    /// What a size needs, estimated from above; it grows with the size.
    fn needs(&self, size: u64) -> Needs;

    /// Measures at one size. Called for each size once, in their order; children that it started and did not stop
    /// are stopped after it.
    fn run_at(&mut self, size: u64, context: &mut Context<'_>) -> Result<Observations, MeasureError>;
}

/// A measure that a file may ask for.
pub struct MeasureKind {
    /// Its key in the file.
    pub name: &'static str,
    /// Reads its list. `None`: it is not sound, and the faults are noted.
    pub read: fn(&mut Form) -> Option<Box<dyn Measure>>,
}

/// All measures, in the order in which they run.
pub const MEASURE_KINDS: &[MeasureKind] = &[
    MeasureKind { name: module::NAME, read: module::read },
    MeasureKind { name: list::NAME, read: list::read },
    MeasureKind { name: administration::NAME, read: administration::read },
    MeasureKind { name: worker::NAME, read: worker::read },
];
