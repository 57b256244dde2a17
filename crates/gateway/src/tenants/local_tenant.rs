//! A tenant at this controller: its settings, how its calls ended, and what they could use of its limits.

use std::collections::BTreeMap;
use std::sync::Arc;

use nettleferry::Micros;
use nettleferry_admission::{Counters, RejectReason};
use nettleferry_engine::CallOutcome;
use nettleferry_fleet::loans::LimitKind;
use nettleferry_tenancy::{Revision, Spec, State, Tenant};

const MICROS_PER_SECOND: f64 = 1e6;

/// What calls could use of one limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct KindDemand {
    pub(super) kind: LimitKind,
    /// How much they could use, in all.
    pub(super) demand: f64,
    /// How much open calls use; 0 for a rate.
    pub(super) in_use: f64,
}

/// Calls since the last measurement.
#[derive(Clone, Copy, Debug, Default)]
struct Arrivals {
    calls: u64,
    /// Calls that were rejected as too many were open, or held.
    open_rejected: u32,
    held_rejected: u32,
    /// Bytes of models that were rejected.
    memory_rejected: u64,
    /// Calls per second, smoothed over measurements.
    rate: f64,
}

/// The tenant.
pub(super) struct LocalTenant {
    pub(super) name: Arc<str>,
    pub(super) uid: Revision,
    pub(super) spec: Spec,
    pub(super) state: State,
    arrivals: Arrivals,
    outcomes: BTreeMap<&'static str, u64>,
}

impl LocalTenant {
    /// A tenant without calls.
    pub(super) fn new(tenant: &Tenant) -> Self {
        Self {
            name: tenant.name.as_str().into(),
            uid: tenant.uid,
            spec: Spec::default(),
            state: tenant.state,
            arrivals: Arrivals::default(),
            outcomes: BTreeMap::new(),
        }
    }

    /// A call arrived.
    pub(super) fn call_arrived(&mut self) {
        self.arrivals.calls += 1;
    }

    /// A call was rejected; its model needs so much memory.
    pub(super) fn call_rejected(&mut self, reason: RejectReason, memory_bytes: u64) {
        let arrivals = &mut self.arrivals;
        match reason {
            RejectReason::TenantOpenCalls => arrivals.open_rejected += 1,
            RejectReason::TenantHeldCalls => arrivals.held_rejected += 1,
            RejectReason::TenantMemory => {
                arrivals.memory_rejected = arrivals.memory_rejected.saturating_add(memory_bytes);
            }
            _ => {}
        }
    }

    /// A call ended.
    pub(super) fn call_ended(&mut self, outcome: CallOutcome) {
        *self.outcomes.entry(outcome_name(outcome)).or_default() += 1;
    }

    /// How many calls ended in which way.
    pub(super) fn outcomes(&self) -> impl Iterator<Item = (String, u64)> {
        self.outcomes.iter().map(|(name, count)| ((*name).to_owned(), *count))
    }

    /// What calls could use of each limit that is set. `elapsed`: since the last measurement.
    pub(super) fn measure_demand(&mut self, counters: &Counters, elapsed: Micros) -> [Option<KindDemand>; 4] {
        let arrivals = &mut self.arrivals;
        let latest_rate = arrivals.calls as f64 * MICROS_PER_SECOND / elapsed as f64;
        arrivals.rate = (arrivals.rate + latest_rate) / 2.0;
        let limits = &self.spec.limits;
        let memory = counters.memory.saturating_add(arrivals.memory_rejected) as f64;
        let (open, held) = (f64::from(counters.open), f64::from(counters.open - counters.running));
        let row = |kind, is_set: bool, demand, in_use| is_set.then_some(KindDemand { kind, demand, in_use });
        let demands = [
            row(LimitKind::Rate, limits.rate_per_second.is_some(), arrivals.rate, 0.0),
            row(LimitKind::Open, limits.open_calls.is_some(), open + f64::from(arrivals.open_rejected), open),
            row(LimitKind::Held, limits.held_calls.is_some(), held + f64::from(arrivals.held_rejected), held),
            row(LimitKind::Memory, limits.loaded_memory_bytes.is_some(), memory, counters.memory as f64),
        ];
        *arrivals = Arrivals { rate: arrivals.rate, ..Arrivals::default() };
        demands
    }
}

/// The names of outcomes in the API and in metrics.
fn outcome_name(outcome: CallOutcome) -> &'static str {
    match outcome {
        CallOutcome::Served => "served",
        CallOutcome::Rejected => "rejected",
        CallOutcome::Refused => "refused",
        CallOutcome::Failed => "failed",
        CallOutcome::ClientGone => "cancelled",
    }
}
