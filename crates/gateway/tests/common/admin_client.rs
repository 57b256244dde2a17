//! An HTTP client of the administration API, and processes that serve it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;

use nettleferry_net::grpc::Code;
use serde_json::Value;

use super::*;

/// Creates a key of this role with `nettleferry admin key`: its token, and the settings line that accepts it.
pub(crate) fn key(name: &str, role: &str) -> (String, String) {
    let out = Command::new(PROGRAM)
        .args(["admin", "key", name, role])
        .output()
        .expect("nettleferry admin key runs");
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    let line = |start: &str| {
        text.lines().find_map(|l| l.strip_prefix(start)).expect("a line with this prefix").to_owned()
    };
    (line("token: "), line("settings: "))
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

pub(crate) fn leader(fleet: &Fleet) -> Leader {
    let dir = tempfile::tempdir().expect("temporary folder");
    std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("worker list written");
    let (token, line) = key("ada", "admin");
    start(dir, token, &line)
}

pub(crate) fn start(dir: tempfile::TempDir, token: String, key: &str) -> Leader {
    start_at("127.0.0.1:0", dir, token, key)
}

pub(crate) fn start_at(listen: &str, dir: tempfile::TempDir, token: String, key: &str) -> Leader {
    std::fs::write(dir.path().join("key"), key).expect("key file written");
    let settings = format!("{SETTINGS}(admin (listen \"{listen}\") (store \"tenants.redb\") {key})");
    let program = serve_in(dir, &settings, None);
    let api = program.line("listening admin ");
    Leader { program, http: AdminClient { api, token } }
}

impl AdminClient {
    /// Sends a whole request and reads to the end of the connection: the status (0: none came), the head and the body.
    pub(crate) fn raw(&self, request: &str) -> (u16, String, String) {
        let mut socket = TcpStream::connect(self.api).expect("connects");
        socket.set_read_timeout(Some(PATIENCE)).expect("socket option set");
        socket.write_all(request.as_bytes()).expect("sent");
        let mut text = String::new();
        let _ = socket.read_to_string(&mut text);
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        (status, head.to_owned(), body.to_owned())
    }

    /// Sends a request with the token and these further headers: the status and the JSON body, `Null` if it is not JSON.
    pub(crate) fn ask(&self, method: &str, target: &str, headers: &str, body: &str) -> (u16, Value) {
        let kind = if method == "PATCH" { "application/merge-patch+json" } else { "application/json" };
        let request = format!(
            "{method} {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer {}\r\nContent-Type: {kind}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            self.token,
            body.len()
        );
        let (status, _, body) = self.raw(&request);
        (status, serde_json::from_str(&body).unwrap_or(Value::Null))
    }

    pub(crate) fn get(&self, target: &str) -> Value {
        self.ask("GET", target, "", "").1
    }

    /// Creates a tenant and waits until it is in force.
    #[track_caller]
    pub(crate) fn create(&self, tenant: Value) {
        let (status, told) = self.ask("POST", "/v1/tenants", "", &tenant.to_string());
        assert_eq!(status, 201, "{told}");
        self.in_force();
    }

    /// Makes a change that must be accepted, waits until it is in force, and returns the response body.
    #[track_caller]
    pub(crate) fn change(&self, method: &str, target: &str, body: &str) -> Value {
        let (status, told) = self.ask(method, target, "If-Match: *\r\n", body);
        assert!((200..300).contains(&status), "{told}");
        self.in_force();
        told
    }

    /// Waits until the first controller of `/v1/controllers` runs with the latest revision.
    #[track_caller]
    pub(crate) fn in_force(&self) {
        eventually("the change is in force", || {
            let told = self.get("/v1/controllers");
            told["controllers"][0]["revision"] == told["revision"]
        });
    }
}

/// Starts a unary call with this tenant header; returns its RPC number.
pub(crate) fn call(caller: &mut Caller, tenant: Option<&str>, model: &str) -> u64 {
    let headers = tenant.map(|t| ("nettleferry-tenant".to_owned(), t.to_owned())).into_iter().collect();
    let ask =
        nettleferry_scenario::client::ClientRequest { headers, ..ask("ModelInfer", &echo(model, "u", 64)) };
    caller.ask(ask)
}

/// The status code of a unary call with this tenant header, and its `grpc-retry-pushback-ms`, empty if there is none.
pub(crate) fn code(caller: &mut Caller, tenant: Option<&str>, model: &str) -> (Code, String) {
    let rpc = call(caller, tenant, model);
    let (status, trailers) = caller.status(rpc);
    let pushback =
        trailers.get("grpc-retry-pushback-ms").and_then(|v| v.to_str().ok()).unwrap_or("").to_owned();
    (status.code, pushback)
}

/// A new folder with these files of an ended process, for its next start; all its other files are left out.
pub(crate) fn surviving_files(program: Program, names: &[&str]) -> tempfile::TempDir {
    let dir = tempfile::tempdir().expect("temporary folder");
    for name in names {
        std::fs::copy(program.dir.path().join(name), dir.path().join(name)).expect("file copied");
    }
    dir
}
