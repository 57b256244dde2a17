//! Verdicts on made-up clocks.

use std::collections::BTreeMap;

use nettleferry_admission::admission::{Asked, LOADED_FOR, Limits};
use nettleferry_admission::*;
use proptest::prelude::*;

const S: Micros = 1_000_000;

fn asked(tenant: usize, model: u64) -> Asked {
    Asked { tenant, class: 0, model, memory: 100 }
}

fn refused(verdict: Verdict) -> Option<Why> {
    match verdict {
        Verdict::Admit => None,
        Verdict::Refuse(why, _) => Some(why),
    }
}

fn limited(limits: Limits) -> Policy {
    Policy { limits, ..Policy::default() }
}

#[test]
fn who_is_not_known_or_not_active_is_told_apart() {
    let mut all = Admission::new(10);
    assert_eq!(refused(all.ask(0, asked(1, 1))), Some(Why::Unknown));
    all.set(1, Policy { active: false, ..Policy::default() });
    assert_eq!(refused(all.ask(0, asked(1, 1))), Some(Why::Inactive));
    all.set(1, Policy::default());
    assert_eq!(refused(all.ask(0, asked(1, 1))), None);
    all.remove(1);
    assert_eq!((refused(all.ask(0, asked(1, 1))), all.held()), (Some(Why::Unknown), 0));
}

#[test]
fn a_call_that_is_turned_away_costs_its_tenant_nothing() {
    let mut all = Admission::new(10);
    let mut policy = limited(Limits { rate: Some((10.0, 2)), open: None });
    policy.classes.insert(0, Limits { rate: Some((10.0, 1)), open: Some(1) });
    all.set(1, policy);
    assert_eq!(refused(all.ask(0, asked(1, 1))), None);
    for _ in 0..50 {
        assert_eq!(refused(all.ask(0, asked(1, 1))), Some(Why::ClassOpen));
    }
    all.ended(0, 1, 0, 1);
    assert_eq!(all.ask(0, asked(1, 1)), Verdict::Refuse(Why::ClassRate, Some(100_000)));
    // The other class finds the tenant's burst of two charged for one call alone.
    assert_eq!(refused(all.ask(0, Asked { class: 1, ..asked(1, 1) })), None);
    assert_eq!(all.ask(0, Asked { class: 1, ..asked(1, 1) }), Verdict::Refuse(Why::Rate, Some(100_000)));
}

#[test]
fn a_limit_lowered_below_what_is_in_flight_lets_it_be_and_lets_nothing_more_in() {
    let mut all = Admission::new(100);
    all.set(1, limited(Limits { rate: None, open: Some(8) }));
    for _ in 0..8 {
        assert_eq!(refused(all.ask(0, asked(1, 1))), None);
        all.began(1);
    }
    all.set(1, limited(Limits { rate: None, open: Some(3) }));
    for left in (3..8).rev() {
        assert_eq!(refused(all.ask(0, asked(1, 1))), Some(Why::Open));
        all.back(1);
        all.ended(0, 1, 0, 1);
        assert_eq!(all.counters(1).map(|c| c.open), Some(left));
    }
    all.back(1);
    all.ended(0, 1, 0, 1);
    assert_eq!(refused(all.ask(0, asked(1, 1))), None);
    // Nought is nothing, and a limit taken away is none.
    all.set(1, limited(Limits { rate: None, open: Some(0) }));
    assert_eq!(refused(all.ask(0, asked(1, 1))), Some(Why::Open));
    all.set(1, limited(Limits { rate: Some((0.0, 1)), open: None }));
    assert_eq!(all.ask(9 * S, asked(1, 1)), Verdict::Refuse(Why::Rate, None));
    all.set(1, Policy::default());
    assert_eq!(refused(all.ask(0, asked(1, 1))), None);
}

#[test]
fn waiting_calls_have_their_own_limit_which_running_ones_leave() {
    let mut all = Admission::new(100);
    all.set(1, Policy { held: Some(2), ..Policy::default() });
    all.ask(0, asked(1, 1));
    all.ask(0, asked(1, 1));
    assert_eq!(refused(all.ask(0, asked(1, 1))), Some(Why::Held));
    all.began(1);
    assert_eq!(refused(all.ask(0, asked(1, 1))), None);
    all.back(1);
    assert_eq!((all.held(), refused(all.ask(0, asked(1, 1)))), (3, Some(Why::Held)));
}

