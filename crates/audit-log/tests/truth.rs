//! The audit against the truth: fleets whose clocks differ and drift, whose news are late, lost or come at once, and
//! whose processes stand still, simulated in made-up time from a seed. What the audit calls certain must be so, and
//! what was so must be told, at least as doubtful.

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
const LENGTH: Millis = 60_000;
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

/// A clock that began at some moment of true time and runs a little fast or slow.
#[derive(Clone, Copy)]
struct SkewedClock {
    began: f64,
    rate: f64,
}

impl SkewedClock {
    fn read(self, truth: f64) -> Millis {
        ((truth - self.began) * self.rate).max(0.0) as Millis
    }
}

/// A call as it truly was.
struct Call {
    who: usize,
    at: f64,
    tenant: u64,
    revision: u64,
}

struct Simulated {
    logs: Vec<Vec<String>>,
    own: Vec<String>,
    calls: Vec<Call>,
    /// When each revision came into force at each controller.
    arrivals: Vec<BTreeMap<u64, f64>>,
    /// Suspensions: revision, tenant, and when it was acknowledged.
    acknowledged: Vec<(u64, u64, f64)>,
}

fn view(revision: u64) -> View {
    View { epoch: 1, revision, ..View::default() }
}

#[expect(clippy::too_many_lines, reason = "one simulated fleet, step by step")]
fn simulate(seed: u64) -> Simulated {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    // Clocks lie minutes apart, and each is off by up to four in a thousand.
    let mut clock = || SkewedClock {
        began: -random.random_range(0.0..600_000.0),
        rate: random.random_range(0.996..1.004),
    };
    let ours = SkewedClock { began: 0.0, rate: 1.0 };
    let clocks: Vec<SkewedClock> = (0..CONTROLLERS).map(|_| clock()).collect();
    let mut recorders: Vec<Recorder> = clocks
        .iter()
        .enumerate()
        .map(|(n, c)| Recorder::new(c.read(0.0), n as u64 + 1, n as u32 + 1, "1.0", None))
        .collect();
    let mut own = Recorder::new(0, LEADER, 0, "1.0", None);
    let mut simulated = Simulated {
        logs: vec![Vec::new(); CONTROLLERS],
        own: Vec::new(),
        calls: Vec::new(),
        arrivals: vec![BTreeMap::from([(0, 0.0)]); CONTROLLERS],
        acknowledged: Vec::new(),
    };
    let (mut revision, mut revisions) = (0, vec![0; CONTROLLERS]);
    // Until when each one's link passes nothing, and each one stands still.
    let (mut cut, mut still) = (vec![0.0; CONTROLLERS], vec![0.0; CONTROLLERS]);
    let mut open: Vec<(u64, u64)> = Vec::new();
    for (n, recorder) in recorders.iter_mut().enumerate() {
        recorder.view_applied(clocks[n].read(0.0), view(0), &NumberedNames);
    }
    for tick in 1..LENGTH / 10 {
        let now = tick as f64 * 10.0;
        if random.random_bool(0.004) {
            revision += 1;
            let (tenant, suspends) = (random.random_range(0..TENANTS), random.random_bool(0.5));
            let action = if suspends { "suspend" } else { "resume" }.to_owned();
            let tenant_name = NumberedNames.tenant(tenant);
            let what =
                EntryKind::Accepted { epoch: 1, revision, tenant: tenant_name, action, restricts: suspends };
            own.append(ours.read(now), what);
            if suspends {
                open.push((revision, tenant));
            }
        }
        for n in 0..CONTROLLERS {
            if random.random_bool(0.0008) {
                cut[n] = now + random.random_range(500.0..12_000.0);
            }
            if random.random_bool(0.0004) {
                still[n] = now + random.random_range(200.0..5_000.0);
            }
            if now < still[n] {
                continue;
            }
            let read = clocks[n].read(now);
            if now >= cut[n] && random.random_bool(0.1) {
                // An exchange: the answer is on its way for up to 200 ms, and was true when it left.
                let (there, back) = (random.random_range(0.0..200.0), random.random_range(0.0..200.0));
                let asked = clocks[n].read(now - there - back);
                let leader_time = ours.read(now - back);
                let exchange = ClockExchange { sent: asked, received: read, leader_time };
                recorders[n].clock_exchange(LEADER, exchange);
                if revisions[n] < revision && random.random_bool(0.7) {
                    revisions[n] = revision;
                    recorders[n].view_applied(read, view(revision), &NumberedNames);
                    simulated.arrivals[n].insert(revision, now);
                }
            }
            if random.random_bool(0.3) {
                let tenant = random.random_range(0..TENANTS);
                recorders[n].call_accepted(read, tenant);
                simulated.calls.push(Call { who: n, at: now, tenant, revision: revisions[n] });
            }
            recorders[n].tick(read, &NumberedNames);
            let texts: Vec<String> = recorders[n].take(usize::MAX).collect();
            simulated.logs[n].extend(texts);
        }
        // Acknowledged too early now and then: that is what an audit is for.
        open.retain(|(of, tenant)| {
            let all = revisions.iter().all(|r| r >= of);
            let done = all || random.random_bool(0.01);
            if done {
                own.append(ours.read(now), EntryKind::InForce { epoch: 1, revision: *of });
                simulated.acknowledged.push((*of, *tenant, now));
            }
            !done
        });
    }
    for (n, recorder) in recorders.iter_mut().enumerate() {
        recorder.close(&NumberedNames);
        let texts: Vec<String> = recorder.take(usize::MAX).collect();
        simulated.logs[n].extend(texts);
    }
    simulated.own.extend(own.take(usize::MAX));
    simulated
}

