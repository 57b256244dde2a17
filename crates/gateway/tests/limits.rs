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
fn served(caller: &mut Caller) {
    let rpc = caller.unary("echo");
    assert_eq!(caller.status(rpc).0.code, Code::Ok);
}

#[track_caller]
fn refused(caller: &mut Caller, rpc: u64) {
    let (status, trailers) = caller.status(rpc);
    assert_eq!(status.code, Code::Unavailable, "{}", status.message);
    let pushback: i64 =
        trailers["grpc-retry-pushback-ms"].to_str().expect("ascii").parse().expect("a number");
    assert!(pushback >= 0);
    assert!(trailers.contains_key("grpc-status-details-bin"));
}

#[test]
fn requests_that_are_no_calls_get_the_matching_status() {
    let fleet = Fleet::new(1, SPEC);
    let gateway = serve(SETTINGS, &fleet.list());
    let mut caller = Caller::new(gateway.address);
    let code = |caller: &mut Caller, ask: ClientRequest| {
        let rpc = caller.start_rpc(ask);
        let (status, _) = caller.status(rpc);
        (status.code, status.message)
    };
    let good = echo("echo", "1", 8);
    let with = |name: &str, value: &str| {
        let mut ask = client_request("ModelInfer", &good);
        ask.headers.push((name.to_owned(), value.to_owned()));
        ask
    };
    assert_eq!(
        code(&mut caller, ClientRequest { method: "Fly", ..client_request("x", &good) }).0,
        Code::Unimplemented
    );
    assert_eq!(code(&mut caller, client_request("ModelInfer", &echo("zebra", "1", 8))).0, Code::NotFound);
    let mut version = climb("climb", "1", 1);
    version.model_version = "7".into();
    assert_eq!(code(&mut caller, client_request("ModelInfer", &version)).0, Code::NotFound);
    assert_eq!(code(&mut caller, with("grpc-timeout", "soon")).0, Code::InvalidArgument);
    assert_eq!(code(&mut caller, with("grpc-encoding", "snappy")).0, Code::Unimplemented);
    let noise = ClientRequest {
        method: "ModelInfer",
        messages: vec![Bytes::from_static(&[0x0a, 0xff])],
        ..ClientRequest::default()
    };
    assert_eq!(code(&mut caller, noise).0, Code::InvalidArgument);
    let empty = ClientRequest { method: "ModelInfer", ..ClientRequest::default() };
    assert_eq!(code(&mut caller, empty).0, Code::InvalidArgument);
    let (wrong, words) = code(&mut caller, client_request("ModelInfer", &climb_with(5)));
    assert_eq!(wrong, Code::InvalidArgument, "the worker's own word about the call: {words}");
    assert!(words.contains("segments is a whole number from 1"), "{words}");
    served(&mut caller);
}

/// A `climb` request whose heights have one step, so that more than one segment is invalid.
fn climb_with(segments: i64) -> ModelInferRequest {
    nettleferry_test_servers::models::climb_request("climb", "1", &[1.0, 2.0], segments)
}

#[test]
fn message_over_the_limit_is_resource_exhausted() {
    let fleet = Fleet::new(1, SPEC);
    let gateway = serve(&format!("{SETTINGS}(limits (message-size 64KiB))"), &fleet.list());
    let mut caller = Caller::new(gateway.address);
    let before = gateway.resident();
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
    served(&mut caller);
    assert!(gateway.resident() < before + (16 << 10));
}

const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";

#[test]
fn endless_header_block_ends_only_its_connection() {
    let fleet = Fleet::new(1, SPEC);
    let gateway = serve(SETTINGS, &fleet.list());
    let mut caller = Caller::new(gateway.address);
    served(&mut caller);
    let mut raw = TcpStream::connect(gateway.address).expect("connects");
    raw.set_read_timeout(Some(CONDITION_TIMEOUT)).expect("socket option set");
    raw.write_all(PREFACE).expect("sent");
    // HEADERS on stream 1 without END_HEADERS, then CONTINUATION after CONTINUATION.
    raw.write_all(&[0, 0, 1, 1, 0, 0, 0, 0, 1, 0x82]).expect("sent");
    let mut frame = vec![0, 0x40, 0, 9, 0, 0, 0, 0, 1];
    // Literal headers without indexing: name "a", value of 100 bytes.
    while frame.len() < 9 + 0x4000 {
        frame.extend_from_slice(&[0, 1, b'a', 100]);
        frame.extend_from_slice(&[b'v'; 100]);
    }
    frame.truncate(9 + 0x4000);
    let mut rest = [0; 4096];
    let mut ended = false;
    for _ in 0..10_000 {
        if raw.write_all(&frame).is_err() {
            ended = true;
            break;
        }
    }
    // The end of the connection may also show on a read instead of a write.
    ended |= matches!(raw.read(&mut rest), Ok(0) | Err(_)) || raw.read(&mut rest).is_ok();
    assert!(ended, "the connection ends");
    served(&mut caller);
    assert!(gateway.resident() < 200 << 10);
}

#[test]
fn rapid_resets_end_only_their_connection() {
    let fleet = Fleet::new(1, SPEC);
    let gateway = serve(&format!("{SETTINGS}(limits (reset-streams 32))"), &fleet.list());
    let mut caller = Caller::new(gateway.address);
    served(&mut caller);
    let mut raw = TcpStream::connect(gateway.address).expect("connects");
    raw.set_read_timeout(Some(CONDITION_TIMEOUT)).expect("socket option set");
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
    let _ = raw.write_all(&bytes);
    let mut all = Vec::new();
    let _ = raw.read_to_end(&mut all);
    assert!(all.windows(4).any(|w| w[3] == 7) || all.is_empty(), "GOAWAY, or closed before it could be read");
    served(&mut caller);
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
    caller.until("they are out", || fleet.any(|s| matches!(s, ObservationKind::Call { .. })));
    let over = caller.unary("echo-hang");
    refused(&mut caller, over);
}

