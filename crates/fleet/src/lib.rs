//! Decisions of a fleet of controllers.
//!
//! After a loss of power: how far state from before a restart is used ([`recovery_policy`]), which snapshot of the
//! tenants is in force ([`snapshot_version`], [`authority`], [`bootstrap`]), and how many calls are accepted while
//! little can be served ([`gate`]).
//!
//! While some controllers are behind: until when each may act on what it last received ([`lease`]), its requests to
//! the leader ([`follower_requests`]), when a change is in force everywhere ([`membership`]), and how a limit is
//! divided ([`loans`]).
//!
//! No I/O, clock or randomness of its own: times are milliseconds that are passed in, random numbers and seeds too.

#![forbid(unsafe_code)]

pub mod authority;
pub mod bootstrap;
pub mod follower_requests;
pub mod gate;
pub mod lease;
pub mod loans;
pub mod membership;
pub mod recovery_policy;
pub mod snapshot_version;

/// Milliseconds of whatever clock the caller has.
pub type Millis = u64;
