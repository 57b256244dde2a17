//! Requests of followers that the leader holds, and reports that cross.
//!
//! What happened: a leader that had been told of a later snapshot went back to serving by itself, and answered a change
//! with 201 that the later snapshot does not have. Why: a watch that is held is judged again at each wake-up, and each
//! time its query was recorded as a new report. So the watch of a process that had died reported its old version once
//! more, behind the newer report of the same controller, and the leader took that for a change of mind. What showed it:
//! the log line `duty changed by a report`, with `from=behind to=serving` and `held_ms` of a request that had come long
//! before the report that it replaced.
//!
//! Here the crossings are forced: the followers are sockets of the test, and each step waits for the one before.

mod common;
use common::admin_client::*;
use common::cluster::*;
use common::*;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use nettleferry_net::grpc::Code;
use serde_json::{Value, json};

const ADMINISTRATION: &str = "(lease 5s)";
/// How long a watch asks to be held, milliseconds: well under a lease.
const HELD_MS: u64 = 2_000;

/// A version that a follower reports.
#[derive(Clone, Debug)]
struct Reported {
    store: String,
    epoch: u64,
    revision: u64,
    checksum: u64,
}

impl Reported {
    /// The leader's own.
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

    /// One that a later restore made.
    fn later(&self) -> Self {
        Self { epoch: self.epoch + 1, checksum: self.checksum ^ 1, ..self.clone() }
    }
}

/// An incarnation of a controller, as a follower's requests name it.
#[derive(Clone, Copy)]
struct Life {
    controller: u32,
    incarnation: u64,
}

/// A request of a follower whose response has not been read.
struct Sent(TcpStream);

