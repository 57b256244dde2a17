//! Identifiers of calls, attempts and control requests, unique within one run of the process.

/// Identifies a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Identifies an attempt of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The call that the attempt serves.
    pub call: CallId,
    /// Number of the attempt within the call, from 0.
    pub number: u32,
}

/// Identifies a control request, that is, a load order or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ControlRequestId(pub u64);
