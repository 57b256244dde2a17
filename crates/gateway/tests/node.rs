//! `nettleferry node` as a process: configuration, SIGHUP and SIGTERM. The tests of its protocols are in `crates/node`.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use nettleferry_platform::frames::{self, kind};
use serde_json::{Value, json};

/// Timeout of each wait for an event.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A running node, killed on drop.
struct Node(Child);

impl Node {
    fn start(config: &Path) -> Self {
        let node = Command::new(env!("CARGO_BIN_EXE_nettleferry"))
            .arg("node")
            .env("PROXY_CONFIG", config)
            .env_remove("RUST_LOG")
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn();
        Self(node.expect("the program starts"))
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill").args([&format!("-{name}"), &self.0.id().to_string()]).status();
        assert!(status.expect("kill runs").success());
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A UDP socket that stands for a directory and sends no response, with its address.
fn directory() -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket.set_read_timeout(Some(WAIT_TIMEOUT)).expect("socket option set");
    let address = socket.local_addr().expect("the socket is bound");
    (socket, address)
}

/// A configuration with this directory. Its unknown fields must be ignored.
fn config(resolver: SocketAddr) -> String {
    json!({
        "listen": "127.0.0.1:0", "seed": "1f", "resolver": resolver.to_string(), "unknown": {"to": "us"},
        "settings": {
            "classes": [{"name": "safe", "deadline_ms": 4000, "effect": "free", "unknown": 1}],
            "me": 0, "n_instances": 1, "limits": {"max_attempts": 3, "connect_timeout_ms": 250}, "unknown": [],
        },
    })
    .to_string()
}

/// A configuration whose field `name` has this value.
fn config_with(name: &str, value: Value) -> String {
    let mut config: Value = serde_json::from_str(&config(directory().1)).expect("valid JSON");
    config[name] = value;
    config.to_string()
}

/// A configuration whose setting at this JSON pointer has this value.
fn config_with_setting(pointer: &str, value: Value) -> String {
    let mut config: Value = serde_json::from_str(&config(directory().1)).expect("valid JSON");
    *config["settings"].pointer_mut(pointer).expect("the configuration has this setting") = value;
    config.to_string()
}

/// A list of known invokers with one invoker, whose field `name` has this value.
fn list_with(name: &str, value: Value) -> Value {
    let mut instance = json!({"instanceId": "s-1", "hostPort": "127.0.0.1:9", "lifecycle": "up"});
    instance[name] = value;
    json!({"pos": 1, "entries": [{"pos": 1, "hosts": {"instances": [instance]}}]})
}

#[test]
fn unusable_configuration_gives_one_line_and_exit_code_2() {
    let dir = tempfile::tempdir().expect("temporary folder");
    let path = dir.path().join("config.json");
    // Configuration file (`None`: there is no file), and what the error must name.
    let cases = [
        (None, ""),
        (Some("{\"listen\":".to_owned()), ""),
        (Some("{}".to_owned()), "listen"),
        (Some("[]".to_owned()), ""),
        // An error in a field is reported with its name.
        (Some(config_with("resolver", 5.into())), "resolver"),
        (Some(config_with("limits", "many".into())), "limits"),
        (Some(config_with("known", json!({"pos": -1}))), "known"),
        (
            Some(config_with("settings", json!({"classes": [{"name": "a", "deadline_ms": "x"}]}))),
            "deadline_ms",
        ),
        (Some(config_with("listen", "127.0.0.1".into())), "listen"),
        (Some(config_with("seed", 5.into())), "seed"),
        (Some(config_with("limits", json!({"sockets": -1}))), "limits"),
        (Some(config_with("settings", Value::Null)), "settings"),
        (Some(config_with("settings", json!([]))), "settings"),
        (Some(config_with("settings", json!({}))), "classes"),
        // Errors in the list of known invokers.
        (Some(config_with("known", list_with("hostPort", "nowhere".into()))), "s-1"),
        (Some(config_with("known", list_with("hostPort", "127.0.0.1:65536".into()))), "s-1"),
        (Some(config_with("known", list_with("instanceId", 7.into()))), "known"),
        (Some(config_with("known", list_with("lifecycle", "asleep".into()))), "known"),
        (Some(config_with("known", json!({"pos": 4294967296u64}))), "known"),
        // Errors in nested settings.
        (Some(config_with_setting("/classes/0/effect", "harmless".into())), "classes[0].effect"),
        (Some(config_with_setting("/classes/0/deadline_ms", (-4).into())), "classes[0].deadline_ms"),
        (Some(config_with_setting("/limits/max_attempts", "3".into())), "limits.max_attempts"),
        (Some(config_with_setting("/limits/max_attempts", 0.into())), "limits.max_attempts"),
        (Some(config_with_setting("/limits/connect_timeout_ms", json!({}))), "limits.connect_timeout_ms"),
        (Some(config_with_setting("/n_instances", 0.into())), "n_instances"),
        (Some(config_with_setting("/n_instances", 1.5.into())), "n_instances"),
        (Some(config_with_setting("/me", 1.into())), "field me"),
    ];
    for (text, field) in cases {
        if let Some(text) = &text {
            std::fs::write(&path, text).expect("configuration written");
        }
        let mut node = Node::start(&path);
        let mut stderr = String::new();
        node.0.stderr.take().expect("stderr is piped").read_to_string(&mut stderr).expect("stderr is UTF-8");
        assert_eq!(node.0.wait().expect("status of the child").code(), Some(2), "{text:?}");
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
        assert!(stderr.contains(field), "the error must name {field}: {stderr}");
    }
}

#[test]
fn sighup_switches_directory_once_its_file_is_complete_and_sigterm_drains() {
    let dir = tempfile::tempdir().expect("temporary folder");
    let path = dir.path().join("config.json");
    let ((first, first_address), (second, second_address)) = (directory(), directory());
    std::fs::write(&path, config(first_address)).expect("configuration written");
    let mut node = Node::start(&path);
    let mut stdout = BufReader::new(node.0.stdout.take().expect("stdout is piped"));
    let mut line = String::new();
    stdout.read_line(&mut line).expect("a line on stdout");
    let address =
        line.trim_end().strip_prefix("listening frames ").expect("the line that reports the listener");
    let mut buffer = [0; 512];
    first.recv_from(&mut buffer).expect("request to the first directory");

    std::fs::write(&path, &config(second_address)[..40]).expect("partial configuration written");
    for _ in 0..3 {
        node.signal("HUP");
    }
    let mut log = BufReader::new(node.0.stderr.take().expect("stderr is piped"));
    let mut line = String::new();
    while !line.contains("configuration not reloaded") {
        line.clear();
        assert!(log.read_line(&mut line).expect("log readable") > 0, "the node must not end");
    }
    std::fs::write(&path, config(second_address)).expect("configuration written");
    second.recv_from(&mut buffer).expect("request to the second directory, without a further signal");

    let mut client = TcpStream::connect(address).expect("connection opened");
    client.set_read_timeout(Some(WAIT_TIMEOUT)).expect("socket option set");
    let mut frame = Vec::new();
    frames::bare(&mut frame, kind::READY, 0);
    client.write_all(&frame).expect("READY frame sent");
    let mut answer = [0; 11];
    client.read_exact(&mut answer).expect("READY_ANSWER frame received");
    assert_eq!(answer[4], kind::READY_ANSWER);
    node.signal("TERM");
    node.signal("HUP");
    let mut frame = [0; 9];
    client.read_exact(&mut frame).expect("GO_AWAY frame received");
    assert_eq!(frame[4], kind::GO_AWAY);
    // Reads the log to its end, so that a full pipe can't block the process.
    let mut rest = Vec::new();
    log.read_to_end(&mut rest).expect("log readable");
    assert_eq!(node.0.wait().expect("status of the child").code(), Some(0));
}
