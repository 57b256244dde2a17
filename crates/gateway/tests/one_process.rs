//! What the platform lets a controller be: one process without children, one thread, linked against the system's C
//! library, and the directory and its clients the only ones that it speaks with unasked.

#[path = "../../node/tests/common/mod.rs"]
mod common;
#[path = "common/process.rs"]
mod process;

use std::net::UdpSocket;

use common::{Client, Invoker, ListedInvoker, Reaction, ReceivedCommand, SERVED, config};
use process::Node;

/// The system's loader, which a program that is linked dynamically names.
const LOADER: &[u8] = b"ld-linux";

#[test]
fn node_is_one_dynamically_linked_process_with_one_thread() {
    let program = std::fs::read(env!("CARGO_BIN_EXE_nettleferry")).expect("the program is there");
    assert!(program.windows(LOADER.len()).any(|bytes| bytes == LOADER), "it names the system's loader");

    let invoker = Invoker::start(|command: &ReceivedCommand| match command.keyword() {
        "CALL" => Reaction::Answer("served", "n=w", command.parts[3].clone()),
        _ => Reaction::Answer("green", "-", vec![]),
    });
    let silent = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let peer = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let listed = vec![ListedInvoker::new(0, invoker.address)];
    let mut configuration = config(silent.local_addr().expect("bound"), &listed);
    configuration["peers"] = serde_json::json!([peer.local_addr().expect("bound").to_string()]);
    configuration["peers_all"] = peer.local_addr().expect("bound").to_string().into();
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("config.json");
    std::fs::write(&path, configuration.to_string()).expect("written");
    let node = Node::of(Node::spawn(&path, 256));
    let mut client = Client::connect(node.address);
    for id in 1..20 {
        let stream = client.send_request("safe", id, id, b"ab");
        assert_eq!(client.read_answer(stream), (SERVED, b"ab".to_vec()));
    }
    assert_eq!(node.threads_and_children(), (1, 0));
    peer.set_nonblocking(true).expect("set");
    assert!(peer.recv_from(&mut [0; 300]).is_err(), "nothing is sent to a peer");
}
