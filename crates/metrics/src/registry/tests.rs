//! Tests that all series exist at zero from the start, that a call is counted in one series only, and that the number
//! of series is bounded.

use super::*;

fn names(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|n| format!("{prefix}{n}")).collect()
}

/// Returns a call with a latency of 0.3 s.
fn call(class: usize, end: CallEnd, tenant: Option<usize>, group: usize) -> CallRecord {
    CallRecord { class, end, tenant, group, latency_micros: 300_000 }
}

#[test]
fn all_series_are_zero_from_the_start() {
    let layout = SeriesLayout::new(names("c", 2), &names("t", 1), &names("m", 1), 1000);
    let text = Metrics::new(layout, &["open_calls"]).text().expect("metrics text is encoded");
    let series = |name: &str| text.lines().filter(|l| l.starts_with(name)).count();
    // Two classes, six ends, three tenants (t0, other, none), two model groups (m0, other).
    assert_eq!(series("nettleferry_calls_total"), 2 * 6 * 3 * 2);
    assert_eq!(series("nettleferry_attempts_total"), AttemptCause::COUNT);
    assert_eq!(series("nettleferry_call_duration_seconds_count"), 2);
    assert!(text.contains("nettleferry_limit_hits_total{limit=\"open_calls\"} 0"));
    assert!(text.ends_with("# EOF\n"));
    let zero = |l: &str| l.starts_with('#') || l.ends_with(" 0") || l.ends_with(" 0.0");
    assert!(text.lines().all(zero), "{text}");
}

#[test]
fn count_appears_in_its_series_alone() {
    let layout = SeriesLayout::new(names("c", 2), &names("t", 2), &names("m", 2), 1000);
    let metrics = Metrics::new(layout, &[]);
    metrics.record_call(&call(1, CallEnd::ServedLate, Some(1), 0));
    metrics.record_call(&call(0, CallEnd::Refused, None, 9));
    metrics.record_attempt(AttemptCause::Full);
    let text = metrics.text().expect("metrics text is encoded");
    let counted: Vec<&str> =
        text.lines().filter(|l| l.starts_with("nettleferry_calls_total") && !l.ends_with(" 0")).collect();
    assert_eq!(counted.len(), 2, "{counted:?}");
    assert!(text.contains(
        "nettleferry_calls_total{class=\"c1\",end=\"served_late\",tenant=\"t1\",model_group=\"m0\"} 1"
    ));
    assert!(text.contains(
        "nettleferry_calls_total{class=\"c0\",end=\"refused\",tenant=\"none\",model_group=\"other\"} 1"
    ));
    assert!(text.contains("nettleferry_attempts_total{reason=\"full\"} 1"));
    assert!(text.contains("nettleferry_call_duration_seconds_bucket{le=\"0.5\",class=\"c1\"} 1"), "{text}");
}

#[test]
fn many_tenants_and_models_stay_within_the_bound() {
    let layout = SeriesLayout::new(names("c", 3), &names("t", 10_000), &names("m", 10_000), 2_000);
    assert!(layout.series_count() <= 2_000);
    let metrics = Metrics::new(layout, &[]);
    for n in 0..10_000 {
        metrics.record_call(&call(n % 3, CallEnd::ServedInTime, Some(n), n));
    }
    let text = metrics.text().expect("metrics text is encoded");
    let series: Vec<&str> = text.lines().filter(|l| l.starts_with("nettleferry_calls_total")).collect();
    assert!(series.len() <= 2_000, "{}", series.len());
    let sum: u64 = series.iter().filter_map(|l| l.rsplit(' ').next()?.parse::<u64>().ok()).sum();
    assert_eq!(sum, 10_000, "calls without a series of their own are counted under other");
}
