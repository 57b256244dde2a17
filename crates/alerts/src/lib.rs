//! Parses Prometheus alert rules, checks them against a catalog of metrics and evaluates them over series in memory.
//!
//! The crate performs no I/O and reads no clock: the caller passes in file contents, series and evaluation times.
//!
//! * [`rules`]: the rule-file format. [`check`]: reports metrics and labels in a rule that do not exist.
//! * [`eval`]: the subset of PromQL that the shipped rules use; any other expression is an error.
//! * [`state`]: the states of an alert (pending, firing) with `for` and `keep_firing_for`. [`unit`]: rule unit test
//!   files in the format of `promtool test rules`.

#![forbid(unsafe_code)]

pub mod check;
pub mod eval;
pub mod rules;
pub mod state;
pub mod unit;
