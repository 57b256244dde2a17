//! `nettleferry node` in its own process, under a limit on file descriptors.
#![allow(dead_code)]

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Timeout of each wait for an event.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A running node, killed on drop.
pub(crate) struct Node {
    child: Child,
    pub(crate) address: SocketAddr,
}

impl Node {
    /// Starts a node from a shell that lowers the limit on open descriptors.
    pub(crate) fn spawn(config: &Path, descriptors: usize) -> Child {
        let node = Command::new("/bin/sh")
            .args(["-c", "ulimit -n \"$1\" && exec \"$0\" node", env!("CARGO_BIN_EXE_nettleferry")])
            .arg(descriptors.to_string())
            .env("PROXY_CONFIG", config)
            .env_remove("RUST_LOG")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn();
        node.expect("the program starts")
    }

    /// Waits until the node reports its listener.
    pub(crate) fn wait_until_listening(mut child: Child) -> Self {
        let mut line = String::new();
        BufReader::new(child.stdout.take().expect("stdout is piped"))
            .read_line(&mut line)
            .expect("a line on stdout");
        let address =
            line.trim_end().strip_prefix("listening frames ").expect("the line that reports the listener");
        let address = address.parse().expect("a valid listener address");
        Self { child, address }
    }

    pub(crate) fn signal(&self, name: &str) {
        let status = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(status.expect("kill runs").success());
    }

    /// Sends SIGSTOP and returns once `/proc` shows the process as stopped.
    pub(crate) fn stop(&self) {
        self.signal("STOP");
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let stopped = || {
            let stat =
                std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("process exists");
            stat.rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('T'))
        };
        while !stopped() {
            assert!(Instant::now() < deadline, "the node did not stop on SIGSTOP");
            std::thread::yield_now();
        }
    }

    /// Waits until the process exits by itself.
    pub(crate) fn ended(&mut self) -> ExitStatus {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("status of the child") {
                return status;
            }
            assert!(Instant::now() < deadline, "the node did not exit");
            std::thread::yield_now();
        }
    }

    /// The number of threads of the node, and the number of its child processes.
    pub(crate) fn threads_and_children(&self) -> (usize, usize) {
        let tasks = Path::new("/proc").join(self.child.id().to_string()).join("task");
        let threads: Vec<_> =
            std::fs::read_dir(tasks).expect("process exists").filter_map(Result::ok).collect();
        let children = |thread: &std::fs::DirEntry| {
            let list = std::fs::read_to_string(thread.path().join("children")).unwrap_or_default();
            list.split_whitespace().count()
        };
        (threads.len(), threads.iter().map(children).sum())
    }

    /// The number of open descriptors, and the resident memory in KiB.
    pub(crate) fn resource_usage(&self) -> (usize, usize) {
        let proc = Path::new("/proc").join(self.child.id().to_string());
        let files = std::fs::read_dir(proc.join("fd")).expect("process exists").count();
        (files, self.status_kib("VmRSS:"))
    }

    /// The highest resident memory so far, in KiB.
    pub(crate) fn peak_memory_kib(&self) -> usize {
        self.status_kib("VmHWM:")
    }

    fn status_kib(&self, name: &str) -> usize {
        let path = Path::new("/proc").join(self.child.id().to_string()).join("status");
        let status = std::fs::read_to_string(path).expect("process exists");
        let line = status.lines().find_map(|line| line.strip_prefix(name)).expect("a line of this name");
        line.trim().trim_end_matches(" kB").parse().expect("a number of KiB")
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
