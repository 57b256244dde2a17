//! Computes the policy of a tenant for admission control: this controller's share of the tenant's limits.

use std::collections::HashMap;

use nettleferry_admission::{Limits, Policy, RateLimit};
use nettleferry_fleet::loans::LimitKind;
use nettleferry_tenancy::{ClassLimits, Revision, Spec, State};

use super::borrowed::BorrowedLimits;

/// Where a rate limit sets no burst, the burst is its calls per second divided by this: a tenth of a second's calls.
const DEFAULT_BURST_DIVISOR: f64 = 10.0;

/// The policy of a tenant at this controller. `classes` maps the names of classes to their ids; limits of other classes
/// are ignored.
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
        // The memory limit is for the whole fleet. Without loans each controller applies all of it to the models of its
        // own calls, as the controllers may use the same models. With loans each has a share of the limit, and a model
        // that several controllers use counts at each of them.
        memory: limits.loaded_memory_bytes.map(|bytes| {
            if borrowed.is_enabled() { share(LimitKind::Memory, bytes as f64) as u64 } else { bytes }
        }),
        share: limits.fleet_share,
        weight: spec.weight.unwrap_or(1.0),
    }
}

/// The limits of a class. They are not lent: each controller has an equal, fixed part of them.
fn class_limits(class: &ClassLimits, borrowed: &BorrowedLimits) -> Limits {
    let part = |limit| borrowed.equal_part(limit);
    let rate = class.rate_per_second.map(|per_second| RateLimit {
        per_second: part(per_second),
        burst: burst(per_second, class.burst, part),
    });
    Limits { rate, open: class.open_calls.map(|n| count(n, part(f64::from(n)))) }
}

/// This controller's part of a burst, at least 1. Bursts are not lent: an amount that moves from one controller to
/// another could be used as a burst at both.
fn burst(per_second: f64, burst: Option<u32>, part: impl Fn(f64) -> f64) -> u32 {
    let burst = burst.map_or(part(per_second) / DEFAULT_BURST_DIVISOR, |burst| part(f64::from(burst)));
    (burst as u32).max(1)
}

/// Rounds the share of a limit down to whole calls, but to at least one unless the limit is 0: otherwise no controller
/// would admit a call of a tenant with a small limit. The fleet may then admit as many calls as there are controllers.
fn count(limit: u32, share: f64) -> u32 {
    if limit == 0 { 0 } else { (share as u32).max(1) }
}

#[cfg(test)]
mod tests;
