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
const S: u64 = 1_000_000;
const LANES: usize = 64;
/// Mean service time of a call in microseconds; the fleet serves 6,400 calls a second.
const WORK: f64 = 10_000.0;
const TENANTS: usize = 10;
/// Limits of each tenant in calls a second. Ten times 640 is the capacity of the fleet; 3,000 overbooks it, as limits
/// usually do.
const LIMITS: [f64; 2] = [640.0, 3_000.0];
/// Each tenant's rate outside of the surge, in calls a second.
const USUAL: f64 = 500.0;
const AIM: u64 = 100_000;
const DEADLINE: u64 = S;
const LENGTH: u64 = 40 * S;
/// Start and end of the surge, in which the first tenant sends ten times its limit in the first half of each second.
const SURGE: (u64, u64) = (10 * S, 30 * S);
const RETRIES: u32 = 3;

#[derive(Clone, Copy, PartialEq)]
enum Guard {
    None,
    Bucket,
    Full,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { tenant: usize, first: u64, tries: u32, own: bool },
    Done { tenant: usize, first: u64 },
}

/// Simulates one guard and limit. Returns the share of calls answered within `AIM`: of the other tenants for each second,
/// of the other tenants during the surge, and of the surging tenant during the surge.
fn run(guard: Guard, limit: f64) -> (Vec<f64>, f64, f64) {
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let mut admission = Admission::new(128);
    for tenant in 0..TENANTS {
        let limits =
            Limits { rate: Some(RateLimit { per_second: limit, burst: (limit / 10.0) as u32 }), open: None };
        let held = (guard == Guard::Full).then_some(256);
        admission.set_policy(tenant, Policy { limits, held, ..Policy::default() });
    }
    if guard == Guard::Bucket {
        // Rate limits only, without a shared limit on open calls.
        let mut alone = Admission::new(u32::MAX);
        for tenant in 0..TENANTS {
            alone.set_policy(
                tenant,
                Policy {
                    limits: Limits {
                        rate: Some(RateLimit { per_second: limit, burst: (limit / 10.0) as u32 }),
                        open: None,
                    },
                    ..Policy::default()
                },
            );
        }
        admission = alone;
    }
    let mut events: BinaryHeap<Reverse<(u64, u64, Event)>> = BinaryHeap::new();
    let mut order = 0u64;
    let mut push = |events: &mut BinaryHeap<_>, at: u64, event: Event| {
        order += 1;
        events.push(Reverse((at, order, event)));
    };
    for tenant in 0..TENANTS {
        push(&mut events, 0, Event::Arrive { tenant, first: 0, tries: 0, own: true });
    }
    let (mut queue, mut free): (VecDeque<(usize, u64)>, usize) = (VecDeque::new(), LANES);
    let mut by_second = vec![(0u32, 0u32); (LENGTH / S) as usize + 1];
    let mut one = (0u32, 0u32);
    let gap = |random: &mut ChaCha8Rng, rate: f64| (-(1.0 - random.random::<f64>()).ln() / rate * 1e6) as u64;
    while let Some(Reverse((now, _, event))) = events.pop() {
        if now > LENGTH {
            break;
        }
        match event {
            Event::Arrive { tenant, first, tries, own } => {
                let surges = tenant == 0 && (SURGE.0..SURGE.1).contains(&now) && now % S < S / 2;
                let first = if tries == 0 { now } else { first };
                if own {
                    let rate = if surges { 10.0 * limit } else { USUAL };
                    push(
                        &mut events,
                        now + gap(&mut random, rate).max(1),
                        Event::Arrive { tenant, first: 0, tries: 0, own: true },
                    );
                }
                if tries == 0 {
                    let counts = if tenant == 0 { &mut one } else { &mut by_second[(now / S) as usize] };
                    if tenant != 0 || (SURGE.0..SURGE.1).contains(&now) {
                        counts.0 += 1;
                    }
                }
                let asked = CallRequest { tenant, class: 0, model: 0, memory: 0 };
                let verdict = if guard == Guard::None { Verdict::Admit } else { admission.admit(now, asked) };
                match verdict {
                    Verdict::Admit => queue.push_back((tenant, first)),
                    // Clients ignore the pushback, which is the worst case.
                    Verdict::Reject(_) if tries < RETRIES => {
                        push(
                            &mut events,
                            now + 20_000,
                            Event::Arrive { tenant, first, tries: tries + 1, own: false },
                        );
                    }
                    Verdict::Reject(_) => {}
                }
            }
            Event::Done { tenant, first } => {
                free += 1;
                if guard != Guard::None {
                    admission.call_returned(tenant);
                    admission.call_ended(now, tenant, 0, 0);
                }
                if now - first <= AIM {
                    if tenant != 0 {
                        by_second[(first / S) as usize].1 += 1;
                    } else if (SURGE.0..SURGE.1).contains(&first) {
                        one.1 += 1;
                    }
                }
            }
        }
        while free > 0
            && let Some((tenant, first)) = queue.pop_front()
        {
            // The client has timed out, so the call takes no lane.
            if now - first > DEADLINE {
                if guard != Guard::None {
                    admission.call_ended(now, tenant, 0, 0);
                }
                continue;
            }
            free -= 1;
            if guard != Guard::None {
                admission.call_started(tenant);
            }
            push(&mut events, now + gap(&mut random, 1e6 / WORK), Event::Done { tenant, first });
        }
    }
    let share = |(sent, met): (u32, u32)| f64::from(met) / f64::from(sent.max(1));
    let surge = &by_second[(SURGE.0 / S) as usize..(SURGE.1 / S) as usize];
    let sum = surge.iter().fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
    (by_second[..(LENGTH / S) as usize].iter().copied().map(share).collect(), share(sum), share(one))
}

