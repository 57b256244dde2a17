//! The platform's protocol, without I/O: bytes in, types out, and back.
//!
//! May know: bytes, the module's types. Must not know: sockets, the clock, the engine, decisions.
//!
//! * [`frames`]: frames between clients and controllers. [`request`]: a request's fields, checked.
//! * [`resp`]: commands to invokers and their answers. [`answer`]: an answer's kind and fields.
//! * [`directory`]: the list of invokers, by DNS and as events. [`config`]: the configuration of a controller.
//!
//! Input is bounded before it is buffered: a length over its bound is an error, or its payload is skipped, as soon as the
//! length is known.

#![forbid(unsafe_code)]

pub mod answer;
pub mod config;
pub mod directory;
pub mod frames;
pub mod request;
pub mod resp;
