//! `nettleferry hollow` (simulated peers) against real processes over loopback: an administration, a follower, a
//! worker.

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

/// Number of simulated followers.
const HOLLOW_FOLLOWERS: u32 = 50;

/// A running `nettleferry hollow`, and the lines of its report. Killed on drop.
struct Hollow {
    child: Child,
    input: Option<ChildStdin>,
    lines: Receiver<Line>,
}

impl Hollow {
    fn followers(cluster: &Cluster, more_arguments: &[&str]) -> Self {
        let (api, count) = (cluster.api.to_string(), HOLLOW_FOLLOWERS.to_string());
        let arguments = ["followers", "--administration", &api, "--key", &cluster.key, "--count", &count];
        Self::run(&[&arguments[..], &["--first-number", "2"], more_arguments].concat())
    }

    fn run(arguments: &[&str]) -> Self {
        let mut command = Command::new(PROGRAM);
        command.arg("hollow").args(arguments);
        let spawned = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn();
        let mut child = spawned.expect("the program starts");
        let (input, stdout) = (child.stdin.take(), child.stdout.take().expect("stdout is piped"));
        let (line_sender, lines) = channel();
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                let _ = line_sender.send(serde_json::from_str(&line).expect("a line of the report"));
            }
        });
        Self { child, input, lines }
    }

    /// Reads lines of the report until `select` accepts one. Panics with `what` if no line arrives
    /// within `CONDITION_TIMEOUT`.
    #[track_caller]
    fn wait<T>(&self, what: &str, mut select: impl FnMut(Line) -> Option<T>) -> T {
        loop {
            let line = self
                .lines
                .recv_timeout(CONDITION_TIMEOUT)
                .unwrap_or_else(|_| panic!("timed out waiting for: {what}"));
            if let Some(found) = select(line) {
                return found;
            }
        }
    }

    /// Waits for the report of a second for which `condition` holds.
    #[track_caller]
    fn second(&self, what: &str, mut condition: impl FnMut(&Second) -> bool) -> Second {
        self.wait(what, |line| match line {
            Line::FollowersSecond(second) if condition(&second) => Some(second),
            _ => None,
        })
    }

    /// Waits for the report that the change with this revision has reached all simulated followers.
    #[track_caller]
    fn change(&self, revision: u64) -> ChangePropagation {
        self.wait("a change that reached all followers", |line| match line {
            Line::FollowersChange(change) if change.revision == revision => Some(change),
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

    /// Requests a summary of the interval since the last one, and waits for it.
    #[track_caller]
    fn interval_summary(&mut self) -> Summary {
        writeln!(self.input.as_mut().expect("stdin is open"), "summary").expect("stdin written");
        self.next_summary()
    }

    /// Waits for the final summary and a successful exit; with `close_input`, ends the run by closing its standard
    /// input.
    #[track_caller]
    fn final_summary(mut self, close_input: bool) -> Summary {
        if close_input {
            self.input = None;
        }
        let summary = self.next_summary();
        self.assert_exit_success();
        summary
    }

    #[track_caller]
    fn assert_exit_success(&mut self) {
        assert!(self.child.wait().expect("status of the child").success());
    }
}

impl Drop for Hollow {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Suspends or resumes the tenant `t0` (`action`), waits until the change is in force everywhere, and returns its
/// revision. The response to a suspension must already report in a header that it is in force everywhere.
#[track_caller]
fn change_everywhere(leader: &Leader, action: &str) -> u64 {
    let token = &leader.http.token;
    let (status, head, body) = leader.send_raw(&format!(
        "POST /v1/tenants/t0/{action} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer {token}\r\n\
         If-Match: *\r\nContent-Length: 0\r\n\r\n"
    ));
    assert_eq!(status, 200, "{body}");
    if action == "suspend" {
        assert!(head.lines().any(|line| line == "Nettleferry-In-Force: everywhere"), "{head}");
    }
    eventually("the change is in force everywhere", || leader.get("/v1/fleet/change")["everywhere"] == true);
    let tenant: serde_json::Value = serde_json::from_str(&body).expect("the body is JSON");
    tenant["revision"].as_u64().expect("a numeric revision")
}

#[test]
fn hollow_followers_apply_each_change_and_return_to_another_incarnation_of_the_leader() {
    let cluster = Cluster::new("127.0.42.1", HOLLOW_FOLLOWERS + 2);
    let lease = "(lease 2s)";
    let leader = cluster.administration(cluster.dir(), lease);
    leader.create(json!({ "name": "t0" }));
    let real_follower = cluster.follower(cluster.dir(), 1, cluster.api, "(without-lease refuse)");
    let mut hollow = Hollow::followers(&cluster, &["--begin-within", "300"]);
    let follower_count = u64::from(HOLLOW_FOLLOWERS) + 1;
    let all_have_leases = |leader: &Leader| leader.get("/v1/fleet")["leases"] == follower_count;
    eventually("each follower has a lease", || all_have_leases(&leader));
    for action in ["suspend", "resume", "suspend"] {
        let revision = change_everywhere(&leader, action);
        assert_eq!(hollow.change(revision).followers, u64::from(HOLLOW_FOLLOWERS));
    }
    eventually("the real follower has the suspension", || {
        call_status(&real_follower, "t0") == nettleferry_net::grpc::Code::PermissionDenied
    });
    let interval = hollow.interval_summary();
    assert_eq!((interval.lapses, interval.change_to_last.count, interval.changes_incomplete), (0, 3, 0));
    // The administration is killed and restarted with its store.
    leader.program.signal("KILL");
    let store = surviving_files(leader.program, &["tenants.redb", "tenants.lease", "workers.sexp", "key"]);
    hollow.second("a second in which no follower has a lease", |second| second.leased == 0);
    let leader = cluster.administration(store, lease);
    eventually("each follower has a lease again", || all_have_leases(&leader));
    hollow.second("a second in which each follower has a lease again", |second| {
        second.leased == u64::from(HOLLOW_FOLLOWERS)
    });
    let revision = change_everywhere(&leader, "resume");
    assert_eq!(hollow.change(revision).followers, u64::from(HOLLOW_FOLLOWERS));
    let summary = hollow.final_summary(true);
    assert_eq!((summary.followers, summary.never_leased), (u64::from(HOLLOW_FOLLOWERS), 0));
    assert_eq!(
        summary.lapses,
        u64::from(HOLLOW_FOLLOWERS),
        "each follower's lease expired once, while the administration was down"
    );
    assert_eq!(summary.change_to_last.count, 1, "only changes since the last summary are counted");
    assert_eq!((summary.counts.malformed, summary.counts.fenced), (0, 0));
    eventually("the simulated followers have deregistered", || leader.get("/v1/fleet")["leases"] == 1);
}

#[test]
fn hollow_followers_on_a_slow_lossy_link_keep_their_leases_and_end_in_time() {
    let cluster = Cluster::new("127.0.42.2", HOLLOW_FOLLOWERS + 2);
    let leader = cluster.administration(cluster.dir(), "(lease 4s)");
    leader.create(json!({ "name": "t0" }));
    let hollow = Hollow::followers(&cluster, &["--loss", "0.05", "--delay", "20", "--seconds", "6"]);
    hollow.second("a second in which each follower has a lease", |second| {
        second.leased == u64::from(HOLLOW_FOLLOWERS)
    });
    let revision = change_everywhere(&leader, "suspend");
    let change = hollow.change(revision);
    assert_eq!(change.followers, u64::from(HOLLOW_FOLLOWERS));
    assert!(change.p50_ms >= 20, "a change takes at least the delay of one direction: {change:?}");
    let summary = hollow.final_summary(false);
    assert!(summary.ran_ms >= 6_000);
    assert_eq!((summary.lapses, summary.never_leased), (0, 0), "{summary:?}");
}

#[test]
fn hollow_controllers_keep_connections_and_make_their_share_of_calls_and_probes() {
    let mut fleet = Fleet::new(1, SPEC);
    let worker = fleet.handles[0].addresses[0].to_string();
    let arguments = ["controllers", "--worker", &worker, "--count", "100", "--begin-within", "200"];
    let mut hollow =
        Hollow::run(&[&arguments[..], &["--calls-per-second", "200", "--probes-per-second", "50"]].concat());
    let all_connected = |line: Line| match line {
        Line::ControllersSecond(second) if second.connections == 100 && second.counts.served > 0 => {
            Some(second)
        }
        _ => None,
    };
    hollow.wait("a second with all connections and with served calls", all_connected);
    let is_last_controllers_call = |seen: &ObservationKind| matches!(seen, ObservationKind::Call { controller, attempt: Some(1), .. } if controller == "100");
    fleet.wait_for("a call of the last controller at the worker", is_last_controllers_call);
    hollow.input = None;
    let summary = hollow.wait("the final summary", |line| match line {
        Line::ControllersSummary(summary) => Some(*summary),
        _ => None,
    });
    hollow.assert_exit_success();
    let counts = summary.counts;
    assert_eq!((summary.controllers, counts.connected), (100, 100));
    assert_eq!((counts.not_served, counts.broken, counts.not_begun, counts.closed), (0, 0, 0, 0));
    assert!(counts.calls > counts.probes && counts.probes_served > 0, "{counts:?}");
    assert_eq!((summary.call_time.count, summary.probe_time.count), (counts.served, counts.probes_served));
}

#[test]
fn hollow_controllers_report_a_missing_worker() {
    let closed_address = free_address("127.0.42.4").to_string();
    let arguments =
        ["controllers", "--worker", &closed_address, "--count", "5", "--begin-within", "0", "--seconds", "1"];
    let hollow = Hollow::run(&arguments);
    let summary = hollow.wait("the final summary", |line| match line {
        Line::ControllersSummary(summary) => Some(*summary),
        _ => None,
    });
    assert_eq!((summary.counts.connected, summary.counts.not_connected, summary.connections), (0, 5, 0));
}

/// Runs `hollow followers` with invalid arguments under a limit of 200 descriptors, and returns its standard error.
fn rejection(arguments: &[&str]) -> String {
    let out = Command::new("/bin/sh")
        .args(["-c", "ulimit -n 200; exec \"$0\" hollow followers --key a.b \"$@\"", PROGRAM])
        .args(arguments)
        .stdin(Stdio::null())
        .output()
        .expect("nettleferry hollow runs");
    assert_eq!(out.status.code(), Some(2));
    assert!(out.stdout.is_empty(), "nothing is reported, since the run did not start");
    String::from_utf8_lossy(&out.stderr).into_owned()
}

#[test]
fn other_machines_and_too_many_peers_are_rejected_before_the_start() {
    let error = rejection(&["--administration", "192.0.2.1:80", "--count", "5"]);
    assert!(error.contains("192.0.2.1:80 is no loopback address"), "{error}");
    let administration = ["--administration", "127.0.42.3:9"];
    let error = rejection(&[&administration[..], &["--count", "69"]].concat());
    assert!(error.contains("69 peers need 138 descriptors, and 136 may be used: 68 fit"), "{error}");
    let error = rejection(&[&administration[..], &["--count", "0"]].concat());
    assert!(error.contains("at least one peer"), "{error}");
    let error = rejection(&[&administration[..], &["--count", "1", "--loss", "2"]].concat());
    assert!(error.contains("--loss: from 0 to 0.9"), "{error}");
    let error = rejection(&[&administration[..], &["--count", "2", "--first-number", "4294967295"]].concat());
    assert!(error.contains("--first-number"), "{error}");
}

/// Runs `nettleferry scale` with a file of this text. Returns its exit code, the JSON lines of its standard output, and
/// its standard error.
fn scale(text: &str) -> (Option<i32>, Vec<serde_json::Value>, String) {
    let folder = tempfile::tempdir().expect("temporary folder");
    let file = folder.path().join("scale.sexp");
    std::fs::write(&file, text).expect("scale file written");
    let out = Command::new(PROGRAM).arg("scale").arg(&file).output().expect("nettleferry scale runs");
    let lines = String::from_utf8_lossy(&out.stdout);
    let lines = lines.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
    (out.status.code(), lines, String::from_utf8_lossy(&out.stderr).into_owned())
}

#[test]
fn scale_run_measures_a_leader_by_its_followers() {
    let (code, lines, error) = scale(
        "(administration (followers 8 32) (real 1) (lease 1s) (tenants 3) (changes-per-second 10) (interval 1s))",
    );
    assert_eq!(code, Some(0), "{error}");
    let value = |figure: &str, size: u64| {
        let found = lines.iter().find(|line| line["figure"] == figure && line["size"] == size);
        found.and_then(|line| line["value"].as_f64()).unwrap_or_else(|| panic!("{figure} at {size}: {error}"))
    };
    for size in [8, 32] {
        assert_eq!(value("not-everywhere", size), 0.0);
        assert!(value("everywhere-max", size) > 0.0 && value("bytes-to", size) > 0.0);
        assert!(value("memory", size) > 1e6 && value("follower-memory", size) > 1e6);
    }
    let connections = value("descriptors", 32) - value("descriptors", 8);
    // Two for each of 24 further followers; another file may be open at either measurement.
    assert!((46.0..=50.0).contains(&connections), "{connections}");
    let asks = value("asks", 32) / value("asks", 8);
    assert!((2.0..8.0).contains(&asks), "the requests grow with the number of followers: {asks}");
}

#[test]
fn scale_run_of_more_followers_than_leases_is_rejected_with_what_fits() {
    let (code, lines, error) = scale("(administration\n  (followers 64 1024)\n  (real 2))");
    assert_eq!((code, lines.len()), (Some(3), 0), "{error}");
    assert!(error.contains("1024 lives; write at most 1022"), "{error}");
}

#[test]
fn scale_run_measures_a_worker_by_its_controllers() {
    let (code, lines, error) = scale("(worker (controllers 20 60) (calls-per-second 200) (interval 500ms))");
    assert_eq!(code, Some(0), "{error}");
    let value = |figure: &str, size: u64| {
        let found = lines.iter().find(|line| line["figure"] == figure && line["size"] == size);
        found.and_then(|line| line["value"].as_f64()).unwrap_or_else(|| panic!("{figure} at {size}: {error}"))
    };
    for size in [20, 60] {
        assert_eq!(value("connections", size), size as f64);
        assert_eq!((value("not-connected", size), value("not-served", size)), (0.0, 0.0));
        assert!(value("calls", size) > 0.0 && value("call-p99", size) >= value("call-p50", size));
    }
}
