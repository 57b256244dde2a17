//! What the front needs to handle one event of a client's connection.

use nettleferry_net::tcp::Tcp;

use super::call::ClientEvent;
use crate::limits::Counters;

/// What the front needs to handle one event of a client's connection.
pub struct FrontContext<'a> {
    /// All connections.
    pub tcp: &'a mut Tcp,
    /// Gets what clients did.
    pub events: &'a mut Vec<ClientEvent>,
    /// The node's counters.
    pub counters: &'a mut Counters,
}
