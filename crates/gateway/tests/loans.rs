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

/// Limit of the tenant on open calls over all controllers.
const LIMIT: usize = 40;
/// Settings of the test worker. Its queue and lanes admit more calls than the limit.
const WORKERS: &str = "(listen \"127.0.0.1:0\") (cores 512) (queue 10000) (model \"\" (lanes 512) (load-time 1ms) (work 100ms))";

/// A thread that keeps a number of the tenant's calls open at a controller and replaces those that end. Stopped on
/// drop.
struct Flood {
    stop: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Flood {
    fn start(controller: SocketAddr, target: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stop_requested = Arc::clone(&stop);
        let thread = std::thread::spawn(move || {
            let limits =
                nettleferry_net::NetLimits { connect_timeout: CONDITION_TIMEOUT, ..Default::default() };
            let mut client = nettleferry_scenario::client::Client::new(1, limits).expect("client created");
            let headers = vec![("nettleferry-tenant".to_owned(), "kalahari".to_owned())];
            let request = || nettleferry_scenario::client::ClientRequest {
                headers: headers.clone(),
                ..client_request("ModelInfer", &echo("echo", "u", 64))
            };
            let (mut open, mut events) = (0, Vec::new());
            while !stop_requested.load(Ordering::Acquire) {
                while open < target && client.call(controller, request()).is_ok() {
                    open += 1;
                }
                // The poll bounds the rate of new calls to a process that was killed.
                client.poll(Some(Duration::from_millis(5)), &mut events).expect("client polled");
                open -= events.drain(..).filter(|event| matches!(event, ClientEvent::End { .. })).count();
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

/// Concurrent calls at the workers, counted from their observations.
struct ConcurrentCalls {
    /// Calls open now, by worker and stream.
    open: BTreeSet<(String, u64)>,
    /// Number of observations applied.
    applied: usize,
    /// Maximum of open calls since it was last reset.
    peak: usize,
}

impl ConcurrentCalls {
    /// Applies new observations; returns the number of calls open now.
    fn update(&mut self, fleet: &mut Fleet) -> usize {
        let observations = fleet.observations();
        for observation in &observations[self.applied..] {
            match &observation.kind {
                ObservationKind::Call { stream, .. } => {
                    _ = self.open.insert((observation.worker.clone(), *stream))
                }
                ObservationKind::Gone { stream } | ObservationKind::Answered { stream, .. } => {
                    self.open.remove(&(observation.worker.clone(), *stream));
                }
                _ => {}
            }
            self.peak = self.peak.max(self.open.len());
        }
        self.applied = observations.len();
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
    let mut followers: Vec<Program> = (0..3).map(|n| follower(&cluster, n)).collect();
    for program in &followers {
        eventually("the follower serves the tenant", || call_status(program, "kalahari") == Code::Ok);
    }
    let mut concurrent = ConcurrentCalls { open: BTreeSet::new(), applied: 0, peak: 0 };
    // The only controller with traffic gets the whole limit except the reserves of the others, 2 each. An equal share
    // would be 10.
    for index in [0, 1] {
        let _flood = Flood::start(followers[index].address, 60);
        eventually("almost the whole limit is lent to the controller with the traffic", || {
            concurrent.update(&mut cluster.fleet) >= LIMIT - 3 * 2 - 1
        });
    }
    assert!(concurrent.peak <= LIMIT, "{} concurrent calls", concurrent.peak);
    // Faults under traffic at all controllers. With this limit and work, at most 400 calls end in a second, so each
    // partition and the pause last at least as long as a lease.
    let floods: Vec<Flood> = followers.iter().map(|p| Flood::start(p.address, 30)).collect();
    let wait_for_responses = |concurrent: &mut ConcurrentCalls, fleet: &mut Fleet, count: usize| {
        let first = fleet.observations().len();
        eventually("the workers answer calls", || {
            concurrent.update(fleet);
            fleet.observations()[first..]
                .iter()
                .filter(|observation| matches!(observation.kind, ObservationKind::Answered { .. }))
                .count()
                >= count
        });
        assert!(concurrent.peak <= LIMIT, "{} concurrent calls", concurrent.peak);
    };
    wait_for_responses(&mut concurrent, &mut cluster.fleet, 300);
    for mode in [LinkMode::Blackhole, LinkMode::RequestsOnly, LinkMode::ResponsesOnly, LinkMode::Closed] {
        links[0].set(mode);
        wait_for_responses(&mut concurrent, &mut cluster.fleet, 400);
        links[0].set(LinkMode::Forward);
        wait_for_responses(&mut concurrent, &mut cluster.fleet, 200);
    }
    followers[1].signal("STOP");
    wait_for_responses(&mut concurrent, &mut cluster.fleet, 400);
    followers[1].signal("CONT");
    wait_for_responses(&mut concurrent, &mut cluster.fleet, 200);
    followers[2].signal("KILL");
    wait_for_responses(&mut concurrent, &mut cluster.fleet, 300);
    drop(floods);
    followers[2] = follower(&cluster, 2);
    let floods: Vec<Flood> = followers.iter().map(|p| Flood::start(p.address, 30)).collect();
    wait_for_responses(&mut concurrent, &mut cluster.fleet, 300);
    // A graceful shutdown returns the controller's share at once, before its lease expires.
    followers[0].signal("TERM");
    eventually("the stopped controller is listed without a lease", || {
        incarnations(&leader).iter().any(|l| l["controller"] == 1 && l["lease_left_ms"].is_null())
    });
    wait_for_responses(&mut concurrent, &mut cluster.fleet, 200);
    // The limit is lowered to a fifth while all of it is lent. When the open calls are down to the new
    // limit, they must not exceed it again.
    let (status, response) =
        leader.send("PATCH", "/v1/tenants/kalahari", "If-Match: *\r\n", "{\"limits\":{\"open_calls\":8}}");
    assert_eq!(status, 200, "{response}");
    eventually("the open calls are down to the new limit", || concurrent.update(&mut cluster.fleet) <= 8);
    concurrent.peak = 0;
    let first = cluster.fleet.observations().len();
    eventually("the workers answer calls", || {
        concurrent.update(&mut cluster.fleet);
        cluster.fleet.observations()[first..]
            .iter()
            .filter(|observation| matches!(observation.kind, ObservationKind::Answered { .. }))
            .count()
            >= 100
    });
    assert!(concurrent.peak <= 8, "{} concurrent calls", concurrent.peak);
    drop(floods);
}
