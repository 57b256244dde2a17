//! Controllers that are behind: partitioned links, paused processes, restarts from older files, and an administration
//! killed between a commit and its response. No controller may start a call that an acknowledged change forbids.

mod common;
use common::admin_client::*;
use common::cluster::*;
use common::link::{Link, LinkMode};
use common::*;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use nettleferry_net::grpc::Code;
use serde_json::{Value, json};

/// Lease duration: long against the delays of a loaded machine, short for a test.
const LEASE: Duration = Duration::from_millis(1_500);
const LEASE_SETTING: &str = "(lease 1500ms)";
/// Timeout for the first served call.
const SERVED_WITHIN: Duration = Duration::from_secs(20);

/// The most recently seen incarnation of a controller in `/v1/fleet`; `Null` if there is none.
fn row(http: &AdminClient, number: u32) -> Value {
    let of = |l: &&Value| l["controller"] == number;
    incarnations(http)
        .iter()
        .filter(of)
        .min_by_key(|l| l["seen_ms_ago"].as_u64())
        .cloned()
        .unwrap_or(Value::Null)
}

/// A thread that makes calls of a tenant at a controller, one after another, and records when each was sent and its
/// status.
struct Calls {
    stop: std::sync::Arc<AtomicBool>,
    /// Receives one message when the first call has been served.
    served: mpsc::Receiver<()>,
    thread: Option<std::thread::JoinHandle<Vec<(Instant, Code)>>>,
}

impl Calls {
    fn of(tenant: &'static str, at: SocketAddr) -> Self {
        let stop = std::sync::Arc::new(AtomicBool::new(false));
        let ended = std::sync::Arc::clone(&stop);
        let (first, served) = mpsc::sync_channel(1);
        let thread = std::thread::spawn(move || {
            let mut caller = Caller::new(at);
            let mut all = Vec::new();
            while !ended.load(Ordering::Acquire) {
                let sent = Instant::now();
                let how = code(&mut caller, Some(tenant), "echo").0;
                if how == Code::Ok {
                    // Fails for all but the first served call, which is the one waited for.
                    let _ = first.try_send(());
                }
                all.push((sent, how));
            }
            all
        });
        Self { stop, served, thread: Some(thread) }
    }

    /// Waits until a call was served.
    fn wait_until_served(&self) {
        self.served.recv_timeout(SERVED_WITHIN).expect("a call is served");
    }

    fn end(mut self) -> Vec<(Instant, Code)> {
        self.stop.store(true, Ordering::Release);
        self.thread.take().expect("it runs").join().expect("each call ends with a status")
    }
}

fn suspend(http: &AdminClient, tenant: &str) -> (u16, String) {
    let request = format!(
        "POST /v1/tenants/{tenant}/suspend HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer {}\r\nIf-Match: *\r\nContent-Length: 0\r\n\r\n",
        http.token
    );
    let (status, head, _) = http.send_raw(&request);
    (status, head)
}

