//! Codecs of the platform's protocol: they convert bytes to types and back, without I/O.
//!
//! The crate uses the decision module's types, and does not depend on sockets, the clock or the engine.
//!
//! * [`frames`]: frames between clients and controllers.
//! * [`request`]: parsing and validation of a request's fields.
//! * [`resp`]: commands to invokers and their answers.
//! * [`answer`]: the kind and the fields of an answer.
//! * [`directory`]: the list of invokers, from DNS responses and from events.
//! * [`config`]: the configuration of a controller.
//!
//! Input is bounded before it is buffered. As soon as a length is known to exceed its limit, the codec returns an error
//! or skips the payload.

#![forbid(unsafe_code)]

pub mod answer;
pub mod config;
pub mod directory;
pub mod frames;
pub mod request;
pub mod resp;
