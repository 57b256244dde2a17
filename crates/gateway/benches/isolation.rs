//! Effect of one tenant's surge on the others, with a simulated clock: the real admission package in front of a model
//! of a fleet (lanes, one queue, exponential service times), compared with no admission and with one token bucket per
//! tenant. The plot is written to `docs/plots/isolation.svg`. Also measures the time of an admission decision by the
//! number of tenants.
#![expect(clippy::too_many_lines, reason = "long functions are not yet split: docs/ROADMAP.md")]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::path::Path;
use std::time::Instant;

use nettleferry_admission::{Admission, CallRequest, Limits, Policy, RateLimit, Verdict};
use plotters::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Microseconds in a second.
const SECOND: u64 = 1_000_000;
const LANES: usize = 64;
/// Mean service time of a call in microseconds; the fleet serves 6,400 calls a second.
const MEAN_SERVICE_TIME: f64 = 10_000.0;
const TENANTS: usize = 10;
/// Limits of each tenant in calls a second. With 640, the limits of all tenants add up to the capacity of the fleet.
/// With 3,000 they overbook it, as limits usually do.
const LIMITS: [f64; 2] = [640.0, 3_000.0];
/// Each tenant's rate outside of the surge, in calls a second.
const BASE_RATE: f64 = 500.0;
/// Time within which a call should be answered, in microseconds.
const LATENCY_OBJECTIVE: u64 = 100_000;
/// Time after which a client no longer waits for a call, in microseconds.
const DEADLINE: u64 = SECOND;
/// Simulated time of a run, in microseconds.
const DURATION: u64 = 40 * SECOND;
/// Start and end of the surge in microseconds. During it, the first tenant sends ten times its limit in the first half
/// of each second.
const SURGE: (u64, u64) = (10 * SECOND, 30 * SECOND);
/// Retries of each rejected call.
const MAX_RETRIES: u32 = 3;

/// What admits calls to the fleet.
#[derive(Clone, Copy, PartialEq)]
enum Guard {
    None,
    /// A rate limit for each tenant, without a shared limit on open calls.
    TokenBucket,
    /// The admission package with its limits on waiting calls.
    Admission,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A new call or a retry arrives. A new call also schedules the next one of its tenant. `first_sent` is the time at
    /// which a retried call was first sent; it is not used for a new call.
    Arrive { tenant: usize, first_sent: u64, retries: u32, is_new: bool },
    /// A lane has finished a call.
    Done { tenant: usize, first_sent: u64 },
}

/// Number of calls, and of those answered within [`LATENCY_OBJECTIVE`].
#[derive(Clone, Copy, Default)]
struct Counts {
    sent: u32,
    in_time: u32,
}

impl Counts {
    fn share_in_time(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent.max(1))
    }
}

/// Shares of calls answered within [`LATENCY_OBJECTIVE`].
struct Shares {
    /// Of all tenants but the surging one, for each second.
    others_by_second: Vec<f64>,
    /// Of all tenants but the surging one, during the surge.
    others: f64,
    /// Of the surging tenant, during the surge.
    surging: f64,
}

fn rate_limits(limit: f64) -> Limits {
    Limits { rate: Some(RateLimit { per_second: limit, burst: (limit / 10.0) as u32 }), open: None }
}

/// A random time between two events of this rate per second, exponentially distributed, in microseconds.
fn random_interval(random: &mut ChaCha8Rng, rate: f64) -> u64 {
    (-(1.0 - random.random::<f64>()).ln() / rate * 1e6) as u64
}

