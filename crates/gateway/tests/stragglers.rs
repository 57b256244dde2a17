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
use prost::Message;
use serde_json::{Value, json};

/// Lease duration: long against the delays of a loaded machine, short for a test.
const LEASE: Duration = Duration::from_millis(1_500);
const LEASE_SETTING: &str = "(lease 1500ms)";
/// Timeout for the first served call.
const SERVED_WITHIN: Duration = Duration::from_secs(20);

/// The most recently seen incarnation of a controller in `/v1/fleet`; `Null` if there is none.
fn latest_incarnation(http: &AdminClient, number: u32) -> Value {
    incarnations(http)
        .iter()
        .filter(|incarnation| incarnation["controller"] == number)
        .min_by_key(|incarnation| incarnation["seen_ms_ago"].as_u64())
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
    fn start(tenant: &'static str, controller: SocketAddr) -> Self {
        let stop = std::sync::Arc::new(AtomicBool::new(false));
        let stop_requested = std::sync::Arc::clone(&stop);
        let (first_served, served) = mpsc::sync_channel(1);
        let thread = std::thread::spawn(move || {
            let mut caller = Caller::new(controller);
            let mut calls = Vec::new();
            while !stop_requested.load(Ordering::Acquire) {
                let sent = Instant::now();
                let status = code(&mut caller, Some(tenant), "echo").0;
                if status == Code::Ok {
                    // The channel holds one message; a failed send of a further one is of no interest.
                    let _ = first_served.try_send(());
                }
                calls.push((sent, status));
            }
            calls
        });
        Self { stop, served, thread: Some(thread) }
    }

    /// Waits until a call was served.
    fn wait_until_served(&self) {
        self.served.recv_timeout(SERVED_WITHIN).expect("a served call");
    }

    /// Stops the thread; returns when each call was sent, and its status.
    fn end(mut self) -> Vec<(Instant, Code)> {
        self.stop.store(true, Ordering::Release);
        self.thread.take().expect("the thread runs").join().expect("each call ends with a status")
    }
}

/// Suspends a tenant; returns the status and the head of the response.
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
    let followers: Vec<Program> = links
        .iter()
        .zip(1..)
        .map(|(link, number)| cluster.follower(cluster.dir(), number, link.address, refuse))
        .collect();
    for (round, mode) in
        [LinkMode::Blackhole, LinkMode::RequestsOnly, LinkMode::ResponsesOnly, LinkMode::Closed]
            .into_iter()
            .enumerate()
    {
        let tenant: &'static str = ["kalahari", "morava", "sava", "drina"][round];
        leader.create(json!({ "name": tenant }));
        for program in &followers {
            eventually("the follower serves the tenant", || call_status(program, tenant) == Code::Ok);
        }
        // The first follower stays connected; the other two fall behind.
        let calls: Vec<Calls> = followers.iter().map(|p| Calls::start(tenant, p.address)).collect();
        calls.iter().for_each(Calls::wait_until_served);
        links[1].set(mode);
        links[2].set(mode);
        let requested = Instant::now();
        let (status, head) = suspend(&leader, tenant);
        let acknowledged = Instant::now();
        assert_eq!(status, 200, "{mode:?}: {head}");
        assert!(head.contains("Nettleferry-In-Force: everywhere"), "{mode:?}: {head}");
        // The partitioned followers can't confirm the change, so their leases must have expired.
        assert!(
            acknowledged - requested >= LEASE / 2,
            "{mode:?}: acknowledged after {:?}",
            acknowledged - requested
        );
        // Calls continue for a while after the acknowledgement; none may be accepted.
        let mut caller = Caller::new(followers[1].address);
        for _ in 0..20 {
            assert_ne!(code(&mut caller, Some(tenant), "echo").0, Code::Ok);
        }
        for (calls, program) in calls.into_iter().zip(&followers) {
            let calls = calls.end();
            assert!(
                calls.iter().any(|(_, status)| *status == Code::Ok),
                "no call was served before the change"
            );
            let late: Vec<_> =
                calls.iter().filter(|(sent, status)| *sent >= acknowledged && *status == Code::Ok).collect();
            assert!(
                late.is_empty(),
                "{mode:?}: {} calls that were sent after the acknowledgement are served at {}",
                late.len(),
                program.address
            );
        }
        links[1].set(LinkMode::Forward);
        links[2].set(LinkMode::Forward);
        for program in &followers {
            eventually("the follower has the suspension", || {
                call_status(program, tenant) == Code::PermissionDenied
            });
        }
    }
}

