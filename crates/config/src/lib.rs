//! Parses and validates settings files and worker lists, which are written as S-expressions. All errors of a file are
//! reported together, each with its file, line and column, an excerpt, and what to write instead.
//!
//! The crate does no I/O: callers read the files and pass their text. It depends on the types of the decision module
//! that the settings become, but not on the gateway or other users of the settings.
//!
//! * [`syntax`]: parses text to a tree. [`form`]: reads values with units from the tree, and suggests similar keys.
//! * [`settings`]: the settings of a controller. [`workers`]: the worker list.

#![forbid(unsafe_code)]

pub mod form;
pub mod settings;
pub mod syntax;
pub mod workers;

pub use form::{Diagnostic, Errors};
pub use settings::{Config, Model};
pub use workers::Worker;
