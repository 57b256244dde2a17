//! Recovery of several processes from stalled, damaged, outdated or empty disks, and from partitioned links between
//! them.

mod common;
use common::admin_client::*;
use common::cluster::{call_status, free_address};
use common::link::{Link, LinkMode};
use common::*;

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::time::Instant;

use nettleferry_net::grpc::Code;
use serde_json::{Value, json};

/// Settings of an administration and two followers, each of which can be killed and restarted. Unlike in
/// [`common::cluster::Cluster`], the followers serve their snapshots to their peers.
struct Cluster {
    fleet: Fleet,
    host: String,
    /// Token of an operator's key.
    token: String,
    /// Settings lines that accept the operator's key and the followers' key.
    keys: String,
    /// Token of the followers' key.
    key: String,
    /// Address of the administration's API.
    api: SocketAddr,
    /// Address at which followers reach the administration.
    through: SocketAddr,
    /// Addresses at which the followers serve their snapshots.
    snapshot_listeners: Vec<SocketAddr>,
}

impl Cluster {
    fn new(host: &str) -> Self {
        let (token, operator_settings) = key("ada", "admin");
        let (key, follower_settings) = key("fleet", "controller");
        let api = free_address(host);
        let snapshot_listeners = (0..2).map(|_| free_address(host)).collect();
        let keys = format!("{operator_settings} {follower_settings}");
        Self {
            fleet: Fleet::new(1, SPEC),
            host: host.to_owned(),
            token,
            keys,
            key,
            api,
            through: api,
            snapshot_listeners,
        }
    }

    fn dir(&self) -> tempfile::TempDir {
        let dir = tempfile::tempdir().expect("temporary folder");
        std::fs::write(dir.path().join("workers.sexp"), self.fleet.list()).expect("worker list written");
        std::fs::write(dir.path().join("key"), &self.key).expect("key file written");
        dir
    }

    /// The `(peer ...)` settings for all followers except this one.
    fn peers(&self, excluded: Option<usize>) -> String {
        let peers = self.snapshot_listeners.iter().enumerate().filter(|(index, _)| Some(*index) != excluded);
        peers.map(|(_, address)| format!("(peer \"{address}\")")).collect()
    }

    /// Starts the administration; with `peers`, it can restore its store from the followers.
    fn administration(&self, dir: tempfile::TempDir, peers: bool) -> Leader {
        let peers =
            if peers { format!("{} (peer-key-file \"key\")", self.peers(None)) } else { String::new() };
        let admin =
            format!("(admin (listen \"{}\") (store \"tenants.redb\") {} {peers})", self.api, self.keys);
        let program = serve_in(dir, &format!("{SETTINGS}{admin}(controller (number 0) (of 3))"), None);
        assert_eq!(program.line("listening admin "), self.api);
        Leader { program, http: AdminClient { api: self.api, token: self.token.clone() } }
    }

    /// Starts the follower with this index, from 0; its controller number is one higher.
    fn follower(&self, dir: tempfile::TempDir, index: usize) -> Program {
        let admin = format!(
            "(admin (follow \"{}\") (key-file \"key\") (kept \"kept.json\") (listen \"{}\") {} {})",
            self.through,
            self.snapshot_listeners[index],
            self.keys,
            self.peers(Some(index))
        );
        let settings = format!("{SETTINGS}{admin}(controller (number {}) (of 3))", index + 1);
        serve_in(dir, &settings, None)
    }

    fn followers(&self) -> Vec<Program> {
        (0..2).map(|n| self.follower(self.dir(), n)).collect()
    }

    /// Starts an administration with peers and its followers, and creates these tenants; returns once each follower has
    /// them in force and persisted.
    fn started(&self, tenants: &[Value]) -> (Leader, Vec<Program>) {
        let leader = self.administration(self.dir(), true);
        let followers = self.followers();
        eventually("the administration serves, as no follower has a snapshot", || {
            step(&self.http()).0 == "serving"
        });
        tenants.iter().for_each(|tenant| leader.create(tenant.clone()));
        let last = tenants.last().and_then(|tenant| tenant["name"].as_str()).expect("a tenant with a name");
        for program in &followers {
            eventually("the follower serves the last tenant", || call_status(program, last) == Code::Ok);
            wait_until_persisted(program, tenants.len() as u64);
        }
        (leader, followers)
    }

