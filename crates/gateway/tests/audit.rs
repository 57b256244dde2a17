//! `nettleferry fleet audit` over several processes with faults between them, compared with the clients' observations:
//! which controller accepted calls on which version. The audit must report no violation that the clients' clocks don't
//! confirm.

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
    then: &str,
) -> Program {
    cluster.follower(dir, number, through, &format!("(without-lease {then}) (trail (folder \"trail\"))"))
}

fn audit(cluster: &Cluster) -> Value {
    let (_, told) = cluster.run(&["audit", "--json"]);
    serde_json::from_str(&told).unwrap_or_else(|e| panic!("{e}: {told}"))
}

/// Makes calls of a tenant at a controller, one after another, until `stop`: when each served one was sent and answered,
/// by the client's clock.
fn calls(
    tenant: &'static str,
    at: SocketAddr,
    stop: &Arc<AtomicBool>,
) -> std::thread::JoinHandle<Vec<(Instant, Instant)>> {
    let stop = Arc::clone(stop);
    std::thread::spawn(move || {
        let mut caller = Caller::new(at);
        let mut all = Vec::new();
        while !stop.load(Ordering::Acquire) {
            let sent = Instant::now();
            if code(&mut caller, Some(tenant), "echo").0 == Code::Ok {
                all.push((sent, Instant::now()));
            }
        }
        all
    })
}

