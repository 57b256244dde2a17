//! Alert rules: Prometheus rule files, checked against the registry and evaluated over given series.
//!
//! May know: rules, series, times as values. Must not know: files, sockets, clocks, where series come from.
//!
//! * [`rules`]: the rule-file format. [`check`]: every metric and label that a rule names exists.
//! * [`eval`]: the subset of PromQL that the shipped rules use; what is outside it is an error.
//! * [`state`]: pending, firing, `for` and `keep_firing_for`. [`unit`]: rule unit tests as files.

#![forbid(unsafe_code)]

pub mod check;
pub mod eval;
pub mod rules;
pub mod state;
pub mod unit;