impl Sent {
    /// Its response: the status and the body.
    fn response(mut self) -> (u16, Value) {
        let mut text = String::new();
        self.0.set_read_timeout(Some(PATIENCE)).expect("set");
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

fn watch(cluster: &Cluster, life: Life, reported: &Reported, wait_ms: u64) -> Sent {
    let Life { controller, incarnation } = life;
    let Reported { store, epoch, revision, checksum } = reported;
    let target = format!(
        "/v1/watch?controller={controller}&life={incarnation}&in_force={revision}&kept={revision}&ends=1&ended=0\
         &store={store}&epoch={epoch}&after={revision}&sum={checksum}&limit=10&wait_ms={wait_ms}"
    );
    send(cluster.api, &cluster.key, &target)
}

fn deregister(cluster: &Cluster, life: Life) -> (u16, Value) {
    let Life { controller, incarnation } = life;
    let target = format!("/v1/watch?controller={controller}&life={incarnation}&ended=1&wait_ms=0");
    send(cluster.api, &cluster.key, &target).response()
}

/// The row of a life in what the leader tells of the fleet.
fn row(leader: &Leader, life: Life) -> Option<Value> {
    let name = format!("{:016x}", life.incarnation);
    incarnations(leader).into_iter().find(|row| row["life"] == name)
}

/// A watch that the leader has and holds.
fn held(cluster: &Cluster, leader: &Leader, life: Life, reported: &Reported, wait_ms: u64) -> Sent {
    let sent = watch(cluster, life, reported, wait_ms);
    eventually("the leader holds the watch", || row(leader, life).is_some());
    sent
}

fn assert_waits(leader: &Leader) {
    assert_eq!(leader.get("/v1/fleet")["cause"], "behind");
    let (status, told) = leader.ask("POST", "/v1/tenants", "", "{\"name\":\"new\"}");
    assert_eq!(status, 503, "no change until it is decided which snapshot counts: {told}");
}

/// What the leader logged; it is killed for that.
fn log_of(leader: Leader) -> String {
    let Leader { mut program, .. } = leader;
    program.signal("KILL");
    program.wait();
    program.log()
}

/// A cluster at this address, and its leader.
fn start(address: &'static str) -> (Cluster, Leader) {
    let cluster = Cluster::new(address, 9);
    let leader = cluster.administration(cluster.dir(), ADMINISTRATION);
    (cluster, leader)
}

const OLD: Life = Life { controller: 1, incarnation: 11 };
const NEW: Life = Life { controller: 1, incarnation: 12 };

#[test]
fn held_watch_of_a_dead_process_takes_back_no_later_report() {
    let (cluster, leader) = start("127.0.61.1");
    leader.create(json!({"name": "kalahari"}));
    let own = Reported::of(&leader);
    let dead = held(&cluster, &leader, OLD, &own, HELD_MS);
    let (status, told) = watch(&cluster, NEW, &own.later(), 0).response();
    assert_eq!(status, 503, "it is told that it is not decided which snapshot counts: {told}");
    // The change of duty wakes the leader, which judges the held watch again, at its end at the latest.
    let (status, told) = dead.response();
    if status != 503 {
        panic!("a held watch got a snapshot that may not count, {status}: {told}\n{}", log_of(leader));
    }
    assert_waits(&leader);
}

#[test]
fn late_request_of_an_earlier_or_unheard_life_takes_back_no_later_report() {
    let (cluster, leader) = start("127.0.61.2");
    leader.create(json!({"name": "kalahari"}));
    let own = Reported::of(&leader);
    watch(&cluster, OLD, &own, 0).response();
    watch(&cluster, NEW, &own.later(), 0).response();
    assert_waits(&leader);
    let unheard = Life { incarnation: 13, ..OLD };
    for late in [OLD, NEW, unheard] {
        assert_eq!(watch(&cluster, late, &own, 0).response().0, 503);
        assert_waits(&leader);
    }
    // A controller whose disk was lost reports no version, and decides nothing of what it had.
    let target = "/v1/snapshot?controller=1&life=14&in_force=0&kept=0&ends=1&ended=0";
    assert_eq!(send(cluster.api, &cluster.key, target).response().0, 503);
    assert_waits(&leader);
}

#[test]
fn life_that_has_ended_gets_no_lease_by_a_held_or_late_request() {
    let (cluster, leader) = start("127.0.61.3");
    leader.create(json!({"name": "kalahari"}));
    let own = Reported::of(&leader);
    let ended = held(&cluster, &leader, OLD, &own, HELD_MS);
    assert_eq!(deregister(&cluster, OLD).0, 403);
    // This wakes the held watch: its client is gone, and a lease for it would hold up the next change.
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
fn change_that_waits_for_a_copy_is_not_acknowledged_by_a_later_snapshot() {
    let (cluster, leader) = start("127.0.61.4");
    leader.create(json!({"name": "kalahari"}));
    let own = Reported::of(&leader);
    // It has a lease, so that a change waits until it holds it; it never does.
    let (status, _) = watch(&cluster, OLD, &own, 0).response();
    assert_eq!(status, 200);
    let http = leader.http.clone();
    let change = std::thread::spawn(move || http.ask("POST", "/v1/tenants", "", "{\"name\":\"undecided\"}"));
    eventually("the change is made", || leader.get("/v1/controllers")["revision"] == own.revision + 1);
    // This one has more changes by number, and not this one.
    let later = Reported { revision: own.revision + 5, ..own.later() };
    watch(&cluster, Life { controller: 2, incarnation: 21 }, &later, 0).response();
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
    let nobody = Life { controller: 4, incarnation: 41 };
    let itself = Life { controller: 0, incarnation: 41 };
    let cases = [
        (NEW, &far, "epoch"),
        (NEW, &high, "after"),
        (nobody, &own, "controller"),
        (itself, &own, "controller"),
    ];
    for (life, reported, field) in cases {
        let (status, told) = watch(&cluster, life, reported, 0).response();
        assert_eq!((status, &told["field"]), (422, &json!(field)), "{told}");
    }
    let foreign = Reported { store: "another".to_owned(), revision: own.revision + 9, ..own.clone() };
    let (status, told) = watch(&cluster, NEW, &foreign, 0).response();
    assert_eq!((status, &told["type"]), (410, &json!("/problems/another-store")), "{told}");
    let fleet = leader.get("/v1/fleet");
    assert_eq!((&fleet["reports_refused"], &fleet["step"]), (&json!(5), &json!("serving")), "{fleet}");
    assert_eq!(leader.ask("POST", "/v1/tenants", "", "{\"name\":\"new\"}").0, 201);
}
