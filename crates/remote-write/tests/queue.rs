//! Tests of the queue on a virtual clock, with receivers that are unavailable, slow, or reject some or all samples.

use std::collections::BTreeMap;

use nettleferry_remote_write::*;
use proptest::prelude::*;

const MILLISECOND: u64 = 1_000;
const SECOND: u64 = 1_000_000;

fn limits() -> Limits {
    Limits {
        shards: 3,
        batch_samples: 10,
        batch_age: SECOND,
        max_bytes: 100 * SAMPLE_BYTES,
        max_age: 60 * SECOND,
        ..Limits::default()
    }
}

fn sample(series: u64, at_ms: i64) -> Sample {
    Sample { series, at_ms, value: at_ms as f64 }
}

/// Sends all due batches with the same response to each, until nothing is due or the receiver is unavailable. Returns
/// the batches that were sent.
fn drain(queue: &mut Queue, now: u64, response: Response) -> Vec<Batch> {
    let mut sent = Vec::new();
    loop {
        let mut send = Vec::new();
        queue.due(now, &mut send);
        if send.is_empty() {
            return sent;
        }
        for batch in &send {
            queue.handle_response(now, batch.shard, batch.number, response);
        }
        sent.extend(send);
        if matches!(response, Response::Unavailable { .. }) {
            return sent;
        }
    }
}

#[test]
fn batch_is_sent_when_large_or_old_enough() {
    let mut queue = Queue::new(Limits { shards: 1, ..limits() }, 1);
    for n in 0..9 {
        queue.offer(0, sample(1, n));
    }
    let mut send = Vec::new();
    queue.due(SECOND - 1, &mut send);
    assert_eq!((send.len(), queue.next_due(SECOND - 1)), (0, Some(SECOND)));
    queue.offer(SECOND - 1, sample(1, 9));
    queue.due(SECOND - 1, &mut send);
    assert_eq!(send[0].samples.len(), 10, "the batch is full");
    queue.handle_response(SECOND, 0, send[0].number, Response::Accepted);
    queue.offer(2 * SECOND, sample(1, 10));
    assert_eq!(drain(&mut queue, 3 * SECOND, Response::Accepted).len(), 1, "the batch is old enough");
    assert_eq!((queue.len(), queue.counters().accepted), (0, 11));
}

#[test]
fn rejected_batch_is_not_repeated_and_failed_one_is_repeated_unchanged() {
    let mut queue = Queue::new(Limits { shards: 1, ..limits() }, 1);
    queue.offer(0, sample(1, 0));
    let first = drain(&mut queue, SECOND, Response::Unavailable { retry_after: None });
    queue.offer(SECOND, sample(1, 1));
    let next = queue.next_due(SECOND).expect("a retry is scheduled");
    assert!((SECOND + 15 * MILLISECOND..=SECOND + 30 * MILLISECOND).contains(&next), "{next}");
    let mut send = Vec::new();
    queue.due(next, &mut send);
    assert_eq!((send[0].number, &send[0].samples, send[0].attempts), (first[0].number, &first[0].samples, 1));
    queue.handle_response(next, 0, send[0].number, Response::Rejected);
    let rest = drain(&mut queue, 3 * SECOND, Response::Accepted);
    assert_eq!(rest.iter().flat_map(|b| &b.samples).collect::<Vec<_>>(), [&sample(1, 1)]);
    let counters = queue.counters();
    assert_eq!((counters.rejected, counters.accepted, counters.retries), (1, 1, 1));
    // A response to a batch that is no longer in flight is ignored.
    queue.handle_response(4 * SECOND, 0, first[0].number, Response::Accepted);
    assert_eq!(queue.counters(), counters);
}

