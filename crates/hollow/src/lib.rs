//! Hollow peers: lightweight simulated peers for scale runs. Thousands of them share one process. They follow the
//! protocol and the timing of real peers without doing their work, so that a scale run can load a real process on the
//! same machine and measure the cost of that process alone.
//!
//! * [`followers`]: simulated controllers that follow an administration.
//! * [`controllers`]: simulated controllers that send calls and probes to a worker.
//! * [`bounds`]: checks before a run: loopback addresses only, and a peer count within descriptor and memory limits.
//! * [`report`]: the JSON lines that a run writes.
//! * [`process`]: resource limits and resource usage of this process.
//! * [`control`]: summary requests and the end of a run, read from standard input.
//!
//! This crate may depend on the protocols of this program, sockets and JSON. It must not depend on the decision logic
//! of real peers.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod bounds;
pub mod control;
pub mod controllers;
pub mod followers;
pub mod process;
pub mod report;
mod timers;
