//! Scale runs, which measure how costs grow with the size of the fleet, fit the growth and check it against bounds.
//!
//! This crate may depend on the decision module, the settings format, processes and `/proc`, but not on the command
//! line or on the internals of the program that it starts.
//!
//! * [`settings`]: parses and validates a plan file; a plan that exceeds the machine's [`capacity`] is rejected.
//! * [`measure`]: the available measures, one module each, behind the trait [`measure::Measure`].
//! * [`context`], [`children`], [`process`], [`rig`]: the services that a measure uses while it runs.
//! * [`run`]: runs the measures in order until all are done, the deadline passes or the run is interrupted.
//! * [`interrupt`]: the flag that interrupts a run.
//! * [`fit`], [`verdict`], [`report`]: least-squares fits, checks of bounds, and the output as JSON lines, tables and
//!   plots.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod capacity;
pub mod children;
pub mod context;
pub mod fit;
pub mod interrupt;
pub mod measure;
pub mod process;
pub mod report;
pub mod rig;
pub mod run;
pub mod settings;
pub mod verdict;
