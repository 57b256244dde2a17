//! Watch requests that the leader holds, and reports of followers that arrive out of order.
//!
//! Guards against a leader that knows of a later snapshot, but returns to serving without an operator's decision and
//! then acknowledges a change that the later snapshot lacks. The leader evaluates a held watch at each wake-up. When
//! each evaluation recorded the query as a new report, the watch of a dead process repeated its old version after a
//! newer report of the same controller, and the leader accepted the old version as current. The symptom was the log
//! line `duty changed by a report` with `from=behind to=serving`, caused by a request that was older than the report it
//! replaced.
//!
//! The tests force this order: they act as the followers over plain sockets, and each step waits for the previous one.

mod common;
use common::admin_client::*;
use common::cluster::*;
use common::*;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use nettleferry_net::grpc::Code;
use serde_json::{Value, json};

const ADMINISTRATION: &str = "(lease 5s)";
/// `wait_ms` of a held watch, much shorter than a lease.
const HELD_MS: u64 = 2_000;

/// A snapshot version that a follower reports.
#[derive(Clone, Debug)]
struct ReportedVersion {
    store: String,
    epoch: u64,
    revision: u64,
    checksum: u64,
}

impl ReportedVersion {
    /// The leader's own version.
    fn of(leader: &Leader) -> Self {
        let response = leader.get("/v1/snapshot");
        let number = |value: &Value| value.as_u64().expect("a number");
        Self {
            store: response["store"].as_str().expect("the name of a store").to_owned(),
            epoch: number(&response["epoch"]),
            revision: number(&response["book"]["revision"]),
            checksum: number(&response["sum"]),
        }
    }

    /// A version with the next epoch, as a restore creates it.
    fn later(&self) -> Self {
        Self { epoch: self.epoch + 1, checksum: self.checksum ^ 1, ..self.clone() }
    }
}

/// An incarnation of a controller, as in the query parameters `controller` and `life`.
#[derive(Clone, Copy)]
struct Incarnation {
    controller: u32,
    incarnation: u64,
}

/// A request of a follower whose response has not been read.
struct PendingRequest(TcpStream);

impl PendingRequest {
    /// Reads the response. Returns the status (0 if no response arrived) and the JSON body, `Null` if it is not JSON.
    fn response(mut self) -> (u16, Value) {
        let mut text = String::new();
        self.0.set_read_timeout(Some(CONDITION_TIMEOUT)).expect("socket option set");
        let _ = self.0.read_to_string(&mut text);
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let status = head.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
        (status, serde_json::from_str(body).unwrap_or(Value::Null))
    }
}

fn send(api: SocketAddr, key: &str, target: &str) -> PendingRequest {
    let mut socket = TcpStream::connect(api).expect("connection to the API opened");
    let request = format!(
        "GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer {key}\r\n\r\n"
    );
    socket.write_all(request.as_bytes()).expect("request sent");
    PendingRequest(socket)
}

/// Sends a watch of this incarnation, which reports this version and may be held for `wait_ms`.
fn watch(cluster: &Cluster, id: Incarnation, reported: &ReportedVersion, wait_ms: u64) -> PendingRequest {
    let Incarnation { controller, incarnation } = id;
    let ReportedVersion { store, epoch, revision, checksum } = reported;
    let target = format!(
        "/v1/watch?controller={controller}&life={incarnation}&in_force={revision}&kept={revision}&ends=1&ended=0\
         &store={store}&epoch={epoch}&after={revision}&sum={checksum}&limit=10&wait_ms={wait_ms}"
    );
    send(cluster.api, &cluster.key, &target)
}

/// Reports that this incarnation has ended. Returns the status and the body of the response.
fn deregister(cluster: &Cluster, id: Incarnation) -> (u16, Value) {
    let Incarnation { controller, incarnation } = id;
    let target = format!("/v1/watch?controller={controller}&life={incarnation}&ended=1&wait_ms=0");
    send(cluster.api, &cluster.key, &target).response()
}

/// The entry of an incarnation in the leader's `/v1/fleet`.
fn fleet_entry(leader: &Leader, id: Incarnation) -> Option<Value> {
    let name = format!("{:016x}", id.incarnation);
    incarnations(leader).into_iter().find(|entry| entry["life"] == name)
}

