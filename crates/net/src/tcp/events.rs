//! What the owner of plain connections learns of them.

/// A plain connection, unique within its owner until 2^32 of them were made.
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

/// Why a connection was closed by anything but its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionFailure {
    /// Nobody listens there.
    Refused,
    /// It was never established: unreachable, or not in time.
    NotConnected,
    /// It was reset or broke.
    Broken,
    /// Its peer takes too little: [`super::TcpLimits::output`].
    Slow,
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TcpEvent {
    /// A peer connected.
    Accepted(TcpKey),
    /// An outgoing connection is established.
    Connected(TcpKey),
    /// There are bytes in its input.
    Data(TcpKey),
    /// An alarm came due.
    Alarm(TcpKey),
    /// The peer sends no more; what it sent was reported before. It may still take answers: the owner ends the
    /// connection.
    Ended(TcpKey),
    /// It is gone. What it had received was reported before.
    Closed(TcpKey, ConnectionFailure),
    /// A source that the owner registered under [`super::Tcp::source_token`] is ready.
    Source(usize),
}

impl TcpEvent {
    /// The connection of the event; `None`: it is of a source.
    pub fn key(&self) -> Option<TcpKey> {
        match self {
            Self::Accepted(key) | Self::Connected(key) | Self::Data(key) => Some(*key),
            Self::Alarm(key) | Self::Ended(key) | Self::Closed(key, _) => Some(*key),
            Self::Source(_) => None,
        }
    }
}
