//! Unit tests of `watch`.

use super::*;

#[test]
fn alert_fires_and_clears_on_an_accelerated_clock() {
    let text = "groups: [{name: g, interval: 10s, rules: [{alert: A, expr: x > 0, for: 20s}]}]";
    let rules = nettleferry_alerts::rules::read("r", text).expect("valid rules");
    let mut watch = Watch::new(rules, 1_000_000, 10);
    let labels = [("__name__".to_owned(), "x".to_owned())];
    for step in 0..20 {
        let at = 1_000_000 + step * 1_000;
        watch.add(&labels, at, f64::from(u8::from((5..10).contains(&step))));
        watch.tick(at + 1);
    }
    let episodes = watch.episodes();
    assert_eq!(episodes.len(), 1);
    assert_eq!((episodes[0].from, episodes[0].to), (1_007_001, Some(1_010_001)));
    assert!(watch.errors.is_empty());
}
