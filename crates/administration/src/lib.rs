//! The administration of a controller: the leader, which owns the tenants and serves the API, and followers, which
//! replicate them from a leader.
//!
//! May know: tenants, the fleet's decisions, files, HTTP. Must not know: calls, workers' links, the gateway. Decisions
//! are made below: `nettleferry-admin` (what a request is answered), `nettleferry-fleet` (membership, leases, loans,
//! recovery), `nettleferry-tenancy` (changes and replication).
//!
//! Each side runs on a thread of its own and sends the controller events, in order; see [`messages`].
//!
//! * [`admin_server`]: the thread as the controller sees it.
//! * `leader`: the server loop, the API's ports, membership and leases, loans, audit collector, recovery, snapshots.
//! * `follower`: heartbeats and replication, bootstrap from peers, persistence, delivery of audit entries.
//! * [`snapshot_document`], `peer_client`, `snapshot_listener`: snapshots between controllers.
//! * `applied_versions`: what the controller has in force. `pending_changes`: responses that wait for that.
//! * [`audit_log_writer`]: a controller's own audit log. `collected_logs`: those of all, at the leader.
//! * [`persisted_file`]: files for the next start. [`endpoint`]: a small HTTP listener. [`keys`]: bearer keys.

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
