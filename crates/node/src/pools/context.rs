//! What the pools need to carry out one command or to handle one event of a connection.

use nettleferry_engine::Event;
use nettleferry_net::tcp::Tcp;

use crate::limits::Counters;

/// What the pools need to carry out one command or to handle one event of a connection.
pub struct PoolContext<'a> {
    /// All connections.
    pub tcp: &'a mut Tcp,
    /// Gets the ends of requests.
    pub events: &'a mut Vec<Event>,
    /// The node's counters.
    pub counters: &'a mut Counters,
}
