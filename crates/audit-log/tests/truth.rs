//! Compares the audit with simulated fleets, for which the actual order of events is known. From a seed, clocks are
//! skewed and drift, changes arrive late or not at all, links are cut and processes are paused. Each finding that the
//! audit calls certain must be true, and each late call must be reported at least as doubtful.

use std::collections::BTreeMap;

use nettleferry_audit_log::Audit;
use nettleferry_audit_log::chain::check;
use nettleferry_audit_log::clock::ClockExchange;
use nettleferry_audit_log::entry::EntryKind;
use nettleferry_audit_log::findings::{Certainty, Incarnation};
use nettleferry_audit_log::recorder::{NameResolver, Recorder};
use nettleferry_audit_log::{Millis, Version, View};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const CONTROLLERS: usize = 5;
/// The simulated time, milliseconds.
const DURATION: Millis = 60_000;
const TENANTS: u64 = 3;
const LEADER: u64 = 99;

struct NumberedNames;

impl NameResolver for NumberedNames {
    fn tenant(&self, id: u64) -> String {
        format!("t{id}")
    }

    fn worker(&self, id: u64) -> String {
        format!("w{id}")
    }
}

/// A clock that was started at some time of the simulation and runs slightly fast or slow.
#[derive(Clone, Copy)]
struct SkewedClock {
    started_at: f64,
    rate: f64,
}

impl SkewedClock {
    fn read(self, time: f64) -> Millis {
        ((time - self.started_at) * self.rate).max(0.0) as Millis
    }
}

/// An accepted call, with the actual time and the revision that its controller had applied.
struct Call {
    controller: usize,
    at: f64,
    tenant: u64,
    revision: u64,
}

/// The logs of a simulated fleet, and what actually happened.
struct Simulated {
    /// The logs by controller.
    logs: Vec<Vec<String>>,
    /// The log of the leader's administration.
    leader_log: Vec<String>,
    calls: Vec<Call>,
    /// The time at which each controller applied each revision, by controller.
    arrivals: Vec<BTreeMap<u64, f64>>,
    /// The acknowledged suspensions: the revision, the tenant and the time of the acknowledgement.
    acknowledged: Vec<(u64, u64, f64)>,
}

fn view(revision: u64) -> View {
    View { epoch: 1, revision, ..View::default() }
}

