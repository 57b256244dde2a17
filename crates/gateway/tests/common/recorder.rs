//! A TCP proxy between two processes that records the HTTP/1.1 exchanges that pass through it.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// A request and its response.
#[derive(Clone, Debug)]
pub(crate) struct Exchange {
    pub(crate) method: String,
    pub(crate) target: String,
    pub(crate) request: Vec<u8>,
    pub(crate) status: u16,
    pub(crate) response: Vec<u8>,
}

/// Bytes that passed over one connection, by direction.
#[derive(Default)]
struct Connection {
    requests: Vec<u8>,
    responses: Vec<u8>,
}

/// A recording proxy that accepts connections at `address`.
pub(crate) struct Recorder {
    pub(crate) address: SocketAddr,
    connections: Arc<Mutex<Vec<Connection>>>,
}

#[derive(Clone, Copy)]
enum Direction {
    Requests,
    Responses,
}

impl Recorder {
    pub(crate) fn to(target: SocketAddr, listen: &str) -> Self {
        let listener = TcpListener::bind(listen).expect("the port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let connections: Arc<Mutex<Vec<Connection>>> = Arc::default();
        let recorded = Arc::clone(&connections);
        std::thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                let Ok(server) = TcpStream::connect(target) else { continue };
                let number = {
                    let mut all = recorded.lock().expect("lock is not poisoned");
                    all.push(Connection::default());
                    all.len() - 1
                };
                let (from, to) =
                    (client.try_clone().expect("socket cloned"), server.try_clone().expect("socket cloned"));
                let (requests, responses) = (Arc::clone(&recorded), Arc::clone(&recorded));
                std::thread::spawn(move || forward(from, to, &requests, number, Direction::Requests));
                std::thread::spawn(move || forward(server, client, &responses, number, Direction::Responses));
            }
        });
        Self { address, connections }
    }

    /// Returns the exchanges whose request and response have both passed completely.
    pub(crate) fn exchanges(&self) -> Vec<Exchange> {
        let connections = self.connections.lock().expect("lock is not poisoned");
        connections.iter().flat_map(exchanges).collect()
    }
}

fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    recorded: &Mutex<Vec<Connection>>,
    number: usize,
    direction: Direction,
) {
    let mut buffer = [0; 16384];
    while let Ok(read @ 1..) = from.read(&mut buffer) {
        let mut all = recorded.lock().expect("lock is not poisoned");
        match direction {
            Direction::Requests => all[number].requests.extend_from_slice(&buffer[..read]),
            Direction::Responses => all[number].responses.extend_from_slice(&buffer[..read]),
        }
        drop(all);
        if to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}

/// Removes the next HTTP message: its first line and its body. `None` if it is incomplete.
fn message(bytes: &mut &[u8]) -> Option<(String, Vec<u8>)> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let header = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().to_owned())
    });
    let length = header.map_or(0, |value| value.parse().expect("a numeric Content-Length"));
    let body = bytes.get(end + 4..end + 4 + length)?.to_vec();
    *bytes = &bytes[end + 4 + length..];
    Some((head.lines().next().unwrap_or_default().to_owned(), body))
}

fn exchanges(connection: &Connection) -> Vec<Exchange> {
    let (mut requests, mut responses) = (connection.requests.as_slice(), connection.responses.as_slice());
    let mut all = Vec::new();
    while let Some((request_line, request)) = message(&mut requests) {
        let Some((status_line, response)) = message(&mut responses) else { break };
        let mut words = request_line.split(' ').map(str::to_owned);
        let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let status = status_line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
        all.push(Exchange { method, target, request, status, response });
    }
    all
}
