//! Followers that are partitioned during a series of changes and reconnect at the same time, and two administrations
//! that serve the same store after a restore.

mod common;
use common::admin_client::*;
use common::cluster::*;
use common::link::{Link, LinkMode};
use common::*;

use nettleferry_net::grpc::Code;
use serde_json::{Value, json};

/// Additional settings of the administration.
const ADMINISTRATION: &str = "(lease 1s) (trail (folder \"trail\"))";
/// Additional settings of each follower.
const FOLLOWER: &str = "(trail (folder \"trail\"))";

/// Epochs and revisions that a controller put in force, in the order of its delivered audit log.
fn acted_versions(leader: &AdminClient, number: usize) -> Vec<(u64, u64)> {
    let (mut versions, mut next) = (Vec::new(), Some(0));
    while let Some(from) = next {
        let page = leader.get(&format!("/v1/fleet/records?of={number}&from={from}&limit=1000"));
        for line in page["lines"].as_array().into_iter().flatten().filter_map(Value::as_str) {
            let line: Value = serde_json::from_str(line).expect("valid JSON");
            if line["what"] == "view" {
                let part = |key: &str| line["parts"][key].as_u64().unwrap_or(0);
                versions.push((part("epoch"), part("revision")));
            }
        }
        next = page["next"].as_u64();
    }
    versions
}

#[test]
fn reconnected_followers_apply_each_change_once_in_order() {
    let cluster = Cluster::new("127.0.12.1", 9);
    let leader = cluster.administration(cluster.dir(), ADMINISTRATION);
    leader.create(json!({"name": "kalahari"}));
    let links: Vec<Link> = (0..8).map(|_| cluster.link()).collect();
    let followers: Vec<Program> = links
        .iter()
        .zip(1..)
        .map(|(link, number)| cluster.follower(cluster.dir(), number, link.address, FOLLOWER))
        .collect();
    for program in &followers {
        eventually("the follower serves the tenant", || call_status(program, "kalahari") == Code::Ok);
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
        let (status, response) = leader.send("PATCH", "/v1/tenants/kalahari", "If-Match: *\r\n", &body);
        assert_eq!(status, 200, "{response}");
        if n % 20 == 0 {
            followers.iter().for_each(|program| assert_eq!(call_status(program, "kalahari"), Code::Ok));
        }
    }
    let last = leader.get("/v1/controllers")["revision"].as_u64().expect("a revision");
    links.iter().for_each(|link| link.set(LinkMode::Forward));
    eventually("the last revision is in force at all followers", || {
        incarnations(&leader).iter().filter(|incarnation| incarnation["in_force"] == last).count() == 8
    });
    for number in 1..=8 {
        eventually("the audit log of the follower is delivered", || {
            acted_versions(&leader, number).last().is_some_and(|(_, revision)| *revision == last)
        });
        let versions = acted_versions(&leader, number);
        // A follower that catches up by the change log applies each change separately; with a snapshot it would skip
        // some. No change may be applied twice or out of order.
        assert!(versions.windows(2).all(|pair| pair[0] <= pair[1]), "controller {number}: {versions:?}");
        let mut deduplicated = versions.clone();
        deduplicated.dedup_by_key(|(_, revision)| *revision);
        let revisions: std::collections::BTreeSet<u64> =
            versions.iter().map(|(_, revision)| *revision).collect();
        assert_eq!(
            deduplicated.len(),
            revisions.len(),
            "controller {number} returned to an earlier revision"
        );
        let missing = (1..=last).filter(|revision| !revisions.contains(revision)).count();
        assert_eq!(missing, 0, "controller {number} skipped {missing} revisions");
    }
}

/// Kills a follower; returns a new folder with its persisted snapshot.
fn kill_and_copy_snapshot(cluster: &Cluster, follower: Program) -> tempfile::TempDir {
    follower.signal("KILL");
    let dir = cluster.dir();
    std::fs::copy(follower.dir.path().join("kept.json"), dir.path().join("kept.json"))
        .expect("snapshot copied");
    dir
}

#[test]
fn forked_leaders_after_a_restore_are_reported() {
    let cluster = Cluster::new("127.0.12.2", 9);
    let leader = cluster.administration(cluster.dir(), ADMINISTRATION);
    leader.create(json!({"name": "kalahari"}));
    let link = cluster.link();
    let mut followers: Vec<Program> =
        (1..=2).map(|n| cluster.follower(cluster.dir(), n, link.address, FOLLOWER)).collect();
    for program in &followers {
        eventually("the follower serves the tenant", || call_status(program, "kalahari") == Code::Ok);
    }
    // An operator restores a snapshot on another address while the first administration continues: two leaders of one
    // store.
    let snapshot = leader.program.dir.path().join("tenants.snapshot");
    eventually("the snapshot is written", || snapshot.exists());
    let dir = cluster.dir();
    let store = dir.path().join("tenants.redb");
    let output =
        std::process::Command::new(PROGRAM).args(["admin", "restore"]).args([&snapshot, &store]).output();
    assert!(output.expect("nettleferry admin restore runs").status.success());
    let second_api = free_address(cluster.host);
    let second = cluster.administration_at(second_api, dir, ADMINISTRATION);
    second.change("POST", "/v1/tenants/kalahari/suspend", "");
    let third = cluster.follower(cluster.dir(), 3, second_api, FOLLOWER);
    eventually("the third follower has the suspension of the second administration", || {
        call_status(&third, "kalahari") == Code::PermissionDenied
    });
    // A follower of the first administration is configured to follow the second and then the first again: it accepts
    // the later epoch, and never returns to the earlier one.
    let moved = followers.remove(0);
    assert_eq!(call_status(&moved, "kalahari"), Code::Ok);
    let persisted = moved.dir.path().join("kept.json");
    eventually("the snapshot of the moved follower is persisted", || {
        std::fs::read_to_string(&persisted).is_ok_and(|text| text.contains("\"revision\":1"))
    });
    let dir = kill_and_copy_snapshot(&cluster, moved);
    let moved = cluster.follower(dir, 1, second_api, FOLLOWER);
    eventually("the moved follower has the later epoch", || {
        call_status(&moved, "kalahari") == Code::PermissionDenied
    });
    // A snapshot is in force before it is durable, so this waits until it is written.
    let persisted = moved.dir.path().join("kept.json");
    eventually("the later epoch is persisted", || {
        std::fs::read_to_string(&persisted).is_ok_and(|text| text.contains("\"state\":\"suspended\""))
    });
    let dir = kill_and_copy_snapshot(&cluster, moved);
    let returned = cluster.follower(dir, 1, cluster.api, FOLLOWER);
    eventually("the first administration reports that it is behind", || {
        leader.get("/v1/fleet")["cause"] == "behind"
    });
    assert_eq!(
        call_status(&returned, "kalahari"),
        Code::PermissionDenied,
        "the follower must not return to the earlier epoch"
    );
    assert_eq!(
        call_status(&followers[0], "kalahari"),
        Code::Ok,
        "the other follower keeps the earlier epoch"
    );
    let (status, response) = leader.send("POST", "/v1/tenants", "", "{\"name\":\"new\"}");
    assert_eq!(status, 503, "no change is accepted until an operator decides which store stands: {response}");
}
