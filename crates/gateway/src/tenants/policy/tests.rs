//! Unit tests of `policy`.

use nettleferry_fleet::loans::LoanConfig;

use super::*;

fn divided_by(controllers: u32, spec: &Spec) -> Policy {
    let borrowed = BorrowedLimits::new(LoanConfig { controllers, reserve: 1.0 });
    policy(1, spec, State::Active, &borrowed, &HashMap::from([("chat".to_owned(), 3)]))
}

fn spec(open_calls: u32, per_second: f64, burst: Option<u32>) -> Spec {
    let mut spec = Spec::default();
    spec.limits.open_calls = Some(open_calls);
    spec.limits.rate_per_second = Some(per_second);
    spec.limits.burst = burst;
    spec
}

#[test]
fn limits_are_divided_and_a_share_is_at_least_one_call() {
    let policy = divided_by(4, &spec(100, 40.0, Some(8)));
    assert_eq!(policy.limits.open, Some(25));
    assert_eq!(policy.limits.rate, Some(RateLimit { per_second: 10.0, burst: 2 }));
    assert_eq!(divided_by(4, &spec(2, 1.0, None)).limits.open, Some(1));
    assert_eq!(divided_by(4, &spec(0, 1.0, None)).limits.open, Some(0), "none is none");
    let rate = divided_by(4, &spec(2, 80.0, None)).limits.rate.expect("set");
    assert_eq!(rate.burst, 2, "a tenth of a second's calls, where none is set");
}

#[test]
fn limits_of_unknown_classes_are_ignored() {
    let mut spec = Spec::default();
    let class = ClassLimits { open_calls: Some(8), ..ClassLimits::default() };
    spec.classes.insert("chat".to_owned(), class.clone());
    spec.classes.insert("unknown".to_owned(), class);
    let policy = divided_by(2, &spec);
    let classes: Vec<_> = policy.classes.iter().map(|(number, limits)| (*number, limits.open)).collect();
    assert_eq!(classes, [(3, Some(4))]);
}