#[test]
fn without_workers_or_with_draining_ones_calls_are_refused_at_once() {
    let fleet = Fleet::new(2, SPEC);
    let gateway = serve(SETTINGS, "");
    let mut caller = Caller::new(gateway.address);
    for model in ["echo", "echo-once"] {
        let rpc = caller.unary(model);
        refused(&mut caller, rpc);
    }
    gateway.write_list(&fleet.list());
    eventually("the list is taken", || {
        let rpc = caller.unary("echo");
        caller.status(rpc).0.code == Code::Ok
    });
    gateway.write_list(&fleet.list().replace("))", ") (state draining))"));
    eventually("the drain is in force", || {
        let rpc = caller.unary("echo-once");
        caller.status(rpc).0.code == Code::Unavailable
    });
    let ready = caller.start_rpc(ClientRequest {
        method: "ServerReady",
        messages: vec![Bytes::new()],
        ..ClientRequest::default()
    });
    let message = ServerReadyResponse::decode(caller.message(ready)).expect("valid response");
    assert!(!message.ready);
    // An invalid list changes nothing.
    gateway.write_list("(worker w1 (address");
    let rpc = caller.unary("echo");
    refused(&mut caller, rpc);
}

#[test]
fn without_descriptors_connections_are_closed_and_calls_refused() {
    let fleet = Fleet::new(1, SPEC);
    let dir = tempfile::tempdir().expect("temporary folder");
    std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("written");
    let gateway = serve_in(dir, SETTINGS, Some(24));
    let mut caller = Caller::new(gateway.address);
    // Connects before the descriptors are exhausted.
    let live = caller.start_rpc(ClientRequest {
        method: "ServerLive",
        messages: vec![Bytes::new()],
        ..ClientRequest::default()
    });
    assert_eq!(caller.status(live).0.code, Code::Ok);
    let mut greedy = Vec::new();
    let mut closed = 0;
    for _ in 0..60 {
        let mut raw = TcpStream::connect(gateway.address).expect("the kernel completes it");
        raw.set_read_timeout(Some(Duration::from_millis(100))).expect("socket option set");
        match raw.read(&mut [0; 1]) {
            Ok(0) => closed += 1,
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => closed += 1,
            _ => greedy.push(raw),
        }
    }
    assert!(closed > 20, "{closed} were closed at once");
    // No descriptor is left for a connection to the worker: the call can't have run, so it is refused at once.
    let rpc = caller.unary("echo-once");
    refused(&mut caller, rpc);
    drop(greedy);
    eventually("handles come back", || {
        let rpc = caller.unary("echo");
        caller.status(rpc).0.code == Code::Ok
    });
}

#[test]
fn spare_descriptor_taken_by_another_thread_is_replaced_before_accepting() {
    let fleet = Fleet::new(1, SPEC);
    let dir = tempfile::tempdir().expect("temporary folder");
    std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("written");
    // The list file is reread all the time, from another thread, so that it may take the descriptor that is freed when the
    // spare one is released.
    let settings = SETTINGS.replace("(check-every 5ms)", "(check-every 1ms)");
    assert_ne!(settings, SETTINGS, "the settings tell how often the list is looked at");
    let gateway = serve_in(dir, &settings, Some(24));
    let mut held = Vec::new();
    let mut closed = 0;
    let end = std::time::Instant::now() + Duration::from_secs(20);
    while closed < 40 {
        assert!(
            std::time::Instant::now() < end,
            "{closed} were closed at once, then all wait without an answer"
        );
        let mut raw = TcpStream::connect(gateway.address).expect("the kernel completes it");
        raw.set_read_timeout(Some(Duration::from_millis(100))).expect("socket option set");
        match raw.read(&mut [0; 1]) {
            Ok(0) => closed += 1,
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => closed += 1,
            _ => held.push(raw),
        }
    }
}

#[test]
fn other_content_types_are_415() {
    let gateway = serve(SETTINGS, "");
    let mut raw = TcpStream::connect(gateway.address).expect("connects");
    raw.set_read_timeout(Some(CONDITION_TIMEOUT)).expect("socket option set");
    let mut bytes = PREFACE.to_vec();
    // :method POST, :scheme http, :path /, content-type "text/html" (indexed name 31).
    let block = [&[0x83, 0x86, 0x84, 0x0f, 0x10, 9][..], b"text/html"].concat();
    bytes.extend_from_slice(&[0, 0, block.len() as u8, 1, 5, 0, 0, 0, 1]);
    bytes.extend_from_slice(&block);
    raw.write_all(&bytes).expect("sent");
    let mut seen = Vec::new();
    let mut chunk = [0; 512];
    // Status 415 is not in the HPACK static table: it is encoded as a literal, plain or Huffman-coded.
    let plain = |all: &[u8]| {
        all.windows(3).any(|w| w == b"415")
            || all.windows(2).any(|w| w == [0x68, 0x17])
            || all.windows(2).any(|w| w == [0x68, 0x2d])
    };
    while !plain(&seen) {
        let n = raw.read(&mut chunk).expect("an answer comes");
        assert!(n > 0, "closed without 415: {seen:x?}");
        seen.extend_from_slice(&chunk[..n]);
    }
}
