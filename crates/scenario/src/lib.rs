//! Scripted days and the audit of the five rules from the bytes at the sockets.
//!
//! May know: the wire, the stand-ins, the settings' text. Must not know: the gateway's insides; a controller is
//! a process with an address.

//! * [`script`]: a day as text. [`run`]: plays it. [`fleet`]: controllers and list files. [`traffic`]: clients.
//! * [`evidence`]: what was seen. [`audit`]: the rules, judged from it. [`report`]: what it came to.
//!   [`story`]: it as lines for people. [`alerting`]: what the rules of a receiver did.
//! * [`client`]: a client of the protocol, also for load and for people.

#![forbid(unsafe_code)]

pub mod alerting;
mod attempts;
pub mod audit;
pub mod client;
pub mod evidence;
pub mod fleet;
pub mod report;
pub mod run;
pub mod script;
pub mod story;
pub mod traffic;
