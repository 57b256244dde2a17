//! Verdicts of admission control on a virtual clock.

use std::collections::BTreeMap;

use nettleferry_admission::*;
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;

fn request(tenant: usize, model: u64) -> CallRequest {
    CallRequest { tenant, class: 0, model, memory: 100 }
}

fn rejected(verdict: Verdict) -> Option<RejectReason> {
    match verdict {
        Verdict::Admit => None,
        Verdict::Reject(rejection) => Some(rejection.reason),
    }
}

fn rate(per_second: f64, burst: u32) -> Option<RateLimit> {
    Some(RateLimit { per_second, burst })
}

fn limited(limits: Limits) -> Policy {
    Policy { limits, ..Policy::default() }
}

#[test]
fn unknown_and_inactive_tenants_are_distinguished() {
    let mut admission = Admission::new(10);
    assert_eq!(rejected(admission.admit(0, request(1, 1))), Some(RejectReason::UnknownTenant));
    admission.set_policy(1, Policy { active: false, ..Policy::default() });
    assert_eq!(rejected(admission.admit(0, request(1, 1))), Some(RejectReason::InactiveTenant));
    admission.set_policy(1, Policy::default());
    assert_eq!(rejected(admission.admit(0, request(1, 1))), None);
    admission.remove(1);
    assert_eq!(
        (rejected(admission.admit(0, request(1, 1))), admission.held()),
        (Some(RejectReason::UnknownTenant), 0)
    );
}

#[test]
fn rejected_call_costs_its_tenant_nothing() {
    let mut admission = Admission::new(10);
    let mut policy = limited(Limits { rate: rate(10.0, 2), open: None });
    policy.classes.insert(0, Limits { rate: rate(10.0, 1), open: Some(1) });
    admission.set_policy(1, policy);
    assert_eq!(rejected(admission.admit(0, request(1, 1))), None);
    for _ in 0..50 {
        assert_eq!(rejected(admission.admit(0, request(1, 1))), Some(RejectReason::ClassOpenCalls));
    }
    admission.call_ended(0, 1, 0, 1);
    assert_eq!(
        admission.admit(0, request(1, 1)),
        Verdict::Reject(Rejection { reason: RejectReason::ClassRate, retry_after: Some(100_000) })
    );
    // A call of another class shows that only the one admitted call was charged to the tenant's burst of two.
    assert_eq!(rejected(admission.admit(0, CallRequest { class: 1, ..request(1, 1) })), None);
    assert_eq!(
        admission.admit(0, CallRequest { class: 1, ..request(1, 1) }),
        Verdict::Reject(Rejection { reason: RejectReason::TenantRate, retry_after: Some(100_000) })
    );
}

#[test]
fn limit_lowered_below_open_calls_keeps_them_and_admits_no_more() {
    let mut admission = Admission::new(100);
    admission.set_policy(1, limited(Limits { rate: None, open: Some(8) }));
    for _ in 0..8 {
        assert_eq!(rejected(admission.admit(0, request(1, 1))), None);
        admission.call_started(1);
    }
    admission.set_policy(1, limited(Limits { rate: None, open: Some(3) }));
    for left in (3..8).rev() {
        assert_eq!(rejected(admission.admit(0, request(1, 1))), Some(RejectReason::TenantOpenCalls));
        admission.call_returned(1);
        admission.call_ended(0, 1, 0, 1);
        assert_eq!(admission.counters(1).map(|c| c.open), Some(left));
    }
    admission.call_returned(1);
    admission.call_ended(0, 1, 0, 1);
    assert_eq!(rejected(admission.admit(0, request(1, 1))), None);
    // A limit of zero admits no calls. A limit that is removed no longer applies.
    admission.set_policy(1, limited(Limits { rate: None, open: Some(0) }));
    assert_eq!(rejected(admission.admit(0, request(1, 1))), Some(RejectReason::TenantOpenCalls));
    admission.set_policy(1, limited(Limits { rate: rate(0.0, 1), open: None }));
    assert_eq!(
        admission.admit(9 * SECOND, request(1, 1)),
        Verdict::Reject(Rejection { reason: RejectReason::TenantRate, retry_after: None })
    );
    admission.set_policy(1, Policy::default());
    assert_eq!(rejected(admission.admit(0, request(1, 1))), None);
}

#[test]
fn held_calls_have_their_own_limit() {
    let mut admission = Admission::new(100);
    admission.set_policy(1, Policy { held: Some(2), ..Policy::default() });
    admission.admit(0, request(1, 1));
    admission.admit(0, request(1, 1));
    assert_eq!(rejected(admission.admit(0, request(1, 1))), Some(RejectReason::TenantHeldCalls));
    admission.call_started(1);
    assert_eq!(rejected(admission.admit(0, request(1, 1))), None);
    admission.call_returned(1);
    assert_eq!(
        (admission.held(), rejected(admission.admit(0, request(1, 1)))),
        (3, Some(RejectReason::TenantHeldCalls))
    );
}

