//! The state that the pools borrow from the node to execute a command or handle an event.

use nettleferry_engine::Event;
use nettleferry_net::tcp::Tcp;

use crate::limits::Counters;

/// The state that the pools borrow from the node to execute a command or to handle an event of a connection.
pub struct PoolContext<'a> {
    /// All connections of the node.
    pub tcp: &'a mut Tcp,
    /// Receives the events of requests that end.
    pub events: &'a mut Vec<Event>,
    /// The counters of the node, for limits, faults and violations.
    pub counters: &'a mut Counters,
}