#[test]
fn paused_process_checks_its_lease_before_it_acts() {
    let cluster = Cluster::new("127.0.8.2", 4);
    let leader = cluster.administration(cluster.dir(), LEASE_SETTING);
    leader.create(json!({"name": "kalahari"}));
    let mut follower = cluster.follower(cluster.dir(), 1, cluster.api, "(without-lease refuse)");
    eventually("the follower serves the tenant", || call_status(&follower, "kalahari") == Code::Ok);
    let mut caller = Caller::new(follower.address);
    let rpc = call(&mut caller, Some("kalahari"), "echo");
    assert_eq!(caller.status(rpc).0.code, Code::Ok);
    follower.signal("STOP");
    // Calls wait in its socket buffers while it is paused.
    let pending: Vec<u64> = (0..10).map(|_| call(&mut caller, Some("kalahari"), "echo")).collect();
    let (status, head) = suspend(&leader, "kalahari");
    assert!(status == 200 && head.contains("In-Force: everywhere"), "{head}");
    follower.signal("CONT");
    for rpc in pending {
        let (status, trailers) = caller.status(rpc);
        assert_ne!(status.code, Code::Ok, "the call was started after the change was in force everywhere");
        if status.code == Code::Unavailable {
            assert!(trailers.contains_key("grpc-retry-pushback-ms"), "a refusal must say when to retry");
        }
    }
    eventually("the resumed follower has the suspension", || {
        call_status(&follower, "kalahari") == Code::PermissionDenied
    });
    follower.signal("TERM");
    assert!(follower.wait().success());
    assert!(follower.log().contains("lease is not current"), "the log must report the lapsed lease");
}

#[test]
fn restarted_follower_accepts_no_call_before_its_first_lease() {
    let cluster = Cluster::new("127.0.8.3", 4);
    let link = cluster.link();
    let leader = cluster.administration(cluster.dir(), LEASE_SETTING);
    leader.create(json!({"name": "kalahari"}));
    let settings = "(without-lease refuse) (leave-after 300ms)";
    let follower = cluster.follower(cluster.dir(), 1, link.address, settings);
    eventually("the follower serves the tenant", || call_status(&follower, "kalahari") == Code::Ok);
    eventually("the follower has persisted the tenant", || latest_incarnation(&leader, 1)["kept"] == 1);
    follower.signal("KILL");
    link.set(LinkMode::Blackhole);
    let (status, head) = suspend(&leader, "kalahari");
    assert!(status == 200 && head.contains("In-Force: everywhere"), "{head}");
    let dir = cluster.dir();
    std::fs::copy(follower.dir.path().join("kept.json"), dir.path().join("kept.json"))
        .expect("snapshot copied");
    drop(follower);
    let restarted = cluster.follower(dir, 1, link.address, settings);
    assert_eq!(
        call_status(&restarted, "kalahari"),
        Code::Unavailable,
        "the persisted snapshot permits the call, but must not be used without a lease"
    );
    let mut caller = Caller::new(restarted.address);
    eventually("ServerReady reports that the follower is not ready", || !ready(&mut caller));
    link.set(LinkMode::Forward);
    eventually("the follower has the suspension", || {
        call_status(&restarted, "kalahari") == Code::PermissionDenied
    });
    eventually("ServerReady reports that the follower is ready", || ready(&mut caller));
    // Both incarnations of the controller are listed.
    assert_eq!(incarnations(&leader).len(), 2);
}

