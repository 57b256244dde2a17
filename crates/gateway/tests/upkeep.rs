//! Followers that are partitioned during a series of changes and reconnect at the same time, and two administrations
//! that serve the same store after a restore.

mod common;
use common::admin_client::*;
use common::cluster::*;
use common::link::{Link, LinkMode};
use common::*;

use nettleferry_net::grpc::Code;
use serde_json::{Value, json};

const ADMINISTRATION: &str = "(lease 1s) (trail (folder \"trail\"))";
const FOLLOWER: &str = "(trail (folder \"trail\"))";

/// Epochs and revisions that a controller acted on, in the order of its delivered audit log.
fn acted_versions(leader: &AdminClient, number: usize) -> Vec<(u64, u64)> {
    let (mut all, mut from) = (Vec::new(), Some(0));
    while let Some(place) = from {
        let page = leader.get(&format!("/v1/fleet/records?of={number}&from={place}&limit=1000"));
        for line in page["lines"].as_array().into_iter().flatten().filter_map(Value::as_str) {
            let line: Value = serde_json::from_str(line).expect("valid JSON");
            if line["what"] == "view" {
                let part = |key: &str| line["parts"][key].as_u64().unwrap_or(0);
                all.push((part("epoch"), part("revision")));
            }
        }
        from = page["next"].as_u64();
    }
    all
}

#[test]
fn reconnected_followers_apply_each_change_once_in_order() {
    let cluster = Cluster::new("127.0.12.1", 9);
    let leader = cluster.administration(cluster.dir(), ADMINISTRATION);
    leader.create(json!({"name": "kalahari"}));
    let links: Vec<Link> = (0..8).map(|_| cluster.link()).collect();
    let all: Vec<Program> =
        links.iter().zip(1..).map(|(l, n)| cluster.follower(cluster.dir(), n, l.address, FOLLOWER)).collect();
    for program in &all {
        eventually("it serves", || call_status(program, "kalahari") == Code::Ok);
    }
    // Five of eight followers are partitioned while 200 changes are made; all of them serve calls meanwhile.
    let modes = [
        LinkMode::Closed,
        LinkMode::Blackhole,
        LinkMode::RequestsOnly,
        LinkMode::ResponsesOnly,
        LinkMode::Closed,
    ];
    links.iter().zip(modes).for_each(|(link, mode)| link.set(mode));
    for n in 0..200 {
        let body = json!({ "note": n.to_string() }).to_string();
        let (status, told) = leader.send("PATCH", "/v1/tenants/kalahari", "If-Match: *\r\n", &body);
        assert_eq!(status, 200, "{told}");
        if n % 20 == 0 {
            all.iter().for_each(|program| assert_eq!(call_status(program, "kalahari"), Code::Ok));
        }
    }
    let last = leader.get("/v1/controllers")["revision"].as_u64().expect("a revision");
    links.iter().for_each(|link| link.set(LinkMode::Forward));
    eventually("all act on the last one", || {
        incarnations(&leader).iter().filter(|l| l["in_force"] == last).count() == 8
    });
    for number in 1..=8 {
        eventually("its record is delivered", || {
            acted_versions(&leader, number).last().is_some_and(|(_, r)| *r == last)
        });
        let acted = acted_versions(&leader, number);
        // Catching up by the change log applies each change separately; a snapshot would skip some. No change may be applied
        // twice or out of order.
        assert!(acted.windows(2).all(|pair| pair[0] <= pair[1]), "controller {number}: {acted:?}");
        let mut once = acted.clone();
        once.dedup_by_key(|(_, revision)| *revision);
        let revisions: std::collections::BTreeSet<u64> = acted.iter().map(|(_, r)| *r).collect();
        assert_eq!(once.len(), revisions.len(), "controller {number} came back to a revision");
        let missing = (1..=last).filter(|r| !revisions.contains(r)).count();
        assert_eq!(missing, 0, "controller {number} was brought up by the log and skipped {missing}");
    }
}

#[test]
fn forked_leaders_after_a_restore_are_reported() {
    let cluster = Cluster::new("127.0.12.2", 9);
    let leader = cluster.administration(cluster.dir(), ADMINISTRATION);
    leader.create(json!({"name": "kalahari"}));
    let link = cluster.link();
    let all: Vec<Program> =
        (1..=2).map(|n| cluster.follower(cluster.dir(), n, link.address, FOLLOWER)).collect();
    for program in &all {
        eventually("it serves", || call_status(program, "kalahari") == Code::Ok);
    }
    // An operator restores a snapshot on another address while the first administration continues: two leaders of one
    // store.
    let snapshot = leader.program.dir.path().join("tenants.snapshot");
    eventually("the snapshot is written", || snapshot.exists());
    let dir = cluster.dir();
    let store = dir.path().join("tenants.redb");
    let run =
        std::process::Command::new(PROGRAM).args(["admin", "restore"]).args([&snapshot, &store]).output();
    assert!(run.expect("it runs").status.success());
    let other = free_address(cluster.host);
    let second = cluster.administration_at(other, dir, ADMINISTRATION);
    second.change("POST", "/v1/tenants/kalahari/suspend", "");
    let third = cluster.follower(cluster.dir(), 3, other, FOLLOWER);
    eventually("it follows the second", || call_status(&third, "kalahari") == Code::PermissionDenied);
    // A follower of the first administration is configured to follow the second and then the first again: it accepts the
    // later epoch, and never returns to the earlier one.
    let moved = &all[0];
    assert_eq!(call_status(moved, "kalahari"), Code::Ok);
    let mut all = all;
    let moved = all.remove(0);
    let persisted = moved.dir.path().join("kept.json");
    eventually("its snapshot is persisted", || {
        std::fs::read_to_string(&persisted).is_ok_and(|text| text.contains("\"revision\":1"))
    });
    moved.signal("KILL");
    let kept = cluster.dir();
    std::fs::copy(moved.dir.path().join("kept.json"), kept.path().join("kept.json")).expect("copied");
    drop(moved);
    let moved = cluster.follower(kept, 1, other, FOLLOWER);
    eventually("it takes the later epoch", || call_status(&moved, "kalahari") == Code::PermissionDenied);
    // A snapshot is in force before it is durable, so this waits until it is written.
    let persisted = moved.dir.path().join("kept.json");
    eventually("the later epoch is persisted", || {
        std::fs::read_to_string(&persisted).is_ok_and(|text| text.contains("\"state\":\"suspended\""))
    });
    moved.signal("KILL");
    let kept = cluster.dir();
    std::fs::copy(moved.dir.path().join("kept.json"), kept.path().join("kept.json")).expect("copied");
    drop(moved);
    let back = cluster.follower(kept, 1, cluster.api, FOLLOWER);
    eventually("the first is told that another one is ahead", || {
        leader.get("/v1/fleet")["cause"] == "behind"
    });
    assert_eq!(call_status(&back, "kalahari"), Code::PermissionDenied, "it goes back to no earlier epoch");
    assert_eq!(call_status(&all[0], "kalahari"), Code::Ok, "the other one stands where it was");
    let (status, told) = leader.send("POST", "/v1/tenants", "", "{\"name\":\"new\"}");
    assert_eq!(status, 503, "no change until it is decided which one stands: {told}");
}
