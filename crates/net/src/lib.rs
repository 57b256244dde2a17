//! A single-threaded network reactor on mio: HTTP/2 connections, gRPC message framing and connection timers.
//!
//! This crate depends on sockets, HTTP/2 (RFC 9113) and the gRPC wire format ("gRPC over HTTP2") only. It
//! must not depend on calls, models, workers or scheduling decisions.
//!
//! There is no async runtime. The `h2` crate is the HTTP/2 state machine. Each connection and each stream has
//! a [`std::task::Waker`] that puts its key on a queue, and [`Hub::poll`] polls the queued ones and reports
//! [`NetEvent`]s.
//!
//! * [`hub`]: HTTP/2 connections and streams. [`io`]: a mio socket as `AsyncRead`/`AsyncWrite`.
//! * [`http1`]: a small HTTP/1.1 server, for instance for metrics.
//! * [`http1_client`]: an HTTP/1.1 client. [`http1_client_connection`]: one of its connections.
//! * [`framing`]: length-prefixed messages. [`grpc`]: status codes, timeouts, percent-encoded and binary
//!   headers.
//! * [`tcp`]: plain TCP connections, for protocols other than HTTP/2. [`clock`]: the process clock.
//! * [`limits`]: limits and counters of the hub. [`retry`]: retries of startup steps.

#![forbid(unsafe_code)]

pub mod clock;
pub mod framing;
pub mod grpc;
pub mod http1;
pub mod http1_client;
pub mod http1_client_connection;
pub mod hub;
pub mod io;
pub mod limits;
pub mod retry;
pub mod tcp;
mod wake;

pub use hub::{CloseReason, ConnKey, Hub, ListenerKey, NetEvent, StreamError, StreamKey, Undelivered};
pub use limits::{NetCounters, NetLimits};