#[test]
fn suspension_is_acknowledged_once_no_stale_controller_can_act() {
    let cluster = Cluster::new("127.0.8.1", 4);
    let leader = cluster.administration(cluster.dir(), LEASE_SETTING);
    let links: Vec<Link> = (0..3).map(|_| cluster.link()).collect();
    let refuse = "(without-lease refuse)";
    let followers: Vec<Program> =
        links.iter().zip(1..).map(|(l, n)| cluster.follower(cluster.dir(), n, l.address, refuse)).collect();
    for (round, does) in
        [LinkMode::Blackhole, LinkMode::RequestsOnly, LinkMode::ResponsesOnly, LinkMode::Closed]
            .into_iter()
            .enumerate()
    {
        let tenant: &'static str = ["kalahari", "morava", "sava", "drina"][round];
        leader.create(json!({ "name": tenant }));
        for program in &followers {
            eventually("it serves", || call_status(program, tenant) == Code::Ok);
        }
        // The first follower stays connected; the other two fall behind.
        let calls: Vec<Calls> = followers.iter().map(|p| Calls::of(tenant, p.address)).collect();
        calls.iter().for_each(Calls::wait_until_served);
        links[1].set(does);
        links[2].set(does);
        let asked = Instant::now();
        let (status, head) = suspend(&leader, tenant);
        let told = Instant::now();
        assert_eq!(status, 200, "{does:?}: {head}");
        assert!(head.contains("Nettleferry-In-Force: everywhere"), "{does:?}: {head}");
        // The partitioned followers can't confirm the change, so their leases must have expired.
        assert!(told - asked >= LEASE / 2, "{does:?}: acknowledged after {:?}", told - asked);
        // Calls continue for a while after the acknowledgement; none may be accepted.
        let mut caller = Caller::new(followers[1].address);
        for _ in 0..20 {
            assert_ne!(code(&mut caller, Some(tenant), "echo").0, Code::Ok);
        }
        for (calls, program) in calls.into_iter().zip(&followers) {
            let all = calls.end();
            assert!(all.iter().any(|(_, how)| *how == Code::Ok), "it served before");
            let late: Vec<_> = all.iter().filter(|(sent, how)| *sent >= told && *how == Code::Ok).collect();
            assert!(late.is_empty(), "{does:?}: {} begun after the word, at {}", late.len(), program.address);
        }
        links[1].set(LinkMode::Forward);
        links[2].set(LinkMode::Forward);
        for program in &followers {
            eventually("all are back and have it", || call_status(program, tenant) == Code::PermissionDenied);
        }
    }
}

#[test]
fn paused_process_checks_its_lease_before_it_acts() {
    let cluster = Cluster::new("127.0.8.2", 4);
    let leader = cluster.administration(cluster.dir(), LEASE_SETTING);
    leader.create(json!({"name": "kalahari"}));
    let mut one = cluster.follower(cluster.dir(), 1, cluster.api, "(without-lease refuse)");
    eventually("it serves", || call_status(&one, "kalahari") == Code::Ok);
    let mut caller = Caller::new(one.address);
    let rpc = call(&mut caller, Some("kalahari"), "echo");
    assert_eq!(caller.status(rpc).0.code, Code::Ok);
    one.signal("STOP");
    // Calls wait in its socket buffers while it is paused.
    let waiting: Vec<u64> = (0..10).map(|_| call(&mut caller, Some("kalahari"), "echo")).collect();
    let (status, head) = suspend(&leader, "kalahari");
    assert!(status == 200 && head.contains("In-Force: everywhere"), "{head}");
    one.signal("CONT");
    for rpc in waiting {
        let (status, trailers) = caller.status(rpc);
        assert_ne!(status.code, Code::Ok, "begun after the change was in force everywhere");
        if status.code == Code::Unavailable {
            assert!(trailers.contains_key("grpc-retry-pushback-ms"), "refused with a time to come back");
        }
    }
    eventually("it hears of it", || call_status(&one, "kalahari") == Code::PermissionDenied);
    one.signal("TERM");
    assert!(one.wait().success());
    assert!(one.log().contains("lease is not current"), "logged");
}

#[test]
fn restarted_follower_accepts_no_call_before_its_first_lease() {
    let cluster = Cluster::new("127.0.8.3", 4);
    let link = cluster.link();
    let leader = cluster.administration(cluster.dir(), LEASE_SETTING);
    leader.create(json!({"name": "kalahari"}));
    let more = "(without-lease refuse) (leave-after 300ms)";
    let one = cluster.follower(cluster.dir(), 1, link.address, more);
    eventually("it serves", || call_status(&one, "kalahari") == Code::Ok);
    eventually("it is on its disk", || row(&leader, 1)["kept"] == 1);
    one.signal("KILL");
    link.set(LinkMode::Blackhole);
    let (status, head) = suspend(&leader, "kalahari");
    assert!(status == 200 && head.contains("In-Force: everywhere"), "{head}");
    let dir = cluster.dir();
    std::fs::copy(one.dir.path().join("kept.json"), dir.path().join("kept.json")).expect("copied");
    drop(one);
    let again = cluster.follower(dir, 1, link.address, more);
    assert_eq!(call_status(&again, "kalahari"), Code::Unavailable, "what it kept says that he may call");
    let mut caller = Caller::new(again.address);
    eventually("it leaves: front ends are told that it is not ready", || !ready(&mut caller));
    link.set(LinkMode::Forward);
    eventually("it has heard", || call_status(&again, "kalahari") == Code::PermissionDenied);
    eventually("and is ready", || ready(&mut caller));
    // Both incarnations of the controller are listed.
    assert_eq!(incarnations(&leader).len(), 2);
}