/// What the controller answers to ServerReady.
fn ready(caller: &mut Caller) -> bool {
    let rpc = caller.start_rpc(nettleferry_scenario::client::ClientRequest {
        method: "ServerReady",
        messages: vec![bytes::Bytes::new()],
        ..Default::default()
    });
    let message = caller.message(rpc);
    let response =
        nettleferry_proto::inference::ServerReadyResponse::decode(message).expect("a ServerReadyResponse");
    assert_eq!(caller.status(rpc).0.code, Code::Ok);
    response.ready
}

#[test]
fn restarted_leader_waits_for_the_leases_of_its_earlier_incarnation() {
    let cluster = Cluster::new("127.0.8.4", 4);
    let link = cluster.link();
    let leader = cluster.administration(cluster.dir(), LEASE_SETTING);
    leader.create(json!({"name": "kalahari"}));
    let follower = cluster.follower(cluster.dir(), 1, link.address, "(without-lease refuse)");
    eventually("the follower serves the tenant", || call_status(&follower, "kalahari") == Code::Ok);
    let calls = Calls::start("kalahari", follower.address);
    // The follower is partitioned, the change is committed, and the administration is killed before its response.
    link.set(LinkMode::Blackhole);
    let http = leader.http.clone();
    let suspension = std::thread::spawn(move || suspend(&http, "kalahari"));
    eventually("the suspension is committed", || leader.get("/v1/tenants/kalahari")["state"] == "suspended");
    leader.program.signal("KILL");
    assert_eq!(
        suspension.join().expect("the thread of the request does not panic").0,
        0,
        "the killed administration must not have responded"
    );
    let dir = cluster.dir();
    for name in ["tenants.redb", "tenants.lease"] {
        std::fs::copy(leader.program.dir.path().join(name), dir.path().join(name)).expect("file copied");
    }
    drop(leader);
    // The restarted administration knows of no lease, and must acknowledge the repeated change only after the earlier
    // lease has expired.
    let leader = cluster.administration(dir, LEASE_SETTING);
    let (status, head) = suspend(&leader, "kalahari");
    let acknowledged = Instant::now();
    assert!(status == 200 && head.contains("In-Force: everywhere"), "{head}");
    let mut caller = Caller::new(follower.address);
    assert_ne!(code(&mut caller, Some("kalahari"), "echo").0, Code::Ok);
    let late =
        calls.end().into_iter().filter(|(sent, status)| *sent >= acknowledged && *status == Code::Ok).count();
    assert_eq!(late, 0, "served calls that were sent after the acknowledgement");
}

#[test]
fn change_is_acknowledged_once_another_controller_persisted_it() {
    let cluster = Cluster::new("127.0.8.5", 4);
    let leader = cluster.administration(cluster.dir(), &format!("{LEASE_SETTING}(held-by 2)"));
    let followers: Vec<Program> =
        (1..=2).map(|n| cluster.follower(cluster.dir(), n, cluster.api, "")).collect();
    eventually("both followers have leases", || leader.get("/v1/fleet")["leases"] == 2);
    for n in 0..20 {
        let (status, response) =
            leader.send("POST", "/v1/tenants", "", &json!({ "name": format!("t{n}") }).to_string());
        assert_eq!(status, 201, "{response}");
        // Even a power loss of all machines now would not lose the change: each follower has it on disk.
        for program in &followers {
            let text = std::fs::read_to_string(program.dir.path().join("kept.json"))
                .expect("persisted snapshot readable");
            assert!(
                text.contains(&format!("\"t{n}\"")),
                "t{n} is acknowledged but not persisted by a follower"
            );
        }
    }
    // A follower whose disk stalls (a FIFO that nobody reads): the change is made, but not acknowledged as persisted.
    let dir = cluster.dir();
    assert!(
        std::process::Command::new("mkfifo")
            .arg(dir.path().join("kept.json.new"))
            .status()
            .expect("mkfifo runs")
            .success()
    );
    drop(followers);
    eventually("the leases of the stopped followers have expired", || leader.get("/v1/fleet")["leases"] == 0);
    let stalled = cluster.follower(dir, 3, cluster.api, "");
    eventually("the follower with the stalled disk has a lease", || leader.get("/v1/fleet")["leases"] == 1);
    let (status, response) = leader.send("POST", "/v1/tenants", "", "{\"name\":\"late\"}");
    assert_eq!((status, &response["type"]), (503, &json!("/problems/not-held")), "{response}");
    assert_eq!(leader.get("/v1/tenants/late")["state"], "active", "the change must be committed");
    eventually("the change reaches the follower", || call_status(&stalled, "late") == Code::Ok);
}

