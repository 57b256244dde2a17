//! The follower's administration: replicates the leader's snapshot, and renews the controller's lease with each
//! heartbeat.
//!
//! * `replica`: the loop and its state. `leader_client`: requests to the leader. `responses`: decoding of its
//!   responses.
//! * `snapshot_store`: the snapshot on disk and the copy that is served to peers. `peer_bootstrap`: a first snapshot
//!   from peers.
//! * `deliveries`: loan requests, and delivery of audit entries to the leader.
//!
//! The order of requests is decided by `nettleferry_tenancy`; whether a snapshot is accepted, by `nettleferry_fleet`.

mod deliveries;
mod leader_client;
mod peer_bootstrap;
mod replica;
mod responses;
mod snapshot_store;

pub(crate) use replica::{Follower, FollowerConfig};
