//! The controller on the users' platform: what `run` in `deploy/balancer.toml` starts.
//!
//! Depends on `platform` (the wire), `net` (plain TCP) and `engine`. Leaves to others: HTTP/2, administration, decisions.
//! One thread, one poll.
//!
//! * [`node`]: the event loop. [`front`]: towards clients. [`pools`]: towards invokers.
//! * [`guard`]: the platform's rules as invariants, checked at run time. [`attempt_history`]: the attempts of a request.
//! * [`reasons`]: why requests and connections ended, counted. [`limits`]: every bound, and its counter.
//!   [`log_budget`]: how many lines are logged of one kind.
//! * [`directory`]: polls the list of invokers. [`start_times`]: their start times on this process's clock.
//! * [`error`]: why a node can't start or go on.

#![forbid(unsafe_code)]

pub mod attempt_history;
mod class;
pub mod directory;
pub mod error;
pub mod front;
pub mod guard;
pub mod limits;
pub mod log_budget;
pub mod node;
pub mod pools;
pub mod reasons;
pub mod start_times;

pub use error::NodeError;
pub use node::Node;
