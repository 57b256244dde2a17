//! The follower's administration: replicates the leader's snapshot, and renews the controller's lease with each heartbeat.
//!
//! * `replica`: the loop, and its state. `leader_client`: requests to the leader. `responses`: what they say.
//! * `snapshot_store`: the snapshot on the disk, and as it is shown to peers. `peer_bootstrap`: a first snapshot from peers.
//! * `deliveries`: audit entries to the leader, and demands for loans.
//!
//! What is requested and in which order is decided by `nettleferry_tenancy`; which snapshot is taken, by
//! `nettleferry_fleet`.

mod deliveries;
mod leader_client;
mod peer_bootstrap;
mod replica;
mod responses;
mod snapshot_store;

pub(crate) use replica::{Follower, FollowerConfig};
