//! Runs scripted fault scenarios against controller processes, and checks the five rules of the platform against what
//! was observed at the sockets of clients and workers.
//!
//! The crate depends on the wire protocol, the test servers and the settings format. It does not use any internals of
//! the gateway: a controller is a process with an address.
//!
//! * [`script`]: the parser of scenario files. [`run`]: runs a scenario; `setup` starts its processes and threads, and
//!   `timeline` orders its faults by time.
//! * [`fleet`]: controller processes and worker lists. [`traffic`]: the clients and their load.
//! * [`evidence`]: the recorded observations. [`audit`]: checks the rules against them. [`report`]: totals by class.
//!   [`event_log`]: all observations as text, one line per event.
//! * [`alerting`]: compares the alerts that fired at a remote-write receiver with the expected ones.
//! * [`client`]: an Open Inference Protocol client, which benchmarks and the command line use as well.

#![forbid(unsafe_code)]

pub mod alerting;
mod attempts;
pub mod audit;
pub mod client;
mod environment;
mod error;
pub mod event_log;
pub mod evidence;
pub mod fleet;
pub mod report;
pub mod run;
pub mod script;
mod setup;
mod timeline;
pub mod traffic;
