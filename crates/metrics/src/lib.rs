//! Metrics of a controller in Prometheus format. All series are created at the start with the value zero, and the
//! number of call series is bounded by the settings.
//!
//! This crate depends on the names of classes, tenants and model groups, which are label values. It must not depend
//! on sockets, clocks or open calls: callers pass in the values. The scrape endpoint and remote write read the
//! registry.
//!
//! * [`registry`]: all series. A series is looked up by index, so recording a value does not allocate. Only recording a
//!   latency takes a lock, that of the histogram of the call's class.
//! * [`updates`]: groups of values that are recorded or set together.
//! * [`labels`]: label values as enums.
//! * [`latency`]: call latencies of a class, in classic and native buckets.
//! * [`layout`]: which tenants and model groups have series of their own, and which share `other`.
//! * [`sample`]: parser of the metrics text.

#![forbid(unsafe_code)]

mod groups;
pub mod labels;
pub mod latency;
pub mod layout;
pub mod registry;
pub mod sample;
pub mod updates;

pub use labels::{
    AttemptCause, CallEnd, LATENCY_BUCKETS, LATENCY_NAME, LeaseStage, LoadOrderEnd, ProbeEnd,
    RecoveryRejection, RecoveryStep, ReplicaNote, SampleEnd, WorkerHealth,
};
pub use latency::{LatencyHistogram, NATIVE_SCHEMA, NativeHistogram};
pub use layout::SeriesLayout;
pub use registry::Metrics;
pub use updates::{CallRecord, FleetState, LeaseState, RecoveryState, RemoteWriteState, WalState};
