//! The book: conditions, patches, removal, and that entries replayed give the same book.

use nettleferry_tenancy::*;
use proptest::prelude::*;
use serde_json::{Value, json};

fn make(book: &mut TenantSnapshot, change: Change, condition: Condition) -> Result<Applied, Denied> {
    let applied = book.evaluate(&change, condition, "ada", 1_000)?;
    if let Some(entry) = &applied.entry {
        book.apply(entry).expect("the next");
    }
    Ok(applied)
}

fn create(book: &mut TenantSnapshot, name: &str, spec: Value) -> Result<Applied, Denied> {
    make(book, Change::Create { name: name.to_owned(), spec }, Condition::Any)
}

fn patch(book: &mut TenantSnapshot, name: &str, patch: Value) -> Result<Applied, Denied> {
    make(book, Change::Patch { name: name.to_owned(), patch }, Condition::Any)
}

#[test]
fn a_merge_patch_changes_what_it_names_and_null_takes_away() {
    let mut book = TenantSnapshot::default();
    create(&mut book, "a", json!({"limits": {"rate_per_second": 5, "open_calls": 9}, "models": ["x*"]}))
        .expect("sound");
    let after =
        patch(&mut book, "a", json!({"limits": {"rate_per_second": null, "held_calls": 2}})).expect("sound");
    let tenant = after.tenant.expect("there");
    assert_eq!((tenant.spec.limits.rate_per_second, tenant.spec.limits.open_calls), (None, Some(9)));
    assert_eq!((tenant.spec.limits.held_calls, tenant.revision, tenant.uid), (Some(2), 2, 1));
    assert!(tenant.spec.may_call("xyz") && !tenant.spec.may_call("y"));
    // What changes nothing makes no revision.
    let same = patch(&mut book, "a", json!({"limits": {"held_calls": 2}})).expect("sound");
    assert_eq!((same.entry, book.revision()), (None, 2));
}

#[test]
fn a_fault_names_its_field() {
    let mut book = TenantSnapshot::default();
    create(&mut book, "a", json!({})).expect("sound");
    let told = |denied: Result<Applied, Denied>| match denied {
        Err(Denied::Invalid(fault)) => fault.field,
        other => panic!("{other:?}"),
    };
    assert_eq!(told(patch(&mut book, "a", json!({"limits": {"open_calls": "many"}}))), "limits.open_calls");
    assert_eq!(told(patch(&mut book, "a", json!({"limits": {"open": 3}}))), "limits.open");
    assert_eq!(told(patch(&mut book, "a", json!({"limits": {"open_calls": -1}}))), "limits.open_calls");
    assert_eq!(told(patch(&mut book, "a", json!({"classes": {"q": {"burst": 3}}}))), "classes.q.burst");
    assert_eq!(told(patch(&mut book, "a", json!({"models": ["a", "b*c"]}))), "models[1]");
    assert_eq!(told(patch(&mut book, "a", json!({"weight": 0}))), "weight");
    assert_eq!(told(patch(&mut book, "a", json!([1]))), "the body");
    assert_eq!(told(create(&mut book, "b d", json!({}))), "name");
    assert_eq!(book.revision(), 1, "nothing has happened");
}

#[test]
fn conditions_and_states_are_kept() {
    let mut book = TenantSnapshot::default();
    create(&mut book, "a", json!({})).expect("sound");
    assert_eq!(create(&mut book, "a", json!({})), Err(Denied::Exists("a".to_owned())));
    assert_eq!(patch(&mut book, "b", json!({})), Err(Denied::Unknown("b".to_owned())));
    let suspend = || Change::Suspend { name: "a".to_owned() };
    assert!(make(&mut book, suspend(), Condition::Is(1)).is_ok());
    assert_eq!(
        make(&mut book, Change::Resume { name: "a".to_owned() }, Condition::Is(1)),
        Err(Denied::Stale { name: "a".to_owned(), current: 2, expected: 1 })
    );
    let remove = || Change::Remove { name: "a".to_owned(), grace_ms: 500 };
    let gone = make(&mut book, remove(), Condition::Any).expect("sound").tenant.expect("still there");
    assert_eq!((gone.state, gone.gone_at_ms), (State::Removing, Some(1_500)));
    assert_eq!(make(&mut book, remove(), Condition::Any).expect("asked twice").entry, None);
    assert_eq!(make(&mut book, suspend(), Condition::Any), Err(Denied::Removing("a".to_owned())));
    assert_eq!((book.due_removal(1_499), book.next_removal()), (None, Some(1_500)));
    let entry = book.due_removal(1_500).expect("due");
    book.apply(&entry).expect("the next");
    assert_eq!((entry.action, book.get("a"), book.next_removal()), (Action::Gone, None, None));
    let again = create(&mut book, "a", json!({})).expect("its name is free").tenant.expect("there");
    assert_eq!(again.uid, 5, "another tenant");
}

#[test]
fn pages_follow_names() {
    let mut book = TenantSnapshot::default();
    for name in ["c", "a", "d", "b"] {
        create(&mut book, name, json!({})).expect("sound");
    }
    let names = |after, most| book.page(after, most).into_iter().map(|t| t.name.as_str()).collect::<Vec<_>>();
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
    fn entries_replayed_give_the_same_book(changes in prop::collection::vec((change(), 0u64..4), 1..80)) {
        let (mut book, mut entries, mut now) = (TenantSnapshot::default(), Vec::new(), 0);
        for ((change, condition), gap) in changes {
            now += gap;
            while let Some(entry) = book.due_removal(now) {
                book.apply(&entry).expect("the next");
                entries.push(entry);
            }
            let condition = condition.map_or(Condition::Any, Condition::Is);
            let before = book.clone();
            match book.evaluate(&change, condition, "p", now) {
                Ok(applied) => {
                    prop_assert_eq!(&book, &before, "judging changes nothing");
                    if let Some(entry) = applied.entry {
                        book.apply(&entry).expect("the next");
                        prop_assert_eq!(entry.before.as_ref(), before.get(&entry.tenant));
                        entries.push(entry);
                    }
                    prop_assert_eq!(applied.tenant.as_ref(), book.get(change.tenant()));
                }
                Err(_) => prop_assert_eq!(&book, &before),
            }
        }
        let mut replayed = TenantSnapshot::default();
        for entry in &entries {
            replayed.apply(entry).expect("the next");
            prop_assert!(replayed.apply(entry).is_err(), "none twice");
        }
        prop_assert_eq!(&replayed, &book);
        let text = serde_json::to_string(&book).expect("json");
        let back: TenantSnapshot = serde_json::from_str(&text).expect("json");
        prop_assert_eq!(back, book);
    }
}
