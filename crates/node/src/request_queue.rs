//! Requests that were read and not opened yet. Connections take turns, so that a client with many requests delays
//! another by one request at a time.

use std::collections::{BTreeMap, VecDeque};

use nettleferry_net::tcp::TcpKey;

use crate::front::IncomingRequest;

/// A queue of requests that is served by connection, round robin; the requests of one connection stay in order. It is
/// bounded by the requests that clients may have open.
#[derive(Default)]
pub struct RequestQueue {
    by_connection: BTreeMap<TcpKey, VecDeque<IncomingRequest>>,
    /// Connections with requests, the next one first.
    turns: VecDeque<TcpKey>,
    length: usize,
}

impl RequestQueue {
    /// Number of requests.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether there are no requests.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds a request behind those of its connection.
    pub fn push(&mut self, request: IncomingRequest) {
        let connection = request.connection;
        let requests = self.by_connection.entry(connection).or_default();
        if requests.is_empty() {
            self.turns.push_back(connection);
        }
        requests.push_back(request);
        self.length += 1;
    }

    /// Removes and returns the next request of the connection whose turn it is.
    pub fn pop(&mut self) -> Option<IncomingRequest> {
        let connection = self.turns.pop_front()?;
        let requests = self.by_connection.get_mut(&connection)?;
        let request = requests.pop_front()?;
        if requests.is_empty() {
            self.by_connection.remove(&connection);
        } else {
            self.turns.push_back(connection);
        }
        self.length -= 1;
        Some(request)
    }

    /// Removes the requests for which `keep` is false.
    pub fn retain(&mut self, mut keep: impl FnMut(&IncomingRequest) -> bool) {
        for requests in self.by_connection.values_mut() {
            requests.retain(&mut keep);
        }
        self.by_connection.retain(|_, requests| !requests.is_empty());
        self.turns.retain(|connection| self.by_connection.contains_key(connection));
        self.length = self.by_connection.values().map(VecDeque::len).sum();
    }
}