#[test]
fn stale_controller_that_continues_is_reported_as_unbounded() {
    let cluster = Cluster::new("127.0.8.6", 4);
    let link = cluster.link();
    let leader = cluster.administration(cluster.dir(), LEASE_SETTING);
    leader.create(json!({"name": "kalahari"}));
    let follower = cluster.follower(cluster.dir(), 1, link.address, "(without-lease serve)");
    eventually("the follower serves the tenant", || call_status(&follower, "kalahari") == Code::Ok);
    link.set(LinkMode::Blackhole);
    let (status, head) = suspend(&leader, "kalahari");
    assert!(status == 202 && head.contains("not everywhere: 1 may act without it"), "{status} {head}");
    let change = leader.get("/v1/fleet/change");
    assert!(change["within_ms"].is_null() && change["everywhere"] == false, "{change}");
    assert_eq!(change["waits"][0]["controller"], 1);
    assert_eq!(call_status(&follower, "kalahari"), Code::Ok, "its settings let it serve without a lease");
    link.set(LinkMode::Forward);
    eventually("the change is in force everywhere", || leader.get("/v1/fleet/change")["everywhere"] == true);
}

#[test]
fn fenced_incarnation_accepts_no_call_and_returns_as_another() {
    let cluster = Cluster::new("127.0.8.7", 4);
    let leader = cluster.administration(cluster.dir(), LEASE_SETTING);
    leader.create(json!({"name": "kalahari"}));
    let followers: Vec<Program> =
        (1..=2).map(|n| cluster.follower(cluster.dir(), n, cluster.api, "")).collect();
    for program in &followers {
        eventually("the follower serves the tenant", || call_status(program, "kalahari") == Code::Ok);
    }
    let run = |arguments: &[&str]| cluster.run(arguments).1;
    let output = run(&["fence", "1"]);
    assert!(output.contains("controller 1: 1 life shut out"), "{output}");
    eventually("the fenced follower refuses calls", || {
        call_status(&followers[0], "kalahari") == Code::Unavailable
    });
    assert!(!ready(&mut Caller::new(followers[0].address)));
    assert_eq!(call_status(&followers[1], "kalahari"), Code::Ok, "the other follower is not affected");
    eventually("the fenced incarnation is listed without a lease", || {
        latest_incarnation(&leader, 1)["fenced"] == true
            && latest_incarnation(&leader, 1)["lease_left_ms"].is_null()
    });
    let output = run(&["status"]);
    assert!(output.contains("fenced"), "{output}");
    // A fenced incarnation stays fenced; a new incarnation of the controller is accepted.
    let mut followers = followers;
    drop(followers.remove(0));
    let restarted = cluster.follower(cluster.dir(), 1, cluster.api, "");
    eventually("the new incarnation serves the tenant", || call_status(&restarted, "kalahari") == Code::Ok);
    let output = run(&["admit", "1"]);
    assert!(output.contains("controller 1: 1 life let in"), "{output}");
}
