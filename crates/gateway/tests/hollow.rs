//! `nettleferry hollow` (simulated peers) against real processes over loopback: an administration, a follower, a worker.

mod common;
use common::admin_client::*;
use common::cluster::*;
use common::*;

use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};

use nettleferry_hollow::followers::report::{ChangePropagation, Second, Summary};
use nettleferry_hollow::report::Line;
use nettleferry_test_servers::ObservationKind;
use serde_json::json;

const HOLLOW: u32 = 50;

/// A running `nettleferry hollow`, and the lines of its report. Killed on drop.
struct Hollow {
    child: Child,
    input: Option<ChildStdin>,
    lines: Receiver<Line>,
}

impl Hollow {
    fn followers(cluster: &Cluster, more: &[&str]) -> Self {
        let (api, count) = (cluster.api.to_string(), HOLLOW.to_string());
        let words = ["followers", "--administration", &api, "--key", &cluster.key, "--count", &count];
        Self::run(&[&words[..], &["--first-number", "2"], more].concat())
    }

    fn run(words: &[&str]) -> Self {
        let mut command = Command::new(PROGRAM);
        command.arg("hollow").args(words);
        let spawned = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn();
        let mut child = spawned.expect("the program starts");
        let (input, out) = (child.stdin.take(), child.stdout.take().expect("piped"));
        let (line_sender, lines) = channel();
        std::thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                let _ = line_sender.send(serde_json::from_str(&line).expect("a line of the report"));
            }
        });
        Self { child, input, lines }
    }

    #[track_caller]
    fn wait<T>(&self, what: &str, mut pick: impl FnMut(Line) -> Option<T>) -> T {
        loop {
            let line = self.lines.recv_timeout(PATIENCE).unwrap_or_else(|_| panic!("never: {what}"));
            if let Some(found) = pick(line) {
                return found;
            }
        }
    }

    #[track_caller]
    fn second(&self, what: &str, mut holds: impl FnMut(&Second) -> bool) -> Second {
        self.wait(what, |line| match line {
            Line::FollowersSecond(second) if holds(&second) => Some(second),
            _ => None,
        })
    }

    #[track_caller]
    fn change(&self, of: u64) -> ChangePropagation {
        self.wait("a change came to all", |line| match line {
            Line::FollowersChange(change) if change.revision == of => Some(change),
            _ => None,
        })
    }

    /// Waits for the next summary of followers.
    #[track_caller]
    fn next_summary(&self) -> Summary {
        self.wait("a summary", |line| match line {
            Line::FollowersSummary(summary) => Some(*summary),
            _ => None,
        })
    }

    /// Requests a summary of the interval since the last one.
    #[track_caller]
    fn interval(&mut self) -> Summary {
        writeln!(self.input.as_mut().expect("stdin is open"), "summary").expect("stdin written");
        self.next_summary()
    }

    /// Waits for the final summary and a successful exit; with `close`, ends the run by closing its standard input.
    #[track_caller]
    fn summary(mut self, close: bool) -> Summary {
        if close {
            self.input = None;
        }
        let summary = self.next_summary();
        self.ends_well();
        summary
    }

    #[track_caller]
    fn ends_well(&mut self) {
        assert!(self.child.wait().expect("status of the child").success());
    }
}

