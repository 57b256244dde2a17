//! `nettleferry node` as a process: configuration, SIGHUP and SIGTERM. The tests of its protocols are in `crates/node`.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use nettleferry_platform::frames::{self, kind};

/// Timeout of each wait in these tests; every wait is for an event.
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
        let done = Command::new("kill").args([&format!("-{name}"), &self.0.id().to_string()]).status();
        assert!(done.expect("kill runs").success());
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn directory() -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket.set_read_timeout(Some(WAIT_TIMEOUT)).expect("socket option set");
    let address = socket.local_addr().expect("an address");
    (socket, address)
}

fn config(resolver: SocketAddr) -> String {
    serde_json::json!({
        "listen": "127.0.0.1:0", "seed": "1f", "resolver": resolver.to_string(), "unknown": {"to": "us"},
        "settings": {
            "classes": [{"name": "safe", "deadline_ms": 4000, "effect": "free", "unknown": 1}],
            "me": 0, "n_instances": 1, "limits": {"max_attempts": 3, "connect_timeout_ms": 250}, "unknown": [],
        },
    })
    .to_string()
}

#[test]
fn unusable_configuration_gives_one_line_and_exit_code_2() {
    let dir = tempfile::tempdir().expect("temporary folder");
    let path = dir.path().join("config.json");
    let with_field = |name: &str, value: serde_json::Value| {
        let mut config: serde_json::Value = serde_json::from_str(&config(directory().1)).expect("valid JSON");
        config[name] = value;
        config.to_string()
    };
    let instance = |name: &str, value: serde_json::Value| {
        let mut one = serde_json::json!({"instanceId": "s-1", "hostPort": "127.0.0.1:9", "lifecycle": "up"});
        one[name] = value;
        serde_json::json!({"pos": 1, "entries": [{"pos": 1, "hosts": {"instances": [one]}}]})
    };
    let setting = |path: &str, value: serde_json::Value| {
        let mut config: serde_json::Value = serde_json::from_str(&config(directory().1)).expect("valid JSON");
        *config["settings"].pointer_mut(path).expect("it is there") = value;
        Some(config.to_string())
    };
    let texts = [
        (None, ""),
        (Some("{\"listen\":".to_owned()), ""),
        (Some("{}".to_owned()), "listen"),
        (Some("[]".to_owned()), ""),
        // An error in a field is reported with its name.
        (Some(with_field("resolver", 5.into())), "resolver"),
        (Some(with_field("limits", "many".into())), "limits"),
        (Some(with_field("known", serde_json::json!({"pos": -1}))), "known"),
        (
            Some(with_field("settings", serde_json::json!({"classes": [{"name": "a", "deadline_ms": "x"}]}))),
            "deadline_ms",
        ),
        (Some(with_field("listen", "127.0.0.1".into())), "listen"),
        (Some(with_field("seed", 5.into())), "seed"),
        (Some(with_field("limits", serde_json::json!({"sockets": -1}))), "limits"),
        (Some(with_field("settings", serde_json::Value::Null)), "settings"),
        (Some(with_field("settings", serde_json::json!([]))), "settings"),
        (Some(with_field("settings", serde_json::json!({}))), "classes"),
        // Errors in the list of known invokers.
        (Some(with_field("known", instance("hostPort", "nowhere".into()))), "s-1"),
        (Some(with_field("known", instance("hostPort", "127.0.0.1:65536".into()))), "s-1"),
        (Some(with_field("known", instance("instanceId", 7.into()))), "known"),
        (Some(with_field("known", instance("lifecycle", "asleep".into()))), "known"),
        (Some(with_field("known", serde_json::json!({"pos": 4294967296u64}))), "known"),
        // Errors in nested settings.
        (setting("/classes/0/effect", "harmless".into()), "classes[0].effect"),
        (setting("/classes/0/deadline_ms", (-4).into()), "classes[0].deadline_ms"),
        (setting("/limits/max_attempts", "3".into()), "limits.max_attempts"),
        (setting("/limits/max_attempts", 0.into()), "limits.max_attempts"),
        (setting("/limits/connect_timeout_ms", serde_json::json!({})), "limits.connect_timeout_ms"),
        (setting("/n_instances", 0.into()), "n_instances"),
        (setting("/n_instances", 1.5.into()), "n_instances"),
        (setting("/me", 1.into()), "field me"),
    ];
    for (text, named) in texts {
        if let Some(text) = &text {
            std::fs::write(&path, text).expect("written");
        }
        let mut node = Node::start(&path);
        let mut said = String::new();
        node.0.stderr.take().expect("piped").read_to_string(&mut said).expect("text");
        assert_eq!(node.0.wait().expect("status of the child").code(), Some(2), "{text:?}");
        assert_eq!(said.lines().count(), 1, "{said}");
        assert!(said.contains(named), "{named} is named: {said}");
    }
}

#[test]
fn sighup_switches_directory_once_its_file_is_complete_and_sigterm_drains() {
    let dir = tempfile::tempdir().expect("temporary folder");
    let path = dir.path().join("config.json");
    let ((first, one), (second, two)) = (directory(), directory());
    std::fs::write(&path, config(one)).expect("written");
    let mut node = Node::start(&path);
    let mut said = BufReader::new(node.0.stdout.take().expect("piped"));
    let mut line = String::new();
    said.read_line(&mut line).expect("text");
    let address =
        line.trim_end().strip_prefix("listening frames ").expect("the line that reports the listener");
    let mut buffer = [0; 512];
    first.recv_from(&mut buffer).expect("the first directory is asked");

    std::fs::write(&path, &config(two)[..40]).expect("written");
    for _ in 0..3 {
        node.signal("HUP");
    }
    let mut logs = BufReader::new(node.0.stderr.take().expect("piped"));
    let mut line = String::new();
    while !line.contains("configuration not reloaded") {
        line.clear();
        assert!(logs.read_line(&mut line).expect("text") > 0, "it goes on");
    }
    std::fs::write(&path, config(two)).expect("written");
    second.recv_from(&mut buffer).expect("read again without a further signal");

    let mut client = TcpStream::connect(address).expect("connects");
    client.set_read_timeout(Some(WAIT_TIMEOUT)).expect("socket option set");
    let mut word = Vec::new();
    frames::bare(&mut word, kind::READY, 0);
    client.write_all(&word).expect("written");
    let mut answer = [0; 11];
    client.read_exact(&mut answer).expect("answered");
    assert_eq!(answer[4], kind::READY_ANSWER);
    node.signal("TERM");
    node.signal("HUP");
    let mut answer = [0; 9];
    client.read_exact(&mut answer).expect("an answer");
    assert_eq!(answer[4], kind::GO_AWAY);
    // Reads the log to its end, so that a full pipe can't block the process.
    let mut rest = Vec::new();
    logs.read_to_end(&mut rest).expect("text");
    assert_eq!(node.0.wait().expect("status of the child").code(), Some(0));
}
