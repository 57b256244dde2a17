//! A scale run: how a cost grows with the size of the fleet, measured at several sizes, fitted and judged by bounds.
//!
//! May know: the decision module, the text of settings, processes and `/proc`. Must not know: the command line, and
//! how the program that it starts is made.
//!
//! * [`settings`]: a file to a checked plan; a plan that can't fit on the machine is refused ([`capacity`]).
//! * [`measure`]: what is measured, one module a measure, behind one trait.
//! * [`context`], [`children`], [`process`], [`rig`]: what a measure works with.
//! * [`run`]: measures in their order, until the end, the deadline or an interrupt.
//! * [`fit`], [`verdict`], [`report`]: slopes, bounds, lines of JSON, a table and plots.

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
