//! The administration API as a function: from a request, the snapshot of the tenants and the state of the running
//! controller to a response. No I/O, no clock.
//!
//! May know: the snapshot, roles, JSON, the semantics of HTTP (RFC 9110: ETag, If-Match; RFC 9457: problem details;
//! RFC 7396: merge patch). Must not know: sockets, files, how keys are verified, calls.
//!
//! * [`routes`]: the table of routes and their roles. [`api`]: the operations. [`problem`]: errors as problem details.
//! * [`message`]: requests and responses. [`openapi`]: the OpenAPI document, made from the same table.

#![forbid(unsafe_code)]

pub mod api;
pub mod message;
pub mod openapi;
pub mod problem;
pub mod routes;

pub use api::{Api, ChangeStore, Runtime};
pub use message::{Answer, Caller, Request, Response};
pub use problem::Problem;
pub use routes::Role;
