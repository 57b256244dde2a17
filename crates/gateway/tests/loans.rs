//! Limits lent among several controllers under partitions, pauses and kills, checked against the workers' observations:
//! a tenant never has more concurrent calls than its limit.

mod common;
use common::cluster::*;
use common::link::{Link, LinkMode};
use common::*;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use nettleferry_net::grpc::Code;
use nettleferry_scenario::client::ClientEvent;
use nettleferry_test_servers::ObservationKind;
use serde_json::json;

const LIMIT: usize = 40;
const WORKERS: &str = "(listen \"127.0.0.1:0\") (cores 512) (queue 10000) (model \"\" (lanes 512) (load-time 1ms) (work 100ms))";

/// Keeps a number of a tenant's calls open at a controller, from a thread; refused calls are replaced after a short
/// delay. Ends on drop.
struct Flood {
    stop: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Flood {
    fn at(at: SocketAddr, open: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let ended = Arc::clone(&stop);
        let thread = std::thread::spawn(move || {
            let limits =
                nettleferry_net::NetLimits { connect_timeout: CONDITION_TIMEOUT, ..Default::default() };
            let mut client = nettleferry_scenario::client::Client::new(1, limits).expect("client created");
            let headers = vec![("nettleferry-tenant".to_owned(), "kalahari".to_owned())];
            let one = || nettleferry_scenario::client::ClientRequest {
                headers: headers.clone(),
                ..client_request("ModelInfer", &echo("echo", "u", 64))
            };
            let (mut out, mut heard) = (0, Vec::new());
            while !ended.load(Ordering::Acquire) {
                while out < open && client.call(at, one()).is_ok() {
                    out += 1;
                }
                // The poll bounds the rate of new calls to a process that was killed.
                client.poll(Some(Duration::from_millis(5)), &mut heard).expect("polls");
                out -= heard.drain(..).filter(|h| matches!(h, ClientEvent::End { .. })).count();
            }
        });
        Self { stop, thread: Some(thread) }
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Concurrent calls at the workers, from their observations: those open now, and the maximum since it was last reset.
struct ConcurrentCalls {
    open: BTreeSet<(String, u64)>,
    seen: usize,
    most: usize,
}

impl ConcurrentCalls {
    /// Applies new observations; returns the number of calls open now.
    fn update(&mut self, fleet: &mut Fleet) -> usize {
        let records = fleet.observations();
        for record in &records[self.seen..] {
            match &record.seen {
                ObservationKind::Call { stream, .. } => {
                    _ = self.open.insert((record.worker.clone(), *stream))
                }
                ObservationKind::Gone { stream } | ObservationKind::Answered { stream, .. } => {
                    self.open.remove(&(record.worker.clone(), *stream));
                }
                _ => {}
            }
            self.most = self.most.max(self.open.len());
        }
        self.seen = records.len();
        self.open.len()
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario over several processes, step by step")]
fn loans_never_exceed_the_limit_under_partitions_pauses_and_kills() {
    let settings = SETTINGS.replace("(lanes 64)", "(lanes 512)");
    let mut cluster = Cluster::with("127.0.11.1", 4, Fleet::new(1, WORKERS), &settings);
    let leader = cluster.administration(cluster.dir(), "(lease 1s) (loans (reserve 0.2))");
    leader.create(json!({ "name": "kalahari", "limits": { "open_calls": LIMIT } }));
    let links: Vec<Link> = (0..3).map(|_| cluster.link()).collect();
    let follower = |cluster: &Cluster, number: usize| {
        let more = "(without-lease refuse) (loans (reserve 0.2))";
        cluster.follower(cluster.dir(), number as u32 + 1, links[number].address, more)
    };
    let mut all: Vec<Program> = (0..3).map(|n| follower(&cluster, n)).collect();
    for program in &all {
        eventually("it serves", || call_status(program, "kalahari") == Code::Ok);
    }
    let mut concurrent = ConcurrentCalls { open: BTreeSet::new(), seen: 0, most: 0 };
    // The controller with the traffic gets the whole limit but the others' reserves of 2 each. Equal shares would be 10.
    for one in [0, 1] {
        let _flood = Flood::at(all[one].address, 60);
        eventually("the limit follows the traffic", || {
            concurrent.update(&mut cluster.fleet) >= LIMIT - 3 * 2 - 1
        });
    }
    assert!(concurrent.most <= LIMIT, "{} at once", concurrent.most);
    // Faults under traffic at all controllers, each longer than a lease.
    let floods: Vec<Flood> = all.iter().map(|p| Flood::at(p.address, 30)).collect();
    let cycles = |concurrent: &mut ConcurrentCalls, fleet: &mut Fleet, count: usize| {
        let from = fleet.observations().len();
        eventually("calls flow", || {
            concurrent.update(fleet);
            fleet.observations()[from..]
                .iter()
                .filter(|r| matches!(r.seen, ObservationKind::Answered { .. }))
                .count()
                >= count
        });
        assert!(concurrent.most <= LIMIT, "{} at once", concurrent.most);
    };
    cycles(&mut concurrent, &mut cluster.fleet, 300);
    for mode in [LinkMode::Blackhole, LinkMode::RequestsOnly, LinkMode::ResponsesOnly, LinkMode::Closed] {
        links[0].set(mode);
        cycles(&mut concurrent, &mut cluster.fleet, 400);
        links[0].set(LinkMode::Forward);
        cycles(&mut concurrent, &mut cluster.fleet, 200);
    }
    all[1].signal("STOP");
    cycles(&mut concurrent, &mut cluster.fleet, 400);
    all[1].signal("CONT");
    cycles(&mut concurrent, &mut cluster.fleet, 200);
    all[2].signal("KILL");
    cycles(&mut concurrent, &mut cluster.fleet, 300);
    drop(floods);
    all[2] = follower(&cluster, 2);
    let floods: Vec<Flood> = all.iter().map(|p| Flood::at(p.address, 30)).collect();
    cycles(&mut concurrent, &mut cluster.fleet, 300);
    // A graceful shutdown returns the controller's share at once, before its lease expires.
    all[0].signal("TERM");
    eventually("it has said that it ended", || {
        incarnations(&leader).iter().any(|l| l["controller"] == 1 && l["lease_left_ms"].is_null())
    });
    cycles(&mut concurrent, &mut cluster.fleet, 200);
    // The limit is lowered to a fifth while all of it is lent: once the change is reported in force, no call may exceed it.
    let (status, told) =
        leader.send("PATCH", "/v1/tenants/kalahari", "If-Match: *\r\n", "{\"limits\":{\"open_calls\":8}}");
    assert_eq!(status, 200, "{told}");
    eventually("those that were open have ended", || concurrent.update(&mut cluster.fleet) <= 8);
    concurrent.most = 0;
    let from = cluster.fleet.observations().len();
    eventually("calls flow", || {
        concurrent.update(&mut cluster.fleet);
        cluster.fleet.observations()[from..]
            .iter()
            .filter(|r| matches!(r.seen, ObservationKind::Answered { .. }))
            .count()
            >= 100
    });
    assert!(concurrent.most <= 8, "{} at once", concurrent.most);
    drop(floods);
}
