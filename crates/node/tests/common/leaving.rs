//! The ways in which clients leave, and what they are owed then.

use std::io::Write;
use std::net::Shutdown;

use nettleferry_platform::frames;

use super::hand::{Client, Hand, name};

/// Every way in which a client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Leaves {
    /// Type 9.
    Withdraws,
    /// Its connection ends in order, after all that it sent.
    Ends,
    /// It closes with an answer unread: its end resets the connection.
    Resets,
    /// It sends what can't be read, and is closed by us.
    IsClosed,
    /// Nine frames that no client sends.
    IsGivenUp,
}

/// All of them.
pub(crate) const WAYS: [Leaves; 5] =
    [Leaves::Withdraws, Leaves::Ends, Leaves::Resets, Leaves::IsClosed, Leaves::IsGivenUp];

impl Leaves {
    /// The client as it is afterwards, where it still is.
    pub(crate) fn go(self, mut client: Client, stream: u32) -> Option<Client> {
        match self {
            Self::Withdraws => client.withdraw(stream),
            Self::Ends => client.socket.shutdown(Shutdown::Write).expect("open"),
            Self::Resets => {
                drop(client);
                return None;
            }
            Self::IsClosed => client.socket.write_all(&[0, 0, 0, 1, 0]).expect("written"),
            Self::IsGivenUp => {
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
    pub(crate) fn check(self, hand: &mut Hand, client: Option<Client>, stream: u32, code: u8) {
        let Some(mut client) = client else { return };
        match self {
            Self::Withdraws => assert!(client.codes(stream).is_empty(), "no answer is owed"),
            _ => {
                let codes =
                    hand.until("its answer", |_| Some(client.codes(stream)).filter(|c| !c.is_empty()));
                assert_eq!(codes, [code], "{self:?}: one answer, at once");
            }
        }
    }
}

/// A client whose end will reset its connection: what it was sent lies unread.
pub(crate) fn with_something_unread(hand: &mut Hand) -> Client {
    let mut client = hand.client();
    let mut ready = Vec::new();
    frames::bare(&mut ready, frames::kind::READY, 0);
    client.socket.write_all(&ready).expect("written");
    hand.until("the answer lies there", |_| {
        let mut one = [0];
        client.socket.peek(&mut one).is_ok().then_some(())
    });
    client
}

/// Has a call of this function served, on its client's first stream; gives the connection at the invoker.
pub(crate) fn served(hand: &mut Hand, client: &mut Client, id: u64, row: u64) -> usize {
    client.ask(1, "safe", id, row, b"");
    let conn = hand.at(0, "CALL", &name(id));
    hand.invokers[0].serve(|_| true);
    hand.until("it is served", |_| (!client.codes(1).is_empty()).then_some(()));
    conn
}