#[expect(clippy::too_many_lines, reason = "one simulated fleet, step by step")]
fn simulate(seed: u64) -> Simulated {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    // The clocks were started up to ten minutes apart, and each drifts by up to 4 per mille.
    let mut clock = || SkewedClock {
        started_at: -random.random_range(0.0..600_000.0),
        rate: random.random_range(0.996..1.004),
    };
    let leader_clock = SkewedClock { started_at: 0.0, rate: 1.0 };
    let clocks: Vec<SkewedClock> = (0..CONTROLLERS).map(|_| clock()).collect();
    let mut recorders: Vec<Recorder> = clocks
        .iter()
        .enumerate()
        .map(|(n, clock)| Recorder::new(clock.read(0.0), n as u64 + 1, n as u32 + 1, "1.0", None))
        .collect();
    let mut leader_recorder = Recorder::new(0, LEADER, 0, "1.0", None);
    let mut simulated = Simulated {
        logs: vec![Vec::new(); CONTROLLERS],
        leader_log: Vec::new(),
        calls: Vec::new(),
        arrivals: vec![BTreeMap::from([(0, 0.0)]); CONTROLLERS],
        acknowledged: Vec::new(),
    };
    let (mut revision, mut revisions) = (0, vec![0; CONTROLLERS]);
    // The end of each controller's link failure, and the end of its pause.
    let (mut cut_until, mut paused_until) = (vec![0.0; CONTROLLERS], vec![0.0; CONTROLLERS]);
    // Suspensions that are not acknowledged yet: revision and tenant.
    let mut pending: Vec<(u64, u64)> = Vec::new();
    for (n, recorder) in recorders.iter_mut().enumerate() {
        recorder.view_applied(clocks[n].read(0.0), view(0), &NumberedNames);
    }
    for tick in 1..DURATION / 10 {
        let now = tick as f64 * 10.0;
        if random.random_bool(0.004) {
            revision += 1;
            let (tenant, suspends) = (random.random_range(0..TENANTS), random.random_bool(0.5));
            let action = if suspends { "suspend" } else { "resume" }.to_owned();
            let tenant_name = NumberedNames.tenant(tenant);
            let kind =
                EntryKind::Accepted { epoch: 1, revision, tenant: tenant_name, action, restricts: suspends };
            leader_recorder.append(leader_clock.read(now), kind);
            if suspends {
                pending.push((revision, tenant));
            }
        }
        for n in 0..CONTROLLERS {
            if random.random_bool(0.0008) {
                cut_until[n] = now + random.random_range(500.0..12_000.0);
            }
            if random.random_bool(0.0004) {
                paused_until[n] = now + random.random_range(200.0..5_000.0);
            }
            if now < paused_until[n] {
                continue;
            }
            let local_time = clocks[n].read(now);
            if now >= cut_until[n] && random.random_bool(0.1) {
                // The request and the response take up to 200 ms each; the leader read its clock in between.
                let (request_delay, response_delay) =
                    (random.random_range(0.0..200.0), random.random_range(0.0..200.0));
                let sent = clocks[n].read(now - request_delay - response_delay);
                let leader_time = leader_clock.read(now - response_delay);
                let exchange = ClockExchange { sent, received: local_time, leader_time };
                recorders[n].clock_exchange(LEADER, exchange);
                if revisions[n] < revision && random.random_bool(0.7) {
                    revisions[n] = revision;
                    recorders[n].view_applied(local_time, view(revision), &NumberedNames);
                    simulated.arrivals[n].insert(revision, now);
                }
            }
            if random.random_bool(0.3) {
                let tenant = random.random_range(0..TENANTS);
                recorders[n].call_accepted(local_time, tenant);
                simulated.calls.push(Call { controller: n, at: now, tenant, revision: revisions[n] });
            }
            recorders[n].tick(local_time, &NumberedNames);
            let texts: Vec<String> = recorders[n].take(usize::MAX).collect();
            simulated.logs[n].extend(texts);
        }
        // Some changes are acknowledged before all controllers have applied them, so that there are late calls to find.
        pending.retain(|(suspension, tenant)| {
            let applied_by_all = revisions.iter().all(|applied| applied >= suspension);
            let acknowledged = applied_by_all || random.random_bool(0.01);
            if acknowledged {
                leader_recorder
                    .append(leader_clock.read(now), EntryKind::InForce { epoch: 1, revision: *suspension });
                simulated.acknowledged.push((*suspension, *tenant, now));
            }
            !acknowledged
        });
    }
    for (n, recorder) in recorders.iter_mut().enumerate() {
        recorder.close(&NumberedNames);
        let texts: Vec<String> = recorder.take(usize::MAX).collect();
        simulated.logs[n].extend(texts);
    }
    simulated.leader_log.extend(leader_recorder.take(usize::MAX));
    simulated
}

fn audit(simulated: &Simulated) -> Audit {
    let mut audit = Audit::default();
    let leader_log = check(simulated.leader_log.iter().map(String::as_str));
    assert_eq!(leader_log.errors, vec![]);
    audit.add_leader(LEADER, &leader_log.entries);
    for log in &simulated.logs {
        let checked = check(log.iter().map(String::as_str));
        assert_eq!(checked.errors, vec![]);
        audit.add_controller(LEADER, &checked.entries, false);
    }
    audit
}

fn incarnation(n: usize) -> Incarnation {
    Incarnation { controller: n as u32 + 1, incarnation: n as u64 + 1 }
}

