//! Names, label values and buckets of the series, as scrapers know them: none of them changes.

use prometheus_client::encoding::EncodeLabelSet;

/// Ends of calls, with their label values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served within the class's aim.
    InTime,
    /// Served after it.
    Late,
    /// Refused: another try is harmless.
    Refused,
    /// Failed: nothing promised.
    Failed,
    /// The worker found the call itself wrong.
    Rejected,
    /// The client left first.
    Cancelled,
}

/// All ends, in the order of their places.
pub const ENDS: [(End, &str); 6] = [
    (End::InTime, "served_in_time"),
    (End::Late, "served_late"),
    (End::Refused, "refused"),
    (End::Failed, "failed"),
    (End::Rejected, "rejected"),
    (End::Cancelled, "cancelled"),
];

/// Why an attempt was made: it was the first, or how the one before it ended.
pub const REASONS: [&str; 9] =
    ["first", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot", "miss"];

/// What an answer told of loaded copies.
pub const NOTES: [&str; 4] = ["warm", "began", "waited", "failed"];

/// How load orders ended.
pub const ORDERS: [&str; 4] = ["stand", "full", "failed", "timeout"];

/// Health of workers as the module sees it.
pub const HEALTH: [&str; 4] = ["serving", "draining", "barred", "down"];

/// Steps of a controller's return from a restart: none is judged, and those of the gate.
pub const RETURN: [&str; 4] = ["none", "no-list", "part", "whole"];

/// Why a call was refused by a controller that has come back, or does not know whether its book still holds.
pub const RECOVERY: [&str; 4] = ["no-list", "crowded", "unproven", "without-lease"];

/// Stages of a controller's lease.
pub const STAGES: [&str; 5] = ["current", "goes-on", "refuses", "leaves", "fenced"];

/// What became of samples that are pushed.
pub const PUSHED: [&str; 6] =
    ["taken", "refused", "dropped_full", "dropped_old", "dropped_order", "dropped_series"];

macro_rules! labels {
    ($($(#[$doc:meta])* $name:ident { $($field:ident),* })*) => {
        $($(#[$doc])*
        #[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
        pub(crate) struct $name { $(pub(crate) $field: String),* })*
    };
}

labels! {
    CallLabels { class, end, tenant, model_group }
    ClassLabels { class }
    ReasonLabels { reason }
    NoteLabels { note }
    EndLabels { end }
    HealthLabels { health }
    StepLabels { step }
    StageLabels { stage }
    LimitLabels { limit }
}

/// Upper bounds of the classic latency buckets, seconds.
pub const BUCKETS: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0, 10.0, 30.0];

/// The latency's name, as it stands in the registry.
pub const LATENCY: &str = "nettleferry_call_duration_seconds";
