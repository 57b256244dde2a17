//! An administration and the controllers that follow it, each in its own process, on a loopback address that each
//! test chooses for itself.

use std::net::{SocketAddr, TcpListener};

use nettleferry_net::grpc::Code;
use serde_json::Value;

use super::admin_client::*;
use super::link::Link;
use super::*;

/// A free port on a loopback address that no other test uses, so that no other process takes the port meanwhile.
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
    pub(crate) host: &'static str,
    pub(crate) token: String,
    pub(crate) keys: String,
    pub(crate) key: String,
    pub(crate) api: SocketAddr,
    /// Number of controllers of the installation, the administration included.
    pub(crate) of: u32,
    pub(crate) settings: String,
}

impl Cluster {
    pub(crate) fn new(host: &'static str, of: u32) -> Self {
        Self::with(host, of, Fleet::new(1, SPEC), SETTINGS)
    }

    pub(crate) fn with(host: &'static str, of: u32, fleet: Fleet, settings: &str) -> Self {
        let (token, line) = key("ada", "admin");
        let (key, fleet_line) = key("fleet", "controller");
        let (keys, settings) = (format!("{line} {fleet_line}"), settings.to_owned());
        Self { fleet, host, token, keys, key, api: free_address(host), of, settings }
    }

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

    pub(crate) fn administration_at(&self, api: SocketAddr, dir: tempfile::TempDir, more: &str) -> Leader {
        let admin = format!("(admin (listen \"{api}\") (store \"tenants.redb\") {} {more})", self.keys);
        let settings = format!("{}{admin}(controller (number 0) (of {}))", self.settings, self.of);
        let program = serve_by(&program_of("NETTLEFERRY_ADMINISTRATION"), dir, &settings, None);
        assert_eq!(program.line("listening admin "), api);
        Leader { program, http: AdminClient { api, token: self.token.clone() } }
    }

    /// Starts the follower with this controller number, which reaches the administration at `through`; `more` is appended
    /// to its `(admin ...)` settings.
    pub(crate) fn follower(
        &self,
        dir: tempfile::TempDir,
        number: u32,
        through: SocketAddr,
        more: &str,
    ) -> Program {
        let admin = format!("(admin (follow \"{through}\") (key-file \"key\") (kept \"kept.json\") {more})");
        let settings = format!("{}{admin}(controller (number {number}) (of {}))", self.settings, self.of);
        serve_by(&program_of("NETTLEFERRY_FOLLOWER"), dir, &settings, None)
    }

    pub(crate) fn link(&self) -> Link {
        Link::to(self.api, &format!("{}:0", self.host))
    }

    /// Runs `nettleferry fleet` with these arguments: its exit code, and its standard output followed by its errors.
    pub(crate) fn run(&self, words: &[&str]) -> (Option<i32>, String) {
        let mut command = Command::new(PROGRAM);
        command
            .args(["fleet", "--api", &self.api.to_string()])
            .args(words)
            .env("NETTLEFERRY_KEY", &self.token);
        let out = command.output().expect("nettleferry fleet runs");
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        (out.status.code(), text(&out.stdout) + &text(&out.stderr))
    }
}

/// Incarnations of controllers that the administration lists in `/v1/fleet`.
pub(crate) fn incarnations(http: &AdminClient) -> Vec<Value> {
    http.get("/v1/fleet")["lives"].as_array().cloned().unwrap_or_default()
}
