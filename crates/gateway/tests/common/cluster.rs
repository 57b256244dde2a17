//! An administration and the controllers that follow it, each in its own process. Each test uses a loopback address of
//! its own.

use std::net::{SocketAddr, TcpListener};

use nettleferry_net::grpc::Code;
use serde_json::Value;

use super::admin_client::*;
use super::link::Link;
use super::*;

/// A free port on this loopback address. If no other test uses the address, the port stays free until it is bound.
pub(crate) fn free_address(host: &str) -> SocketAddr {
    TcpListener::bind(format!("{host}:0")).and_then(|l| l.local_addr()).expect("a free port")
}

/// The status code of an `echo` call of this tenant at a controller.
pub(crate) fn call_status(program: &Program, tenant: &str) -> Code {
    code(&mut Caller::new(program.address), Some(tenant), "echo").0
}

/// Settings, keys and test servers that all processes of one installation share.
pub(crate) struct Cluster {
    pub(crate) fleet: Fleet,
    /// Loopback address of the installation.
    pub(crate) host: &'static str,
    /// Token of an operator's key.
    pub(crate) token: String,
    /// Settings lines that accept the operator's key and the followers' key.
    pub(crate) keys: String,
    /// Token of the followers' key.
    pub(crate) key: String,
    pub(crate) api: SocketAddr,
    /// Number of controllers of the installation, the administration included.
    pub(crate) controller_count: u32,
    pub(crate) settings: String,
}

impl Cluster {
    pub(crate) fn new(host: &'static str, controller_count: u32) -> Self {
        Self::with(host, controller_count, Fleet::new(1, SPEC), SETTINGS)
    }

    pub(crate) fn with(host: &'static str, controller_count: u32, fleet: Fleet, settings: &str) -> Self {
        let (token, operator_settings) = key("ada", "admin");
        let (key, follower_settings) = key("fleet", "controller");
        let (keys, settings) = (format!("{operator_settings} {follower_settings}"), settings.to_owned());
        Self { fleet, host, token, keys, key, api: free_address(host), controller_count, settings }
    }

    /// Creates a folder with the worker list and the followers' key.
    pub(crate) fn dir(&self) -> tempfile::TempDir {
        let dir = tempfile::tempdir().expect("temporary folder");
        std::fs::write(dir.path().join("workers.sexp"), self.fleet.list()).expect("worker list written");
        std::fs::write(dir.path().join("key"), &self.key).expect("key file written");
        dir
    }

    /// Starts the administration; `more` is appended to its `(admin ...)` settings.
    pub(crate) fn administration(&self, dir: tempfile::TempDir, more: &str) -> Leader {
        self.administration_at(self.api, dir, more)
    }

    /// Like [`Self::administration`], with the API at this address.
    pub(crate) fn administration_at(&self, api: SocketAddr, dir: tempfile::TempDir, more: &str) -> Leader {
        let admin = format!("(admin (listen \"{api}\") (store \"tenants.redb\") {} {more})", self.keys);
        let settings =
            format!("{}{admin}(controller (number 0) (of {}))", self.settings, self.controller_count);
        let program = serve_by(&program_of("NETTLEFERRY_ADMINISTRATION"), dir, &settings, None);
        assert_eq!(program.line("listening admin "), api);
        Leader { program, http: AdminClient { api, token: self.token.clone() } }
    }

    /// Starts the follower with this controller number, which reaches the administration at `through`; `more` is
    /// appended to its `(admin ...)` settings.
    pub(crate) fn follower(
        &self,
        dir: tempfile::TempDir,
        number: u32,
        through: SocketAddr,
        more: &str,
    ) -> Program {
        let admin = format!("(admin (follow \"{through}\") (key-file \"key\") (kept \"kept.json\") {more})");
        let settings =
            format!("{}{admin}(controller (number {number}) (of {}))", self.settings, self.controller_count);
        serve_by(&program_of("NETTLEFERRY_FOLLOWER"), dir, &settings, None)
    }

    /// Starts a proxy to the administration's API.
    pub(crate) fn link(&self) -> Link {
        Link::to(self.api, &format!("{}:0", self.host))
    }

    /// Runs `nettleferry fleet` with these arguments. Returns its exit code, and its standard output followed by its
    /// standard error.
    pub(crate) fn run(&self, arguments: &[&str]) -> (Option<i32>, String) {
        let mut command = Command::new(PROGRAM);
        command
            .args(["fleet", "--api", &self.api.to_string()])
            .args(arguments)
            .env("NETTLEFERRY_KEY", &self.token);
        let out = command.output().expect("nettleferry fleet runs");
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        (out.status.code(), text(&out.stdout) + &text(&out.stderr))
    }
}

/// The incarnations of controllers that the administration lists in `/v1/fleet`.
pub(crate) fn incarnations(http: &AdminClient) -> Vec<Value> {
    http.get("/v1/fleet")["lives"].as_array().cloned().unwrap_or_default()
}
