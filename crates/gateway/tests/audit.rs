//! `nettleferry fleet audit` over several processes with network faults between them: which controller served calls by
//! which version of the tenants. The audit must report no stale call that the clients' own times don't confirm.

mod common;
use common::admin_client::*;
use common::cluster::*;
use common::link::LinkMode;
use common::*;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use nettleferry_net::grpc::Code;
use serde_json::{Value, json};

const ADMINISTRATION: &str = "(lease 1s) (trail (folder \"trail\"))";

fn follower(
    cluster: &Cluster,
    dir: tempfile::TempDir,
    number: u32,
    through: SocketAddr,
    without_lease: &str,
) -> Program {
    cluster.follower(
        dir,
        number,
        through,
        &format!("(without-lease {without_lease}) (trail (folder \"trail\"))"),
    )
}

fn audit(cluster: &Cluster) -> Value {
    let (_, output) = cluster.run(&["audit", "--json"]);
    serde_json::from_str(&output).unwrap_or_else(|e| panic!("{e}: {output}"))
}

/// Makes calls of a tenant at a controller, one after another, until `stop` is set. The thread returns the times at
/// which each served call was sent and answered.
fn calls(
    tenant: &'static str,
    at: SocketAddr,
    stop: &Arc<AtomicBool>,
) -> std::thread::JoinHandle<Vec<(Instant, Instant)>> {
    let stop = Arc::clone(stop);
    std::thread::spawn(move || {
        let mut caller = Caller::new(at);
        let mut served = Vec::new();
        while !stop.load(Ordering::Acquire) {
            let sent = Instant::now();
            if code(&mut caller, Some(tenant), "echo").0 == Code::Ok {
                served.push((sent, Instant::now()));
            }
        }
        served
    })
}