fn ready(caller: &mut Caller) -> bool {
    let rpc = caller.start_rpc(nettleferry_scenario::client::ClientRequest {
        method: "ServerReady",
        messages: vec![bytes::Bytes::new()],
        ..Default::default()
    });
    let message = caller.message(rpc);
    let told = nettleferry_proto::inference::ServerReadyResponse::decode(message).expect("a response");
    assert_eq!(caller.status(rpc).0.code, Code::Ok);
    told.ready
}

use prost::Message;

#[test]
fn restarted_leader_waits_for_the_leases_of_its_earlier_incarnation() {
    let cluster = Cluster::new("127.0.8.4", 4);
    let link = cluster.link();
    let leader = cluster.administration(cluster.dir(), LEASE_SETTING);
    leader.create(json!({"name": "kalahari"}));
    let one = cluster.follower(cluster.dir(), 1, link.address, "(without-lease refuse)");
    eventually("it serves", || call_status(&one, "kalahari") == Code::Ok);
    let calls = Calls::of("kalahari", one.address);
    // The follower is partitioned, the change is committed, and the administration is killed before its response.
    link.set(LinkMode::Blackhole);
    let http = leader.http.clone();
    let unanswered = std::thread::spawn(move || suspend(&http, "kalahari"));
    eventually("committed", || leader.get("/v1/tenants/kalahari")["state"] == "suspended");
    leader.program.signal("KILL");
    assert_eq!(unanswered.join().expect("it ended").0, 0, "no word came");
    let dir = cluster.dir();
    for name in ["tenants.redb", "tenants.lease"] {
        std::fs::copy(leader.program.dir.path().join(name), dir.path().join(name)).expect("copied");
    }
    drop(leader);
    // The restarted administration knows of no lease, and must acknowledge the repeated change only after the earlier
    // lease has expired.
    let leader = cluster.administration(dir, LEASE_SETTING);
    let (status, head) = suspend(&leader, "kalahari");
    let told = Instant::now();
    assert!(status == 200 && head.contains("In-Force: everywhere"), "{head}");
    let mut caller = Caller::new(one.address);
    assert_ne!(code(&mut caller, Some("kalahari"), "echo").0, Code::Ok);
    let late = calls.end().into_iter().filter(|(sent, how)| *sent >= told && *how == Code::Ok).count();
    assert_eq!(late, 0, "calls begun after the word");
}

