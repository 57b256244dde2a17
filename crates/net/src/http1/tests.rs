//! Unit tests of `http1`.

use std::io::{Read, Write};

use super::*;
use std::net::TcpStream as StdTcpStream;

/// Sends bytes in pieces of a given size to a new server, and returns all that it answers.
fn exchange(bytes: &[u8], piece_bytes: usize) -> String {
    let limits = Http1Limits { head_bytes: 400, body_bytes: 10, ..Http1Limits::default() };
    let mut server = Http1Server::bind("127.0.0.1:0".parse().expect("an address"), limits).expect("a port");
    let (address, stop) = (server.local_addr().expect("bound"), server.stop());
    let thread = std::thread::spawn(move || {
        server.run(|r| Reply::text(200, format!("{} {} {}\n", r.method, r.target, r.body.len())))
    });
    let mut socket = StdTcpStream::connect(address).expect("connects");
    socket.set_read_timeout(Some(Duration::from_secs(20))).expect("set");
    socket.set_nodelay(true).expect("set");
    for part in bytes.chunks(piece_bytes) {
        if socket.write_all(part).is_err() {
            break;
        }
    }
    let mut response = Vec::new();
    let _ = socket.read_to_end(&mut response);
    stop.stop();
    thread.join().expect("ends").expect("served");
    String::from_utf8_lossy(&response).into_owned()
}

#[test]
fn requests_are_answered_in_order_in_whatever_pieces_they_arrive() {
    let bytes = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\nxyz\
                      GET /c HTTP/1.1\r\nConnection: close\r\n\r\n";
    for piece_bytes in [1, 7, 1000] {
        let response = exchange(bytes, piece_bytes);
        let bodies: Vec<&str> =
            response.lines().filter(|l| l.contains(" /")).filter(|l| !l.starts_with("HTTP")).collect();
        assert_eq!(bodies, ["GET /a 0", "POST /b 3", "GET /c 0"], "{response}");
    }
}

#[test]
fn malformed_and_too_large_requests_are_answered_and_end_the_connection() {
    let status = |bytes: &[u8]| exchange(bytes, 4096).split(' ').nth(1).unwrap_or("").to_owned();
    assert_eq!(status(b"nonsense\r\n\r\n"), "400");
    assert_eq!(status(b"POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n"), "413");
    assert_eq!(status(b"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n"), "400");
    assert_eq!(status(b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"), "400");
    assert_eq!(status(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"), "411");
    let long = format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(500));
    assert_eq!(status(long.as_bytes()), "431");
}
