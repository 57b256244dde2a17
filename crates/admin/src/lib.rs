//! The administration API as a function: a request, the book and what is known of the running controller in, an
//! answer out. No I/O, no clock.
//!
//! May know: the book, roles, JSON, the semantics of HTTP (RFC 9110: ETag, If-Match; RFC 9457: problem details;
//! RFC 7396: merge patch). Must not know: sockets, files, how keys are proven, calls.
//!
//! * [`routes`]: what there is, who may ask for it. [`api`]: what it answers. [`problem`]: errors as they are told.
//! * [`message`]: requests and answers. [`openapi`]: the document of it, made from the same table.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod api;
pub mod message;
pub mod openapi;
pub mod problem;
pub mod routes;

pub use api::{Api, Keep, Live};
pub use message::{Answer, Caller, Request, Response};
pub use problem::Problem;
pub use routes::Role;
