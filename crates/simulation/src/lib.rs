//! Fleets of up to a thousand controllers in made-up time: the decisions of `nettleferry-fleet` as the program runs
//! them, a network that loses and delays, and nothing that depends on the machine. One seed, one outcome.
//!
//! * [`follow`]: controllers that follow one administration while tenants change: how long until a change is in
//!   force everywhere, who is shut out needlessly, what the administration bears.
//! * [`power`]: all of them back at once after a loss of power: how long until calls are answered in time, who asks
//!   whom for how much.
//! * [`network`], [`events`]: what both stand on.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod events;
pub mod follow;
pub mod network;
pub mod power;

/// Microseconds of made-up time.
pub type Micros = u64;

/// Milliseconds of it, as the decisions want them.
pub fn ms(at: Micros) -> u64 {
    at / 1000
}
