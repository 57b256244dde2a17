//! Soak test: some dozens of `nettleferry node` processes on loopback under disturbances that overlap in time, judged by
//! invariants at the sockets.
//!
//! May know: the platform's wire (`platform`). Must not know: the node's insides; it sees sockets, exit codes and logs.
//!
//! * [`plan`]: what a run holds, drawn from its seed. [`run`]: plays it.
//! * [`controller`]: processes and signals. [`shim`]: system-call faults. [`proxy`]: the network to the workers.
//! * [`worker`], [`directory`], [`client`]: the other parties. [`wire`]: their side of the protocol.
//! * [`audit`]: what was seen; [`kernel_time`]: when, by the kernel. [`judge`]: which invariants it breaks. [`report`]: what a run gave.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod audit;
pub mod client;
pub mod controller;
pub mod directory;
pub mod judge;
pub mod kernel_time;
pub mod plan;
pub mod proxy;
pub mod report;
pub mod run;
pub mod shim;
pub mod wire;
pub mod worker;

pub use judge::{Finding, Rule};
pub use plan::{Extras, Plan, Size};
pub use report::Report;
pub use run::{SoakError, play};