    /// Kills the followers; returns folders with their persisted snapshots.
    fn kill_followers(&self, followers: Vec<Program>) -> Vec<tempfile::TempDir> {
        followers.into_iter().map(|program| self.kill_and_copy(program, &["kept.json"])).collect()
    }

    /// Restarts the followers from these folders.
    fn restart(&self, dirs: Vec<tempfile::TempDir>) -> Vec<Program> {
        dirs.into_iter().enumerate().map(|(n, dir)| self.follower(dir, n)).collect()
    }

    /// Kills a process; returns a new folder with copies of these of its files.
    fn kill_and_copy(&self, program: Program, files: &[&str]) -> tempfile::TempDir {
        program.signal("KILL");
        let dir = self.dir();
        // The record of the lease span is always copied: the tests damage other files.
        let lease = program.dir.path().join("tenants.lease");
        if lease.exists() {
            std::fs::copy(lease, dir.path().join("tenants.lease")).expect("lease record copied");
        }
        for name in files {
            std::fs::copy(program.dir.path().join(name), dir.path().join(name)).expect("file copied");
        }
        dir
    }

    fn http(&self) -> AdminClient {
        AdminClient { api: self.api, token: self.token.clone() }
    }
}

/// Waits until a follower has persisted this revision, so that a restart would begin with it.
fn wait_until_persisted(program: &Program, revision: u64) {
    let file = program.dir.path().join("kept.json");
    let revision_field = format!("\"revision\":{revision}");
    eventually("the revision is persisted", || {
        std::fs::read_to_string(&file).is_ok_and(|text| text.contains(&revision_field))
    });
}

/// The leader's recovery step and its cause, from `/v1/fleet`.
fn step(http: &AdminClient) -> (Value, Value) {
    let response = http.get("/v1/fleet");
    (response["step"].clone(), response["cause"].clone())
}

/// Creates a FIFO. Opening it for writing blocks until another process opens it for reading.
fn fifo(path: &Path) {
    assert!(Command::new("mkfifo").arg(path).status().expect("mkfifo runs").success());
}

#[test]
fn stalled_disk_delays_no_call() {
    let mut fleet = Fleet::new(2, SPEC);
    let dir = tempfile::tempdir().expect("temporary folder");
    // The persisted list is written to a FIFO that nobody reads, so that the write blocks forever.
    fifo(&dir.path().join("kept.sexp.new"));
    std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("worker list written");
    let settings = SETTINGS.replace("(check-every 5ms)", "(check-every 5ms) (kept \"kept.sexp\")");
    let program = serve_in(dir, &settings, None);
    let mut caller = Caller::new(program.address);
    for round in 0..20 {
        // The write of the first list blocks; only the latest one waits to be written next.
        let state = if round % 2 == 0 { "(state draining)" } else { "" };
        let list = fleet.list().replacen("))", &format!(") {state})"), 1);
        program.write_list(&list);
        let started = Instant::now();
        let rpcs: Vec<u64> = (0..20).map(|_| caller.unary("echo-brief")).collect();
        for rpc in rpcs {
            let (status, _) = caller.status(rpc);
            assert_eq!(
                status.code,
                Code::Ok,
                "round {round}, after {:?}: {}",
                started.elapsed(),
                status.message
            );
        }
    }
    // New lists still take effect: with the first worker draining, only the second one gets new calls.
    program.write_list(&fleet.list().replacen("))", ") (state draining))", 1));
    eventually("the draining worker gets no new calls", || {
        let worker = fleet.handles[0].name.clone();
        let count = |fleet: &mut Fleet| fleet.observations().iter().filter(|o| o.worker == worker).count();
        let count_before = count(&mut fleet);
        for _ in 0..5 {
            let rpc = caller.unary("echo");
            assert_eq!(caller.status(rpc).0.code, Code::Ok);
        }
        count(&mut fleet) == count_before
    });
}

