//! What a day came to, in lines for people.

use std::collections::BTreeMap;
use std::fmt::Write;

use hdrhistogram::Histogram;
use nettleferry::Micros;
use nettleferry_test_servers::Seen;

use crate::evidence::{ClientSaw, Evidence, Final};

#[derive(Default)]
struct Class {
    sent: u64,
    in_time: u64,
    late: u64,
    refused: u64,
    failed: u64,
    cancelled: u64,
    lost: u64,
    latencies: Vec<Micros>,
}

/// Calls by class, attempts, orders and workers' fates.
pub fn summary(evidence: &Evidence) -> String {
    let mut calls: BTreeMap<&str, (&str, Micros, Micros)> = BTreeMap::new();
    let mut classes: BTreeMap<&str, Class> = BTreeMap::new();
    for record in &evidence.clients {
        if let ClientSaw::Sent { class, aim, .. } = &record.what {
            calls.insert(&record.id, (class, record.at, *aim));
            classes.entry(class).or_default().sent += 1;
            continue;
        }
        let Some((class, sent, aim)) = calls.get(record.id.as_str()) else { continue };
        let class = classes.entry(class).or_default();
        let took = record.at.saturating_sub(*sent);
        match record.what {
            ClientSaw::Final(Final::Served) => {
                class.latencies.push(took);
                if took <= *aim { class.in_time += 1 } else { class.late += 1 }
            }
            ClientSaw::Final(Final::Refused) => class.refused += 1,
            ClientSaw::Final(Final::Failed) => class.failed += 1,
            ClientSaw::Cancelled => class.cancelled += 1,
            ClientSaw::Lost => class.lost += 1,
            ClientSaw::Part | ClientSaw::Sent { .. } => {}
        }
    }
    let mut out = String::new();
    for (name, class) in classes {
        let _ = write!(
            out,
            "class {name}: {} sent, {} served in time, {} late, {} refused, {} failed, {} cancelled, {} lost with a controller",
            class.sent, class.in_time, class.late, class.refused, class.failed, class.cancelled, class.lost
        );
        if let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, 600_000_000, 3) {
            for took in class.latencies {
                histogram.saturating_record(took);
            }
            let at = |q| histogram.value_at_quantile(q) as f64 / 1e3;
            let _ = write!(out, "; p50 {:.0} ms, p99 {:.0} ms", at(0.5), at(0.99));
        }
        out.push('\n');
    }
    let count = |pick: fn(&Seen) -> bool| evidence.workers.iter().filter(|r| pick(&r.seen)).count();
    let _ = writeln!(
        out,
        "workers: {} attempts, {} ran, {} load orders, {} probes, {} deaths, {} fell over",
        count(|s| matches!(s, Seen::Call { .. })),
        count(|s| matches!(s, Seen::Runs { .. })),
        count(|s| matches!(s, Seen::Order { .. })),
        count(|s| matches!(s, Seen::Probe)),
        count(|s| matches!(s, Seen::Down)),
        count(|s| matches!(s, Seen::Fell)),
    );
    out
}
