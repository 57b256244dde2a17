//! Unit tests of `http1_client`.

use super::*;
use crate::http1::{Http1Limits, Http1Server, Reply};
use crate::http1_client_connection::parse;

fn wait(client: &mut Http1Client) -> Result<Answer, Http1Error> {
    let (mut out, until) = (Vec::new(), Instant::now() + Duration::from_secs(30));
    while out.is_empty() {
        assert!(Instant::now() < until, "the request did not end");
        client.poll(Some(Duration::from_millis(50)), &mut out).expect("polls");
    }
    out.remove(0).1
}

#[test]
fn responses_have_their_headers_and_connections_are_reused() {
    let mut server = Http1Server::bind("127.0.0.1:0".parse().expect("an address"), Http1Limits::default())
        .expect("a port");
    let (address, stop) = (server.local_addr().expect("bound"), server.stop());
    let thread = std::thread::spawn(move || {
        server.run(|r| Reply {
            headers: vec![("X-Got", format!("{} {}", r.target, r.body.len()))],
            ..Reply::text(if r.target == "/bad" { 400 } else { 200 }, "body")
        })
    });
    let mut client = Http1Client::new(address, 1, Duration::from_secs(20)).expect("a poll");
    for (path, status) in [("/a", 200), ("/bad", 400), ("/b", 200)] {
        client.post(0, path, &[("Content-Type", "x")], &vec![7; 300_000]);
        let answer = wait(&mut client).expect("an answer");
        assert_eq!(
            (answer.status, answer.header("x-got")),
            (status, Some(format!("{path} 300000").as_str()))
        );
    }
    stop.stop();
    thread.join().expect("ends").expect("served");
    // Nothing listens at the address any more.
    client.post(0, "/c", &[], b"x");
    assert!(matches!(wait(&mut client), Err(Http1Error::Broken(_))));
}

#[test]
fn missing_and_malformed_responses_are_errors() {
    let unresponsive = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut client =
        Http1Client::new(unresponsive.local_addr().expect("bound"), 1, Duration::from_millis(40))
            .expect("a poll");
    client.post(0, "/", &[], b"x");
    assert_eq!(wait(&mut client), Err(Http1Error::Timeout));
    assert_eq!(parse(b"HELO\r\n\r\n"), Err(Http1Error::Malformed));
    assert_eq!(parse(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc"), Ok(None));
}
