//! Tests that the metrics text is parsed without loss, including label values with quotes and separators.

use super::*;
use crate::{CallEnd, CallRecord, Metrics, SeriesLayout};

#[test]
fn every_series_is_parsed_with_its_labels_and_kind() {
    let odd = "a\"b\\c,d={e}".to_owned();
    let metrics = Metrics::new(SeriesLayout::new(vec![odd.clone()], &[], &[], 100), &["x"]);
    let call =
        CallRecord { class: 0, end: CallEnd::ServedInTime, tenant: None, group: 0, latency_micros: 20_000 };
    metrics.record_call(&call);
    let text = metrics.text().expect("text");
    let all = parse(&text);
    assert_eq!(all.len(), text.lines().filter(|l| !l.starts_with('#')).count());
    let called = all.iter().find(|s| s.kind == SeriesKind::Counter && s.value == 1.0).expect("counted");
    assert_eq!(called.labels[0].1, "nettleferry_calls_total");
    assert!(called.labels.contains(&("class".to_owned(), odd)));
    assert!(all.iter().any(|s| s.kind == SeriesKind::Histogram && s.labels.iter().any(|l| l.0 == "le")));
    assert!(all.iter().any(|s| s.kind == SeriesKind::Gauge && s.labels[0].1 == "nettleferry_held_calls"));
}
