//! Hollow peers: the other side in a scale run. Thousands of them share one process; they keep the protocol and the
//! timing of the real ones and do no work, so that what is measured at a real process beside them is its own.
//!
//! * [`followers`]: controllers that follow an administration. [`controllers`]: the connections of controllers to a
//!   worker, with calls and probes on them.
//! * [`bounds`]: what may run at all: loopback addresses, and as many peers as descriptors and memory allow.
//! * [`report`]: the JSON lines of a run. [`process`]: what the process itself spends. [`control`]: what a run is told.
//!
//! May know: the protocols of this program, sockets, JSON. Must not know: how the real ones decide.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod bounds;
pub mod control;
pub mod controllers;
pub mod followers;
pub mod process;
pub mod report;
mod timers;
