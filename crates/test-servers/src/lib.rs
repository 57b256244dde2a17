//! Stand-in workers: they play what real ones do, on real sockets, from the public protocol alone.
//!
//! May know: the wire and the worker model. Must not know: the gateway's insides.
//!
//! * [`worker`]: the worker model without I/O and clock: cores, lanes, queue, copies and memory, loads, cold
//!   starts, falling over. [`store`]: the one store that all share.
//! * [`models`]: what `echo` and `climb` answer. [`spec`]: a worker's description as text.
//! * [`receiver`]: a remote-write receiver that is away, slow, strict or forgetful as told.
//!   [`watch`]: alert rules on its clock.
//! * [`server`]: the wire around it, in a thread of its own; faults are told to it, and what it sees is recorded.

#![forbid(unsafe_code)]

pub mod models;
pub mod receiver;
pub mod server;
pub mod spec;
pub mod store;
pub mod watch;
pub mod worker;

pub use server::{Fault, Handle, Options, Record, Seen, spawn};
pub use spec::Spec;
pub use store::Store;
