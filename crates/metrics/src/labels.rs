//! Names, label values and buckets of the series, as scrapers know them: none of them changes.

use prometheus_client::encoding::EncodeLabelSet;

/// Defines the values of a label as an enum, whose numbers are the places in `ALL`.
macro_rules! label_values {
    ($($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident => $label:literal),* $(,)? })*) => {
        $(
            $(#[$doc])*
            #[derive(Clone, Copy, Debug, PartialEq, Eq)]
            pub enum $name { $($(#[$variant_doc])* $variant),* }

            impl $name {
                /// All values, in the order of their numbers.
                pub const ALL: &[Self] = &[$(Self::$variant),*];
                /// How many values there are.
                pub const COUNT: usize = Self::ALL.len();

                /// The label value.
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
        /// Served within the latency objective of its class.
        ServedInTime => "served_in_time",
        /// Served after it.
        ServedLate => "served_late",
        /// Rejected: a retry does no harm.
        Refused => "refused",
        /// Failed: it may have run.
        Failed => "failed",
        /// The worker found the call itself wrong.
        Rejected => "rejected",
        /// The client left first.
        Cancelled => "cancelled",
    }

    /// Why an attempt was made: it was the first, or how the one before it ended.
    AttemptCause {
        /// The first attempt.
        First => "first",
        /// The worker reported an error.
        Error => "error",
        /// The worker was full.
        Full => "full",
        /// No response came in time.
        Timeout => "timeout",
        /// The connection failed before the request was sent.
        ConnectFailed => "connect_failed",
        /// The connection was reset.
        Reset => "reset",
        /// It was cancelled.
        Cancelled => "cancelled",
        /// It was never sent.
        NeverSent => "moot",
        /// The model was not loaded.
        NotLoaded => "miss",
    }

    /// What a response says of the replica that served it.
    ReplicaNote {
        /// It was loaded.
        Warm => "warm",
        /// The call began its load.
        LoadBegan => "began",
        /// The call waited for its load.
        LoadWaited => "waited",
        /// Its load failed.
        LoadFailed => "failed",
    }

    /// How a load order ended.
    LoadOrderEnd {
        /// The replicas are loaded.
        Loaded => "stand",
        /// The worker has no room.
        Full => "full",
        /// It failed.
        Failed => "failed",
        /// No response came in time.
        Timeout => "timeout",
    }

    /// Health of a worker, as the decision module sees it.
    WorkerHealth {
        /// In service.
        Serving => "serving",
        /// Draining.
        Draining => "draining",
        /// Ejected as an outlier.
        Ejected => "barred",
        /// Unreachable.
        Down => "down",
    }

    /// Step of a controller's return from a restart.
    RecoveryStep {
        /// Calls are not limited.
        None => "none",
        /// There is no worker list yet.
        NoList => "no-list",
        /// A part of the workers is known.
        Partial => "part",
        /// All workers are known.
        Complete => "whole",
    }

    /// Why a controller rejected a call after a restart, or without a lease.
    RecoveryRejection {
        /// There is no worker list yet.
        NoList => "no-list",
        /// Too many calls wait.
        Overloaded => "crowded",
        /// The model's class has not been served yet.
        UnconfirmedList => "unproven",
        /// The controller has no lease.
        WithoutLease => "without-lease",
    }

    /// Stage of a follower's lease.
    LeaseStage {
        /// It holds a lease.
        Current => "current",
        /// The lease has expired, and it goes on.
        Unleased => "goes-on",
        /// The lease has expired, and it rejects calls.
        Rejecting => "refuses",
        /// It reports that it is not ready.
        NotReady => "leaves",
        /// It is fenced.
        Fenced => "fenced",
    }

    /// What became of a sample of remote write.
    SampleEnd {
        /// The receiver accepted it.
        Accepted => "taken",
        /// The receiver rejected it for good.
        Rejected => "refused",
        /// Dropped because the queue was full.
        DroppedFull => "dropped_full",
        /// Dropped because it was too old.
        DroppedOld => "dropped_old",
        /// Dropped because its series had a later one.
        DroppedOrder => "dropped_order",
        /// Dropped because there are too many series.
        DroppedSeries => "dropped_series",
    }

    /// How a probe ended.
    ProbeEnd {
        /// With a response.
        Answered => "answered",
        /// Without one.
        Failed => "failed",
    }
}

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
pub const LATENCY_BUCKETS: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0, 10.0, 30.0];

/// The name of the latency's series in the text.
pub const LATENCY_NAME: &str = "nettleferry_call_duration_seconds";
