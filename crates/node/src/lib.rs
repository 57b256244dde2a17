//! The controller process for the users' platform: what `run` in `deploy/balancer.toml` starts.
//!
//! Built on `platform` (wire formats), `net` (TCP) and `engine` (scheduling decisions). HTTP/2 and
//! administration are handled by other crates. A node runs on a single thread with a single poll.
//!
//! * [`node`]: the event loop.
//! * [`front`]: client connections and requests.
//! * [`pools`]: connection pools to invokers.
//! * [`guard`]: the platform's rules as invariants, checked at run time.
//! * [`attempt_history`]: the attempts of a request.
//! * [`reasons`]: counters of why requests and connections ended.
//! * [`request_queue`]: requests that wait to be opened, by connection.
//! * [`limits`]: all limits and timeouts, and the counters that show when they were reached.
//! * [`log_budget`]: rate limit for log lines of one kind.
//! * [`directory`]: polls the directory for the list of invokers.
//! * [`start_times`]: converts the invokers' start times to this process's clock.
//! * [`error`]: errors that prevent a node from starting or end it.

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
pub mod request_queue;
pub mod start_times;

pub use error::NodeError;
pub use node::Node;