/// Sum over `calls` of one bound of the reported numbers of calls: 0 for the lower, 1 for the upper one.
fn sum(found: &Value, place: usize) -> u64 {
    let calls = found["calls"].as_object().into_iter().flatten();
    calls.map(|(_, c)| c[place].as_u64().unwrap_or(0)).sum()
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario over several processes, step by step")]
fn audit_reports_a_stale_controller_and_its_calls_as_clients_saw_them() {
    let cluster = Cluster::new("127.0.9.1", 4);
    let leader = cluster.administration(cluster.dir(), ADMINISTRATION);
    let link = cluster.link();
    leader.create(json!({"name": "kalahari"}));
    // One follower that receives all changes, and one that serves without a lease by its last known version.
    let good = follower(&cluster, cluster.dir(), 1, cluster.api, "refuse");
    let late = follower(&cluster, cluster.dir(), 2, link.address, "serve");
    for program in [&good, &late] {
        eventually("it serves", || call_status(program, "kalahari") == Code::Ok);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let seen: Vec<_> = [&good, &late].iter().map(|p| calls("kalahari", p.address, &stop)).collect();
    link.set(LinkMode::Blackhole);
    let made = Instant::now();
    let (status, _) = leader.ask("POST", "/v1/tenants/kalahari/suspend", "If-Match: *\r\n", "");
    assert_eq!(status, 202, "one of them has no bound");
    // The change is in force at the other follower by now: calls that the late one serves from here on are stale.
    let in_force = Instant::now();
    assert_eq!(call_status(&good, "kalahari"), Code::PermissionDenied);
    let mut caller = Caller::new(late.address);
    for _ in 0..300 {
        assert_eq!(code(&mut caller, Some("kalahari"), "echo").0, Code::Ok, "it goes on");
    }
    link.set(LinkMode::Forward);
    let mut asked = 0;
    eventually("it has heard", || {
        asked += 1;
        call_status(&late, "kalahari") == Code::PermissionDenied
    });
    stop.store(true, Ordering::Release);
    let mut seen: Vec<_> = seen.into_iter().map(|t| t.join().expect("each call has its answer")).collect();
    // The audit uses delivered records only, so it waits until both records are delivered to their ends.
    let mut report = Value::Null;
    eventually("both records are delivered to their ends", || {
        report = audit(&cluster);
        let behind = report["behind"].as_array().cloned().unwrap_or_default();
        behind.iter().any(|b| b["who"]["controller"] == 2 && sum(b, 1) >= 300)
            && report["actors"].as_array().is_some_and(|a| a.iter().any(|a| a["who"]["controller"] == 1))
    });
    let behind: Vec<Value> = report["behind"].as_array().cloned().unwrap_or_default();
    // The up-to-date follower: at most the calls that were in flight when the change was made.
    let overtaken = seen[0].iter().filter(|(_, answered)| *answered >= made).count() as u64;
    let heard_all = behind.iter().filter(|b| b["who"]["controller"] == 1);
    assert!(heard_all.clone().all(|b| sum(b, 0) <= overtaken), "{overtaken} in truth: {report:#}");
    let found = behind.iter().find(|b| b["who"]["controller"] == 2).expect("the straggler is named");
    assert_eq!(
        (&found["sure"], &found["book"][1], &found["newer"][1]),
        (&json!("certain"), &json!(1), &json!(2))
    );
    assert!(found["why"].as_str().is_some_and(|why| why.contains("goes-on")), "{found}");
    // Compared with the clients: calls sent after the acknowledgement are stale, and those answered before the change was
    // requested are not. The 300 calls of this thread were sent after it.
    let late_calls = seen.pop().expect("calls of the second follower");
    let surely = late_calls.iter().filter(|(sent, _)| *sent > in_force).count() as u64 + 300;
    // One call checked that it served, and the calls that polled for the change were served until it arrived.
    let all = late_calls.len() as u64 + 300 + 1 + asked;
    let (least, most) = (sum(found, 0), sum(found, 1));
    assert!(most >= surely, "none is missing: {surely} in truth, told {least} to {most}");
    assert!(least <= all && most <= all, "no more than there were: {all}, told {least} to {most}");
    // The text report, the SVG and `verify`.
    let svg = leader.program.dir.path().join("fleet.svg");
    let (done, told) = cluster.run(&["audit", "--tenant", "kalahari", "--svg", &svg.display().to_string()]);
    assert!(done == Some(0) && told.contains("certain: controller 2"), "{told}");
    assert!(
        std::fs::read_to_string(&svg)
            .is_ok_and(|text| text.contains("<svg") && text.contains("controller 2"))
    );
    let (done, told) = cluster.run(&["verify"]);
    assert!(done == Some(0) && told.contains("record of administration") && told.contains("whole"), "{told}");
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario over several processes, step by step")]
fn damaged_audit_logs_are_reported_and_the_controller_continues() {
    let cluster = Cluster::new("127.0.9.2", 4);
    let leader = cluster.administration(cluster.dir(), ADMINISTRATION);
    leader.create(json!({"name": "kalahari"}));
    let segments = |dir: &std::path::Path| -> Vec<std::path::PathBuf> {
        let all = std::fs::read_dir(dir.join("trail")).expect("folder readable");
        let mut all: Vec<_> = all.map(|e| e.expect("an entry").path()).collect();
        all.sort();
        all
    };
    let first = follower(&cluster, cluster.dir(), 1, cluster.api, "serve");
    eventually("it serves", || call_status(&first, "kalahari") == Code::Ok);
    for n in 0..30 {
        leader.create(json!({ "name": format!("t{n}") }));
    }
    eventually("it has them", || call_status(&first, "t29") == Code::Ok);
    let written = |dir: &std::path::Path| {
        segments(dir).iter().map(|f| std::fs::metadata(f).map_or(0, |m| m.len())).sum::<u64>()
    };
    eventually("it is on the disk", || written(first.dir.path()) > 3_000);
    first.signal("KILL");
    let left: Vec<_> = segments(first.dir.path());
    let bytes = std::fs::read(left.last().expect("a segment")).expect("file readable");
    drop(first);
    type Damage = fn(&mut Vec<u8>);
    let damages: [(&str, Damage); 3] = [
        ("a flipped bit", |b| {
            let at = b.len() / 2;
            b[at] ^= 1;
        }),
        ("a torn tail", |b| b.truncate(b.len() - 7)),
        ("an empty file", Vec::clear),
    ];
    for (what, damage) in damages {
        let dir = cluster.dir();
        std::fs::create_dir(dir.path().join("trail")).expect("made");
        let mut damaged = bytes.clone();
        damage(&mut damaged);
        std::fs::write(dir.path().join("trail").join("00000000000000000001.spool"), damaged)
            .expect("written");
        let folder = dir.path().join("trail").display().to_string();
        let (done, told) = cluster.run(&["verify", &folder]);
        if what == "a flipped bit" {
            assert!(
                done == Some(1) && told.contains("NOT whole") && told.contains("missing"),
                "{what}: {told}"
            );
        } else {
            assert!(done == Some(0), "{what}: what was never synced is no damage: {told}");
        }
        let again = follower(&cluster, dir, 1, cluster.api, "serve");
        eventually("it goes on", || call_status(&again, "kalahari") == Code::Ok);
    }
    // A file in place of the folder: the record is kept in memory, and calls are served.
    let dir = cluster.dir();
    std::fs::write(dir.path().join("trail"), "no folder").expect("written");
    let again = follower(&cluster, dir, 3, cluster.api, "serve");
    eventually("it goes on without a disk", || call_status(&again, "kalahari") == Code::Ok);
    eventually("and its record is delivered from memory", || {
        let told = leader.get("/v1/fleet/records");
        told["records"]
            .as_array()
            .is_some_and(|all| all.iter().any(|r| r["of"] == "3" && r["lines"].as_u64() > Some(0)))
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
    eventually("it serves", || call_status(&earlier, "kalahari") == Code::Ok);
    link.set(LinkMode::Blackhole);
    let later = follower(&cluster, cluster.dir(), 1, cluster.api, "serve");
    eventually("the later one has its lease", || incarnations(&leader).len() == 2);
    eventually("it serves", || call_status(&later, "kalahari") == Code::Ok);
    eventually("workers turn the earlier one away, with proof that nothing ran", || {
        call_status(&earlier, "kalahari") == Code::Unavailable
    });
    assert_eq!(call_status(&later, "kalahari"), Code::Ok);
    drop(earlier);
}