pub(crate) fn measure() {
    let mut lines: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    println!(
        "isolation (simulated): {TENANTS} tenants, one sends ten times its limit in bursts with {RETRIES} retries each, pushback not heeded"
    );
    for limit in LIMITS {
        lines.clear();
        for (name, guard) in
            [("no admission", Guard::None), ("token bucket", Guard::Bucket), ("admission", Guard::Full)]
        {
            let (seconds, others, one) = run(guard, limit);
            println!(
                "isolation: limit {limit:.0}/s each of 6400/s, {name}: others answered within {} ms during the surge: {others:.3}; the one: {one:.3}",
                AIM / 1000
            );
            lines.insert(name, seconds);
        }
    }
    for tenants in [10usize, 1_000, 10_000] {
        let mut all = Admission::new(256);
        for tenant in 0..tenants {
            let limits =
                Limits { rate: Some(RateLimit { per_second: 1e6, burst: 1_000 }), open: Some(1_000) };
            all.set_policy(
                tenant,
                Policy { limits, held: Some(1_000), memory: Some(1 << 40), ..Policy::default() },
            );
        }
        const CALLS: u64 = 1_000_000;
        let begun = Instant::now();
        for n in 0..CALLS {
            // Calls come from 50 of the tenants.
            let tenant = (n % 50) as usize * tenants.max(50) / 50 % tenants;
            if all.admit(n, CallRequest { tenant, class: 0, model: n % 7, memory: 1 }) == Verdict::Admit {
                all.call_started(tenant);
                all.call_returned(tenant);
                all.call_ended(n, tenant, 0, n % 7);
            }
        }
        let ns = begun.elapsed().as_secs_f64() * 1e9 / CALLS as f64;
        println!("admission: {ns:.0} ns a call with {tenants} tenants (verdict, began, back, ended)");
    }
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/plots/isolation.svg");
    draw(&file, &lines).expect("the plot is written");
}

fn draw(file: &Path, lines: &BTreeMap<&str, Vec<f64>>) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(file, (860, 380)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Nine tenants' calls answered in time while a tenth surges (10 to 30 s)", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..(LENGTH / S) as f64, 0.0..1.05)?;
    chart.configure_mesh().x_desc("seconds").y_desc("share in time").draw()?;
    for ((name, values), color) in lines.iter().zip([BLUE, RED, BLACK]) {
        chart
            .draw_series(LineSeries::new(values.iter().enumerate().map(|(n, v)| (n as f64, *v)), &color))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}