#[test]
fn leader_restores_a_damaged_store_from_its_followers() {
    let cluster = Cluster::new("127.0.7.1");
    let (leader, followers) = cluster.started(&[json!({"name": "kalahari"}), json!({"name": "morava"})]);
    // All processes are killed; the store is damaged and its snapshot is lost.
    let dir = cluster.kill_and_copy(leader.program, &[]);
    std::fs::write(dir.path().join("tenants.redb"), vec![7; 20_000]).expect("damaged store written");
    let dirs = cluster.kill_followers(followers);
    let leader = cluster.administration(dir, true);
    assert_eq!(step(&leader), (json!("waiting"), json!("damaged")));
    let (status, response) = leader.send("POST", "/v1/tenants", "", "{\"name\":\"new\"}");
    assert_eq!(status, 503, "{response}");
    let (status, response) = leader.send("GET", "/v1/snapshot", "", "");
    assert_eq!(status, 503, "an empty snapshot must not be served: {response}");
    // Calls at the administration are refused for now (RESOURCE_EXHAUSTED), not denied: it does not know the tenants.
    assert_eq!(
        code(&mut Caller::new(leader.program.address), Some("kalahari"), "echo").0,
        Code::ResourceExhausted
    );
    let followers = cluster.restart(dirs);
    for program in &followers {
        assert_eq!(
            call_status(program, "kalahari"),
            Code::Ok,
            "the persisted snapshot holds from the first call on"
        );
    }
    eventually("the administration has restored its store", || step(&leader).0 == "serving");
    assert_eq!(leader.get("/v1/tenants")["tenants"].as_array().map(Vec::len), Some(2));
    assert_eq!(code(&mut Caller::new(leader.program.address), Some("kalahari"), "echo").0, Code::Ok);
    leader.change("POST", "/v1/tenants/kalahari/suspend", "");
    for program in &followers {
        eventually("the follower has the suspension", || {
            call_status(program, "kalahari") == Code::PermissionDenied
        });
    }
    // The restored snapshot is durable.
    let dir = cluster.kill_and_copy(leader.program, &["tenants.redb"]);
    let leader = cluster.administration(dir, true);
    eventually("the restarted administration serves", || step(&leader).0 == "serving");
    assert_eq!(leader.get("/v1/tenants/kalahari")["state"], "suspended");
}

#[test]
fn older_store_undoes_no_acknowledged_change() {
    let cluster = Cluster::new("127.0.7.2");
    let (leader, followers) = cluster.started(&[json!({"name": "kalahari"})]);
    // A copy of the store from before the suspension, taken while no process has it open.
    let older_dir = cluster.kill_and_copy(leader.program, &["tenants.redb"]);
    let current_dir = cluster.dir();
    std::fs::copy(older_dir.path().join("tenants.redb"), current_dir.path().join("tenants.redb"))
        .expect("store copied");
    let leader = cluster.administration(current_dir, true);
    leader.change("POST", "/v1/tenants/kalahari/suspend", "");
    for program in &followers {
        eventually("the follower has the suspension", || {
            call_status(program, "kalahari") == Code::PermissionDenied
        });
        wait_until_persisted(program, 2);
    }
    leader.program.signal("KILL");
    drop(leader);
    let dirs = cluster.kill_followers(followers);
    let leader = cluster.administration(older_dir, true);
    let followers = cluster.restart(dirs);
    eventually("the administration has the suspension from its followers", || {
        assert!(
            followers.iter().all(|p| call_status(p, "kalahari") == Code::PermissionDenied),
            "no follower may serve the suspended tenant"
        );
        step(&leader).0 == "serving" && leader.get("/v1/tenants/kalahari")["state"] == "suspended"
    });
    assert_eq!(
        code(&mut Caller::new(leader.program.address), Some("kalahari"), "echo").0,
        Code::PermissionDenied
    );
    let Leader { mut program, .. } = leader;
    program.signal("TERM");
    assert!(program.wait().success());
    let log = program.log();
    let line = log.lines().find(|l| l.contains("recovery pending"));
    assert!(
        line.is_some_and(|l| l.contains("behind")),
        "the log must report that the store is behind: {log}"
    );
    assert!(log.contains("snapshot installed, it is authoritative now"), "{log}");
}

