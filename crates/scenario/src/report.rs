//! Formats the totals of a run as text: calls by class, and events at the workers.

use std::collections::BTreeMap;
use std::fmt::Write;

use hdrhistogram::Histogram;
use nettleferry::Micros;
use nettleferry_test_servers::ObservationKind;

use crate::evidence::{ClientObservation, Evidence, FinalStatus};

/// Upper bound of the latency histogram; longer latencies are counted as this one.
const MAX_LATENCY: Micros = 600_000_000;

/// Totals of the calls of one class.
#[derive(Default)]
struct ClassTotals {
    sent: u64,
    in_time: u64,
    late: u64,
    refused: u64,
    failed: u64,
    cancelled: u64,
    lost: u64,
    latencies: Vec<Micros>,
}

/// The properties of a sent call that its final answer is compared with.
struct SentCall<'a> {
    class: &'a str,
    at: Micros,
    latency_objective: Micros,
}

fn totals_by_class(evidence: &Evidence) -> BTreeMap<&str, ClassTotals> {
    let mut calls: BTreeMap<&str, SentCall> = BTreeMap::new();
    let mut classes: BTreeMap<&str, ClassTotals> = BTreeMap::new();
    for record in &evidence.clients {
        if let ClientObservation::Sent { class, latency_objective, .. } = &record.observation {
            let latency_objective = *latency_objective;
            calls.insert(&record.id, SentCall { class, at: record.at, latency_objective });
            classes.entry(class).or_default().sent += 1;
            continue;
        }
        let Some(call) = calls.get(record.id.as_str()) else { continue };
        let class = classes.entry(call.class).or_default();
        let latency = record.at.saturating_sub(call.at);
        match record.observation {
            ClientObservation::Final(FinalStatus::Served) => {
                class.latencies.push(latency);
                if latency <= call.latency_objective { class.in_time += 1 } else { class.late += 1 }
            }
            ClientObservation::Final(FinalStatus::Refused) => class.refused += 1,
            ClientObservation::Final(FinalStatus::Failed) => class.failed += 1,
            ClientObservation::Cancelled => class.cancelled += 1,
            ClientObservation::Lost => class.lost += 1,
            ClientObservation::Part | ClientObservation::Sent { .. } => {}
        }
    }
    classes
}

/// Summarizes a run: a line with the totals and latencies of each class, and a line with the totals of the workers.
pub fn summary(evidence: &Evidence) -> String {
    let mut out = String::new();
    for (name, class) in totals_by_class(evidence) {
        let _ = write!(
            out,
            "class {name}: {} sent, {} served in time, {} late, {} refused, {} failed, {} cancelled, {} lost with a controller",
            class.sent, class.in_time, class.late, class.refused, class.failed, class.cancelled, class.lost
        );
        if let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY, 3) {
            for latency in class.latencies {
                histogram.saturating_record(latency);
            }
            let ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
            let _ = write!(out, "; p50 {:.0} ms, p99 {:.0} ms", ms(0.5), ms(0.99));
        }
        out.push('\n');
    }
    let count =
        |is_kind: fn(&ObservationKind) -> bool| evidence.workers.iter().filter(|r| is_kind(&r.kind)).count();
    let _ = writeln!(
        out,
        "workers: {} attempts, {} ran, {} load orders, {} probes, {} deaths, {} fell over",
        count(|s| matches!(s, ObservationKind::Call { .. })),
        count(|s| matches!(s, ObservationKind::Runs { .. })),
        count(|s| matches!(s, ObservationKind::Order { .. })),
        count(|s| matches!(s, ObservationKind::Probe)),
        count(|s| matches!(s, ObservationKind::Down)),
        count(|s| matches!(s, ObservationKind::Overloaded)),
    );
    out
}