#[test]
fn retry_after_pauses_all_shards_and_backoff_is_bounded() {
    let mut queue = Queue::new(limits(), 1);
    for series in 0..30 {
        queue.offer(0, sample(series, 0));
    }
    drain(&mut queue, SECOND, Response::Unavailable { retry_after: Some(40 * SECOND) });
    assert_eq!(queue.next_due(SECOND), Some(41 * SECOND));
    let mut send = Vec::new();
    queue.due(40 * SECOND, &mut send);
    assert!(send.is_empty());
    let mut now = 41 * SECOND;
    let mut delays = Vec::new();
    for _ in 0..12 {
        assert_eq!(
            drain(&mut queue, now, Response::Unavailable { retry_after: None }).len(),
            1,
            "a single batch is sent while the receiver is unavailable"
        );
        let next = queue.next_due(now).expect("a retry is scheduled");
        delays.push(next - now);
        now = next;
        if now > 58 * SECOND {
            break;
        }
    }
    assert!(delays.iter().all(|delay| *delay <= Limits::default().max_backoff), "{delays:?}");
}

#[test]
fn long_outage_keeps_the_newest_samples_and_counts_the_rest() {
    let limits =
        Limits { max_bytes: 5_000 * SAMPLE_BYTES, max_age: 7_200 * SECOND, batch_samples: 100, ..limits() };
    let mut queue = Queue::new(limits, 1);
    let mut attempts = 0;
    for second in 0..600u64 {
        for series in 0..50 {
            queue.offer(second * SECOND, sample(series, second as i64 * 1000));
        }
        let mut now = second * SECOND;
        while let Some(next) = queue.next_due(now).filter(|at| *at < (second + 1) * SECOND) {
            now = next.max(now + 1);
            attempts += drain(&mut queue, now, Response::Unavailable { retry_after: None }).len();
        }
        assert!(queue.bytes() <= limits.max_bytes);
    }
    let during_outage = queue.counters();
    assert_eq!(during_outage.offered, 30_000);
    assert!(attempts < 600, "{attempts} attempts in ten minutes");
    let queued = queue.len();
    let after_outage = drain(&mut queue, 700 * SECOND, Response::Accepted);
    let mut last: BTreeMap<u64, i64> = BTreeMap::new();
    for sample in after_outage.iter().flat_map(|b| &b.samples) {
        let previous = last.insert(sample.series, sample.at_ms);
        assert!(previous.is_none_or(|t| t < sample.at_ms), "samples of a series are sent in order and once");
    }
    assert!(last.values().all(|t| *t == 599_000), "the newest sample of each series is sent");
    let counters = queue.counters();
    assert_eq!(counters.accepted as usize, queued);
    assert_eq!(counters.accepted + counters.dropped_full, 30_000, "samples that were not sent are counted");
}

#[test]
fn returning_receiver_gets_one_batch_then_more() {
    let mut queue = Queue::new(Limits { shards: 8, max_bytes: 1 << 20, ..limits() }, 1);
    for n in 0..20 {
        for series in 0..64 {
            queue.offer(0, sample(series, n));
        }
    }
    drain(&mut queue, SECOND, Response::Unavailable { retry_after: None });
    let mut batch_counts = Vec::new();
    let mut now = 10 * SECOND;
    for _ in 0..12 {
        let mut send = Vec::new();
        queue.due(now, &mut send);
        batch_counts.push(send.len());
        now += 10 * MILLISECOND;
        for batch in send {
            queue.handle_response(now, batch.shard, batch.number, Response::Accepted);
        }
    }
    assert_eq!(batch_counts[..4], [1, 2, 4, 8], "{batch_counts:?}");
}

#[test]
fn samples_older_than_their_series_are_dropped() {
    let mut queue = Queue::new(limits(), 1);
    for at in [1000, 2000, 500, 1500, 2000, 2500] {
        queue.offer(0, sample(1, at));
    }
    let sent = drain(&mut queue, SECOND, Response::Accepted);
    let times: Vec<i64> = sent.iter().flat_map(|b| &b.samples).map(|s| s.at_ms).collect();
    assert_eq!(times, [1000, 2000, 2500]);
    assert_eq!(queue.counters().dropped_order, 3);
}

#[test]
fn samples_beyond_the_series_limit_are_dropped_and_counted() {
    let mut queue = Queue::new(Limits { max_series: 5, ..limits() }, 1);
    for series in 0..8 {
        queue.offer(0, sample(series, 0));
    }
    assert_eq!((queue.len(), queue.counters().dropped_series), (5, 3));
}

