//! Conditions, patches and removal of tenants, and replay: the same entries yield an equal snapshot.

use nettleferry_tenancy::*;
use proptest::prelude::*;
use serde_json::{Value, json};

fn evaluate_and_apply(
    snapshot: &mut TenantSnapshot,
    change: Change,
    condition: Condition,
) -> Result<Applied, Denied> {
    let applied = snapshot.evaluate(&change, condition, "ada", 1_000)?;
    if let Some(entry) = &applied.entry {
        snapshot.apply(entry).expect("the entry has the next revision");
    }
    Ok(applied)
}

fn create(snapshot: &mut TenantSnapshot, name: &str, spec: Value) -> Result<Applied, Denied> {
    evaluate_and_apply(snapshot, Change::Create { name: name.to_owned(), spec }, Condition::Any)
}

fn patch(snapshot: &mut TenantSnapshot, name: &str, patch: Value) -> Result<Applied, Denied> {
    evaluate_and_apply(snapshot, Change::Patch { name: name.to_owned(), patch }, Condition::Any)
}

#[test]
fn merge_patch_changes_the_members_it_names_and_null_removes_one() {
    let mut snapshot = TenantSnapshot::default();
    create(&mut snapshot, "a", json!({"limits": {"rate_per_second": 5, "open_calls": 9}, "models": ["x*"]}))
        .expect("the tenant is created");
    let after = patch(&mut snapshot, "a", json!({"limits": {"rate_per_second": null, "held_calls": 2}}))
        .expect("the patch is valid");
    let tenant = after.tenant.expect("the tenant exists");
    assert_eq!((tenant.spec.limits.rate_per_second, tenant.spec.limits.open_calls), (None, Some(9)));
    assert_eq!((tenant.spec.limits.held_calls, tenant.revision, tenant.uid), (Some(2), 2, 1));
    assert!(tenant.spec.may_call("xyz") && !tenant.spec.may_call("y"));
    // A patch that makes no difference creates no revision.
    let same = patch(&mut snapshot, "a", json!({"limits": {"held_calls": 2}})).expect("the patch is valid");
    assert_eq!((same.entry, snapshot.revision()), (None, 2));
}

#[test]
fn validation_error_names_its_field() {
    let mut snapshot = TenantSnapshot::default();
    create(&mut snapshot, "a", json!({})).expect("the tenant is created");
    let invalid_field = |denied: Result<Applied, Denied>| match denied {
        Err(Denied::Invalid(error)) => error.field,
        other => panic!("{other:?}"),
    };
    assert_eq!(
        invalid_field(patch(&mut snapshot, "a", json!({"limits": {"open_calls": "many"}}))),
        "limits.open_calls"
    );
    assert_eq!(invalid_field(patch(&mut snapshot, "a", json!({"limits": {"open": 3}}))), "limits.open");
    assert_eq!(
        invalid_field(patch(&mut snapshot, "a", json!({"limits": {"open_calls": -1}}))),
        "limits.open_calls"
    );
    assert_eq!(
        invalid_field(patch(&mut snapshot, "a", json!({"classes": {"q": {"burst": 3}}}))),
        "classes.q.burst"
    );
    assert_eq!(invalid_field(patch(&mut snapshot, "a", json!({"models": ["a", "b*c"]}))), "models[1]");
    assert_eq!(invalid_field(patch(&mut snapshot, "a", json!({"weight": 0}))), "weight");
    assert_eq!(invalid_field(patch(&mut snapshot, "a", json!([1]))), "the body");
    assert_eq!(invalid_field(create(&mut snapshot, "b d", json!({}))), "name");
    assert_eq!(snapshot.revision(), 1, "rejected changes have no effect");
}