/// Sends a watch and waits until the leader lists the incarnation.
fn send_held_watch(
    cluster: &Cluster,
    leader: &Leader,
    id: Incarnation,
    reported: &ReportedVersion,
    wait_ms: u64,
) -> PendingRequest {
    let request = watch(cluster, id, reported, wait_ms);
    eventually("the leader holds the watch", || fleet_entry(leader, id).is_some());
    request
}

/// Asserts that the leader is behind and refuses changes.
fn assert_behind(leader: &Leader) {
    assert_eq!(leader.get("/v1/fleet")["cause"], "behind");
    let (status, response) = leader.send("POST", "/v1/tenants", "", "{\"name\":\"new\"}");
    assert_eq!(
        status, 503,
        "no change is accepted until an operator decides which snapshot counts: {response}"
    );
}

/// Kills the leader and returns its log.
fn kill_and_read_log(leader: Leader) -> String {
    let Leader { mut program, .. } = leader;
    program.signal("KILL");
    program.wait();
    program.log()
}

/// Creates a cluster on this loopback address, and starts its leader.
fn start(address: &'static str) -> (Cluster, Leader) {
    let cluster = Cluster::new(address, 9);
    let leader = cluster.administration(cluster.dir(), ADMINISTRATION);
    (cluster, leader)
}

const OLD_INCARNATION: Incarnation = Incarnation { controller: 1, incarnation: 11 };
const NEW_INCARNATION: Incarnation = Incarnation { controller: 1, incarnation: 12 };

#[test]
fn held_watch_of_a_dead_process_does_not_replace_a_later_report() {
    let (cluster, leader) = start("127.0.61.1");
    leader.create(json!({"name": "kalahari"}));
    let own_version = ReportedVersion::of(&leader);
    let dead_process_watch = send_held_watch(&cluster, &leader, OLD_INCARNATION, &own_version, HELD_MS);
    let (status, response) = watch(&cluster, NEW_INCARNATION, &own_version.later(), 0).response();
    assert_eq!(status, 503, "which snapshot counts is not decided yet: {response}");
    // The new report changes the leader's state, so that it evaluates the held watch again, at the latest when the hold
    // ends.
    let (status, response) = dead_process_watch.response();
    if status != 503 {
        panic!(
            "a held watch got a snapshot although none is decided on, {status}: {response}\n{}",
            kill_and_read_log(leader)
        );
    }
    assert_behind(&leader);
}

#[test]
fn late_request_of_an_earlier_or_unknown_incarnation_does_not_replace_a_later_report() {
    let (cluster, leader) = start("127.0.61.2");
    leader.create(json!({"name": "kalahari"}));
    let own_version = ReportedVersion::of(&leader);
    watch(&cluster, OLD_INCARNATION, &own_version, 0).response();
    watch(&cluster, NEW_INCARNATION, &own_version.later(), 0).response();
    assert_behind(&leader);
    let unknown = Incarnation { incarnation: 13, ..OLD_INCARNATION };
    for late in [OLD_INCARNATION, NEW_INCARNATION, unknown] {
        assert_eq!(watch(&cluster, late, &own_version, 0).response().0, 503);
        assert_behind(&leader);
    }
    // A controller that lost its disk reports no version, which must not replace an earlier report.
    let target = "/v1/snapshot?controller=1&life=14&in_force=0&kept=0&ends=1&ended=0";
    assert_eq!(send(cluster.api, &cluster.key, target).response().0, 503);
    assert_behind(&leader);
}

#[test]
fn ended_incarnation_gets_no_lease_by_a_held_or_late_request() {
    let (cluster, leader) = start("127.0.61.3");
    leader.create(json!({"name": "kalahari"}));
    let own_version = ReportedVersion::of(&leader);
    let held_watch = send_held_watch(&cluster, &leader, OLD_INCARNATION, &own_version, HELD_MS);
    assert_eq!(deregister(&cluster, OLD_INCARNATION).0, 403);
    // The change wakes the held watch of the ended incarnation. A lease for that incarnation would delay the next
    // change.
    leader.change("PATCH", "/v1/tenants/kalahari", "{\"note\":\"changed\"}");
    let (status, response) = held_watch.response();
    assert_eq!((status, &response["type"]), (403, &json!("/problems/ended")), "{response}");
    let (status, response) = watch(&cluster, OLD_INCARNATION, &ReportedVersion::of(&leader), 0).response();
    assert_eq!((status, &response["type"]), (403, &json!("/problems/ended")), "a late request: {response}");
    assert_eq!(
        fleet_entry(&leader, OLD_INCARNATION).expect("the leader lists the incarnation")["lease_left_ms"],
        Value::Null
    );
    let (status, head, _) = leader.send_raw(&format!(
        "POST /v1/tenants/kalahari/suspend HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer {}\r\n\
         If-Match: *\r\nContent-Length: 0\r\n\r\n",
        leader.token
    ));
    assert!(status == 200 && head.contains("Nettleferry-In-Force: everywhere"), "{status} {head}");
}

