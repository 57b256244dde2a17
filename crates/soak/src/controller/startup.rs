//! Start of controller processes, and the wait until they are ready.

use std::fs::File;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use nettleferry_platform::frames::{self, kind};

use super::{Controller, Fleet, Phase};
use crate::audit::Audit;
use crate::directory::Directory;
use crate::wire::{FrameReader, SERVED};

/// Time after its start at which the platform treats a controller that is not ready as failed.
pub const READY_TIMEOUT: Duration = Duration::from_secs(30);

impl Controller {
    /// Starts a process and waits until it is ready. Returns false if it exits before or exceeds [`READY_TIMEOUT`].
    pub fn start(&self, fleet: Fleet, directory: &Arc<Directory>, audit: &Arc<Audit>) -> io::Result<bool> {
        self.launch(fleet, directory, audit)?;
        let end = Instant::now() + READY_TIMEOUT;
        while Instant::now() < end {
            if self.is_ready() {
                self.state().phase = Phase::Serving;
                audit.incident(self.number, "ready");
                return Ok(true);
            }
            if self.exit_status()?.is_some() {
                return Ok(false);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(false)
    }

    /// Writes the configuration, in which the directory has a new address, and starts a process.
    pub(super) fn launch(
        &self,
        fleet: Fleet,
        directory: &Arc<Directory>,
        audit: &Arc<Audit>,
    ) -> io::Result<()> {
        let stop = Arc::new(AtomicBool::new(false));
        let resolver = directory.open(self.number, Arc::clone(audit), Arc::clone(&stop))?;
        let list = directory.list();
        std::fs::write(self.config_path(), self.config(fleet, resolver, &list))?;
        // The process can't have read the list in its configuration before this moment.
        let before_start = audit.now();
        let life = {
            let mut state = self.state();
            state.stop_directory.store(true, Ordering::Release);
            state.stop_directory = stop;
            state.lives += 1;
            state.lives
        };
        let log = File::create(self.dir.join(format!("life-{life}.log")))?;
        let mut command = Command::new(&self.program);
        command.arg("node").env("PROXY_CONFIG", self.config_path()).env("RUST_LOG", "info");
        if let Some(shim) = &self.shim {
            command.envs(self.faults.environment(shim, (self.number as u64 + 1) * 7919 + u64::from(life)));
        }
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()?;
        audit.list_sent(self.number, list.serial, before_start, None);
        self.state().child = Some(child);
        audit.incident(self.number, format!("process {life} started"));
        Ok(())
    }

    /// Whether the process answers a readiness query, and is ready.
    fn is_ready(&self) -> bool {
        let query = || -> io::Result<bool> {
            let mut socket = TcpStream::connect_timeout(&self.address, Duration::from_millis(200))?;
            socket.set_read_timeout(Some(Duration::from_millis(500)))?;
            let mut out = Vec::new();
            frames::bare(&mut out, kind::READY, 1);
            socket.write_all(&out)?;
            let (mut reader, mut buffer) = (FrameReader::default(), [0; 64]);
            loop {
                let length = socket.read(&mut buffer)?;
                reader.push(&buffer[..length]);
                if let Some(frame) = reader.next_frame() {
                    return Ok(frame.kind == kind::READY_ANSWER && frame.payload.first() == Some(&SERVED));
                }
                if length == 0 {
                    return Ok(false);
                }
            }
        };
        query().unwrap_or(false)
    }
}