impl Drop for Hollow {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Suspends or resumes a tenant, waits until the change is in force everywhere, and returns its revision. The response to
/// a suspension must report this in a header already.
#[track_caller]
fn change_everywhere(leader: &Leader, what: &str) -> u64 {
    let token = &leader.http.token;
    let (status, head, body) = leader.raw(&format!(
        "POST /v1/tenants/t0/{what} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer {token}\r\n\
         If-Match: *\r\nContent-Length: 0\r\n\r\n"
    ));
    assert_eq!(status, 200, "{body}");
    if what == "suspend" {
        assert!(head.lines().any(|line| line == "Nettleferry-In-Force: everywhere"), "{head}");
    }
    eventually("it is in force everywhere", || leader.get("/v1/fleet/change")["everywhere"] == true);
    let told: serde_json::Value = serde_json::from_str(&body).expect("a tenant");
    told["revision"].as_u64().expect("a revision")
}

#[test]
fn hollow_followers_apply_each_change_and_return_to_another_incarnation_of_the_leader() {
    let cluster = Cluster::new("127.0.42.1", HOLLOW + 2);
    let lease = "(lease 2s)";
    let leader = cluster.administration(cluster.dir(), lease);
    leader.create(json!({ "name": "t0" }));
    let real = cluster.follower(cluster.dir(), 1, cluster.api, "(without-lease refuse)");
    let mut hollow = Hollow::followers(&cluster, &["--begin-within", "300"]);
    let all = u64::from(HOLLOW) + 1;
    let leases = |leader: &Leader| leader.get("/v1/fleet")["leases"] == all;
    eventually("each has a lease", || leases(&leader));
    for what in ["suspend", "resume", "suspend"] {
        let revision = change_everywhere(&leader, what);
        assert_eq!(hollow.change(revision).followers, u64::from(HOLLOW));
    }
    eventually("the real one follows too", || {
        call_status(&real, "t0") == nettleferry_net::grpc::Code::PermissionDenied
    });
    let before = hollow.interval();
    assert_eq!((before.lapses, before.change_to_last.count, before.changes_incomplete), (0, 3, 0));
    // The administration is killed and restarted with its store.
    leader.program.signal("KILL");
    let store = surviving_files(leader.program, &["tenants.redb", "tenants.lease", "workers.sexp", "key"]);
    hollow.second("none has a lease", |second| second.leased == 0);
    let leader = cluster.administration(store, lease);
    eventually("each has a lease again", || leases(&leader));
    hollow.second("as they see it", |second| second.leased == u64::from(HOLLOW));
    let revision = change_everywhere(&leader, "resume");
    assert_eq!(hollow.change(revision).followers, u64::from(HOLLOW));
    let summary = hollow.summary(true);
    assert_eq!((summary.followers, summary.never_leased), (u64::from(HOLLOW), 0));
    assert_eq!(summary.lapses, u64::from(HOLLOW), "one for each, while the administration was gone");
    assert_eq!(summary.change_to_last.count, 1, "those of the interval alone");
    assert_eq!((summary.counts.malformed, summary.counts.fenced), (0, 0));
    eventually("they said that they ended", || leader.get("/v1/fleet")["leases"] == 1);
}

#[test]
fn hollow_followers_on_a_slow_lossy_link_keep_their_leases_and_end_in_time() {
    let cluster = Cluster::new("127.0.42.2", HOLLOW + 2);
    let leader = cluster.administration(cluster.dir(), "(lease 4s)");
    leader.create(json!({ "name": "t0" }));
    let hollow = Hollow::followers(&cluster, &["--loss", "0.05", "--delay", "20", "--seconds", "6"]);
    hollow.second("each has a lease", |second| second.leased == u64::from(HOLLOW));
    let revision = change_everywhere(&leader, "suspend");
    let change = hollow.change(revision);
    assert_eq!(change.followers, u64::from(HOLLOW));
    assert!(change.p50_ms >= 20, "one way takes so long: {change:?}");
    let summary = hollow.summary(false);
    assert!(summary.ran_ms >= 6_000);
    assert_eq!((summary.lapses, summary.never_leased), (0, 0), "{summary:?}");
}

#[test]
fn hollow_controllers_keep_connections_and_make_their_share_of_calls_and_probes() {
    let mut fleet = Fleet::new(1, SPEC);
    let worker = fleet.handles[0].addresses[0].to_string();
    let words = ["controllers", "--worker", &worker, "--count", "100", "--begin-within", "200"];
    let mut hollow =
        Hollow::run(&[&words[..], &["--calls-per-second", "200", "--probes-per-second", "50"]].concat());
    let all = |line: Line| match line {
        Line::ControllersSecond(second) if second.connections == 100 && second.counts.served > 0 => {
            Some(second)
        }
        _ => None,
    };
    hollow.wait("a connection for each, and calls on them", all);
    let of_the_last = |seen: &ObservationKind| matches!(seen, ObservationKind::Call { controller, attempt: Some(1), .. } if controller == "100");
    fleet.wait_for("a call of the last controller at the worker", of_the_last);
    hollow.input = None;
    let summary = hollow.wait("a summary", |line| match line {
        Line::ControllersSummary(summary) => Some(*summary),
        _ => None,
    });
    hollow.ends_well();
    let counts = summary.counts;
    assert_eq!((summary.controllers, counts.connected), (100, 100));
    assert_eq!((counts.not_served, counts.broken, counts.not_begun, counts.closed), (0, 0, 0, 0));
    assert!(counts.calls > counts.probes && counts.probes_served > 0, "{counts:?}");
    assert_eq!((summary.call_time.count, summary.probe_time.count), (counts.served, counts.probes_served));
}

#[test]
fn hollow_controllers_report_a_missing_worker() {
    let nobody = free_address("127.0.42.4").to_string();
    let words = ["controllers", "--worker", &nobody, "--count", "5", "--begin-within", "0", "--seconds", "1"];
    let hollow = Hollow::run(&words);
    let summary = hollow.wait("a summary", |line| match line {
        Line::ControllersSummary(summary) => Some(*summary),
        _ => None,
    });
    assert_eq!((summary.counts.connected, summary.counts.not_connected, summary.connections), (0, 5, 0));
}

/// Runs `hollow followers` with invalid arguments under a limit of 200 descriptors: its error output.
fn rejection(arguments: &[&str]) -> String {
    let out = Command::new("/bin/sh")
        .args(["-c", "ulimit -n 200; exec \"$0\" hollow followers --key a.b \"$@\"", PROGRAM])
        .args(arguments)
        .stdin(Stdio::null())
        .output()
        .expect("it runs");
    assert_eq!(out.status.code(), Some(2));
    assert!(out.stdout.is_empty(), "nothing was begun");
    String::from_utf8_lossy(&out.stderr).into_owned()
}

#[test]
fn other_machines_and_too_many_peers_are_rejected_before_the_start() {
    let told = rejection(&["--administration", "192.0.2.1:80", "--count", "5"]);
    assert!(told.contains("192.0.2.1:80 is no loopback address"), "{told}");
    let here = ["--administration", "127.0.42.3:9"];
    let told = rejection(&[&here[..], &["--count", "69"]].concat());
    assert!(told.contains("69 peers need 138 descriptors, and 136 may be used: 68 fit"), "{told}");
    let told = rejection(&[&here[..], &["--count", "0"]].concat());
    assert!(told.contains("at least one peer"), "{told}");
    let told = rejection(&[&here[..], &["--count", "1", "--loss", "2"]].concat());
    assert!(told.contains("--loss: from 0 to 0.9"), "{told}");
    let told = rejection(&[&here[..], &["--count", "2", "--first-number", "4294967295"]].concat());
    assert!(told.contains("--first-number"), "{told}");
}

/// Runs `nettleferry scale` with a file of this text: its exit code, its JSON lines and its error output.
fn scale(text: &str) -> (Option<i32>, Vec<serde_json::Value>, String) {
    let folder = tempfile::tempdir().expect("temporary folder");
    let file = folder.path().join("scale.sexp");
    std::fs::write(&file, text).expect("written");
    let out = Command::new(PROGRAM).arg("scale").arg(&file).output().expect("it runs");
    let lines = String::from_utf8_lossy(&out.stdout);
    let lines = lines.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
    (out.status.code(), lines, String::from_utf8_lossy(&out.stderr).into_owned())
}

#[test]
fn scale_run_measures_a_leader_by_its_followers() {
    let (code, lines, said) = scale(
        "(administration (followers 8 32) (real 1) (lease 1s) (tenants 3) (changes-per-second 10) (interval 1s))",
    );
    assert_eq!(code, Some(0), "{said}");
    let value = |figure: &str, size: u64| {
        let found = lines.iter().find(|line| line["figure"] == figure && line["size"] == size);
        found.and_then(|line| line["value"].as_f64()).unwrap_or_else(|| panic!("{figure} at {size}: {said}"))
    };
    for size in [8, 32] {
        assert_eq!(value("not-everywhere", size), 0.0);
        assert!(value("everywhere-max", size) > 0.0 && value("bytes-to", size) > 0.0);
        assert!(value("memory", size) > 1e6 && value("follower-memory", size) > 1e6);
    }
    let connections = value("descriptors", 32) - value("descriptors", 8);
    // Two for each of 24 followers; a file may be open at either measurement.
    assert!((46.0..=50.0).contains(&connections), "{connections}");
    let asks = value("asks", 32) / value("asks", 8);
    assert!((2.0..8.0).contains(&asks), "asks grow like the followers: {asks}");
}

#[test]
fn scale_run_of_more_followers_than_leases_is_rejected_with_what_fits() {
    let (code, lines, said) = scale("(administration\n  (followers 64 1024)\n  (real 2))");
    assert_eq!((code, lines.len()), (Some(3), 0), "{said}");
    assert!(said.contains("1024 lives; write at most 1022"), "{said}");
}

#[test]
fn scale_run_measures_a_worker_by_its_controllers() {
    let (code, lines, said) = scale("(worker (controllers 20 60) (calls-per-second 200) (interval 500ms))");
    assert_eq!(code, Some(0), "{said}");
    let value = |figure: &str, size: u64| {
        let found = lines.iter().find(|line| line["figure"] == figure && line["size"] == size);
        found.and_then(|line| line["value"].as_f64()).unwrap_or_else(|| panic!("{figure} at {size}: {said}"))
    };
    for size in [20, 60] {
        assert_eq!(value("connections", size), size as f64);
        assert_eq!((value("not-connected", size), value("not-served", size)), (0.0, 0.0));
        assert!(value("calls", size) > 0.0 && value("call-p99", size) >= value("call-p50", size));
    }
}