/// Sends all due batches, and rejects as invalid each one that contains a sample for which `is_invalid` returns true.
/// Returns the number of requests.
fn respond_by_content(queue: &mut Queue, now: u64, is_invalid: impl Fn(&Sample) -> bool) -> usize {
    let mut requests = 0;
    loop {
        let mut send = Vec::new();
        queue.due(now, &mut send);
        if send.is_empty() {
            return requests;
        }
        for batch in send {
            requests += 1;
            let response =
                if batch.samples.iter().any(&is_invalid) { Response::Invalid } else { Response::Accepted };
            queue.handle_response(now, batch.shard, batch.number, response);
        }
    }
}

#[test]
fn invalid_series_is_isolated_and_excluded_for_a_while() {
    let limits = Limits { shards: 1, batch_samples: 3_000, max_bytes: 1 << 20, ..limits() };
    let mut queue = Queue::new(limits, 1);
    for at in [1, 2, 3] {
        for series in 0..1_000 {
            queue.offer(0, sample(series, at));
        }
    }
    let requests = respond_by_content(&mut queue, SECOND, |s| s.series == 617);
    let counters = queue.counters();
    assert_eq!((counters.accepted, counters.rejected, queue.len()), (2_997, 3, 0));
    assert!(requests <= 2 * 12 + 3, "{requests} requests");
    // The series is excluded for a while, and then sent again, since its samples may be valid by then.
    for at in 4..8 {
        for series in 0..1_000 {
            queue.offer(2 * SECOND, sample(series, at));
        }
    }
    assert_eq!(queue.excluded_series(), 1);
    assert!(respond_by_content(&mut queue, 4 * SECOND, |s| s.series == 617) <= 2, "no further halving");
    assert_eq!(queue.counters().rejected, 7);
    queue.offer(700 * SECOND, sample(617, 9));
    respond_by_content(&mut queue, 702 * SECOND, |_| false);
    assert_eq!((queue.counters().rejected, queue.excluded_series()), (7, 0));
    // A single invalid sample of a batch that has one series only.
    let mut queue = Queue::new(limits, 1);
    for at in 0..64 {
        queue.offer(0, sample(1, at));
    }
    respond_by_content(&mut queue, SECOND, |s| s.at_ms == 40);
    assert_eq!((queue.counters().accepted, queue.counters().rejected), (63, 1));
}

#[test]
fn halving_is_bounded_and_rejected_batch_is_not_halved() {
    let limits = Limits { shards: 1, batch_samples: 1_000, max_bytes: 1 << 20, max_splits: 5, ..limits() };
    let mut queue = Queue::new(limits, 1);
    for series in 0..1_000 {
        queue.offer(0, sample(series, 0));
    }
    let requests = respond_by_content(&mut queue, SECOND, |_| true);
    assert_eq!((requests, queue.counters().rejected, queue.counters().splits), (11, 1_000, 5));
    for series in 0..1_000 {
        queue.offer(SECOND, sample(series, 1));
    }
    assert_eq!(drain(&mut queue, 3 * SECOND, Response::Rejected).len(), 1, "no series is excluded");
    assert_eq!((queue.len(), queue.bytes()), (0, 0));
}

#[test]
fn receiver_that_rejects_everything_excludes_no_series() {
    let mut queue = Queue::new(Limits { shards: 1, batch_samples: 4, ..limits() }, 1);
    for series in 0..4 {
        queue.offer(0, sample(series, 0));
    }
    assert_eq!(
        respond_by_content(&mut queue, SECOND, |_| true),
        7,
        "the batch is halved down to single samples"
    );
    assert_eq!(
        (queue.counters().rejected, queue.excluded_series()),
        (4, 0),
        "no series is excluded if the receiver accepts none of the batch"
    );
    for series in 0..4 {
        queue.offer(2 * SECOND, sample(series, 1));
    }
    assert_eq!((drain(&mut queue, 4 * SECOND, Response::Accepted).len(), queue.counters().accepted), (1, 4));
}

