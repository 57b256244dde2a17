//! An HTTP/1.1 client for POSTs on a mio poll of its own: some lanes to one address, one request on each at a
//! time. For pushing, in a thread of its own.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mio::{Events, Poll, Token, Waker};

pub use crate::http1_client::{Answer, PostError};
use crate::http1_client::{ClientConnection, request};

const WAKE: Token = Token(usize::MAX);

/// The client.
pub struct Poster {
    poll: Poll,
    waker: Arc<Waker>,
    to: SocketAddr,
    lanes: Vec<ClientConnection>,
    patience: Duration,
}

impl Poster {
    /// A client with so many lanes; an answer that takes longer than `patience` is [`PostError::Late`].
    pub fn new(to: SocketAddr, lanes: usize, patience: Duration) -> io::Result<Self> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKE)?);
        let lanes = (0..lanes).map(|_| ClientConnection::default()).collect();
        Ok(Self { poll, waker, to, lanes, patience })
    }

    /// Ends the wait of [`Poster::poll`] from another thread.
    pub fn waker(&self) -> Arc<Waker> {
        Arc::clone(&self.waker)
    }

    /// What is sent from now on has so long to be answered.
    pub fn patience(&mut self, patience: Duration) {
        self.patience = patience;
    }

    /// Begins a POST on a lane that has none out.
    pub fn post(&mut self, lane: usize, path: &str, headers: &[(&str, &str)], body: &[u8]) {
        self.send(lane, "POST", path, headers, body);
    }

    /// Begins a request on a lane that has none out.
    pub fn send(&mut self, lane: usize, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) {
        let Some(connection) = self.lanes.get_mut(lane) else { return };
        let request = request(self.to, method, path, headers, body);
        let until = Instant::now() + self.patience;
        connection.send(self.poll.registry(), Token(lane), self.to, request, until);
    }

    /// One round, waiting at most `wait` where nothing has come; answers are appended with their lanes.
    pub fn poll(
        &mut self,
        wait: Option<Duration>,
        out: &mut Vec<(usize, Result<Answer, PostError>)>,
    ) -> io::Result<()> {
        self.work(out);
        let now = Instant::now();
        let next = self
            .lanes
            .iter()
            .filter_map(ClientConnection::until)
            .min()
            .map(|at| at.saturating_duration_since(now));
        let wait =
            if out.is_empty() { [wait, next].into_iter().flatten().min() } else { Some(Duration::ZERO) };
        let mut events = Events::with_capacity(64);
        match self.poll.poll(&mut events, wait) {
            Err(e) if e.kind() != io::ErrorKind::Interrupted => return Err(e),
            _ => {}
        }
        self.work(out);
        Ok(())
    }

    fn work(&mut self, out: &mut Vec<(usize, Result<Answer, PostError>)>) {
        let now = Instant::now();
        let done = |(n, lane): (usize, &mut ClientConnection)| Some((n, lane.poll(now)?));
        out.extend(self.lanes.iter_mut().enumerate().filter_map(done));
    }
}

#[cfg(test)]
mod tests;