#[test]
fn memory_is_that_of_models_in_use_and_comes_back_when_they_are_not() {
    let mut all = Admission::new(20_000);
    all.set(1, Policy { memory: Some(250), ..Policy::default() });
    assert_eq!(refused(all.ask(0, asked(1, 1))), None);
    assert_eq!(refused(all.ask(S, asked(1, 2))), None);
    assert_eq!(refused(all.ask(S, asked(1, 1))), None, "its memory is counted once");
    assert_eq!(
        all.ask(S, asked(1, 3)),
        Verdict::Refuse(Why::Memory, None),
        "nothing of it will be free by itself"
    );
    all.ended(2 * S, 1, 0, 2);
    assert_eq!(all.ask(4 * S, asked(1, 3)), Verdict::Refuse(Why::Memory, Some(LOADED_FOR - 2 * S)));
    assert_eq!(refused(all.ask(2 * S + LOADED_FOR, asked(1, 3))), None);
    assert_eq!(all.counters(1).map(|c| c.memory), Some(200));
    // A tenant with 10,000 models is remembered by those in use alone.
    all.set(2, Policy::default());
    for model in 0..10_000 {
        let at = 100 * S + model * 20_000;
        assert_eq!(refused(all.ask(at, asked(2, model))), None);
        all.ended(at, 2, 0, model);
    }
    assert_eq!(all.counters(2).map(|c| c.memory), Some(100 * 3_000), "a minute's worth");
}

#[test]
fn a_full_queue_is_shared_by_weight_and_a_small_tenant_gets_in() {
    let mut all = Admission::new(60);
    all.set(1, Policy::default());
    all.set(2, Policy { weight: 2.0, ..Policy::default() });
    all.set(3, Policy::default());
    let fill = |all: &mut Admission, tenant, most| {
        (0..most).take_while(|_| all.ask(0, asked(tenant, 1)) == Verdict::Admit).count()
    };
    assert_eq!(fill(&mut all, 1, 1_000), 60, "alone it has them all");
    assert_eq!(refused(all.ask(0, asked(1, 1))), Some(Why::Fair));
    assert_eq!(fill(&mut all, 2, 1_000), 40, "two thirds of the places, though they are taken");
    assert_eq!(refused(all.ask(0, asked(3, 1))), None, "one that has none waiting");
    assert_eq!(refused(all.ask(0, asked(1, 1))), Some(Why::Fair));
    // As the first one's calls find workers, it keeps to its part: 60 / 4.
    for _ in 0..45 {
        all.began(1);
    }
    assert_eq!(all.held(), 56);
    assert_eq!(fill(&mut all, 1, 1_000), 4, "there are free places again, up to 60");
}

#[test]
fn a_share_of_the_fleet_binds_only_while_others_wait() {
    let mut all = Admission::new(100);
    all.set(1, Policy { share: Some(0.5), ..Policy::default() });
    all.set(2, Policy::default());
    for _ in 0..10 {
        assert_eq!(refused(all.ask(0, asked(1, 1))), None, "nobody else is there");
        all.began(1);
    }
    assert_eq!(refused(all.ask(0, asked(2, 1))), None);
    assert_eq!(refused(all.ask(0, asked(1, 1))), Some(Why::Share));
    all.began(2);
    assert_eq!(refused(all.ask(0, asked(1, 1))), None, "nobody waits any more");
}

proptest! {
    /// Against a plain account of what is open, waiting and running.
    #[test]
    fn calls_are_accounted_for_whatever_happens(
        steps in prop::collection::vec((0u8..5, 0usize..3, 0usize..2, 0u64..4, 0u64..2_000_000), 1..400),
        limits in prop::collection::vec((0u32..6, 0u32..4, 0u64..500), 3),
    ) {
        let mut all = Admission::new(4);
        for (tenant, (open, held, memory)) in limits.iter().enumerate() {
            all.set(tenant, Policy {
                held: Some(*held), memory: Some(*memory), limits: Limits { rate: None, open: Some(*open) }, ..Policy::default()
            });
        }
        // Open calls: tenant, class, model, running.
        let mut calls: Vec<(usize, usize, u64, bool)> = Vec::new();
        let mut now = 0;
        for (what, tenant, class, model, gap) in steps {
            now += gap;
            let find = |calls: &[(usize, usize, u64, bool)], runs: bool| calls.iter().position(|c| c.0 == tenant && c.3 == runs);
            match what {
                0 | 1 => if all.ask(now, Asked { tenant, class, model, memory: 100 }) == Verdict::Admit {
                    calls.push((tenant, class, model, false));
                },
                2 => if let Some(at) = find(&calls, false) { all.began(tenant); calls[at].3 = true; },
                3 => if let Some(at) = find(&calls, true) { all.back(tenant); calls[at].3 = false; },
                _ => if let Some(at) = find(&calls, false) {
                    let (_, class, model, _) = calls.remove(at);
                    all.ended(now, tenant, class, model);
                },
            }
            for (tenant, (most_open, _, most_memory)) in limits.iter().enumerate() {
                let ours = || calls.iter().filter(|c| c.0 == tenant);
                let c = all.counters(tenant).expect("set");
                prop_assert_eq!((c.open as usize, c.running as usize), (ours().count(), ours().filter(|c| c.3).count()));
                prop_assert!(c.open <= *most_open && c.memory <= *most_memory);
                let mut by: BTreeMap<usize, u32> = BTreeMap::new();
                ours().for_each(|c| *by.entry(c.1).or_default() += 1);
                let told: BTreeMap<usize, u32> = all.open_by_class(tenant).filter(|c| c.1 > 0).collect();
                prop_assert_eq!(by, told);
            }
            prop_assert_eq!(all.held() as usize, calls.iter().filter(|c| !c.3).count());
        }
    }
}
