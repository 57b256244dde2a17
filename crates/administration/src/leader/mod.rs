//! The leader's administration: owns the tenant store, serves the API, and coordinates the followers. Each service has a
//! state of its own; [`context::LeaderContext`] holds those that the API needs, [`server_loop::Leader`] the others.
//!
//! * `start`: opens the store and the listener, starts the thread. `server_loop`: requests, and work that is due.
//! * `api_ports`: what the API asks of the running leader. `fleet_status`: the state of the fleet for it.
//! * `membership_service`: heartbeats, leases, fencing. `audit_collector`: audit logs of all controllers.
//! * `recovery`: which snapshot counts after a loss. `peer_polling`: asks peers meanwhile.
//! * `store`: the tenant store. `lease_span`: the longest lease that may be out. `snapshot_writer`: the snapshot beside
//!   the store.

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
