//! Servers for tests, demos and scenarios: test workers, which serve the public protocol on real sockets, and a
//! Prometheus remote-write receiver.
//!
//! The servers rely on the public protocol and the worker model only, not on the internals of the gateway.
//!
//! * [`worker`]: a model of a worker without I/O or a clock. It simulates cores, lanes, the queue, replicas and memory,
//!   loads, warm-up and overload. [`store`]: the model store that all workers share.
//! * [`models`]: the models `echo` and `climb`. [`spec`]: the description of a worker, and its text format.
//! * [`server`]: a gRPC server for the worker model, in its own thread. It injects faults and records observations.
//! * [`receiver`]: a remote-write receiver that can reject requests, and delay or break off its responses. [`watch`]:
//!   evaluates alert rules over the received samples.

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
