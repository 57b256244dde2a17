//! Fleets of up to a thousand controllers in virtual time: the decisions of `nettleferry-fleet` as the program runs them,
//! a network that loses and delays, and nothing that depends on the machine. Equal plans give equal outcomes.
//!
//! It knows the decisions of the fleet and of tenancy. It leaves files, threads and plots to whoever runs it.
//!
//! * [`follow`]: followers of one leader while tenants change: how long until a change is in force everywhere, who is
//!   without a lease needlessly, the leader's load.
//! * [`power`]: all controllers return at once after a loss of power: how long until calls are answered in time, who is
//!   asked for how many snapshots.
//! * [`network`], [`events`]: what both are built on.

#![forbid(unsafe_code)]

pub mod events;
pub mod follow;
pub mod network;
pub mod power;

/// Microseconds of virtual time.
pub type Micros = u64;

/// Milliseconds of virtual time, the unit of `nettleferry-fleet`.
pub fn ms(at: Micros) -> u64 {
    at / 1000
}
