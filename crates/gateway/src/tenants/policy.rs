//! This controller's share of a tenant's limits, as admission control takes it.

use std::collections::HashMap;

use nettleferry_admission::{Limits, Policy, RateLimit};
use nettleferry_fleet::loans::LimitKind;
use nettleferry_tenancy::{ClassLimits, Revision, Spec, State};

use super::borrowed::BorrowedLimits;

/// A burst where the settings name none, as a part of the calls per second.
const DEFAULT_BURST_DIVISOR: f64 = 10.0;

/// The policy of a tenant. `classes`: the numbers of classes by name.
pub(super) fn policy(
    uid: Revision,
    spec: &Spec,
    state: State,
    borrowed: &BorrowedLimits,
    classes: &HashMap<String, usize>,
) -> Policy {
    let limits = &spec.limits;
    let share = |kind, limit| borrowed.share(uid, kind, limit);
    let share_of_count = |kind, limit: Option<u32>| limit.map(|n| count(n, share(kind, f64::from(n))));
    let reserve = |limit| borrowed.reserve(limit);
    Policy {
        active: state == State::Active,
        limits: Limits {
            rate: limits.rate_per_second.map(|per_second| RateLimit {
                per_second: share(LimitKind::Rate, per_second),
                burst: burst(per_second, limits.burst, reserve),
            }),
            open: share_of_count(LimitKind::Open, limits.open_calls),
        },
        classes: spec
            .classes
            .iter()
            .filter_map(|(name, class)| Some((*classes.get(name)?, class_limits(class, borrowed))))
            .collect(),
        held: share_of_count(LimitKind::Held, limits.held_calls),
        // Memory is the fleet's. Without loans each controller sees its own calls' models alone, which may be the same;
        // with them each has its share, and counts what others count as well.
        memory: limits.loaded_memory_bytes.map(|bytes| {
            if borrowed.is_enabled() { share(LimitKind::Memory, bytes as f64) as u64 } else { bytes }
        }),
        share: limits.fleet_share,
        weight: spec.weight.unwrap_or(1.0),
    }
}

/// Limits of classes are divided once and for all.
fn class_limits(class: &ClassLimits, borrowed: &BorrowedLimits) -> Limits {
    let part = |limit| borrowed.equal_part(limit);
    let rate = class.rate_per_second.map(|per_second| RateLimit {
        per_second: part(per_second),
        burst: burst(per_second, class.burst, part),
    });
    Limits { rate, open: class.open_calls.map(|n| count(n, part(f64::from(n)))) }
}

/// Bursts are not lent: what moved from one controller to another would be a second burst.
fn burst(per_second: f64, burst: Option<u32>, part: impl Fn(f64) -> f64) -> u32 {
    let burst = burst.map_or(part(per_second) / DEFAULT_BURST_DIVISOR, |burst| part(f64::from(burst)));
    (burst as u32).max(1)
}

/// A share of a small limit is at least one call, or nobody could call at all: the fleet's bound is then the number of
/// controllers.
fn count(limit: u32, share: f64) -> u32 {
    if limit == 0 { 0 } else { (share as u32).max(1) }
}

#[cfg(test)]
mod tests;
