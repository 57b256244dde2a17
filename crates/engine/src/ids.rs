//! Identifiers of calls, attempts and control requests, unique within one run of the process.

/// A call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// An attempt of a call, numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The call.
    pub call: CallId,
    /// Its number within the call.
    pub number: u32,
}

/// A control request: a load order or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ControlRequestId(pub u64);
