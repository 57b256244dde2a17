//! Watch requests that the leader holds, and reports of followers that arrive out of order.
//!
//! Guards against a leader that knows of a later snapshot, returns to serving without an operator, and acknowledges a
//! change that the later snapshot lacks. A held watch is evaluated at each wake-up; when each evaluation recorded its
//! query as a new report, the watch of a dead process repeated its old version after a newer report of the same
//! controller, and the leader accepted the old version as current. The symptom was the log line
//! `duty changed by a report` with `from=behind to=serving` and the `held_ms` of a request that was older than the report
//! it replaced.
//!
//! The tests force this order: they act as the followers over plain sockets, and each step waits for the one before.

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
struct Reported {
    store: String,
    epoch: u64,
    revision: u64,
    checksum: u64,
}

impl Reported {
    /// The leader's own version.
    fn of(leader: &Leader) -> Self {
        let told = leader.get("/v1/snapshot");
        let number = |value: &Value| value.as_u64().expect("a number");
        Self {
            store: told["store"].as_str().expect("a name").to_owned(),
            epoch: number(&told["epoch"]),
            revision: number(&told["book"]["revision"]),
            checksum: number(&told["sum"]),
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
struct Sent(TcpStream);

impl Sent {
    /// Reads the response: the status (0: none came) and the body.
    fn response(mut self) -> (u16, Value) {
        let mut text = String::new();
        self.0.set_read_timeout(Some(PATIENCE)).expect("socket option set");
        let _ = self.0.read_to_string(&mut text);
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        (status, serde_json::from_str(body).unwrap_or(Value::Null))
    }
}

fn send(api: SocketAddr, key: &str, target: &str) -> Sent {
    let mut socket = TcpStream::connect(api).expect("connects");
    let request = format!(
        "GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer {key}\r\n\r\n"
    );
    socket.write_all(request.as_bytes()).expect("sent");
    Sent(socket)
}

fn watch(cluster: &Cluster, id: Incarnation, reported: &Reported, wait_ms: u64) -> Sent {
    let Incarnation { controller, incarnation } = id;
    let Reported { store, epoch, revision, checksum } = reported;
    let target = format!(
        "/v1/watch?controller={controller}&life={incarnation}&in_force={revision}&kept={revision}&ends=1&ended=0\
         &store={store}&epoch={epoch}&after={revision}&sum={checksum}&limit=10&wait_ms={wait_ms}"
    );
    send(cluster.api, &cluster.key, &target)
}

fn deregister(cluster: &Cluster, id: Incarnation) -> (u16, Value) {
    let Incarnation { controller, incarnation } = id;
    let target = format!("/v1/watch?controller={controller}&life={incarnation}&ended=1&wait_ms=0");
    send(cluster.api, &cluster.key, &target).response()
}

/// The entry of an incarnation in the leader's `/v1/fleet`.
fn row(leader: &Leader, id: Incarnation) -> Option<Value> {
    let name = format!("{:016x}", id.incarnation);
    incarnations(leader).into_iter().find(|row| row["life"] == name)
}

/// Sends a watch and waits until the leader lists the incarnation.
fn held(cluster: &Cluster, leader: &Leader, id: Incarnation, reported: &Reported, wait_ms: u64) -> Sent {
    let sent = watch(cluster, id, reported, wait_ms);
    eventually("the leader holds the watch", || row(leader, id).is_some());
    sent
}

/// Asserts that the leader is behind and refuses changes.
fn assert_waits(leader: &Leader) {
    assert_eq!(leader.get("/v1/fleet")["cause"], "behind");
    let (status, told) = leader.ask("POST", "/v1/tenants", "", "{\"name\":\"new\"}");
    assert_eq!(status, 503, "no change until it is decided which snapshot counts: {told}");
}

/// Kills the leader and returns its log.
fn log_of(leader: Leader) -> String {
    let Leader { mut program, .. } = leader;
    program.signal("KILL");
    program.wait();
    program.log()
}

/// A cluster on this loopback address, and its leader.
fn start(address: &'static str) -> (Cluster, Leader) {
    let cluster = Cluster::new(address, 9);
    let leader = cluster.administration(cluster.dir(), ADMINISTRATION);
    (cluster, leader)
}

const OLD: Incarnation = Incarnation { controller: 1, incarnation: 11 };
const NEW: Incarnation = Incarnation { controller: 1, incarnation: 12 };

#[test]
fn held_watch_of_a_dead_process_does_not_replace_a_later_report() {
    let (cluster, leader) = start("127.0.61.1");
    leader.create(json!({"name": "kalahari"}));
    let own = Reported::of(&leader);
    let dead = held(&cluster, &leader, OLD, &own, HELD_MS);
    let (status, told) = watch(&cluster, NEW, &own.later(), 0).response();
    assert_eq!(status, 503, "it is told that it is not decided which snapshot counts: {told}");
    // The new report changes the leader's state, so that it evaluates the held watch again, at the latest at its end.
    let (status, told) = dead.response();
    if status != 503 {
        panic!("a held watch got a snapshot that may not count, {status}: {told}\n{}", log_of(leader));
    }
    assert_waits(&leader);
}

#[test]
fn late_request_of_an_earlier_or_unknown_incarnation_does_not_replace_a_later_report() {
    let (cluster, leader) = start("127.0.61.2");
    leader.create(json!({"name": "kalahari"}));
    let own = Reported::of(&leader);
    watch(&cluster, OLD, &own, 0).response();
    watch(&cluster, NEW, &own.later(), 0).response();
    assert_waits(&leader);
    let unknown = Incarnation { incarnation: 13, ..OLD };
    for late in [OLD, NEW, unknown] {
        assert_eq!(watch(&cluster, late, &own, 0).response().0, 503);
        assert_waits(&leader);
    }
    // A controller that lost its disk reports no version, which replaces no earlier report.
    let target = "/v1/snapshot?controller=1&life=14&in_force=0&kept=0&ends=1&ended=0";
    assert_eq!(send(cluster.api, &cluster.key, target).response().0, 503);
    assert_waits(&leader);
}

#[test]
fn ended_incarnation_gets_no_lease_by_a_held_or_late_request() {
    let (cluster, leader) = start("127.0.61.3");
    leader.create(json!({"name": "kalahari"}));
    let own = Reported::of(&leader);
    let ended = held(&cluster, &leader, OLD, &own, HELD_MS);
    assert_eq!(deregister(&cluster, OLD).0, 403);
    // The change wakes the held watch of an ended incarnation; granting it a lease would delay the next change.
    leader.change("PATCH", "/v1/tenants/kalahari", "{\"note\":\"changed\"}");
    let (status, told) = ended.response();
    assert_eq!((status, &told["type"]), (403, &json!("/problems/ended")), "{told}");
    let (status, told) = watch(&cluster, OLD, &Reported::of(&leader), 0).response();
    assert_eq!((status, &told["type"]), (403, &json!("/problems/ended")), "a late request: {told}");
    assert_eq!(row(&leader, OLD).expect("it is known")["lease_left_ms"], Value::Null);
    let (status, head, _) = leader.raw(&format!(
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
    let own = Reported::of(&leader);
    // This incarnation has a lease, so that a change waits until it reports the change, which it never does.
    let (status, _) = watch(&cluster, OLD, &own, 0).response();
    assert_eq!(status, 200);
    let http = leader.http.clone();
    let change = std::thread::spawn(move || http.ask("POST", "/v1/tenants", "", "{\"name\":\"undecided\"}"));
    eventually("the change is made", || leader.get("/v1/controllers")["revision"] == own.revision + 1);
    // A later epoch with a higher revision, but without the pending change.
    let later = Reported { revision: own.revision + 5, ..own.later() };
    watch(&cluster, Incarnation { controller: 2, incarnation: 21 }, &later, 0).response();
    let (status, told) = change.join().expect("it is answered");
    assert_eq!((status, &told["type"]), (503, &json!("/problems/undecided")), "{told}");
    assert_waits(&leader);
}

#[test]
fn leader_that_is_behind_does_not_act_on_its_own_snapshot() {
    let (cluster, leader) = start("127.0.61.5");
    leader.create(json!({"name": "kalahari"}));
    assert_eq!(call_status(&leader.program, "kalahari"), Code::Ok);
    watch(&cluster, NEW, &Reported::of(&leader).later(), 0).response();
    eventually("it refuses: the tenant may be suspended by what it lacks", || {
        call_status(&leader.program, "kalahari") == Code::ResourceExhausted
    });
    let (done, told) = cluster.run(&["recover", "--take", "own", "--yes"]);
    assert!(done == Some(0) && told.contains("stands now"), "{told}");
    eventually("an operator has decided", || call_status(&leader.program, "kalahari") == Code::Ok);
    assert_eq!(leader.ask("POST", "/v1/tenants", "", "{\"name\":\"new\"}").0, 201);
}

#[test]
fn impossible_reports_are_refused_counted_and_decide_nothing() {
    let cluster = Cluster::new("127.0.61.6", 4);
    let leader = cluster.administration(cluster.dir(), ADMINISTRATION);
    leader.create(json!({"name": "kalahari"}));
    let own = Reported::of(&leader);
    let far = Reported { epoch: u64::MAX, ..own.clone() };
    let high = Reported { revision: u64::MAX, ..own.clone() };
    let nobody = Incarnation { controller: 4, incarnation: 41 };
    let itself = Incarnation { controller: 0, incarnation: 41 };
    let cases = [
        (NEW, &far, "epoch"),
        (NEW, &high, "after"),
        (nobody, &own, "controller"),
        (itself, &own, "controller"),
    ];
    for (id, reported, field) in cases {
        let (status, told) = watch(&cluster, id, reported, 0).response();
        assert_eq!((status, &told["field"]), (422, &json!(field)), "{told}");
    }
    let foreign = Reported { store: "another".to_owned(), revision: own.revision + 9, ..own.clone() };
    let (status, told) = watch(&cluster, NEW, &foreign, 0).response();
    assert_eq!((status, &told["type"]), (410, &json!("/problems/another-store")), "{told}");
    let fleet = leader.get("/v1/fleet");
    assert_eq!((&fleet["reports_refused"], &fleet["step"]), (&json!(5), &json!("serving")), "{fleet}");
    assert_eq!(leader.ask("POST", "/v1/tenants", "", "{\"name\":\"new\"}").0, 201);
}
