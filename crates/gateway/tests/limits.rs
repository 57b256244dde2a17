//! Resource limits: oversized messages, header and reset floods, exhausted call slots or descriptors, no workers. Each
//! offending call or connection ends with a defined status, and other clients are still served.

mod common;
use common::*;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use bytes::Bytes;
use nettleferry_net::grpc::Code;
use nettleferry_proto::inference::*;
use nettleferry_scenario::client::ClientRequest;
use nettleferry_test_servers::{Fault, ObservationKind};
use prost::Message;

#[track_caller]
fn assert_served(caller: &mut Caller) {
    let rpc = caller.unary("echo");
    assert_eq!(caller.status(rpc).0.code, Code::Ok);
}

#[track_caller]
fn assert_refused(caller: &mut Caller, rpc: u64) {
    let (status, trailers) = caller.status(rpc);
    assert_eq!(status.code, Code::Unavailable, "{}", status.message);
    let pushback: i64 = trailers["grpc-retry-pushback-ms"]
        .to_str()
        .expect("ASCII value")
        .parse()
        .expect("a numeric pushback");
    assert!(pushback >= 0);
    assert!(trailers.contains_key("grpc-status-details-bin"));
}

#[test]
fn requests_that_are_no_calls_get_the_matching_status() {
    let fleet = Fleet::new(1, SPEC);
    let gateway = serve(SETTINGS, &fleet.list());
    let mut caller = Caller::new(gateway.address);
    let status_of = |caller: &mut Caller, request: ClientRequest| {
        let rpc = caller.start_rpc(request);
        let (status, _) = caller.status(rpc);
        (status.code, status.message)
    };
    let valid = echo("echo", "1", 8);
    let with_header = |name: &str, value: &str| {
        let mut request = client_request("ModelInfer", &valid);
        request.headers.push((name.to_owned(), value.to_owned()));
        request
    };
    assert_eq!(
        status_of(&mut caller, ClientRequest { method: "Fly", ..client_request("x", &valid) }).0,
        Code::Unimplemented
    );
    assert_eq!(
        status_of(&mut caller, client_request("ModelInfer", &echo("zebra", "1", 8))).0,
        Code::NotFound
    );
    let mut unknown_version = climb("climb", "1", 1);
    unknown_version.model_version = "7".into();
    assert_eq!(status_of(&mut caller, client_request("ModelInfer", &unknown_version)).0, Code::NotFound);
    assert_eq!(status_of(&mut caller, with_header("grpc-timeout", "soon")).0, Code::InvalidArgument);
    assert_eq!(status_of(&mut caller, with_header("grpc-encoding", "snappy")).0, Code::Unimplemented);
    let malformed = ClientRequest {
        method: "ModelInfer",
        messages: vec![Bytes::from_static(&[0x0a, 0xff])],
        ..ClientRequest::default()
    };
    assert_eq!(status_of(&mut caller, malformed).0, Code::InvalidArgument);
    let no_message = ClientRequest { method: "ModelInfer", ..ClientRequest::default() };
    assert_eq!(status_of(&mut caller, no_message).0, Code::InvalidArgument);
    let (code, message) = status_of(&mut caller, client_request("ModelInfer", &climb_with(5)));
    assert_eq!(code, Code::InvalidArgument, "the worker rejects the call: {message}");
    assert!(message.contains("segments is a whole number from 1"), "{message}");
    assert_served(&mut caller);
}

/// A `climb` request with two heights, so with one step. More than one segment is invalid.
fn climb_with(segments: i64) -> ModelInferRequest {
    nettleferry_test_servers::models::climb_request("climb", "1", &[1.0, 2.0], segments)
}

#[test]
fn message_over_the_limit_is_resource_exhausted() {
    let fleet = Fleet::new(1, SPEC);
    let gateway = serve(&format!("{SETTINGS}(limits (message-size 64KiB))"), &fleet.list());
    let mut caller = Caller::new(gateway.address);
    let resident_before = gateway.resident();
    let rpc = caller.start_rpc(client_request("ModelInfer", &echo("echo", "1", 100 << 10)));
    let (status, _) = caller.status(rpc);
    assert_eq!(status.code, Code::ResourceExhausted);
    assert!(status.message.contains("at most 65536"), "{}", status.message);
    // A message whose length prefix announces 1 GiB is refused before its body is read.
    let giant = caller.start_rpc(ClientRequest {
        method: "ModelStreamInfer",
        keep_open: true,
        ..ClientRequest::default()
    });
    caller.client.send_raw(giant, Bytes::from_static(&[0, 0x40, 0, 0, 0, 1, 2, 3]));
    assert_eq!(caller.status(giant).0.code, Code::ResourceExhausted);
    assert_served(&mut caller);
    assert!(gateway.resident() < resident_before + (16 << 10));
}