/// One bound of the number of stale calls that an entry of `behind` reports for all tenants together: the lower one if
/// `bound` is 0, the upper one if it is 1.
fn stale_calls(entry: &Value, bound: usize) -> u64 {
    let calls = entry["calls"].as_object().into_iter().flatten();
    calls.map(|(_, bounds)| bounds[bound].as_u64().unwrap_or(0)).sum()
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario over several processes, step by step")]
fn audit_reports_a_stale_controller_and_its_calls_as_clients_saw_them() {
    let cluster = Cluster::new("127.0.9.1", 4);
    let leader = cluster.administration(cluster.dir(), ADMINISTRATION);
    let link = cluster.link();
    leader.create(json!({"name": "kalahari"}));
    // One follower receives all changes; the other one serves by its last known version when it has no lease.
    let current = follower(&cluster, cluster.dir(), 1, cluster.api, "refuse");
    let late = follower(&cluster, cluster.dir(), 2, link.address, "serve");
    for program in [&current, &late] {
        eventually("the follower serves", || call_status(program, "kalahari") == Code::Ok);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = [&current, &late].iter().map(|p| calls("kalahari", p.address, &stop)).collect();
    link.set(LinkMode::Blackhole);
    let suspended_at = Instant::now();
    let (status, _) = leader.send("POST", "/v1/tenants/kalahari/suspend", "If-Match: *\r\n", "");
    assert_eq!(status, 202, "the late follower may serve by the earlier version for an unlimited time");
    // The change is in force at the other follower by now: calls that the late one serves from here on are stale.
    let in_force_at = Instant::now();
    assert_eq!(call_status(&current, "kalahari"), Code::PermissionDenied);
    let mut caller = Caller::new(late.address);
    for _ in 0..300 {
        assert_eq!(
            code(&mut caller, Some("kalahari"), "echo").0,
            Code::Ok,
            "the late follower still serves the tenant"
        );
    }
    link.set(LinkMode::Forward);
    let mut polling_calls = 0;
    eventually("the late follower has the suspension", || {
        polling_calls += 1;
        call_status(&late, "kalahari") == Code::PermissionDenied
    });
    stop.store(true, Ordering::Release);
    let mut served: Vec<_> =
        clients.into_iter().map(|client| client.join().expect("each call has a status")).collect();
    // The audit uses only records that the followers have delivered.
    let mut report = Value::Null;
    eventually("both followers have delivered the records of their calls", || {
        report = audit(&cluster);
        let behind = report["behind"].as_array().cloned().unwrap_or_default();
        behind.iter().any(|entry| entry["who"]["controller"] == 2 && stale_calls(entry, 1) >= 300)
            && report["actors"]
                .as_array()
                .is_some_and(|actors| actors.iter().any(|actor| actor["who"]["controller"] == 1))
    });
    let behind: Vec<Value> = report["behind"].as_array().cloned().unwrap_or_default();
    // The up-to-date follower: at most the calls that were in flight when the change was made.
    let in_flight = served[0].iter().filter(|(_, answered)| *answered >= suspended_at).count() as u64;
    let of_current = behind.iter().filter(|entry| entry["who"]["controller"] == 1);
    assert!(
        of_current.clone().all(|entry| stale_calls(entry, 0) <= in_flight),
        "{in_flight} calls were in flight: {report:#}"
    );
    let late_entry =
        behind.iter().find(|entry| entry["who"]["controller"] == 2).expect("an entry of the late follower");
    assert_eq!(
        (&late_entry["sure"], &late_entry["book"][1], &late_entry["newer"][1]),
        (&json!("certain"), &json!(1), &json!(2))
    );
    assert!(late_entry["why"].as_str().is_some_and(|why| why.contains("goes-on")), "{late_entry}");
    // By the clients' times, calls sent after the acknowledgement are stale, and those answered before the change was
    // requested are not. The 300 calls of this thread were sent after the acknowledgement.
    let late_calls = served.pop().expect("calls of the second follower");
    let certainly_stale = late_calls.iter().filter(|(sent, _)| *sent > in_force_at).count() as u64 + 300;
    // One further call showed that the follower serves, and the polling calls were served until the change arrived.
    let all = late_calls.len() as u64 + 300 + 1 + polling_calls;
    let (least, most) = (stale_calls(late_entry, 0), stale_calls(late_entry, 1));
    assert!(most >= certainly_stale, "{certainly_stale} calls were stale, reported {least} to {most}");
    assert!(least <= all && most <= all, "{all} calls were made, reported {least} to {most}");
    // The text report, the SVG and `verify`.
    let svg = leader.program.dir.path().join("fleet.svg");
    let (exit_code, output) =
        cluster.run(&["audit", "--tenant", "kalahari", "--svg", &svg.display().to_string()]);
    assert!(exit_code == Some(0) && output.contains("certain: controller 2"), "{output}");
    assert!(
        std::fs::read_to_string(&svg)
            .is_ok_and(|text| text.contains("<svg") && text.contains("controller 2"))
    );
    let (exit_code, output) = cluster.run(&["verify"]);
    assert!(
        exit_code == Some(0) && output.contains("record of administration") && output.contains("whole"),
        "{output}"
    );
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario over several processes, step by step")]
fn damaged_audit_logs_are_reported_and_the_controller_continues() {
    let cluster = Cluster::new("127.0.9.2", 4);
    let leader = cluster.administration(cluster.dir(), ADMINISTRATION);
    leader.create(json!({"name": "kalahari"}));
    let segments = |dir: &std::path::Path| -> Vec<std::path::PathBuf> {
        let all = std::fs::read_dir(dir.join("trail")).expect("folder readable");
        let mut all: Vec<_> = all.map(|e| e.expect("directory entry readable").path()).collect();
        all.sort();
        all
    };
    let first = follower(&cluster, cluster.dir(), 1, cluster.api, "serve");
    eventually("the follower serves", || call_status(&first, "kalahari") == Code::Ok);
    for n in 0..30 {
        leader.create(json!({ "name": format!("t{n}") }));
    }
    eventually("the follower has all tenants", || call_status(&first, "t29") == Code::Ok);
    let bytes_on_disk = |dir: &std::path::Path| {
        segments(dir)
            .iter()
            .map(|file| std::fs::metadata(file).map_or(0, |metadata| metadata.len()))
            .sum::<u64>()
    };
    eventually("the records are on disk", || bytes_on_disk(first.dir.path()) > 3_000);
    first.signal("KILL");
    let remaining_segments = segments(first.dir.path());
    let bytes = std::fs::read(remaining_segments.last().expect("a segment file")).expect("file readable");
    drop(first);
    type Damage = fn(&mut Vec<u8>);
    let damages: [(&str, Damage); 3] = [
        ("a flipped bit", |bytes| {
            let middle = bytes.len() / 2;
            bytes[middle] ^= 1;
        }),
        ("a truncated tail", |bytes| bytes.truncate(bytes.len() - 7)),
        ("an empty file", Vec::clear),
    ];
    for (what, damage) in damages {
        let dir = cluster.dir();
        std::fs::create_dir(dir.path().join("trail")).expect("folder created");
        let mut damaged = bytes.clone();
        damage(&mut damaged);
        std::fs::write(dir.path().join("trail").join("00000000000000000001.spool"), damaged)
            .expect("damaged segment written");
        let folder = dir.path().join("trail").display().to_string();
        let (exit_code, output) = cluster.run(&["verify", &folder]);
        if what == "a flipped bit" {
            assert!(
                exit_code == Some(1) && output.contains("NOT whole") && output.contains("missing"),
                "{what}: {output}"
            );
        } else {
            assert!(
                exit_code == Some(0),
                "{what}: an incomplete tail that was never synced is not damage: {output}"
            );
        }
        let restarted = follower(&cluster, dir, 1, cluster.api, "serve");
        eventually("the restarted follower serves", || call_status(&restarted, "kalahari") == Code::Ok);
    }
    // With a file in place of the folder, the records are kept in memory, and calls are served.
    let dir = cluster.dir();
    std::fs::write(dir.path().join("trail"), "no folder").expect("file written");
    let restarted = follower(&cluster, dir, 3, cluster.api, "serve");
    eventually("the follower serves without an audit log on disk", || {
        call_status(&restarted, "kalahari") == Code::Ok
    });
    eventually("its records are delivered from memory", || {
        let response = leader.get("/v1/fleet/records");
        response["records"].as_array().is_some_and(|records| {
            records.iter().any(|record| record["of"] == "3" && record["lines"].as_u64() > Some(0))
        })
    });
}

#[test]
fn workers_reject_an_earlier_incarnation_once_a_later_one_was_seen() {
    let cluster = Cluster::new("127.0.9.3", 4);
    let leader = cluster.administration(cluster.dir(), ADMINISTRATION);
    let link = cluster.link();
    leader.create(json!({"name": "kalahari"}));
    // Two incarnations of one controller number: the earlier one is partitioned and continues.
    let earlier = follower(&cluster, cluster.dir(), 1, link.address, "serve");
    eventually("the earlier incarnation serves", || call_status(&earlier, "kalahari") == Code::Ok);
    link.set(LinkMode::Blackhole);
    let later = follower(&cluster, cluster.dir(), 1, cluster.api, "serve");
    eventually("the later incarnation has a lease", || incarnations(&leader).len() == 2);
    eventually("the later incarnation serves", || call_status(&later, "kalahari") == Code::Ok);
    eventually("workers reject the earlier incarnation, with proof that no call ran", || {
        call_status(&earlier, "kalahari") == Code::Unavailable
    });
    assert_eq!(call_status(&later, "kalahari"), Code::Ok);
    drop(earlier);
}
