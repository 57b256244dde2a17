//! Tests of the mapping of calls to series indices.

use super::*;

#[test]
fn indices_are_distinct_and_in_bounds() {
    let names = |p: &str, n: usize| (0..n).map(|i| format!("{p}{i}")).collect::<Vec<_>>();
    let layout = SeriesLayout::new(names("c", 2), &names("t", 2), &names("m", 3), 10_000);
    let mut seen = std::collections::BTreeSet::new();
    for class in 0..2 {
        for end in CallEnd::ALL {
            for tenant in [None, Some(0), Some(1), Some(2)] {
                for group in 0..4 {
                    seen.insert(layout.index(class, *end, tenant, group).expect("class exists"));
                }
            }
        }
    }
    assert_eq!(seen.len(), layout.series_count());
    assert!(seen.iter().all(|index| *index < layout.series_count()));
    assert_eq!(layout.index(2, CallEnd::ServedInTime, None, 0), None);
}

#[test]
fn tenant_named_other_has_its_own_series() {
    let layout = SeriesLayout::new(vec!["c".into()], &["other".into()], &["other".into()], 1000);
    assert_eq!(layout.tenants(), ["other_", "other", "none"]);
    assert_eq!(layout.groups(), ["other_", "other"]);
}
