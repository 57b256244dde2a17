//! Parsing of the list of invokers, from events in the configuration (`events`) and from responses to DNS queries
//! (`dns`).

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
    /// The invoker is in service and accepts requests.
    Up,
    /// The invoker finishes its open requests and must get no new ones.
    Draining,
    /// The invoker is no longer in the list. This state occurs in events only.
    Removed,
}

/// An invoker of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Invoker {
    /// The invoker's id, which is unique in the list.
    pub id: String,
    /// The address that the invoker listens on. `None` if an event gives no address, as when it removes the invoker.
    pub address: Option<SocketAddr>,
    /// The zone that the invoker runs in.
    pub zone: String,
    /// The kind of machine that the invoker runs on.
    pub kind: String,
    /// Name of the cell that the invoker belongs to.
    pub cell: String,
    /// The invoker's weight; see [`nettleferry::Weights`] for its meaning.
    pub weight: f64,
    /// Whether the invoker is in service, draining or removed.
    pub state: State,
    /// Start time in milliseconds since the Unix epoch. 0 if it is unknown or long ago.
    pub started_ms: u64,
}

/// Why a response or an event of the directory is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// The response is not a DNS message, or a query can't be built.
    #[error("DNS message is invalid: {0}")]
    Dns(String),
    /// The message is the response to another query, or not a response.
    #[error("message is not a response to this query")]
    Unexpected,
    /// The response is truncated.
    #[error("response is truncated")]
    Truncated,
    /// The directory could not answer the query, and responded with this DNS response code.
    #[error("directory responded with {0}")]
    Failure(String),
    /// A record of the response, or an address in an event, is missing or invalid.
    #[error("{0}")]
    Record(String),
}

/// The list of invokers after an event.
#[derive(Clone, Debug, PartialEq)]
pub struct List {
    /// Number of the last event that the list includes.
    pub serial: u32,
    /// The invokers, ordered by id.
    pub invokers: Vec<Invoker>,
}
