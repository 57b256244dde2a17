//! The decision logic of a fleet of controllers: one leader and its followers.
//!
//! Recovery after a restart or a power loss:
//!
//! * [`recovery_policy`]: how far state that an earlier incarnation persisted is used.
//! * [`snapshot_version`]: how snapshots of the tenants compare.
//! * [`authority`]: whether the leader may serve its snapshot and accept changes.
//! * [`bootstrap`]: how a follower without a snapshot gets one from its peers.
//! * [`gate`]: admission control until service is complete again.
//!
//! Consistency while some controllers lag behind the leader:
//!
//! * [`lease`]: until when a controller may act on the snapshot that it last received.
//! * [`follower_requests`]: the requests of a follower to its leader.
//! * [`membership`]: when a change is persisted often enough and in force everywhere.
//! * [`loans`]: how a limit is divided among controllers.
//!
//! This crate does no I/O, reads no clock and has no source of randomness: times, random numbers and seeds
//! are passed in.

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

/// A time or a duration in milliseconds, by a clock that the caller chooses.
pub type Millis = u64;
