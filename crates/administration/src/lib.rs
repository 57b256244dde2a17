//! The administration of a controller: the leader, which owns the tenants and serves the API, and followers, which
//! replicate the tenants from a leader.
//!
//! This crate depends on tenants, the fleet's decisions, files and HTTP. It must not depend on calls, worker
//! connections or the gateway. It does the I/O; decisions are made in the crates that it uses: `nettleferry-admin` (the
//! response to an API request), `nettleferry-fleet` (membership, leases, loans, recovery) and `nettleferry-tenancy`
//! (changes and replication).
//!
//! The leader and the follower each run on a thread of their own and send ordered events to the controller; see
//! [`messages`].
//!
//! * [`admin_server`]: the controller's handle to the administration thread.
//! * `leader`: the server loop, the API's ports, membership and leases, loans, audit collector, recovery, snapshots.
//! * `follower`: heartbeats and replication, bootstrap from peers, persistence, delivery of audit entries.
//! * [`snapshot_document`], `peer_client`, `snapshot_listener`: exchange of snapshots between controllers.
//! * `applied_versions`: the version that the controller has applied. `pending_changes`: API responses that wait for a
//!   change to be persisted and in force.
//! * [`audit_log_writer`]: a controller's own audit log. `collected_logs`: the audit logs of all controllers, which the
//!   leader collects.
//! * [`persisted_file`]: files that are read at the next start. [`endpoint`]: a small HTTP listener. [`keys`]: bearer
//!   keys.

#![forbid(unsafe_code)]

pub mod admin_server;
mod applied_versions;
pub mod audit_log_writer;
mod collected_logs;
mod controller_context;
mod controller_link;
pub mod endpoint;
mod follower;
mod http_reply;
mod key_file;
pub mod keys;
mod leader;
mod loan_service;
pub mod messages;
mod peer_client;
mod pending_changes;
pub mod persisted_file;
pub mod snapshot_document;
mod snapshot_listener;

pub use admin_server::AdminServer;
pub use collected_logs::ADMINISTRATION_LOG;
pub use controller_context::ControllerContext;
pub use loan_service::MAX_DEMANDS;
pub use messages::{AdminEvent, ControllerStatus, FleetCounts, LimitDemand, LoanGrant};
pub use snapshot_document::SnapshotDocument;