#[test]
fn conditions_and_states_are_enforced() {
    let mut snapshot = TenantSnapshot::default();
    create(&mut snapshot, "a", json!({})).expect("the tenant is created");
    assert_eq!(create(&mut snapshot, "a", json!({})), Err(Denied::Exists("a".to_owned())));
    assert_eq!(patch(&mut snapshot, "b", json!({})), Err(Denied::Unknown("b".to_owned())));
    let suspend = || Change::Suspend { name: "a".to_owned() };
    assert!(evaluate_and_apply(&mut snapshot, suspend(), Condition::AtRevision(1)).is_ok());
    assert_eq!(
        evaluate_and_apply(&mut snapshot, Change::Resume { name: "a".to_owned() }, Condition::AtRevision(1)),
        Err(Denied::Stale { name: "a".to_owned(), current: 2, expected: 1 })
    );
    let remove = || Change::Remove { name: "a".to_owned(), grace_ms: 500 };
    let removing = evaluate_and_apply(&mut snapshot, remove(), Condition::Any)
        .expect("the removal is valid")
        .tenant
        .expect("the tenant still exists");
    assert_eq!((removing.state, removing.gone_at_ms), (State::Removing, Some(1_500)));
    assert_eq!(
        evaluate_and_apply(&mut snapshot, remove(), Condition::Any)
            .expect("a repeated removal is accepted")
            .entry,
        None
    );
    assert_eq!(
        evaluate_and_apply(&mut snapshot, suspend(), Condition::Any),
        Err(Denied::Removing("a".to_owned()))
    );
    assert_eq!((snapshot.due_removal(1_499), snapshot.next_removal()), (None, Some(1_500)));
    let entry = snapshot.due_removal(1_500).expect("the removal is due");
    snapshot.apply(&entry).expect("the entry has the next revision");
    assert_eq!((entry.action, snapshot.get("a"), snapshot.next_removal()), (Action::Gone, None, None));
    let recreated =
        create(&mut snapshot, "a", json!({})).expect("its name is free").tenant.expect("the tenant exists");
    assert_eq!(recreated.uid, 5, "a new tenant with the name of the removed one");
}

#[test]
fn pages_are_sorted_by_name() {
    let mut snapshot = TenantSnapshot::default();
    for name in ["c", "a", "d", "b"] {
        create(&mut snapshot, name, json!({})).expect("the tenant is created");
    }
    let names =
        |after, limit| snapshot.page(after, limit).into_iter().map(|t| t.name.as_str()).collect::<Vec<_>>();
    assert_eq!((names("", 3), names("c", 3), names("x", 3)), (vec!["a", "b", "c"], vec!["d"], vec![]));
}

fn change() -> impl Strategy<Value = (Change, Option<u64>)> {
    let name = prop::sample::select(vec!["a", "b", "c"]).prop_map(str::to_owned);
    let rate = prop::option::of(0u32..5);
    let kinds = (name, 0u8..5, rate).prop_map(|(name, kind, rate)| match kind {
        0 => Change::Create { name, spec: json!({}) },
        1 => Change::Patch { name, patch: json!({"limits": {"rate_per_second": rate}}) },
        2 => Change::Suspend { name },
        3 => Change::Resume { name },
        _ => Change::Remove { name, grace_ms: u64::from(rate.unwrap_or(9)) },
    });
    (kinds, prop::option::of(0u64..12))
}

proptest! {
    #[test]
    fn replayed_entries_give_an_equal_snapshot(changes in prop::collection::vec((change(), 0u64..4), 1..80)) {
        let (mut snapshot, mut entries, mut now) = (TenantSnapshot::default(), Vec::new(), 0);
        for ((change, condition), gap) in changes {
            now += gap;
            while let Some(entry) = snapshot.due_removal(now) {
                snapshot.apply(&entry).expect("the entry has the next revision");
                entries.push(entry);
            }
            let condition = condition.map_or(Condition::Any, Condition::AtRevision);
            let before = snapshot.clone();
            match snapshot.evaluate(&change, condition, "p", now) {
                Ok(applied) => {
                    prop_assert_eq!(&snapshot, &before, "evaluation changes nothing");
                    if let Some(entry) = applied.entry {
                        snapshot.apply(&entry).expect("the entry has the next revision");
                        prop_assert_eq!(entry.before.as_ref(), before.get(&entry.tenant));
                        entries.push(entry);
                    }
                    prop_assert_eq!(applied.tenant.as_ref(), snapshot.get(change.tenant()));
                }
                Err(_) => prop_assert_eq!(&snapshot, &before),
            }
        }
        let mut replayed = TenantSnapshot::default();
        for entry in &entries {
            replayed.apply(entry).expect("the entry has the next revision");
            prop_assert!(replayed.apply(entry).is_err(), "no entry is applied twice");
        }
        prop_assert_eq!(&replayed, &snapshot);
        let text = serde_json::to_string(&snapshot).expect("serialized as JSON");
        let parsed: TenantSnapshot = serde_json::from_str(&text).expect("parsed as a snapshot");
        prop_assert_eq!(parsed, snapshot);
    }
}
