//! Keys and events of plain connections.

/// Key of a plain connection, unique within its [`super::Tcp`] until 2^32 connections were added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TcpKey(u64);

impl TcpKey {
    pub(super) fn new(generation: u32, index: usize) -> Self {
        Self(u64::from(generation) << 32 | index as u64)
    }
    pub(super) fn index(self) -> usize {
        (self.0 & 0xffff_ffff) as usize
    }
}

/// Why a connection was closed other than by its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionFailure {
    /// The peer refused the connection.
    Refused,
    /// The connection was not established within [`super::TcpLimits::connect_timeout`].
    NotConnected,
    /// The connection was reset or broke.
    Broken,
    /// The peer reads too slowly: the queued bytes exceeded [`super::TcpLimits::output`].
    Slow,
}

/// An event of a connection or of a source, reported by [`super::Tcp::poll`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TcpEvent {
    /// An incoming connection was accepted.
    Accepted(TcpKey),
    /// An outgoing connection is established.
    Connected(TcpKey),
    /// The input of the connection contains bytes.
    Data(TcpKey),
    /// The alarm of the connection has expired.
    Alarm(TcpKey),
    /// The peer of an accepted connection has closed its sending direction, or the connection broke. Bytes that it
    /// sent before may be unread; [`TcpEvent::Ended`] or [`TcpEvent::Closed`] follows them.
    Ending(TcpKey),
    /// The peer has closed its sending direction; its bytes were reported before. It may still read, so the
    /// owner decides when to close the connection.
    Ended(TcpKey),
    /// The connection has failed. Bytes received before were reported earlier.
    Closed(TcpKey, ConnectionFailure),
    /// A source that the owner registered under [`super::Tcp::source_token`] is ready.
    Source(usize),
}

impl TcpEvent {
    /// The connection of the event; `None` for [`TcpEvent::Source`].
    pub fn key(&self) -> Option<TcpKey> {
        match self {
            Self::Accepted(key) | Self::Connected(key) | Self::Data(key) => Some(*key),
            Self::Alarm(key) | Self::Ending(key) | Self::Ended(key) | Self::Closed(key, _) => Some(*key),
            Self::Source(_) => None,
        }
    }
}
