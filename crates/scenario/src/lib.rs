//! Scripted scenarios of faults against controller processes, and the audit of the five rules from the bytes at the
//! sockets.
//!
//! It knows the wire, the test servers and the text of settings. It knows nothing of the gateway's insides: a controller
//! is a process with an address.
//!
//! * [`script`]: a scenario as text. [`run`]: runs it; `setup` starts its parts, `timeline` orders its faults.
//! * [`fleet`]: controller processes and worker lists. [`traffic`]: clients.
//! * [`evidence`]: what was seen. [`audit`]: the rules, judged from it. [`report`]: sums. [`event_log`]: events as lines.
//! * [`alerting`]: which alert rules fired at a remote-write receiver.
//! * [`client`]: a client of the protocol, also for measurements and the command line.

#![forbid(unsafe_code)]

pub mod alerting;
mod attempts;
pub mod audit;
pub mod client;
mod error;
pub mod event_log;
pub mod evidence;
pub mod fleet;
pub mod report;
pub mod run;
pub mod script;
mod setup;
mod stage;
mod timeline;
pub mod traffic;