#[test]
fn memory_counts_models_in_use_and_is_freed_when_idle() {
    let mut admission = Admission::new(20_000);
    admission.set_policy(1, Policy { memory: Some(250), ..Policy::default() });
    assert_eq!(rejected(admission.admit(0, request(1, 1))), None);
    assert_eq!(rejected(admission.admit(SECOND, request(1, 2))), None);
    assert_eq!(rejected(admission.admit(SECOND, request(1, 1))), None, "its memory is counted once");
    assert_eq!(
        admission.admit(SECOND, request(1, 3)),
        Verdict::Reject(Rejection { reason: RejectReason::TenantMemory, retry_after: None }),
        "no model is idle, so no time for a retry is known"
    );
    admission.call_ended(2 * SECOND, 1, 0, 2);
    assert_eq!(
        admission.admit(4 * SECOND, request(1, 3)),
        Verdict::Reject(Rejection {
            reason: RejectReason::TenantMemory,
            retry_after: Some(MODEL_IDLE_TIMEOUT - 2 * SECOND)
        })
    );
    assert_eq!(rejected(admission.admit(2 * SECOND + MODEL_IDLE_TIMEOUT, request(1, 3))), None);
    assert_eq!(admission.counters(1).map(|c| c.memory), Some(200));
    // Of a tenant that has used 10,000 models, only those used within the idle timeout count.
    admission.set_policy(2, Policy::default());
    for model in 0..10_000 {
        let at = 100 * SECOND + model * 20_000;
        assert_eq!(rejected(admission.admit(at, request(2, model))), None);
        admission.call_ended(at, 2, 0, model);
    }
    assert_eq!(admission.counters(2).map(|c| c.memory), Some(100 * 3_000), "the models of the last minute");
}

#[test]
fn full_queue_is_shared_by_weight_and_admits_a_small_tenant() {
    let mut admission = Admission::new(60);
    admission.set_policy(1, Policy::default());
    admission.set_policy(2, Policy { weight: 2.0, ..Policy::default() });
    admission.set_policy(3, Policy::default());
    let fill = |admission: &mut Admission, tenant, max_calls| {
        (0..max_calls).take_while(|_| admission.admit(0, request(tenant, 1)) == Verdict::Admit).count()
    };
    assert_eq!(fill(&mut admission, 1, 1_000), 60, "a tenant that is alone may fill the queue");
    assert_eq!(rejected(admission.admit(0, request(1, 1))), Some(RejectReason::FairShare));
    assert_eq!(fill(&mut admission, 2, 1_000), 40, "two thirds of the queue's length, although it is full");
    assert_eq!(rejected(admission.admit(0, request(3, 1))), None, "a tenant without waiting calls");
    assert_eq!(rejected(admission.admit(0, request(1, 1))), Some(RejectReason::FairShare));
    // Once 45 of its calls run, the first tenant has its share of the queue waiting: 60 / 4 = 15 calls.
    for _ in 0..45 {
        admission.call_started(1);
    }
    assert_eq!(admission.held(), 56);
    assert_eq!(
        fill(&mut admission, 1, 1_000),
        4,
        "the queue is no longer full and admits calls up to its length of 60"
    );
}

#[test]
fn fleet_share_is_enforced_only_while_others_wait() {
    let mut admission = Admission::new(100);
    admission.set_policy(1, Policy { share: Some(0.5), ..Policy::default() });
    admission.set_policy(2, Policy::default());
    for _ in 0..10 {
        assert_eq!(rejected(admission.admit(0, request(1, 1))), None, "no other tenant has calls");
        admission.call_started(1);
    }
    assert_eq!(rejected(admission.admit(0, request(2, 1))), None);
    assert_eq!(rejected(admission.admit(0, request(1, 1))), Some(RejectReason::FleetShare));
    admission.call_started(2);
    assert_eq!(rejected(admission.admit(0, request(1, 1))), None, "no calls of other tenants wait any more");
}

/// An open call in the reference model.
struct OpenCall {
    tenant: usize,
    class: usize,
    model: u64,
    running: bool,
}

proptest! {
    /// Compares the counters with a reference model, a plain list of open calls, over random operations.
    #[test]
    fn counters_match_a_reference_model(
        steps in prop::collection::vec((0u8..5, 0usize..3, 0usize..2, 0u64..4, 0u64..2_000_000), 1..400),
        limits in prop::collection::vec((0u32..6, 0u32..4, 0u64..500), 3),
    ) {
        let mut admission = Admission::new(4);
        for (tenant, (open, held, memory)) in limits.iter().enumerate() {
            admission.set_policy(tenant, Policy {
                held: Some(*held), memory: Some(*memory), limits: Limits { rate: None, open: Some(*open) }, ..Policy::default()
            });
        }
        let mut calls: Vec<OpenCall> = Vec::new();
        let mut now = 0;
        for (operation, tenant, class, model, gap) in steps {
            now += gap;
            let find = |calls: &[OpenCall], running: bool| {
                calls.iter().position(|c| c.tenant == tenant && c.running == running)
            };
            match operation {
                0 | 1 => if admission.admit(now, CallRequest { tenant, class, model, memory: 100 }) == Verdict::Admit {
                    calls.push(OpenCall { tenant, class, model, running: false });
                },
                2 => if let Some(at) = find(&calls, false) { admission.call_started(tenant); calls[at].running = true; },
                3 => if let Some(at) = find(&calls, true) { admission.call_returned(tenant); calls[at].running = false; },
                _ => if let Some(at) = find(&calls, false) {
                    let OpenCall { class, model, .. } = calls.remove(at);
                    admission.call_ended(now, tenant, class, model);
                },
            }
            for (tenant, (max_open, _, max_memory)) in limits.iter().enumerate() {
                let tenant_calls = || calls.iter().filter(|c| c.tenant == tenant);
                let counters = admission.counters(tenant).expect("the tenant is known");
                prop_assert_eq!((counters.open as usize, counters.running as usize), (tenant_calls().count(), tenant_calls().filter(|c| c.running).count()));
                prop_assert!(counters.open <= *max_open && counters.memory <= *max_memory);
                let mut expected: BTreeMap<usize, u32> = BTreeMap::new();
                tenant_calls().for_each(|c| *expected.entry(c.class).or_default() += 1);
                let counted: BTreeMap<usize, u32> = admission.open_by_class(tenant).filter(|c| c.1 > 0).collect();
                prop_assert_eq!(expected, counted);
            }
            prop_assert_eq!(admission.held() as usize, calls.iter().filter(|c| !c.running).count());
        }
    }
}