/// HTTP/2 client preface with an empty SETTINGS frame.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";

#[test]
fn endless_header_block_ends_only_its_connection() {
    let fleet = Fleet::new(1, SPEC);
    let gateway = serve(SETTINGS, &fleet.list());
    let mut caller = Caller::new(gateway.address);
    assert_served(&mut caller);
    let mut socket = TcpStream::connect(gateway.address).expect("connection opened");
    socket.set_read_timeout(Some(CONDITION_TIMEOUT)).expect("socket option set");
    socket.write_all(PREFACE).expect("preface sent");
    // HEADERS on stream 1 without END_HEADERS, then CONTINUATION frames without end.
    socket.write_all(&[0, 0, 1, 1, 0, 0, 0, 0, 1, 0x82]).expect("HEADERS frame sent");
    let mut frame = vec![0, 0x40, 0, 9, 0, 0, 0, 0, 1];
    // Literal headers without indexing: name "a", value of 100 bytes.
    while frame.len() < 9 + 0x4000 {
        frame.extend_from_slice(&[0, 1, b'a', 100]);
        frame.extend_from_slice(&[b'v'; 100]);
    }
    frame.truncate(9 + 0x4000);
    let mut buffer = [0; 4096];
    let mut ended = false;
    for _ in 0..10_000 {
        if socket.write_all(&frame).is_err() {
            ended = true;
            break;
        }
    }
    // The end of the connection may also show on a read instead of a write.
    ended |= matches!(socket.read(&mut buffer), Ok(0) | Err(_)) || socket.read(&mut buffer).is_ok();
    assert!(ended, "the gateway must close the connection");
    assert_served(&mut caller);
    assert!(gateway.resident() < 200 << 10);
}

#[test]
fn rapid_resets_end_only_their_connection() {
    let fleet = Fleet::new(1, SPEC);
    let gateway = serve(&format!("{SETTINGS}(limits (reset-streams 32))"), &fleet.list());
    let mut caller = Caller::new(gateway.address);
    assert_served(&mut caller);
    let mut socket = TcpStream::connect(gateway.address).expect("connection opened");
    socket.set_read_timeout(Some(CONDITION_TIMEOUT)).expect("socket option set");
    let mut bytes = PREFACE.to_vec();
    for n in 0..20_000u32 {
        let stream = (2 * n + 1).to_be_bytes();
        // HEADERS with END_HEADERS: :method POST, :scheme http, :path /; then RST_STREAM CANCEL.
        bytes.extend_from_slice(&[0, 0, 3, 1, 4]);
        bytes.extend_from_slice(&stream);
        bytes.extend_from_slice(&[0x83, 0x86, 0x84]);
        bytes.extend_from_slice(&[0, 0, 4, 3, 0]);
        bytes.extend_from_slice(&stream);
        bytes.extend_from_slice(&8u32.to_be_bytes());
    }
    let _ = socket.write_all(&bytes);
    let mut received = Vec::new();
    let _ = socket.read_to_end(&mut received);
    assert!(
        received.windows(4).any(|w| w[3] == 7) || received.is_empty(),
        "GOAWAY, or closed before it could be read"
    );
    assert_served(&mut caller);
}

#[test]
fn calls_over_the_open_limit_are_refused_at_once() {
    let mut fleet = Fleet::new(1, SPEC);
    fleet.handles[0].inject(Fault::Hang(Some("echo-hang".into())));
    let gateway = serve(&format!("{SETTINGS}(limits (open-calls 3))"), &fleet.list());
    let mut caller = Caller::new(gateway.address);
    for _ in 0..3 {
        caller.unary("echo-hang");
    }
    caller.until("a worker received a call", || fleet.any(|s| matches!(s, ObservationKind::Call { .. })));
    let rpc = caller.unary("echo-hang");
    assert_refused(&mut caller, rpc);
}

#[test]
fn without_workers_or_with_draining_ones_calls_are_refused_at_once() {
    let fleet = Fleet::new(2, SPEC);
    let gateway = serve(SETTINGS, "");
    let mut caller = Caller::new(gateway.address);
    for model in ["echo", "echo-once"] {
        let rpc = caller.unary(model);
        assert_refused(&mut caller, rpc);
    }
    gateway.write_list(&fleet.list());
    eventually("the new worker list is in force", || {
        let rpc = caller.unary("echo");
        caller.status(rpc).0.code == Code::Ok
    });
    gateway.write_list(&fleet.list().replace("))", ") (state draining))"));
    eventually("all workers drain", || {
        let rpc = caller.unary("echo-once");
        caller.status(rpc).0.code == Code::Unavailable
    });
    let ready = caller.start_rpc(ClientRequest {
        method: "ServerReady",
        messages: vec![Bytes::new()],
        ..ClientRequest::default()
    });
    let message = ServerReadyResponse::decode(caller.message(ready)).expect("a ServerReadyResponse");
    assert!(!message.ready);
    // An invalid list is ignored: the workers still drain.
    gateway.write_list("(worker w1 (address");
    let rpc = caller.unary("echo");
    assert_refused(&mut caller, rpc);
}

