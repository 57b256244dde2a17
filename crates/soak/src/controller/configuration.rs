//! The configuration of controller processes, and reloads of a changed one by SIGHUP.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rustix::process::Signal;

use super::{Controller, Fleet};
use crate::audit::Audit;
use crate::directory::{Directory, List};

/// Deadline of the calls of every class.
pub const DEADLINE: Duration = Duration::from_millis(2_000);
/// Time for which a controller may still send calls to a draining worker, counted from the notification of the drain.
pub const DRAIN_GRACE: Duration = Duration::from_millis(1_000);
/// Share of its capacity that a worker has when it starts.
pub const START_CAPACITY: f64 = 0.2;
/// Time after its start in which a worker's capacity grows to full capacity. Until then it is cold.
pub const SLOW_START: Duration = Duration::from_millis(8_000);
/// Load above which a cold worker is overloaded, as a multiple of its current capacity.
pub const OVERLOAD_FACTOR: f64 = 2.5;
/// Length of the window over which a worker's load is measured.
pub const OVERLOAD_SPAN: Duration = Duration::from_millis(1_000);

impl Controller {
    /// Writes a configuration, in which the directory has a new address, and sends SIGHUP. If `half`, the process first
    /// gets a SIGHUP while the file is half written.
    pub fn reload(
        &self,
        fleet: Fleet,
        directory: &Arc<Directory>,
        audit: &Arc<Audit>,
        half: bool,
    ) -> io::Result<()> {
        let stop = Arc::new(AtomicBool::new(false));
        let resolver = directory.open(self.number, Arc::clone(audit), Arc::clone(&stop))?;
        let text = self.config(fleet, resolver, &directory.list());
        if half {
            std::fs::write(self.config_path(), &text[..text.len() / 2])?;
            self.signal(Signal::HUP);
            std::thread::sleep(Duration::from_millis(50));
        }
        let new = self.dir.join("config.new");
        std::fs::write(&new, &text)?;
        std::fs::rename(&new, self.config_path())?;
        self.signal(Signal::HUP);
        let mut state = self.state();
        // The thread at the old address stops. Lists that it sent before stay in the record.
        state.stop_directory.store(true, Ordering::Release);
        state.stop_directory = stop;
        Ok(())
    }

    pub(super) fn config_path(&self) -> PathBuf {
        self.dir.join("config.json")
    }

    /// Returns the configuration as JSON, with the address of the directory and the worker list at the start.
    pub(super) fn config(&self, fleet: Fleet, resolver: SocketAddr, list: &List) -> String {
        let listed = list.entries.iter().enumerate().filter(|(_, entry)| entry.listed);
        let instances: Vec<_> = listed
            .map(|(number, entry)| {
                serde_json::json!({"instanceId": format!("s-{number}"), "hostPort": entry.address.to_string(),
                    "zone": "east", "machineType": "std", "cell": 1, "weight": 1,
                    "lifecycle": if entry.in_service { "up" } else { "draining" },
                    "startedAtMs": entry.started_ms})
            })
            .collect();
        let class = |name: &str, effect: &str| {
            serde_json::json!({"name": name, "deadline_ms": DEADLINE.as_millis() as u64,
                "goal_time_ms": 300, "effect": effect, "points": 1, "late_share": 0.2})
        };
        serde_json::json!({
            "name": format!("n{}", self.number), "listen": self.address.to_string(),
            "seed": format!("{:x}", self.number + 1), "resolver": resolver.to_string(),
            "limits": {"cores": 1, "memory_mb": 48, "sockets": 256},
            "known": {"pos": list.serial,
                "entries": [{"pos": list.serial, "hosts": {"generation": 1, "reset": true, "instances": instances}}]},
            "settings": {
                "classes": [class("safe", "free"), class("once", "single_shot")],
                "me": self.number, "n_instances": fleet.controllers, "step_ms": 4, "zone": "east",
                "stats": {"how": "none"},
                "family_info": {"when_absent": "miss", "orders": true, "warm_notes": true,
                    "linger_idle_ms": 10_000, "order_timeout_ms": 4_000},
                "limits": {"max_attempts": 3, "probes": true, "cancel": true, "connect_timeout_ms": 250,
                    "conn_idle_ms": 1_000, "max_streams": 32, "max_open": 20_000},
                "obligations": {"stop_sending_within_ms": DRAIN_GRACE.as_millis() as u64,
                    "start_capacity": START_CAPACITY, "cold_ms": SLOW_START.as_millis() as u64,
                    "overload_factor": OVERLOAD_FACTOR, "fall_ms": OVERLOAD_SPAN.as_millis() as u64,
                    "grace_to_answer_ms": 8},
            },
        })
        .to_string()
    }
}
