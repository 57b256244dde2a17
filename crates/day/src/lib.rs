//! Scripted days and the audit of the five rules from the bytes at the sockets.
//!
//! May know: the wire, the stand-ins, the settings' text. Must not know: the gateway's insides; a controller is
//! a process with an address.

#![forbid(unsafe_code)]

pub mod client;
