//! An HTTP/1.1 client for POSTs on a mio poll of its own: some lanes to one address, one request on each at a
//! time. For pushing, in a thread of its own.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token, Waker};

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body, where it came whole.
    pub body: Vec<u8>,
}

impl Answer {
    /// A header by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

/// Why no answer came.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PostError {
    /// No connection, or it broke.
    #[error("no answer: {0}")]
    Broken(String),
    /// No answer in time.
    #[error("no answer in time")]
    Late,
    /// What came is no HTTP/1.1 answer.
    #[error("what came is no HTTP/1.1 answer")]
    Malformed,
}

/// Bytes of an answer's head at the most.
const MOST_HEAD: usize = 16 << 10;
/// Bytes of an answer's body that are read at the most; a longer one ends the connection.
const MOST_BODY: usize = 4 << 20;
const WAKE: Token = Token(usize::MAX);

struct Lane {
    socket: Option<TcpStream>,
    out: Vec<u8>,
    sent: usize,
    came: Vec<u8>,
    /// A request is out until then.
    until: Option<Instant>,
}

/// The client.
pub struct Poster {
    poll: Poll,
    waker: Arc<Waker>,
    to: SocketAddr,
    lanes: Vec<Lane>,
    patience: Duration,
}

impl Poster {
    /// A client with so many lanes; an answer that takes longer than `patience` is [`PostError::Late`].
    pub fn new(to: SocketAddr, lanes: usize, patience: Duration) -> io::Result<Self> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKE)?);
        let lane = |_| Lane { socket: None, out: Vec::new(), sent: 0, came: Vec::new(), until: None };
        Ok(Self { poll, waker, to, lanes: (0..lanes).map(lane).collect(), patience })
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
        let Some(l) = self.lanes.get_mut(lane) else { return };
        let mut head =
            format!("{method} {path} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n", self.to, body.len());
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        l.out = head.into_bytes();
        l.out.extend_from_slice(body);
        l.sent = 0;
        l.came.clear();
        l.until = Some(Instant::now() + self.patience);
        // A failure to connect is told by the next turn.
        if l.socket.is_none()
            && let Ok(mut socket) = TcpStream::connect(self.to)
            && self
                .poll
                .registry()
                .register(&mut socket, Token(lane), Interest::READABLE | Interest::WRITABLE)
                .is_ok()
        {
            l.socket = Some(socket);
        }
    }

    /// One round, waiting at most `wait` where nothing has come; answers are appended with their lanes.
    pub fn turn(
        &mut self,
        wait: Option<Duration>,
        out: &mut Vec<(usize, Result<Answer, PostError>)>,
    ) -> io::Result<()> {
        self.work(out);
        let now = Instant::now();
        let next =
            self.lanes.iter().filter_map(|l| l.until).min().map(|at| at.saturating_duration_since(now));
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
        for (n, lane) in self.lanes.iter_mut().enumerate() {
            let Some(until) = lane.until else { continue };
            let done = match lane.turn() {
                Ok(None) if now >= until => Some(Err(PostError::Late)),
                Ok(None) => None,
                Ok(Some((answer, keep))) => {
                    if !keep {
                        lane.socket = None;
                    }
                    Some(Ok(answer))
                }
                Err(error) => Some(Err(error)),
            };
            if let Some(done) = done {
                lane.until = None;
                if done.is_err() {
                    lane.socket = None;
                }
                out.push((n, done));
            }
        }
    }
}

impl Lane {
    /// Writes and reads as far as it goes. An answer comes with whether the connection may be kept.
    fn turn(&mut self) -> Result<Option<(Answer, bool)>, PostError> {
        let broken = |e: io::Error| PostError::Broken(e.to_string());
        let Some(socket) = &mut self.socket else {
            return Err(PostError::Broken("no connection".to_owned()));
        };
        if let Ok(Some(error)) = socket.take_error() {
            return Err(broken(error));
        }
        while self.sent < self.out.len() {
            match socket.write(&self.out[self.sent..]) {
                Ok(n) => self.sent += n,
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) => {
                    break;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(broken(e)),
            }
        }
        let mut chunk = [0; 8 << 10];
        loop {
            match socket.read(&mut chunk) {
                Ok(0) => return Err(PostError::Broken("closed".to_owned())),
                Ok(n) => self.came.extend_from_slice(&chunk[..n]),
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) => {
                    break;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(broken(e)),
            }
            if self.came.len() > MOST_HEAD + MOST_BODY {
                break;
            }
        }
        read(&self.came)
    }
}

fn read(came: &[u8]) -> Result<Option<(Answer, bool)>, PostError> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Response::new(&mut headers);
    let used = match head.parse(came) {
        Ok(httparse::Status::Complete(used)) => used,
        Ok(httparse::Status::Partial) if came.len() <= MOST_HEAD => return Ok(None),
        _ => return Err(PostError::Malformed),
    };
    let text = |v: &[u8]| String::from_utf8_lossy(v).into_owned();
    let headers = head.headers.iter().map(|h| (h.name.to_ascii_lowercase(), text(h.value))).collect();
    let mut answer = Answer { status: head.code.unwrap_or(0), headers, body: Vec::new() };
    let length = answer.header("content-length").and_then(|v| v.trim().parse::<usize>().ok());
    let empty = matches!(answer.status, 204 | 304);
    match if empty { Some(0) } else { length } {
        Some(length) if length <= MOST_BODY => {
            if came.len() < used + length {
                return Ok(None);
            }
            answer.body = came[used..used + length].to_vec();
            let keep = answer.header("connection").is_none_or(|c| !c.eq_ignore_ascii_case("close"));
            Ok(Some((answer, keep)))
        }
        // Without a length, or with too long a body, the status is enough; the connection is not kept.
        _ => Ok(Some((answer, false))),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::http1::{Http1, Http1Limits, Reply};

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
