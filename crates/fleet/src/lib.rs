//! Decisions of a fleet whose members may all have lost power in one second: what each believes of before
//! ([`trust`]), which book of tenants stands ([`stamp`], [`authority`], [`seek`]), and how many calls are taken
//! while little can be served ([`gate`]); and of a fleet of which some stand behind: until when each may act on what
//! it last heard ([`lease`]), how it asks ([`watch`]), and when a change is in force everywhere ([`roll`]).
//!
//! No I/O, clock or chance of its own: times are milliseconds that are passed in, chance is a number that is.

pub mod authority;
pub mod bootstrap;
pub mod follower_requests;
pub mod gate;
pub mod lease;
pub mod loans;
pub mod membership;
pub mod recovery_policy;
pub mod snapshot_version;

/// Milliseconds of whatever clock the owner has.
pub type Millis = u64;
