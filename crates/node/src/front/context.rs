//! The state that the front borrows from the node to handle an event.

use nettleferry_net::tcp::Tcp;

use super::call::ClientEvent;
use crate::limits::Counters;

/// The state that the front borrows from the node to handle an event of a client connection.
pub struct FrontContext<'a> {
    /// All connections of the node.
    pub tcp: &'a mut Tcp,
    /// Receives the events from clients.
    pub events: &'a mut Vec<ClientEvent>,
    /// The counters of the node, for limits, faults and reasons.
    pub counters: &'a mut Counters,
}