fn audit(simulated: &Simulated) -> Audit {
    let mut audit = Audit::default();
    let own = check(simulated.own.iter().map(String::as_str));
    assert_eq!(own.errors, vec![]);
    audit.add_leader(LEADER, &own.entries);
    for record in &simulated.logs {
        let checked = check(record.iter().map(String::as_str));
        assert_eq!(checked.errors, vec![]);
        audit.add_controller(LEADER, &checked.entries, false);
    }
    audit
}

fn who(n: usize) -> Incarnation {
    Incarnation { controller: n as u32 + 1, incarnation: n as u64 + 1 }
}

#[test]
#[expect(clippy::too_many_lines, reason = "one comparison of every finding with the truth")]
fn no_finding_is_false_and_none_is_missing_over_200_seeds() {
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
        // Calls after an acknowledgement.
        for (revision, tenant, at) in &simulated.acknowledged {
            for n in 0..CONTROLLERS {
                let truly =
                    |c: &&Call| c.who == n && c.tenant == *tenant && c.revision < *revision && c.at > *at;
                let truth = simulated.calls.iter().filter(truly).count() as u64;
                let found = report.late_calls.iter().find(|a| {
                    a.incarnation == who(n)
                        && a.change == Version { epoch: 1, revision: *revision }
                        && a.tenant == format!("t{tenant}")
                });
                let (least, most) = found.map_or((0, 0), |a| a.calls.into());
                assert!(
                    least <= truth && truth <= most,
                    "seed {seed}, controller {n}, revision {revision}: {truth} in truth, told {least} to {most}"
                );
                match found.map(|a| a.certainty) {
                    Some(Certainty::Certain) => certain += 1,
                    Some(Certainty::Doubtful) => doubtful += 1,
                    None => {}
                }
            }
        }
        // Acts on a version when a newer one was in force elsewhere.
        for n in 0..CONTROLLERS {
            for book in 0..=*simulated.arrivals[n].keys().max().expect("0 at the least") {
                let elsewhere = (0..CONTROLLERS).filter(|o| *o != n);
                let newer = elsewhere.filter_map(|o| {
                    let first = simulated.arrivals[o].range(book + 1..).map(|(_, at)| *at);
                    first.min_by(f64::total_cmp)
                });
                let since = newer.min_by(f64::total_cmp);
                let truly =
                    |c: &&Call| c.who == n && c.revision == book && since.is_some_and(|since| c.at > since);
                let truth = simulated.calls.iter().filter(truly).count() as u64;
                let found = report
                    .stale_activity
                    .iter()
                    .find(|b| b.incarnation == who(n) && b.version == Version { epoch: 1, revision: book });
                let least: u64 = found.map_or(0, |b| b.calls.values().map(|c| c.certain).sum());
                let most: u64 = found.map_or(0, |b| b.calls.values().map(|c| c.possible).sum());
                assert!(
                    least <= truth && truth <= most,
                    "seed {seed}, controller {n}, book {book}: {truth} in truth, told {least} to {most}"
                );
                if let Some(found) = found.filter(|b| b.certainty == Certainty::Certain) {
                    assert!(truth > 0, "seed {seed}: certain, and false: {found:?}");
                }
            }
        }
    }
    // What is told is of use: most of it is certain.
    println!("{certain} certain and {doubtful} doubtful statements on calls after an acknowledgement");
    assert!(certain > 100 && doubtful < certain, "{certain} certain, {doubtful} doubtful");
}

#[test]
fn flipped_digit_is_found_or_changes_no_finding() {
    let simulated = simulate(7);
    let whole = &simulated.logs[0];
    let mut random = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..300 {
        let place = random.random_range(0..whole.len() - 1);
        let mut altered = whole.clone();
        let mut bytes = altered[place].clone().into_bytes();
        let digits: Vec<usize> = (0..bytes.len()).filter(|at| bytes[*at].is_ascii_digit()).collect();
        let at = digits[random.random_range(0..digits.len())];
        bytes[at] = if bytes[at] == b'9' { b'3' } else { bytes[at] + 1 };
        altered[place] = String::from_utf8(bytes).expect("ASCII");
        let checked = check(altered.iter().map(String::as_str));
        assert!(!checked.errors.is_empty(), "line {place}: {}", altered[place]);
    }
}

#[test]
fn two_histories_that_are_acted_on_at_once_are_a_fork() {
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
    assert_eq!(report.stale_activity.len(), 1, "the one on the older epoch is behind");
}
