//! Tests that the metrics text is parsed without loss, including label values with quotes and separators.

use super::*;
use crate::{CallEnd, CallRecord, Metrics, SeriesLayout};

#[test]
fn every_series_is_parsed_with_its_labels_and_kind() {
    let class_name = "a\"b\\c,d={e}".to_owned();
    let metrics = Metrics::new(SeriesLayout::new(vec![class_name.clone()], &[], &[], 100), &["x"]);
    let call =
        CallRecord { class: 0, end: CallEnd::ServedInTime, tenant: None, group: 0, latency_micros: 20_000 };
    metrics.record_call(&call);
    let text = metrics.text().expect("metrics text is encoded");
    let samples = parse(&text);
    assert_eq!(samples.len(), text.lines().filter(|l| !l.starts_with('#')).count());
    let counter = samples.iter().find(|s| s.kind == SeriesKind::Counter && s.value == 1.0);
    let counter = counter.expect("a counter with the value 1");
    assert_eq!(counter.labels[0].1, "nettleferry_calls_total");
    assert!(counter.labels.contains(&("class".to_owned(), class_name)));
    assert!(samples.iter().any(|s| s.kind == SeriesKind::Histogram && s.labels.iter().any(|l| l.0 == "le")));
    assert!(samples.iter().any(|s| s.kind == SeriesKind::Gauge && s.labels[0].1 == "nettleferry_held_calls"));
}
