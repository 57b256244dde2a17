//! The real controller on the platform: what `run` in `deploy/balancer.toml` starts.
//!
//! May know: `platform` (the wire), `net` (plain TCP), `engine`. Must not know: HTTP/2, administration,
//! decisions. One thread, one poll.
//!
//! * [`node`]: the loop and the wiring. [`front`]: towards clients. [`links`]: towards invokers.
//! * [`guard`]: the rules as invariants, checked at run time. [`repeat`]: the attempts of one request.
//! * [`reasons`]: why requests and connections ended, counted.
//! * [`directory`]: asks for the list of invokers. [`starts`]: their starts in our own time. [`limits`]: every bound, and its counter.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod directory;
pub mod front;
pub mod guard;
pub mod limits;
pub mod links;
pub mod node;
pub mod reasons;
pub mod repeat;
pub mod starts;

pub use node::{Node, NodeError};
