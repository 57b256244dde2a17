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

    /// Ends the wait of [`Poster::turn`] from another thread.
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
    pub fn turn(
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
        let done = |(n, lane): (usize, &mut ClientConnection)| Some((n, lane.turn(now)?));
        out.extend(self.lanes.iter_mut().enumerate().filter_map(done));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::http1::{Http1, Http1Limits, Reply};
    use crate::http1_client::read;

    fn wait(poster: &mut Poster) -> Result<Answer, PostError> {
        let (mut out, until) = (Vec::new(), Instant::now() + Duration::from_secs(30));
        while out.is_empty() {
            assert!(Instant::now() < until, "no end came");
            poster.turn(Some(Duration::from_millis(50)), &mut out).expect("polls");
        }
        out.remove(0).1
    }

    #[test]
    fn answers_come_with_their_heads_and_connections_are_kept() {
        let mut server =
            Http1::bind("127.0.0.1:0".parse().expect("sound"), Http1Limits::default()).expect("a port");
        let (address, stop) = (server.local().expect("bound"), server.stop());
        let thread = std::thread::spawn(move || {
            server.run(|r| Reply {
                headers: vec![("X-Got", format!("{} {}", r.target, r.body.len()))],
                ..Reply::text(if r.target == "/bad" { 400 } else { 200 }, "body")
            })
        });
        let mut poster = Poster::new(address, 1, Duration::from_secs(20)).expect("a poll");
        for (path, status) in [("/a", 200), ("/bad", 400), ("/b", 200)] {
            poster.post(0, path, &[("Content-Type", "x")], &vec![7; 300_000]);
            let answer = wait(&mut poster).expect("an answer");
            assert_eq!(
                (answer.status, answer.header("x-got")),
                (status, Some(format!("{path} 300000").as_str()))
            );
        }
        stop.stop();
        thread.join().expect("ends").expect("served");
        // Its address listens no more.
        poster.post(0, "/c", &[], b"x");
        assert!(matches!(wait(&mut poster), Err(PostError::Broken(_))));
    }

    #[test]
    fn a_silent_or_garbled_receiver_is_told() {
        let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut poster =
            Poster::new(silent.local_addr().expect("bound"), 1, Duration::from_millis(40)).expect("a poll");
        poster.post(0, "/", &[], b"x");
        assert_eq!(wait(&mut poster), Err(PostError::Late));
        assert_eq!(read(b"HELO\r\n\r\n"), Err(PostError::Malformed));
        assert_eq!(read(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc"), Ok(None));
    }
}