#[test]
fn follower_without_a_snapshot_bootstraps_from_its_peers() {
    let mut cluster = Cluster::new("127.0.7.3");
    let link = Link::to(cluster.api, &format!("{}:0", cluster.host));
    cluster.through = link.address;
    let leader = cluster.administration(cluster.dir(), false);
    leader.create(json!({"name": "kalahari"}));
    let mut followers = cluster.followers();
    for program in &followers {
        eventually("the follower serves the tenant", || call_status(program, "kalahari") == Code::Ok);
        wait_until_persisted(program, 1);
    }
    for mode in [LinkMode::Blackhole, LinkMode::RequestsOnly, LinkMode::Closed] {
        link.set(mode);
        // The first follower loses its disk; the second keeps running.
        let dir = cluster.kill_and_copy(followers.remove(0), &[]);
        std::fs::write(dir.path().join("kept.json"), "").expect("empty file written");
        followers.insert(0, cluster.follower(dir, 0));
        assert_eq!(
            call_status(&followers[0], "kalahari"),
            Code::ResourceExhausted,
            "calls are refused, not denied, while the tenants are unknown"
        );
        eventually("the follower has the snapshot of its peer", || {
            call_status(&followers[0], "kalahari") == Code::Ok
        });
        assert_eq!(call_status(&followers[0], "nobody"), Code::PermissionDenied);
        wait_until_persisted(&followers[0], 1);
    }
    link.set(LinkMode::Forward);
    leader.create(json!({"name": "later"}));
    for program in &followers {
        eventually("the follower gets changes from the administration again", || {
            call_status(program, "later") == Code::Ok
        });
    }
}

#[test]
fn diverged_snapshots_of_one_revision_wait_for_an_operator() {
    let cluster = Cluster::new("127.0.7.4");
    let (leader, followers) =
        cluster.started(&[json!({"name": "kalahari"}), json!({"name": "morava", "note": "as it was"})]);
    let dir = cluster.kill_and_copy(leader.program, &[]);
    let dirs = cluster.kill_followers(followers);
    // One file is altered: its text is changed, and its checksum line removed, as in files of an earlier version.
    let file = dirs[1].path().join("kept.json");
    let text = std::fs::read_to_string(&file).expect("persisted snapshot readable");
    let (_, json) = text.split_once('\n').expect("a checksum line");
    std::fs::write(&file, json.replace("as it was", "as forged")).expect("altered snapshot written");
    let leader = cluster.administration(dir, true);
    let followers = cluster.restart(dirs);
    eventually("the administration waits, as the snapshots differ", || {
        step(&leader) == (json!("waiting"), json!("disagreed"))
    });
    assert!(
        followers.iter().all(|p| call_status(p, "kalahari") == Code::Ok),
        "both followers go on with their own snapshots"
    );
    let run = |arguments: &[&str]| {
        let mut command = Command::new(PROGRAM);
        command
            .args(["fleet", "--api", &cluster.api.to_string()])
            .args(arguments)
            .env("NETTLEFERRY_KEY", &cluster.token);
        let out = command.output().expect("nettleferry fleet runs");
        (
            out.status.code(),
            String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr),
        )
    };
    let (exit_code, output) = run(&["status"]);
    assert!(exit_code == Some(0) && output.contains("waiting (disagreed)"), "{output}");
    eventually("both followers have sent their snapshots", || {
        ["1", "2"].iter().all(|n| run(&["recover", "--take", n]).0 == Some(0))
    });
    let (exit_code, output) = run(&["recover", "--take", "1"]);
    assert!(
        exit_code == Some(0)
            && output.contains("nothing was done")
            && output.contains("morava would be another"),
        "{output}"
    );
    assert_eq!(step(&leader).0, "waiting");
    let (exit_code, output) = run(&["recover", "--take", "1", "--yes"]);
    assert!(exit_code == Some(0) && output.contains("stands now"), "{output}");
    eventually("the snapshot that the operator chose is in force", || step(&leader).0 == "serving");
    assert_eq!(leader.get("/v1/tenants/morava")["note"], "as it was");
    leader.change("POST", "/v1/tenants/morava/suspend", "");
    for program in &followers {
        eventually("the follower has the change", || {
            call_status(program, "morava") == Code::PermissionDenied
        });
    }
    let (exit_code, output) = run(&["recover", "--take", "9", "--yes"]);
    assert!(exit_code == Some(1) && output.contains("has given no book"), "{output}");
}
