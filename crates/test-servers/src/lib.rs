//! Test servers: workers that behave as real ones do, on real sockets, from the public protocol alone, and a remote-write
//! receiver.
//!
//! They know the wire and the worker model. They know nothing of the gateway's insides.
//!
//! * [`worker`]: the worker model without I/O and clock: cores, lanes, queue, replicas and memory, loads, warm-up,
//!   overload. [`store`]: the model store that all workers share.
//! * [`models`]: what `echo` and `climb` answer. [`spec`]: a worker's description as text.
//! * [`server`]: the wire around the worker model, in a thread of its own, with faults and a record of what it sees.
//! * [`receiver`]: a remote-write receiver that is unavailable, slow, strict or forgetful on demand. [`watch`]: alert rules
//!   on its clock.

#![forbid(unsafe_code)]

pub mod models;
pub mod receiver;
pub mod server;
pub mod spec;
pub mod store;
pub mod watch;
pub mod worker;

pub use server::{Fault, Handle, Observation, ObservationKind, Options, spawn};
pub use spec::Spec;
pub use store::Store;
