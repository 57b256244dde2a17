//! The ways in which clients leave, and what they are owed then.

use std::io::Write;
use std::net::Shutdown;

use nettleferry_platform::frames;

use super::harness::{Client, NodeHarness, name};

/// Every way in which a client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Disconnect {
    /// Type 9.
    Cancel,
    /// Its connection ends in order, after all that it sent.
    HalfClose,
    /// It closes with an answer unread: its end resets the connection.
    Reset,
    /// It sends what can't be read, and is closed by us.
    ProtocolError,
    /// Nine frames that no client sends.
    TooManyFaults,
}

/// All of them.
pub(crate) const WAYS: [Disconnect; 5] = [
    Disconnect::Cancel,
    Disconnect::HalfClose,
    Disconnect::Reset,
    Disconnect::ProtocolError,
    Disconnect::TooManyFaults,
];

impl Disconnect {
    /// The client as it is afterwards, where it still is.
    pub(crate) fn go(self, mut client: Client, stream: u32) -> Option<Client> {
        match self {
            Self::Cancel => client.withdraw(stream),
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

    /// What its client is owed on the stream: an answer at once where it can still be read.
    pub(crate) fn check(self, harness: &mut NodeHarness, client: Option<Client>, stream: u32, code: u8) {
        let Some(mut client) = client else { return };
        match self {
            Self::Cancel => assert!(client.codes(stream).is_empty(), "no answer is owed"),
            _ => {
                let codes =
                    harness.until("its answer", |_| Some(client.codes(stream)).filter(|c| !c.is_empty()));
                assert_eq!(codes, [code], "{self:?}: one answer, at once");
            }
        }
    }
}

/// A client whose end will reset its connection: what it was sent lies unread.
pub(crate) fn with_something_unread(harness: &mut NodeHarness) -> Client {
    let mut client = harness.client();
    let mut ready = Vec::new();
    frames::bare(&mut ready, frames::kind::READY, 0);
    client.socket.write_all(&ready).expect("written");
    harness.until("the answer lies there", |_| {
        let mut one = [0];
        client.socket.peek(&mut one).is_ok().then_some(())
    });
    client
}

/// Has a call of this function served, on its client's first stream; gives the connection at the invoker.
pub(crate) fn served(harness: &mut NodeHarness, client: &mut Client, id: u64, row: u64) -> usize {
    client.ask(1, "safe", id, row, b"");
    let conn = harness.at(0, "CALL", &name(id));
    harness.invokers[0].serve(|_| true);
    harness.until("it is served", |_| (!client.codes(1).is_empty()).then_some(()));
    conn
}
