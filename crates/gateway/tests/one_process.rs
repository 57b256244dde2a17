//! The platform's constraints on a controller: one process without children, one thread, dynamically linked against the
//! system's C library. It sends unsolicited messages only to the directory and its clients.

#[path = "../../node/tests/common/mod.rs"]
mod common;
#[path = "common/process.rs"]
mod process;

use std::net::UdpSocket;

use common::{Client, Invoker, ListedInvoker, Reaction, ReceivedCommand, SERVED, config};
use process::Node;

/// Name of the system's dynamic loader, which every dynamically linked program contains.
const LOADER: &[u8] = b"ld-linux";

#[test]
fn node_is_one_dynamically_linked_process_with_one_thread() {
    let program = std::fs::read(env!("CARGO_BIN_EXE_nettleferry")).expect("program file readable");
    assert!(
        program.windows(LOADER.len()).any(|bytes| bytes == LOADER),
        "the program must contain the name of the dynamic loader"
    );

    let invoker = Invoker::start(|command: &ReceivedCommand| match command.keyword() {
        "CALL" => Reaction::Answer("served", "n=w", command.parts[3].clone()),
        _ => Reaction::Answer("green", "-", vec![]),
    });
    let directory = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let peer = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let listed = vec![ListedInvoker::new(0, invoker.address)];
    let mut configuration = config(directory.local_addr().expect("the socket is bound"), &listed);
    configuration["peers"] = serde_json::json!([peer.local_addr().expect("the socket is bound").to_string()]);
    configuration["peers_all"] = peer.local_addr().expect("the socket is bound").to_string().into();
    let dir = tempfile::tempdir().expect("temporary folder");
    let path = dir.path().join("config.json");
    std::fs::write(&path, configuration.to_string()).expect("configuration written");
    let node = Node::wait_until_listening(Node::spawn(&path, 256));
    let mut client = Client::connect(node.address);
    for id in 1..20 {
        let stream = client.send_request("safe", id, id, b"ab");
        assert_eq!(client.read_answer(stream), (SERVED, b"ab".to_vec()));
    }
    assert_eq!(node.threads_and_children(), (1, 0));
    peer.set_nonblocking(true).expect("socket option set");
    assert!(peer.recv_from(&mut [0; 300]).is_err(), "the node must send nothing to its peer");
}