#[test]
fn halves_are_sent_in_order_and_before_waiting_samples() {
    let limits = Limits { shards: 1, batch_samples: 20, ..limits() };
    let mut queue = Queue::new(limits, 1);
    for at in 0..20 {
        queue.offer(0, sample(at % 2, at as i64));
    }
    let mut send = Vec::new();
    queue.due(0, &mut send);
    queue.offer(0, sample(0, 100));
    queue.handle_response(0, 0, send[0].number, Response::Invalid);
    // A half to which the receiver responds "unavailable" is sent again unchanged.
    let first = drain(&mut queue, 0, Response::Unavailable { retry_after: None });
    let rest = drain(&mut queue, 5 * SECOND, Response::Accepted);
    assert_eq!((first[0].number, &first[0].samples), (rest[0].number, &rest[0].samples));
    let times: Vec<i64> = rest.iter().flat_map(|b| &b.samples).map(|s| s.at_ms).collect();
    let expected: Vec<i64> = (0..20).step_by(2).chain((1..20).step_by(2)).chain([100]).collect();
    assert_eq!(times, expected);
}

#[test]
fn flush_sends_partial_batches() {
    let mut queue = Queue::new(limits(), 1);
    queue.offer(0, sample(1, 0));
    assert_eq!(queue.next_due(0), Some(SECOND));
    queue.flush();
    assert_eq!(
        (queue.next_due(0), drain(&mut queue, 0, Response::Accepted).len(), queue.len()),
        (Some(0), 1, 0)
    );
}

proptest! {
    #[test]
    fn all_samples_are_accounted_for_and_in_order(
        seed in any::<u64>(),
        steps in prop::collection::vec((0u64..12, 0u64..3, 0u64..2_000), 1..300),
    ) {
        let mut queue = Queue::new(limits(), seed);
        let (mut now, mut time) = (0, 0);
        let mut in_flight: Vec<Batch> = Vec::new();
        let mut accepted_times: BTreeMap<u64, Vec<i64>> = BTreeMap::new();
        let (mut accepted_count, mut drained) = (0, 0);
        for (event, pick, span) in steps {
            match event {
                0..5 => {
                    time += 1;
                    queue.offer(now, sample(pick, time));
                }
                5..8 if !in_flight.is_empty() => {
                    let batch = in_flight.remove(pick as usize % in_flight.len());
                    let response = match event {
                        5 => Response::Accepted,
                        6 if pick == 0 => Response::Rejected,
                        6 => Response::Invalid,
                        _ => Response::Unavailable { retry_after: (pick == 2).then_some(span * MILLISECOND) },
                    };
                    if response == Response::Accepted {
                        accepted_count += batch.samples.len() as u64;
                        for s in &batch.samples {
                            accepted_times.entry(s.series).or_default().push(s.at_ms);
                        }
                    }
                    queue.handle_response(now, batch.shard, batch.number, response);
                }
                _ => {
                    now += span * MILLISECOND;
                    queue.due(now, &mut in_flight);
                    for (n, batch) in in_flight.iter().enumerate() {
                        prop_assert!(
                            in_flight[n + 1..].iter().all(|b| b.shard != batch.shard),
                            "a shard has two batches in flight"
                        );
                        prop_assert!(!batch.samples.is_empty() && batch.samples.len() <= 10);
                    }
                }
            }
            prop_assert!(queue.bytes() <= limits().max_bytes);
            let c = queue.counters();
            let completed = c.accepted + c.rejected + c.dropped_full + c.dropped_old + c.dropped_order + c.dropped_series;
            prop_assert_eq!(c.offered, completed + queue.len() as u64);
            prop_assert_eq!(c.accepted, accepted_count);
            drained += queue.drain_completed().count() as u64;
            prop_assert_eq!(drained, completed, "each sample that left the queue is reported once");
        }
        for times in accepted_times.values() {
            prop_assert!(times.windows(2).all(|w| w[0] < w[1]), "samples of a series are accepted in order and once");
        }
    }
}
