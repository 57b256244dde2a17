//! Keys of connections and streams, events, and the reasons for which streams and connections end.

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
            /// The key as a number, unique within its hub until 2^32 keys were issued.
            pub fn number(self) -> u64 {
                self.0
            }
        }
    };
}

key!(
    /// Key of a connection.
    ConnKey);
key!(
    /// Key of a stream, which is one call.
    StreamKey);

/// Key of a listening socket: its index in the order in which the sockets were opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ListenerKey(pub usize);

/// The failure of a stream, as observed on the connection. Whether its call may have run is not decided here.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// The connection was not established.
    #[error("the connection was not established")]
    NotConnected,
    /// No byte was written after the request was passed to HTTP/2, the connection accepted no new streams, or
    /// the deadline of [`super::Hub::open_until`] passed before the stream was started.
    #[error("the request was not written")]
    NotWritten,
    /// RST_STREAM with REFUSED_STREAM: the peer did not process the stream (RFC 9113, section 8.7).
    #[error("the peer refused the stream without processing it")]
    Refused,
    /// GOAWAY with a last stream id below this stream: the peer did not process the stream (RFC 9113, section
    /// 6.8).
    #[error("the peer sent GOAWAY without processing the stream")]
    GoneAway,
    /// RST_STREAM with another error code.
    #[error("the peer reset the stream: {0}")]
    Reset(String),
    /// The connection broke while the stream was open.
    #[error("the connection broke")]
    Broken,
    /// A received message could not be decoded.
    #[error("{0}")]
    Message(#[from] FrameError),
    /// An HTTP/2 protocol error.
    #[error("HTTP/2: {0}")]
    Protocol(String),
}

/// Why a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The outgoing connection was refused, or not established within [`crate::NetLimits::connect_timeout`].
    NotConnected,
    /// The owner or the peer closed the connection, or it broke.
    Ended,
    /// The peer violated the HTTP/2 protocol or exceeded a limit.
    Protocol,
    /// The HTTP/2 preface was not received within [`crate::NetLimits::handshake_timeout`].
    Handshake,
    /// The connection had no streams for [`crate::NetLimits::idle`].
    Idle,
}

/// An event of a connection, of a stream or of a source, reported by [`super::Hub::poll`].
#[derive(Debug)]
pub enum NetEvent {
    /// An incoming connection was accepted.
    Accepted {
        /// The connection.
        conn: ConnKey,
        /// The listener that accepted it.
        listener: ListenerKey,
        /// The address of the peer.
        peer: SocketAddr,
    },
    /// An outgoing connection is established.
    Connected {
        /// The connection.
        conn: ConnKey,
    },
    /// A connection was closed; the ends of its streams were reported before.
    Closed {
        /// The connection.
        conn: ConnKey,
        /// Why it was closed.
        why: CloseReason,
    },
    /// A peer opened a stream.
    Request {
        /// The connection of the stream.
        conn: ConnKey,
        /// The stream.
        stream: StreamKey,
        /// Method, path and headers.
        head: request::Parts,
    },
    /// The headers of a response were received.
    Head {
        /// The stream.
        stream: StreamKey,
        /// Status and headers.
        head: response::Parts,
    },
    /// A complete message was received.
    Message {
        /// The stream.
        stream: StreamKey,
        /// The decompressed message without its prefix.
        payload: Bytes,
    },
    /// The peer has sent the complete request of an incoming stream.
    HalfClosed {
        /// The stream.
        stream: StreamKey,
    },
    /// A message of an incoming stream can't be decoded. The stream stays open for the response.
    Malformed {
        /// The stream.
        stream: StreamKey,
        /// Why the message can't be decoded.
        error: FrameError,
    },
    /// The response of an outgoing stream has ended.
    Trailers {
        /// The stream.
        stream: StreamKey,
        /// The trailers, which are the headers of a Trailers-Only response; empty if there were none.
        trailers: HeaderMap,
    },
    /// The complete response of an incoming stream was passed to HTTP/2.
    Sent {
        /// The stream.
        stream: StreamKey,
    },
    /// The stream ended without [`NetEvent::Trailers`] or [`NetEvent::Sent`].
    Failed {
        /// The stream.
        stream: StreamKey,
        /// The failure, as observed on the connection.
        why: StreamError,
    },
    /// The send queue of a stream for which [`super::Hub::is_full`] was true has drained to half of its
    /// limit.
    Drained {
        /// The stream.
        stream: StreamKey,
    },
    /// Another thread woke the hub with [`super::Hub::waker`].
    Woken,
    /// A source that the owner registered with [`super::Hub::registry`] and [`super::Hub::source_token`] is
    /// ready.
    Source(usize),
}
