//! A tenant at this controller: its specification, the outcomes of its calls, and its demand for each limit.

use std::collections::BTreeMap;
use std::sync::Arc;

use nettleferry::Micros;
use nettleferry_admission::{Counters, RejectReason};
use nettleferry_engine::CallOutcome;
use nettleferry_fleet::loans::LimitKind;
use nettleferry_tenancy::{Revision, Spec, State, Tenant};

const MICROS_PER_SECOND: f64 = 1e6;

/// The demand for one limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct KindDemand {
    pub(super) kind: LimitKind,
    /// What open calls use and what calls rejected since the last measurement would have used, in the unit of the
    /// limit: calls or bytes. For a rate, the smoothed number of calls that arrive per second.
    pub(super) demand: f64,
    /// What open calls use now, in the unit of the limit; 0 for a rate.
    pub(super) in_use: f64,
}

/// Calls that arrived and were rejected since the last measurement, for the demand.
#[derive(Clone, Copy, Debug, Default)]
struct Arrivals {
    calls: u64,
    /// Calls rejected because the tenant had too many open calls.
    open_rejected: u32,
    /// Calls rejected because the tenant had too many held calls.
    held_rejected: u32,
    /// Bytes of the models of calls that were rejected because of the memory limit.
    memory_rejected: u64,
    /// Calls per second, smoothed: each measurement sets it to the mean of its old value and the latest rate.
    rate: f64,
}

/// A tenant, with counts of its calls.
pub(super) struct LocalTenant {
    pub(super) name: Arc<str>,
    pub(super) uid: Revision,
    pub(super) spec: Spec,
    pub(super) state: State,
    arrivals: Arrivals,
    /// Numbers of ended calls, by the name of the outcome.
    outcomes: BTreeMap<&'static str, u64>,
}

impl LocalTenant {
    /// Creates a tenant without calls and with an empty specification, which the caller sets.
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

    /// Counts a call that arrived, whether it is then admitted or rejected by a limit.
    pub(super) fn call_arrived(&mut self) {
        self.arrivals.calls += 1;
    }

    /// Counts a rejected call, whose model needs `memory_bytes` of memory, towards the demand for the limit that
    /// rejected it. Other reasons are not counted: the demand for a rate follows from the arrivals, and no other limit
    /// is lent.
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

    /// Counts a call that ended, by its outcome.
    pub(super) fn call_ended(&mut self, outcome: CallOutcome) {
        *self.outcomes.entry(outcome_name(outcome)).or_default() += 1;
    }

    /// The numbers of ended calls, by the name of the outcome.
    pub(super) fn outcomes(&self) -> impl Iterator<Item = (String, u64)> {
        self.outcomes.iter().map(|(name, count)| ((*name).to_owned(), *count))
    }

    /// Measures the demand for each limit that is set, and starts the next measurement. `elapsed`: time since the last
    /// one, microseconds, at least 1.
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

/// The name under which the administration API reports an outcome.
fn outcome_name(outcome: CallOutcome) -> &'static str {
    match outcome {
        CallOutcome::Served => "served",
        CallOutcome::Rejected => "rejected",
        CallOutcome::Refused => "refused",
        CallOutcome::Failed => "failed",
        CallOutcome::ClientGone => "cancelled",
    }
}