#[test]
fn change_that_waits_for_replication_is_not_acknowledged_by_a_later_snapshot() {
    let (cluster, leader) = start("127.0.61.4");
    leader.create(json!({"name": "kalahari"}));
    let own_version = ReportedVersion::of(&leader);
    // This incarnation has a lease, so that a change waits until it reports the change, which it never does.
    let (status, _) = watch(&cluster, OLD_INCARNATION, &own_version, 0).response();
    assert_eq!(status, 200);
    let http = leader.http.clone();
    let change = std::thread::spawn(move || http.send("POST", "/v1/tenants", "", "{\"name\":\"undecided\"}"));
    eventually("the leader has made the change", || {
        leader.get("/v1/controllers")["revision"] == own_version.revision + 1
    });
    // A later epoch with a higher revision, but without the pending change.
    let later = ReportedVersion { revision: own_version.revision + 5, ..own_version.later() };
    watch(&cluster, Incarnation { controller: 2, incarnation: 21 }, &later, 0).response();
    let (status, response) = change.join().expect("the change gets a response");
    assert_eq!((status, &response["type"]), (503, &json!("/problems/undecided")), "{response}");
    assert_behind(&leader);
}

#[test]
fn leader_that_is_behind_does_not_act_on_its_own_snapshot() {
    let (cluster, leader) = start("127.0.61.5");
    leader.create(json!({"name": "kalahari"}));
    assert_eq!(call_status(&leader.program, "kalahari"), Code::Ok);
    watch(&cluster, NEW_INCARNATION, &ReportedVersion::of(&leader).later(), 0).response();
    eventually("the leader refuses calls, since the later snapshot may suspend the tenant", || {
        call_status(&leader.program, "kalahari") == Code::ResourceExhausted
    });
    let (exit_code, output) = cluster.run(&["recover", "--take", "own", "--yes"]);
    assert!(exit_code == Some(0) && output.contains("stands now"), "{output}");
    eventually("the leader serves after the operator's decision", || {
        call_status(&leader.program, "kalahari") == Code::Ok
    });
    assert_eq!(leader.send("POST", "/v1/tenants", "", "{\"name\":\"new\"}").0, 201);
}

#[test]
fn impossible_reports_are_refused_counted_and_decide_nothing() {
    let cluster = Cluster::new("127.0.61.6", 4);
    let leader = cluster.administration(cluster.dir(), ADMINISTRATION);
    leader.create(json!({"name": "kalahari"}));
    let own_version = ReportedVersion::of(&leader);
    let impossible_epoch = ReportedVersion { epoch: u64::MAX, ..own_version.clone() };
    let impossible_revision = ReportedVersion { revision: u64::MAX, ..own_version.clone() };
    let unknown_controller = Incarnation { controller: 4, incarnation: 41 };
    let leader_itself = Incarnation { controller: 0, incarnation: 41 };
    let cases = [
        (NEW_INCARNATION, &impossible_epoch, "epoch"),
        (NEW_INCARNATION, &impossible_revision, "after"),
        (unknown_controller, &own_version, "controller"),
        (leader_itself, &own_version, "controller"),
    ];
    for (id, reported, field) in cases {
        let (status, response) = watch(&cluster, id, reported, 0).response();
        assert_eq!((status, &response["field"]), (422, &json!(field)), "{response}");
    }
    let foreign = ReportedVersion {
        store: "another".to_owned(),
        revision: own_version.revision + 9,
        ..own_version.clone()
    };
    let (status, response) = watch(&cluster, NEW_INCARNATION, &foreign, 0).response();
    assert_eq!((status, &response["type"]), (410, &json!("/problems/another-store")), "{response}");
    let fleet = leader.get("/v1/fleet");
    assert_eq!((&fleet["reports_refused"], &fleet["step"]), (&json!(5), &json!("serving")), "{fleet}");
    assert_eq!(leader.send("POST", "/v1/tenants", "", "{\"name\":\"new\"}").0, 201);
}
