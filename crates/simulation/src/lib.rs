//! Discrete-event simulations of fleets of up to a thousand controllers in virtual time. They use the same code of
//! `nettleferry-fleet` and the same constants of `nettleferry-tenancy` as the program, over a simulated network that
//! loses and delays packets. Nothing depends on the machine: equal plans give equal outcomes.
//!
//! The crate uses no files and no threads; the caller formats and stores the outcomes.
//!
//! * [`follow`]: followers replicate tenant changes from one leader. It measures how long a change takes to be in force
//!   everywhere, how long followers are without a lease although they run, and the load of the leader.
//! * [`power`]: all controllers restart at once after a power loss. It measures how long it takes until calls are
//!   served in time, and the requests for snapshots that the leader and peers receive.
//! * [`network`] and [`events`]: the simulated network and the event queue that both simulations use.

#![forbid(unsafe_code)]

pub mod events;
pub mod follow;
pub mod network;
pub mod power;

/// Microseconds of virtual time.
pub type Micros = u64;

/// Converts a virtual time to milliseconds, the unit of `nettleferry-fleet`, and rounds it down.
pub fn ms(at: Micros) -> u64 {
    at / 1000
}
