//! The metrics of a controller, in Prometheus form: every series exists at zero from the start, and there are never more
//! than the settings allow.
//!
//! May know: names of classes, tenants and model groups as labels. Must not know: sockets, clocks, open calls. Values are
//! handed in; the registry is read by the scrape endpoint and by remote write.
//!
//! * [`registry`]: all series, made at the start and found by index: counting allocates nothing, and only a latency takes
//!   a lock, that of its histogram.
//! * [`updates`]: what is recorded and set. [`labels`]: label values as enums.
//! * [`latency`]: latencies of a class, in classic and native buckets.
//! * [`layout`]: which tenants and model groups have series of their own, and which share `other`.
//! * [`sample`]: the registry's text as single samples.

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
