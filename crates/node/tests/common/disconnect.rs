//! The ways in which clients disconnect, and the answers that they must get then.

use std::io::Write;
use std::net::Shutdown;

use nettleferry_platform::frames;

use super::harness::{Client, NodeHarness, wire_id};

/// A way in which a client disconnects or cancels its request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Disconnect {
    /// A frame cancels the request.
    Cancel,
    /// The client shuts down its sending side after all that it sent.
    HalfClose,
    /// The client closes the connection with an answer unread, which resets the connection.
    Reset,
    /// The client sends an unreadable frame, and the node closes the connection.
    ProtocolError,
    /// The client sends nine frames of an unknown type, and the node closes the connection.
    TooManyFaults,
}

/// All ways.
pub(crate) const ALL_DISCONNECTS: [Disconnect; 5] = [
    Disconnect::Cancel,
    Disconnect::HalfClose,
    Disconnect::Reset,
    Disconnect::ProtocolError,
    Disconnect::TooManyFaults,
];

impl Disconnect {
    /// Disconnects the client. Returns it if its socket is still open.
    pub(crate) fn apply(self, mut client: Client, stream: u32) -> Option<Client> {
        match self {
            Self::Cancel => client.cancel(stream),
            Self::HalfClose => client.socket.shutdown(Shutdown::Write).expect("open"),
            Self::Reset => {
                drop(client);
                return None;
            }
            Self::ProtocolError => client.socket.write_all(&[0, 0, 0, 1, 0]).expect("written"),
            Self::TooManyFaults => {
                let mut out = Vec::new();
                for _ in 0..9 {
                    frames::bare(&mut out, 77, 0);
                }
                client.socket.write_all(&out).expect("written");
            }
        }
        Some(client)
    }

    /// Checks the answer on the stream: none after a cancellation, else one with this code, if the client can read it.
    pub(crate) fn check_answer(
        self,
        harness: &mut NodeHarness,
        client: Option<Client>,
        stream: u32,
        code: u8,
    ) {
        let Some(mut client) = client else { return };
        match self {
            Self::Cancel => {
                assert!(client.answer_codes(stream).is_empty(), "a cancelled request gets no answer")
            }
            _ => {
                let codes = harness
                    .until("an answer", |_| Some(client.answer_codes(stream)).filter(|c| !c.is_empty()));
                assert_eq!(codes, [code], "{self:?}: one answer, at once");
            }
        }
    }
}

/// Returns a client whose close will reset the connection, as it has received data that it has not read.
pub(crate) fn client_with_unread_data(harness: &mut NodeHarness) -> Client {
    let mut client = harness.client();
    let mut ready = Vec::new();
    frames::bare(&mut ready, frames::kind::READY, 0);
    client.socket.write_all(&ready).expect("written");
    harness.until("the answer to arrive", |_| {
        let mut one = [0];
        client.socket.peek(&mut one).is_ok().then_some(())
    });
    client
}

/// Sends a call of this function on the client's first stream and serves it. Returns the index of the connection at the
/// invoker.
pub(crate) fn serve_call(harness: &mut NodeHarness, client: &mut Client, id: u64, row: u64) -> usize {
    client.send_request(1, "safe", id, row, b"");
    let conn = harness.wait_for_command(0, "CALL", &wire_id(id));
    harness.invokers[0].serve(|_| true);
    harness.until("the call to be served", |_| (!client.answer_codes(1).is_empty()).then_some(()));
    conn
}
