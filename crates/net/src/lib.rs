//! The reactor: one mio poll, HTTP/2 connections polled by hand, gRPC message framing, timers of connections.
//!
//! May know: sockets, HTTP/2 (RFC 9113), the gRPC wire ("gRPC over HTTP2"). Must not know: calls, models,
//! workers, decisions.
//!
//! There is no async runtime. The `h2` crate is the HTTP/2 state machine; each connection and each stream has a
//! [`std::task::Waker`] that puts its key on a queue, and [`Hub::poll`] polls what is queued. What happened comes out as
//! [`NetEvent`]s.
//!
//! * [`hub`]: connections and streams. [`io`]: a mio socket as `AsyncRead`/`AsyncWrite`.
//! * [`http1`]: a small HTTP/1.1 server for side listeners.
//! * [`post`]: an HTTP/1.1 client; [`http1_client`]: one connection of it.
//! * [`framing`]: length-prefixed messages. [`grpc`]: status, timeouts, percent and base64 headers.
//! * [`tcp`]: plain connections, for protocols other than HTTP/2. [`clock`]: the program's clock.
//! * [`limits`]: bounds of the hub, and their counters. [`retry`]: retries of startup steps.

#![forbid(unsafe_code)]

pub mod clock;
pub mod framing;
pub mod grpc;
pub mod http1;
pub mod http1_client;
pub mod hub;
pub mod io;
pub mod limits;
pub mod post;
pub mod retry;
pub mod tcp;
mod wake;

pub use hub::{CloseReason, ConnKey, Hub, ListenerKey, NetEvent, StreamError, StreamKey};
pub use limits::{NetCounters, NetLimits};