#[test]
#[expect(clippy::too_many_lines, reason = "one comparison of every finding with the simulation")]
fn certain_findings_are_true_and_no_late_call_is_missed_over_200_seeds() {
    let (mut certain, mut doubtful) = (0, 0);
    for seed in 0..200 {
        let simulated = simulate(seed);
        let report = audit(&simulated).report();
        assert_eq!(report.gaps, vec![], "seed {seed}");
        assert_eq!(
            report.omitted,
            0,
            "seed {seed}: {} {}",
            report.stale_activity.len(),
            report.late_calls.len()
        );
        // Calls that were accepted after an acknowledgement.
        for (revision, tenant, at) in &simulated.acknowledged {
            for n in 0..CONTROLLERS {
                let is_late = |call: &&Call| {
                    call.controller == n
                        && call.tenant == *tenant
                        && call.revision < *revision
                        && call.at > *at
                };
                let actual = simulated.calls.iter().filter(is_late).count() as u64;
                let found = report.late_calls.iter().find(|finding| {
                    finding.incarnation == incarnation(n)
                        && finding.change == Version { epoch: 1, revision: *revision }
                        && finding.tenant == format!("t{tenant}")
                });
                let (least, most) = found.map_or((0, 0), |finding| finding.calls.into());
                assert!(
                    least <= actual && actual <= most,
                    "seed {seed}, controller {n}, revision {revision}: {actual} actual, {least} to {most} reported"
                );
                match found.map(|finding| finding.certainty) {
                    Some(Certainty::Certain) => certain += 1,
                    Some(Certainty::Doubtful) => doubtful += 1,
                    None => {}
                }
            }
        }
        // Calls that were accepted on a version after another controller had applied a newer one.
        for n in 0..CONTROLLERS {
            for version in
                0..=*simulated.arrivals[n].keys().max().expect("revision 0 is applied at the start")
            {
                let others = (0..CONTROLLERS).filter(|other| *other != n);
                let newer = others.filter_map(|other| {
                    let first = simulated.arrivals[other].range(version + 1..).map(|(_, at)| *at);
                    first.min_by(f64::total_cmp)
                });
                let since = newer.min_by(f64::total_cmp);
                let is_stale = |call: &&Call| {
                    call.controller == n
                        && call.revision == version
                        && since.is_some_and(|since| call.at > since)
                };
                let actual = simulated.calls.iter().filter(is_stale).count() as u64;
                let found = report.stale_activity.iter().find(|finding| {
                    finding.incarnation == incarnation(n)
                        && finding.version == Version { epoch: 1, revision: version }
                });
                let least: u64 =
                    found.map_or(0, |finding| finding.calls.values().map(|count| count.certain).sum());
                let most: u64 =
                    found.map_or(0, |finding| finding.calls.values().map(|count| count.possible).sum());
                assert!(
                    least <= actual && actual <= most,
                    "seed {seed}, controller {n}, revision {version}: {actual} actual, {least} to {most} reported"
                );
                if let Some(found) = found.filter(|finding| finding.certainty == Certainty::Certain) {
                    assert!(actual > 0, "seed {seed}: a certain finding is false: {found:?}");
                }
            }
        }
    }
    // The findings are useful only if most of them are certain.
    println!("{certain} certain and {doubtful} doubtful findings on calls after an acknowledgement");
    assert!(certain > 100 && doubtful < certain, "{certain} certain, {doubtful} doubtful");
}

#[test]
fn changed_digit_breaks_the_hash_chain() {
    let simulated = simulate(7);
    let intact = &simulated.logs[0];
    let mut random = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..300 {
        let line = random.random_range(0..intact.len() - 1);
        let mut altered = intact.clone();
        let mut bytes = altered[line].clone().into_bytes();
        let digits: Vec<usize> = (0..bytes.len()).filter(|index| bytes[*index].is_ascii_digit()).collect();
        let index = digits[random.random_range(0..digits.len())];
        bytes[index] = if bytes[index] == b'9' { b'3' } else { bytes[index] + 1 };
        altered[line] = String::from_utf8(bytes).expect("ASCII");
        let checked = check(altered.iter().map(String::as_str));
        assert!(!checked.errors.is_empty(), "line {line}: {}", altered[line]);
    }
}

#[test]
fn concurrent_activity_on_two_epochs_is_a_fork() {
    let mut audit = Audit::default();
    for n in 0..2u64 {
        let mut recorder = Recorder::new(0, n + 1, n as u32 + 1, "1.0", None);
        for at in (0..10_000).step_by(100) {
            let exchange = ClockExchange { sent: at, received: at + 2, leader_time: at + 1 };
            recorder.clock_exchange(LEADER, exchange);
            recorder.view_applied(at, View { epoch: 3 + n, revision: 5, ..View::default() }, &NumberedNames);
            recorder.call_accepted(at, 1);
            recorder.tick(at, &NumberedNames);
        }
        recorder.close(&NumberedNames);
        let texts: Vec<String> = recorder.take(usize::MAX).collect();
        audit.add_controller(LEADER, &check(texts.iter().map(String::as_str)).entries, false);
    }
    let report = audit.report();
    assert_eq!(report.forks.len(), 1, "{:?}", report.forks);
    assert_eq!((report.forks[0].epochs.clone(), report.forks[0].sides.len()), (vec![3, 4], 2));
    assert_eq!(
        report.stale_activity.len(),
        1,
        "only the controller on the older epoch acted on an old version"
    );
}
