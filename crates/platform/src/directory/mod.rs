//! The list of invokers, from events in the configuration (`events`) and from responses to DNS queries (`dns`).

mod dns;
mod events;

use std::net::SocketAddr;

use serde::Deserialize;

pub use self::dns::{LIST_NAME, MAX_RESPONSE_BYTES, build_query, parse_response};
pub use self::events::{HostChange, InstanceChange, KnownEvents, ListEvent};

/// The state of an invoker in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// In service.
    Up,
    /// Finishes its open requests and must get no new ones.
    Draining,
    /// No longer in the list. Occurs in events only.
    Removed,
}

/// An invoker of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Invoker {
    /// The invoker's id.
    pub id: String,
    /// The address that the invoker listens on; `None` in the event that removes it.
    pub address: Option<SocketAddr>,
    /// The zone that the invoker runs in.
    pub zone: String,
    /// The kind of machine that the invoker runs on.
    pub kind: String,
    /// The invoker's cell.
    pub cell: String,
    /// The invoker's weight; see [`nettleferry::Weights`] for its meaning.
    pub weight: f64,
    /// Whether the invoker is in service, draining or removed.
    pub state: State,
    /// Start time in Unix milliseconds; 0: unknown or long ago.
    pub started_ms: u64,
}

/// Why a response or an event of the directory is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// The response is not a DNS message, or a query can't be built.
    #[error("not a valid DNS message: {0}")]
    Dns(String),
    /// The message is the response to another query, or not a response.
    #[error("not the answer to this query")]
    Unexpected,
    /// The response is truncated.
    #[error("the response is truncated")]
    Truncated,
    /// The directory reports a failure, with this response code.
    #[error("the directory reports {0}")]
    Failure(String),
    /// A record of the response, or an address in an event, is missing or invalid.
    #[error("{0}")]
    Record(String),
}

/// The list of invokers as it is after an event.
#[derive(Clone, Debug, PartialEq)]
pub struct List {
    /// Number of the last event that the list includes.
    pub serial: u32,
    /// The invokers, ordered by id.
    pub invokers: Vec<Invoker>,
}
