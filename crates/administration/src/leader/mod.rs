//! The leader's administration: owns the tenant store, serves the API, and coordinates the followers. Each service
//! keeps its own state; [`context::LeaderContext`] holds the services that the API uses, [`server_loop::Leader`] the
//! others.
//!
//! * `start`: opens the store and the listener, starts the thread. `server_loop`: handles requests and periodic work.
//! * `api_ports`: implements the interface through which the API uses the running leader. `fleet_status`: the body of
//!   the fleet status response.
//! * `report_check`: validates the reports of followers.
//! * `membership_service`: heartbeats, leases, fencing. `audit_collector`: audit logs of all controllers.
//! * `recovery`: decides which snapshot is authoritative after a loss. `peer_polling`: requests the peers' snapshots
//!   until that is decided.
//! * `store`: the tenant store. `lease_span`: the longest span of leases that may still be valid. `snapshot_writer`:
//!   the snapshot file beside the store.

mod api_ports;
mod audit_collector;
mod context;
mod fleet_status;
mod lease_span;
mod membership_service;
mod peer_polling;
mod recovery;
mod report_check;
mod server_loop;
mod snapshot_writer;
mod start;
mod store;

pub(crate) use start::{LeaderConfig, start};