#[test]
fn without_descriptors_connections_are_closed_and_calls_refused() {
    let fleet = Fleet::new(1, SPEC);
    let dir = tempfile::tempdir().expect("temporary folder");
    std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("worker list written");
    let gateway = serve_in(dir, SETTINGS, Some(24));
    let mut caller = Caller::new(gateway.address);
    // The caller connects before the descriptors are exhausted.
    let live = caller.start_rpc(ClientRequest {
        method: "ServerLive",
        messages: vec![Bytes::new()],
        ..ClientRequest::default()
    });
    assert_eq!(caller.status(live).0.code, Code::Ok);
    let mut open_sockets = Vec::new();
    let mut closed = 0;
    for _ in 0..60 {
        let mut socket = TcpStream::connect(gateway.address).expect("connection completed by the kernel");
        socket.set_read_timeout(Some(Duration::from_millis(100))).expect("socket option set");
        match socket.read(&mut [0; 1]) {
            Ok(0) => closed += 1,
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => closed += 1,
            _ => open_sockets.push(socket),
        }
    }
    assert!(closed > 20, "only {closed} connections were closed at once");
    // No descriptor is left for a connection to the worker: the call can't have run, so it is refused at once.
    let rpc = caller.unary("echo-once");
    assert_refused(&mut caller, rpc);
    drop(open_sockets);
    eventually("calls are served again once descriptors are free", || {
        let rpc = caller.unary("echo");
        caller.status(rpc).0.code == Code::Ok
    });
}

#[test]
fn spare_descriptor_taken_by_another_thread_is_replaced_before_accepting() {
    let fleet = Fleet::new(1, SPEC);
    let dir = tempfile::tempdir().expect("temporary folder");
    std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("worker list written");
    // Another thread rereads the worker list every millisecond, so it may take the descriptor that becomes free when
    // the spare one is closed.
    let settings = SETTINGS.replace("(check-every 5ms)", "(check-every 1ms)");
    assert_ne!(settings, SETTINGS, "SETTINGS contains the interval at which the list is checked");
    let gateway = serve_in(dir, &settings, Some(24));
    let mut open_sockets = Vec::new();
    let mut closed = 0;
    let deadline = std::time::Instant::now() + Duration::from_secs(20);
    while closed < 40 {
        assert!(
            std::time::Instant::now() < deadline,
            "no further connection is closed after the first {closed}"
        );
        let mut socket = TcpStream::connect(gateway.address).expect("connection completed by the kernel");
        socket.set_read_timeout(Some(Duration::from_millis(100))).expect("socket option set");
        match socket.read(&mut [0; 1]) {
            Ok(0) => closed += 1,
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => closed += 1,
            _ => open_sockets.push(socket),
        }
    }
}

#[test]
fn other_content_types_are_415() {
    let gateway = serve(SETTINGS, "");
    let mut socket = TcpStream::connect(gateway.address).expect("connection opened");
    socket.set_read_timeout(Some(CONDITION_TIMEOUT)).expect("socket option set");
    let mut bytes = PREFACE.to_vec();
    // :method POST, :scheme http, :path /, content-type "text/html" (indexed name 31).
    let block = [&[0x83, 0x86, 0x84, 0x0f, 0x10, 9][..], b"text/html"].concat();
    bytes.extend_from_slice(&[0, 0, block.len() as u8, 1, 5, 0, 0, 0, 1]);
    bytes.extend_from_slice(&block);
    socket.write_all(&bytes).expect("request sent");
    let mut received = Vec::new();
    let mut chunk = [0; 512];
    // Status 415 is not in the HPACK static table: it is encoded as a literal, plain or Huffman-coded.
    let has_status_415 = |bytes: &[u8]| {
        bytes.windows(3).any(|w| w == b"415")
            || bytes.windows(2).any(|w| w == [0x68, 0x17])
            || bytes.windows(2).any(|w| w == [0x68, 0x2d])
    };
    while !has_status_415(&received) {
        let n = socket.read(&mut chunk).expect("response readable");
        assert!(n > 0, "connection closed without status 415: {received:x?}");
        received.extend_from_slice(&chunk[..n]);
    }
}
