//! Soak test with fault injection: runs some dozens of `nettleferry node` processes on loopback under disturbances that
//! overlap in time, and checks invariants on the traffic at their sockets.
//!
//! The crate depends on the platform's wire format (`nettleferry-platform`) and not on the node's implementation. It
//! observes sockets, exit codes and logs.
//!
//! * [`plan`] draws the disturbances of a run from its seed, and [`run`] executes them.
//! * [`controller`] configures, starts, signals and terminates controller processes, [`shim`] injects faults into their
//!   system calls, and [`proxy`] is the network between them and the workers.
//! * [`worker`], [`directory`] and [`client`] stand in for the other parties. [`wire`] is their side of the protocol.
//! * [`audit`] records what was observed, [`kernel_time`] adds the kernel's timestamps, [`judge`] checks the record
//!   against the invariants, and [`report`] summarises the run.

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
pub use run::{SoakError, execute};
