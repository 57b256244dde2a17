//! An administration and controllers that follow it, each a process, on an address of their own.

use std::net::{SocketAddr, TcpListener};

use nettleferry_net::grpc::Code;
use serde_json::Value;

use super::admin_client::*;
use super::link::Link;
use super::*;

/// A port that is free now, on an address that no other test has.
pub(crate) fn free_address(host: &str) -> SocketAddr {
    TcpListener::bind(format!("{host}:0")).and_then(|l| l.local_addr()).expect("a port")
}

pub(crate) fn call_status(program: &Program, tenant: &str) -> Code {
    code(&mut Caller::new(program.address), Some(tenant), "echo").0
}

pub(crate) struct Cluster {
    pub(crate) fleet: Fleet,
    pub(crate) host: &'static str,
    pub(crate) token: String,
    pub(crate) keys: String,
    pub(crate) key: String,
    pub(crate) api: SocketAddr,
    /// Controllers of the installation.
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
        let dir = tempfile::tempdir().expect("a folder");
        std::fs::write(dir.path().join("workers.sexp"), self.fleet.list()).expect("written");
        std::fs::write(dir.path().join("key"), &self.key).expect("written");
        dir
    }

    /// The administration, with further settings.
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

    /// A follower of this number through this address, with further settings.
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

    /// `nettleferry fleet` with these words: how it ended and what it said.
    pub(crate) fn run(&self, words: &[&str]) -> (Option<i32>, String) {
        let mut command = Command::new(PROGRAM);
        command
            .args(["fleet", "--api", &self.api.to_string()])
            .args(words)
            .env("NETTLEFERRY_KEY", &self.token);
        let out = command.output().expect("it runs");
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        (out.status.code(), text(&out.stdout) + &text(&out.stderr))
    }
}

/// Lives on the administration's roll.
pub(crate) fn incarnations(http: &AdminClient) -> Vec<Value> {
    http.get("/v1/fleet")["lives"].as_array().cloned().unwrap_or_default()
}