#[test]
fn change_is_acknowledged_once_another_controller_persisted_it() {
    let cluster = Cluster::new("127.0.8.5", 4);
    let leader = cluster.administration(cluster.dir(), &format!("{LEASE_SETTING}(held-by 2)"));
    let followers: Vec<Program> =
        (1..=2).map(|n| cluster.follower(cluster.dir(), n, cluster.api, "")).collect();
    eventually("both have leases", || leader.get("/v1/fleet")["leases"] == 2);
    for n in 0..20 {
        let (status, told) =
            leader.send("POST", "/v1/tenants", "", &json!({ "name": format!("t{n}") }).to_string());
        assert_eq!(status, 201, "{told}");
        // Even a power loss of all machines now would not lose the change: each follower has it on disk.
        for program in &followers {
            let text = std::fs::read_to_string(program.dir.path().join("kept.json")).expect("text");
            assert!(text.contains(&format!("\"t{n}\"")), "acknowledged, and not on the disk: t{n}");
        }
    }
    // A follower whose disk stalls (a FIFO that nobody reads): the change is made, but not acknowledged as persisted.
    let dir = cluster.dir();
    assert!(
        std::process::Command::new("mkfifo")
            .arg(dir.path().join("kept.json.new"))
            .status()
            .expect("runs")
            .success()
    );
    drop(followers);
    eventually("their leases are out", || leader.get("/v1/fleet")["leases"] == 0);
    let stuck = cluster.follower(dir, 3, cluster.api, "");
    eventually("it has a lease", || leader.get("/v1/fleet")["leases"] == 1);
    let (status, told) = leader.send("POST", "/v1/tenants", "", "{\"name\":\"late\"}");
    assert_eq!((status, &told["type"]), (503, &json!("/problems/not-held")), "{told}");
    assert_eq!(leader.get("/v1/tenants/late")["state"], "active", "it was made");
    eventually("and goes out", || call_status(&stuck, "late") == Code::Ok);
}

#[test]
fn stale_controller_that_continues_is_reported_as_unbounded() {
    let cluster = Cluster::new("127.0.8.6", 4);
    let link = cluster.link();
    let leader = cluster.administration(cluster.dir(), LEASE_SETTING);
    leader.create(json!({"name": "kalahari"}));
    let one = cluster.follower(cluster.dir(), 1, link.address, "(without-lease serve)");
    eventually("it serves", || call_status(&one, "kalahari") == Code::Ok);
    link.set(LinkMode::Blackhole);
    let (status, head) = suspend(&leader, "kalahari");
    assert!(status == 202 && head.contains("not everywhere: 1 may act without it"), "{status} {head}");
    let told = leader.get("/v1/fleet/change");
    assert!(told["within_ms"].is_null() && told["everywhere"] == false, "{told}");
    assert_eq!(told["waits"][0]["controller"], 1);
    assert_eq!(call_status(&one, "kalahari"), Code::Ok, "its settings say so");
    link.set(LinkMode::Forward);
    eventually("it is everywhere", || leader.get("/v1/fleet/change")["everywhere"] == true);
}

#[test]
fn fenced_incarnation_accepts_no_call_and_returns_as_another() {
    let cluster = Cluster::new("127.0.8.7", 4);
    let leader = cluster.administration(cluster.dir(), LEASE_SETTING);
    leader.create(json!({"name": "kalahari"}));
    let followers: Vec<Program> =
        (1..=2).map(|n| cluster.follower(cluster.dir(), n, cluster.api, "")).collect();
    for program in &followers {
        eventually("it serves", || call_status(program, "kalahari") == Code::Ok);
    }
    let run = |words: &[&str]| cluster.run(words).1;
    let told = run(&["fence", "1"]);
    assert!(told.contains("controller 1: 1 life shut out"), "{told}");
    eventually("it takes no call", || call_status(&followers[0], "kalahari") == Code::Unavailable);
    assert!(!ready(&mut Caller::new(followers[0].address)));
    assert_eq!(call_status(&followers[1], "kalahari"), Code::Ok, "the other one is none of it");
    eventually("it has said that it ended", || {
        row(&leader, 1)["fenced"] == true && row(&leader, 1)["lease_left_ms"].is_null()
    });
    let told = run(&["status"]);
    assert!(told.contains("fenced"), "{told}");
    // The fenced incarnation stays fenced however often it asks; a new incarnation is accepted.
    let mut followers = followers;
    drop(followers.remove(0));
    let again = cluster.follower(cluster.dir(), 1, cluster.api, "");
    eventually("another life serves", || call_status(&again, "kalahari") == Code::Ok);
    let told = run(&["admit", "1"]);
    assert!(told.contains("controller 1: 1 life let in"), "{told}");
}
