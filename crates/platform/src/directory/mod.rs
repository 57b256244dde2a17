//! The list of invokers: as events in the configuration ([`events`]), and as responses to DNS queries ([`dns`]).

mod dns;
mod events;

use std::net::SocketAddr;

use serde::Deserialize;

pub use self::dns::{LIST_NAME, MAX_RESPONSE_BYTES, build_query, parse_response};
pub use self::events::{HostChange, InstanceChange, KnownEvents, ListEvent};

/// The state of an invoker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// In service.
    Up,
    /// Finishes its open requests, and gets no new ones.
    Draining,
    /// Gone; occurs in events only.
    Removed,
}

/// An invoker of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Invoker {
    /// Its id.
    pub id: String,
    /// The address that it listens on; `None` in the event that it is gone.
    pub address: Option<SocketAddr>,
    /// Its zone.
    pub zone: String,
    /// Its machine kind.
    pub kind: String,
    /// Its cell.
    pub cell: String,
    /// Its weight.
    pub weight: f64,
    /// Its state.
    pub state: State,
    /// When it started, Unix milliseconds; 0: long ago.
    pub started_ms: u64,
}

/// Why a response of the directory, or an event, can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// It is no DNS message.
    #[error("no DNS message: {0}")]
    Dns(String),
    /// It is the response to another query, or no response.
    #[error("not the answer to this query")]
    Unexpected,
    /// It was truncated.
    #[error("cut short")]
    Truncated,
    /// The directory reports a failure.
    #[error("the directory reports {0}")]
    Failure(String),
    /// A record is missing or can't be read.
    #[error("{0}")]
    Record(String),
}

/// The list of invokers after some event.
#[derive(Clone, Debug, PartialEq)]
pub struct List {
    /// The number of the last event.
    pub serial: u32,
    /// Its invokers, by id.
    pub invokers: Vec<Invoker>,
}
