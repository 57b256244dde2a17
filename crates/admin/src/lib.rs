//! The administration API, without I/O or a clock: it computes the response to a request from the snapshot of the
//! tenants and the state of the running controller.
//!
//! This crate implements the semantics of HTTP (RFC 9110: ETag and If-Match; RFC 9457: problem details; RFC 7396: merge
//! patch). It must not depend on sockets, files, the verification of API keys, or the handling of calls.
//!
//! * [`routes`]: the table of routes and their roles. [`api`]: the operations. [`problem`]: errors as problem details.
//! * [`message`]: requests and responses. [`openapi`]: the OpenAPI document, generated from the same table.

#![forbid(unsafe_code)]

pub mod api;
pub mod message;
pub mod openapi;
pub mod problem;
pub mod routes;

pub use api::{Api, ChangeStore, Runtime};
pub use message::{Caller, Outcome, Request, Response};
pub use problem::Problem;
pub use routes::Role;