/// Simulates one guard and limit.
fn run(guard: Guard, limit: f64) -> Shares {
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let mut admission = Admission::new(128);
    for tenant in 0..TENANTS {
        let limits = rate_limits(limit);
        let held = (guard == Guard::Admission).then_some(256);
        admission.set_policy(tenant, Policy { limits, held, ..Policy::default() });
    }
    if guard == Guard::TokenBucket {
        admission = Admission::new(u32::MAX);
        for tenant in 0..TENANTS {
            admission.set_policy(tenant, Policy { limits: rate_limits(limit), ..Policy::default() });
        }
    }
    let mut events: BinaryHeap<Reverse<(u64, u64, Event)>> = BinaryHeap::new();
    let mut order = 0u64;
    let mut push = |events: &mut BinaryHeap<_>, at: u64, event: Event| {
        order += 1;
        events.push(Reverse((at, order, event)));
    };
    for tenant in 0..TENANTS {
        push(&mut events, 0, Event::Arrive { tenant, first_sent: 0, retries: 0, is_new: true });
    }
    let (mut queue, mut free_lanes): (VecDeque<(usize, u64)>, usize) = (VecDeque::new(), LANES);
    let mut others_by_second = vec![Counts::default(); (DURATION / SECOND) as usize + 1];
    let mut surging = Counts::default();
    while let Some(Reverse((now, _, event))) = events.pop() {
        if now > DURATION {
            break;
        }
        match event {
            Event::Arrive { tenant, first_sent, retries, is_new } => {
                let surges = tenant == 0 && (SURGE.0..SURGE.1).contains(&now) && now % SECOND < SECOND / 2;
                let first_sent = if retries == 0 { now } else { first_sent };
                if is_new {
                    let rate = if surges { 10.0 * limit } else { BASE_RATE };
                    push(
                        &mut events,
                        now + random_interval(&mut random, rate).max(1),
                        Event::Arrive { tenant, first_sent: 0, retries: 0, is_new: true },
                    );
                }
                if retries == 0 {
                    let counts = if tenant == 0 {
                        &mut surging
                    } else {
                        &mut others_by_second[(now / SECOND) as usize]
                    };
                    if tenant != 0 || (SURGE.0..SURGE.1).contains(&now) {
                        counts.sent += 1;
                    }
                }
                let request = CallRequest { tenant, class: 0, model: 0, memory: 0 };
                let verdict =
                    if guard == Guard::None { Verdict::Admit } else { admission.admit(now, request) };
                match verdict {
                    Verdict::Admit => queue.push_back((tenant, first_sent)),
                    // Clients ignore the pushback, which is the worst case.
                    Verdict::Reject(_) if retries < MAX_RETRIES => {
                        push(
                            &mut events,
                            now + 20_000,
                            Event::Arrive { tenant, first_sent, retries: retries + 1, is_new: false },
                        );
                    }
                    Verdict::Reject(_) => {}
                }
            }
            Event::Done { tenant, first_sent } => {
                free_lanes += 1;
                if guard != Guard::None {
                    admission.call_returned(tenant);
                    admission.call_ended(now, tenant, 0, 0);
                }
                if now - first_sent <= LATENCY_OBJECTIVE {
                    if tenant != 0 {
                        others_by_second[(first_sent / SECOND) as usize].in_time += 1;
                    } else if (SURGE.0..SURGE.1).contains(&first_sent) {
                        surging.in_time += 1;
                    }
                }
            }
        }
        while free_lanes > 0
            && let Some((tenant, first_sent)) = queue.pop_front()
        {
            // The client has timed out, so the call takes no lane.
            if now - first_sent > DEADLINE {
                if guard != Guard::None {
                    admission.call_ended(now, tenant, 0, 0);
                }
                continue;
            }
            free_lanes -= 1;
            if guard != Guard::None {
                admission.call_started(tenant);
            }
            push(
                &mut events,
                now + random_interval(&mut random, 1e6 / MEAN_SERVICE_TIME),
                Event::Done { tenant, first_sent },
            );
        }
    }
    let surge = &others_by_second[(SURGE.0 / SECOND) as usize..(SURGE.1 / SECOND) as usize];
    let others = Counts {
        sent: surge.iter().map(|counts| counts.sent).sum(),
        in_time: surge.iter().map(|counts| counts.in_time).sum(),
    };
    Shares {
        others_by_second: others_by_second[..(DURATION / SECOND) as usize]
            .iter()
            .map(|counts| counts.share_in_time())
            .collect(),
        others: others.share_in_time(),
        surging: surging.share_in_time(),
    }
}

pub(crate) fn measure() {
    let mut curves: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    println!(
        "isolation (simulated): {TENANTS} tenants; one sends ten times its limit in bursts; {MAX_RETRIES} retries of each rejected call, without regard to the pushback"
    );
    for limit in LIMITS {
        curves.clear();
        for (name, guard) in [
            ("no admission", Guard::None),
            ("token bucket", Guard::TokenBucket),
            ("admission", Guard::Admission),
        ] {
            let shares = run(guard, limit);
            println!(
                "isolation: limit {limit:.0}/s each of 6400/s, {name}: share answered within {} ms during the surge: {:.3} of the other tenants, {:.3} of the surging one",
                LATENCY_OBJECTIVE / 1000,
                shares.others,
                shares.surging
            );
            curves.insert(name, shares.others_by_second);
        }
    }
    for tenants in [10usize, 1_000, 10_000] {
        let mut admission = Admission::new(256);
        for tenant in 0..tenants {
            let limits =
                Limits { rate: Some(RateLimit { per_second: 1e6, burst: 1_000 }), open: Some(1_000) };
            admission.set_policy(
                tenant,
                Policy { limits, held: Some(1_000), memory: Some(1 << 40), ..Policy::default() },
            );
        }
        const CALLS: u64 = 1_000_000;
        let started = Instant::now();
        for n in 0..CALLS {
            // Calls come from 50 of the tenants.
            let tenant = (n % 50) as usize * tenants.max(50) / 50 % tenants;
            if admission.admit(n, CallRequest { tenant, class: 0, model: n % 7, memory: 1 }) == Verdict::Admit
            {
                admission.call_started(tenant);
                admission.call_returned(tenant);
                admission.call_ended(n, tenant, 0, n % 7);
            }
        }
        let ns_per_call = started.elapsed().as_secs_f64() * 1e9 / CALLS as f64;
        println!(
            "admission: {ns_per_call:.0} ns a call with {tenants} tenants (admitted, started, returned, ended)"
        );
    }
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/plots/isolation.svg");
    draw(&file, &curves).expect("plot written");
}

fn draw(file: &Path, curves: &BTreeMap<&str, Vec<f64>>) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(file, (860, 380)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Nine tenants' calls answered in time while a tenth surges (10 to 30 s)", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..(DURATION / SECOND) as f64, 0.0..1.05)?;
    chart.configure_mesh().x_desc("seconds").y_desc("share in time").draw()?;
    for ((name, values), color) in curves.iter().zip([BLUE, RED, BLACK]) {
        chart
            .draw_series(LineSeries::new(values.iter().enumerate().map(|(n, v)| (n as f64, *v)), &color))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}
