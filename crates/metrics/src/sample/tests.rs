//! Unit tests of `sample`.

use super::*;
use crate::{Figures, Slots};

#[test]
fn every_series_is_read_with_its_labels_and_kind() {
    let odd = "a\"b\\c,d={e}".to_owned();
    let figures = Figures::new(Slots::new(vec![odd.clone()], &[], &[], 100), &["x"]);
    figures.call(0, crate::End::InTime, None, 0, 20_000);
    let text = figures.text().expect("text");
    let all = read(&text);
    assert_eq!(all.len(), text.lines().filter(|l| !l.starts_with('#')).count());
    let called = all.iter().find(|s| s.kind == Kind::Counter && s.value == 1.0).expect("counted");
    assert_eq!(called.labels[0].1, "nettleferry_calls_total");
    assert!(called.labels.contains(&("class".to_owned(), odd)));
    assert!(all.iter().any(|s| s.kind == Kind::Histogram && s.labels.iter().any(|l| l.0 == "le")));
    assert!(all.iter().any(|s| s.kind == Kind::Gauge && s.labels[0].1 == "nettleferry_held_calls"));
}
