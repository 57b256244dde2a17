//! Checked settings from S-expressions: all errors of a file at once, each with file, line, column, the wrong text and
//! what to write instead.
//!
//! May know: text, and the types that the checked values become. Must not know: who uses them, sockets, files
//! (callers read files and hand over their text).
//!
//! * [`syntax`]: text to a tree. [`form`]: a tree to values, with units and suggestions.
//! * [`settings`]: a controller's settings. [`workers`]: the worker list.

#![forbid(unsafe_code)]

pub mod form;
pub mod settings;
pub mod syntax;
pub mod workers;

pub use form::{Diagnostic, Errors};
pub use settings::{Config, Model};
pub use workers::Worker;
