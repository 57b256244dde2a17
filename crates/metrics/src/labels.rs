//! Label sets, label values and histogram buckets of the series. Dashboards and alerts depend on them, so a released
//! name or value must not change.

use prometheus_client::encoding::EncodeLabelSet;

/// Defines an enum for the values of a label. The discriminant of a variant is its index in `ALL`.
macro_rules! label_values {
    ($($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident => $label:literal),* $(,)? })*) => {
        $(
            $(#[$doc])*
            #[derive(Clone, Copy, Debug, PartialEq, Eq)]
            pub enum $name { $($(#[$variant_doc])* $variant),* }

            impl $name {
                /// All variants, in declaration order.
                pub const ALL: &[Self] = &[$(Self::$variant),*];
                /// Number of variants, which is the length of `ALL`.
                pub const COUNT: usize = Self::ALL.len();

                /// Returns the label value of the variant.
                pub const fn label(self) -> &'static str {
                    match self { $(Self::$variant => $label),* }
                }
            }
        )*
    };
}

label_values! {
    /// How a call ended.
    CallEnd {
        /// Served within the latency objective of the call's class.
        ServedInTime => "served_in_time",
        /// Served after the latency objective had passed.
        ServedLate => "served_late",
        /// Not served. The client may safely retry the call.
        Refused => "refused",
        /// The call failed and may have run.
        Failed => "failed",
        /// A worker answered that the call itself is invalid.
        Rejected => "rejected",
        /// The client disconnected before the final answer.
        Cancelled => "cancelled",
    }

    /// Why an attempt was made: it is the first of its call, or the previous attempt ended in the given way.
    AttemptCause {
        /// First attempt of the call.
        First => "first",
        /// The worker reported an error.
        Error => "error",
        /// The worker rejected the attempt before any processing.
        Full => "full",
        /// No response arrived before the attempt timed out.
        Timeout => "timeout",
        /// The connection could not be established, or broke before the request was sent completely.
        ConnectFailed => "connect_failed",
        /// The connection broke after the request was sent.
        Reset => "reset",
        /// The attempt was cancelled.
        Cancelled => "cancelled",
        /// The attempt was never sent.
        NeverSent => "moot",
        /// The worker had no loaded replica of the model and no load in progress, or the load failed.
        NotLoaded => "miss",
    }

    /// What a worker's response reports about the replica of the model.
    ReplicaNote {
        /// The replica was loaded.
        Warm => "warm",
        /// The call caused the replica to load.
        LoadBegan => "began",
        /// The call waited for a load that had already started.
        LoadWaited => "waited",
        /// The load that the call waited for failed.
        LoadFailed => "failed",
    }

    /// How a load order ended.
    LoadOrderEnd {
        /// The replicas are loaded.
        Loaded => "stand",
        /// The worker has no capacity for another replica.
        Full => "full",
        /// The load order failed in any other way.
        Failed => "failed",
        /// No response arrived before the load order timed out.
        Timeout => "timeout",
    }

    /// Health of a worker, as the decision module sees it.
    WorkerHealth {
        /// The worker is in service.
        Serving => "serving",
        /// The worker is draining.
        Draining => "draining",
        /// The worker was ejected as an outlier.
        Ejected => "barred",
        /// The worker is unreachable.
        Down => "down",
    }

    /// Phase of a controller's return to service after a restart.
    RecoveryStep {
        /// The return to service is complete or was not needed: calls are not limited.
        None => "none",
        /// The controller has no worker list yet, and rejects all calls.
        NoList => "no-list",
        /// Calls are admitted as far as they can be answered in time.
        Partial => "part",
        /// Service is complete: all calls are admitted.
        Complete => "whole",
    }

    /// Why a controller rejected a call on arrival, after a restart or without a lease.
    RecoveryRejection {
        /// The controller has no worker list yet.
        NoList => "no-list",
        /// Waiting calls of the same model were too old, or too many calls were waiting.
        Overloaded => "crowded",
        /// The call is not idempotent, and the worker list was persisted by an earlier incarnation and not read since
        /// the start.
        UnconfirmedList => "unproven",
        /// The controller has no lease, or its incarnation is fenced.
        WithoutLease => "without-lease",
    }

    /// Stage of a follower's lease.
    LeaseStage {
        /// The controller has a lease, or its leader grants none.
        Current => "current",
        /// The controller has no lease and continues with the snapshot that it last received.
        Unleased => "goes-on",
        /// The controller has no lease and rejects new calls.
        Rejecting => "refuses",
        /// The controller rejects new calls and reports that it is not ready.
        NotReady => "leaves",
        /// The controller is fenced: this incarnation never accepts a call again.
        Fenced => "fenced",
    }

    /// How a sample left the remote-write queue.
    SampleEnd {
        /// The receiver accepted the sample.
        Accepted => "taken",
        /// The receiver rejected the sample permanently, or its series was excluded after such a rejection.
        Rejected => "refused",
        /// Dropped because the queue was full.
        DroppedFull => "dropped_full",
        /// Dropped because it exceeded the maximum age.
        DroppedOld => "dropped_old",
        /// Dropped because its series already had a sample of the same or a later time.
        DroppedOrder => "dropped_order",
        /// Dropped because the limit on the number of series was reached.
        DroppedSeries => "dropped_series",
    }

    /// How a probe ended.
    ProbeEnd {
        /// The worker responded to the probe.
        Answered => "answered",
        /// The worker did not respond, or the probe failed otherwise.
        Failed => "failed",
    }
}

/// Defines the label sets: structs with a string for each label.
macro_rules! label_sets {
    ($($(#[$doc:meta])* $name:ident { $($field:ident),* })*) => {
        $($(#[$doc])*
        #[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
        pub(crate) struct $name { $(pub(crate) $field: String),* })*
    };
}

label_sets! {
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

/// Upper bounds of the classic latency buckets, in seconds.
pub const LATENCY_BUCKETS: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0, 10.0, 30.0];

/// Name of the call latency histogram in the metrics text.
pub const LATENCY_NAME: &str = "nettleferry_call_duration_seconds";
