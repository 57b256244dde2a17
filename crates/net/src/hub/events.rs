//! What the owner of a hub learns: keys of connections and streams, events, and how streams and connections end.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, request, response};

use crate::framing::FrameError;

macro_rules! key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub(crate) u64);

        impl $name {
            pub(super) fn new(generation: u32, index: usize) -> Self {
                Self(u64::from(generation) << 32 | index as u64)
            }
            pub(super) fn index(self) -> usize {
                (self.0 & 0xffff_ffff) as usize
            }
            /// The key as a number, unique within its hub until 2^32 keys were given.
            pub fn number(self) -> u64 {
                self.0
            }
        }
    };
}

key!(
    /// A connection.
    ConnKey);
key!(
    /// A stream: one call.
    StreamKey);

/// A listening socket, by the order in which they were opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ListenerKey(pub usize);

/// How a stream failed, as the wire shows it. Whether its call may have run is decided elsewhere.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// No connection was established.
    #[error("no connection came about")]
    NotConnected,
    /// Not one byte was written since the request was queued, or the connection accepted no new streams.
    #[error("the request was not written")]
    NotWritten,
    /// RST_STREAM with REFUSED_STREAM (RFC 9113, 8.7).
    #[error("the peer refused the stream unseen")]
    Refused,
    /// A GOAWAY whose last stream id is below this stream (RFC 9113, 6.8).
    #[error("the peer went away before it looked at the stream")]
    GoneAway,
    /// RST_STREAM with another reason.
    #[error("the peer reset the stream: {0}")]
    Reset(String),
    /// The connection broke.
    #[error("the connection broke")]
    Broken,
    /// A message could not be read.
    #[error("{0}")]
    Message(#[from] FrameError),
    /// A protocol error.
    #[error("HTTP/2: {0}")]
    Protocol(String),
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It was never established.
    NotConnected,
    /// The peer closed it, or it broke.
    Ended,
    /// A protocol error of the peer.
    Protocol,
    /// The HTTP/2 preface was not received in time.
    Handshake,
    /// It had no streams for [`crate::NetLimits::idle`].
    Idle,
}

/// What happened.
#[derive(Debug)]
pub enum NetEvent {
    /// A peer connected.
    Accepted {
        /// The connection.
        conn: ConnKey,
        /// Where it was accepted.
        listener: ListenerKey,
        /// The address of the peer.
        peer: SocketAddr,
    },
    /// An outgoing connection is established.
    Connected {
        /// The connection.
        conn: ConnKey,
    },
    /// A connection is gone; its streams have had their ends.
    Closed {
        /// The connection.
        conn: ConnKey,
        /// Why.
        why: CloseReason,
    },
    /// A peer opened a stream.
    Request {
        /// Its connection.
        conn: ConnKey,
        /// The stream.
        stream: StreamKey,
        /// Method, path and headers.
        head: request::Parts,
    },
    /// The headers of an answer.
    Head {
        /// The stream.
        stream: StreamKey,
        /// Status and headers.
        head: response::Parts,
    },
    /// A complete message.
    Message {
        /// The stream.
        stream: StreamKey,
        /// Its bytes, decompressed.
        payload: Bytes,
    },
    /// The peer that opened the stream sends no more.
    HalfClosed {
        /// The stream.
        stream: StreamKey,
    },
    /// A message of the peer that opened the stream can't be read; the stream still needs its answer.
    Malformed {
        /// The stream.
        stream: StreamKey,
        /// What is wrong.
        error: FrameError,
    },
    /// The end of an answer on a stream that we opened.
    Trailers {
        /// The stream.
        stream: StreamKey,
        /// The trailers; empty where there were none.
        trailers: HeaderMap,
    },
    /// All of our answer was handed to HTTP/2.
    Sent {
        /// The stream.
        stream: StreamKey,
    },
    /// The stream ended otherwise.
    Failed {
        /// The stream.
        stream: StreamKey,
        /// How.
        why: StreamError,
    },
    /// A stream that was full has room again.
    Drained {
        /// The stream.
        stream: StreamKey,
    },
    /// Another thread woke the hub.
    Woken,
    /// A source that the owner registered with [`super::Hub::registry`] and [`super::Hub::source_token`] is ready.
    Source(usize),
}
