//! An HTTP client of the administration API, and processes that serve it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;

use nettleferry_net::grpc::Code;
use serde_json::Value;

use super::*;

/// Creates a key of this role with `nettleferry admin key`. Returns its token, and the settings line that accepts it.
pub(crate) fn key(name: &str, role: &str) -> (String, String) {
    let out = Command::new(PROGRAM)
        .args(["admin", "key", name, role])
        .output()
        .expect("nettleferry admin key runs");
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    let value_of = |prefix: &str| {
        text.lines().find_map(|line| line.strip_prefix(prefix)).expect("a line with this prefix").to_owned()
    };
    (value_of("token: "), value_of("settings: "))
}

/// A client of the administration API; each request has a connection of its own.
#[derive(Clone)]
pub(crate) struct AdminClient {
    pub(crate) api: SocketAddr,
    pub(crate) token: String,
}

/// A process that serves the administration API, with a client of it.
pub(crate) struct Leader {
    pub(crate) program: Program,
    pub(crate) http: AdminClient,
}

impl std::ops::Deref for Leader {
    type Target = AdminClient;

    fn deref(&self) -> &AdminClient {
        &self.http
    }
}

/// Starts the administration in a new folder, with the workers of `fleet` and a new key.
pub(crate) fn leader(fleet: &Fleet) -> Leader {
    let dir = tempfile::tempdir().expect("temporary folder");
    std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("worker list written");
    let (token, key_settings) = key("ada", "admin");
    start(dir, token, &key_settings)
}

/// Starts the administration in an existing folder. `key_settings` are the settings lines of the keys that it accepts;
/// `token` belongs to one of them.
pub(crate) fn start(dir: tempfile::TempDir, token: String, key_settings: &str) -> Leader {
    start_at("127.0.0.1:0", dir, token, key_settings)
}

/// Like [`start`], with the API at this address.
pub(crate) fn start_at(listen: &str, dir: tempfile::TempDir, token: String, key_settings: &str) -> Leader {
    std::fs::write(dir.path().join("key"), key_settings).expect("key file written");
    let settings = format!("{SETTINGS}(admin (listen \"{listen}\") (store \"tenants.redb\") {key_settings})");
    let program = serve_in(dir, &settings, None);
    let api = program.line("listening admin ");
    Leader { program, http: AdminClient { api, token } }
}

impl AdminClient {
    /// Sends a complete request and reads until the connection is closed. Returns the status (0 if no response
    /// arrived), the head and the body.
    pub(crate) fn send_raw(&self, request: &str) -> (u16, String, String) {
        let mut socket = TcpStream::connect(self.api).expect("connection to the API opened");
        socket.set_read_timeout(Some(CONDITION_TIMEOUT)).expect("socket option set");
        socket.write_all(request.as_bytes()).expect("request sent");
        let mut text = String::new();
        let _ = socket.read_to_string(&mut text);
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let status = head.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
        (status, head.to_owned(), body.to_owned())
    }

    /// Sends a request with the token and these further headers. Returns the status and the JSON body, `Null` if the
    /// body is not JSON.
    pub(crate) fn send(&self, method: &str, target: &str, headers: &str, body: &str) -> (u16, Value) {
        let content_type =
            if method == "PATCH" { "application/merge-patch+json" } else { "application/json" };
        let request = format!(
            "{method} {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer {}\r\nContent-Type: {content_type}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            self.token,
            body.len()
        );
        let (status, _, body) = self.send_raw(&request);
        (status, serde_json::from_str(&body).unwrap_or(Value::Null))
    }

    pub(crate) fn get(&self, target: &str) -> Value {
        self.send("GET", target, "", "").1
    }

    /// Creates a tenant and waits until it is in force.
    #[track_caller]
    pub(crate) fn create(&self, tenant: Value) {
        let (status, response) = self.send("POST", "/v1/tenants", "", &tenant.to_string());
        assert_eq!(status, 201, "{response}");
        self.in_force();
    }

    /// Makes a change that must be accepted, waits until it is in force, and returns the response body.
    #[track_caller]
    pub(crate) fn change(&self, method: &str, target: &str, body: &str) -> Value {
        let (status, response) = self.send(method, target, "If-Match: *\r\n", body);
        assert!((200..300).contains(&status), "{response}");
        self.in_force();
        response
    }

    /// Waits until the first controller of `/v1/controllers` runs with the latest revision.
    #[track_caller]
    pub(crate) fn in_force(&self) {
        eventually("the change is in force", || {
            let response = self.get("/v1/controllers");
            response["controllers"][0]["revision"] == response["revision"]
        });
    }
}

/// Starts a unary call with this tenant header; returns its RPC number.
pub(crate) fn call(caller: &mut Caller, tenant: Option<&str>, model: &str) -> u64 {
    let headers = tenant.map(|name| ("nettleferry-tenant".to_owned(), name.to_owned())).into_iter().collect();
    caller.start_rpc(ClientRequest { headers, ..client_request("ModelInfer", &echo(model, "u", 64)) })
}

/// Makes a unary call with this tenant header. Returns its status code and its `grpc-retry-pushback-ms`, empty if there
/// is none.
pub(crate) fn code(caller: &mut Caller, tenant: Option<&str>, model: &str) -> (Code, String) {
    let rpc = call(caller, tenant, model);
    let (status, trailers) = caller.status(rpc);
    let pushback =
        trailers.get("grpc-retry-pushback-ms").and_then(|value| value.to_str().ok()).unwrap_or("").to_owned();
    (status.code, pushback)
}

/// Copies the named files of an ended process to a new folder, in which it can be restarted. Its other files are
/// deleted.
pub(crate) fn surviving_files(program: Program, names: &[&str]) -> tempfile::TempDir {
    let dir = tempfile::tempdir().expect("temporary folder");
    for name in names {
        std::fs::copy(program.dir.path().join(name), dir.path().join(name)).expect("file copied");
    }
    dir
}
