//! Unit tests of `slots`.

use super::*;

#[test]
fn places_are_all_different_and_none_is_out_of_bounds() {
    let names = |p: &str, n: usize| (0..n).map(|i| format!("{p}{i}")).collect::<Vec<_>>();
    let slots = Slots::new(names("c", 2), &names("t", 2), &names("m", 3), 10_000);
    let mut seen = std::collections::BTreeSet::new();
    for class in 0..2 {
        for end in 0..ENDS.len() {
            for tenant in [None, Some(0), Some(1), Some(2)] {
                for group in 0..4 {
                    seen.insert(slots.place(class, end, tenant, group).expect("there"));
                }
            }
        }
    }
    assert_eq!(seen.len(), slots.series());
    assert!(seen.iter().all(|at| *at < slots.series()));
    assert_eq!(slots.place(2, 0, None, 0), None);
}

#[test]
fn a_tenant_called_other_has_its_own_name() {
    let slots = Slots::new(vec!["c".into()], &["other".into()], &["other".into()], 1000);
    assert_eq!(slots.tenants(), ["other_", "other", "none"]);
    assert_eq!(slots.groups(), ["other_", "other"]);
}
