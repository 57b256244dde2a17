//! The platform's protocol, without I/O: bytes in, types out, and back.
//!
//! May know: bytes, the module's types. Must not know: sockets, the clock, the engine, decisions.
//!
//! * [`frames`]: what clients and controllers say to each other. [`request`]: a request's fields, checked.
//! * [`resp`]: commands to invokers and their answers. [`answer`]: an answer's fields.
//! * [`directory`]: the list of invokers, by DNS and as events. [`config`]: what a controller is told when it starts.
//!
//! Input is bounded before it is kept: a length over its bound is an error (or is skipped) when its figure has
//! been read, not when its bytes have come.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod answer;
pub mod config;
pub mod directory;
pub mod frames;
pub mod request;
pub mod resp;
