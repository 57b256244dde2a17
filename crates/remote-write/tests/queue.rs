//! The queue with a made-up clock, against receivers that are away, slow, strict or forgetful.

use std::collections::BTreeMap;

use nettleferry_remote_write::*;
use proptest::prelude::*;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;

fn limits() -> Limits {
    Limits {
        shards: 3,
        batch_samples: 10,
        batch_age: S,
        bytes: 100 * queue::SAMPLE_BYTES,
        age: 60 * S,
        ..Limits::default()
    }
}

fn sample(series: u64, at_ms: i64) -> Sample {
    Sample { series, at_ms, value: at_ms as f64 }
}

/// All that is due, answered alike.
fn drain(queue: &mut Queue, now: u64, answer: Answer) -> Vec<Batch> {
    let mut all = Vec::new();
    loop {
        let mut send = Vec::new();
        queue.due(now, &mut send);
        if send.is_empty() {
            return all;
        }
        for batch in &send {
            queue.answered(now, batch.shard, batch.number, answer);
        }
        all.extend(send);
        if matches!(answer, Answer::NotNow { .. }) {
            return all;
        }
    }
}

#[test]
fn a_batch_leaves_when_it_is_large_or_old_enough() {
    let mut queue = Queue::new(Limits { shards: 1, ..limits() }, 1);
    for n in 0..9 {
        queue.offer(0, sample(1, n));
    }
    let mut send = Vec::new();
    queue.due(S - 1, &mut send);
    assert_eq!((send.len(), queue.next(S - 1)), (0, Some(S)));
    queue.offer(S - 1, sample(1, 9));
    queue.due(S - 1, &mut send);
    assert_eq!(send[0].samples.len(), 10, "it is full");
    queue.answered(S, 0, send[0].number, Answer::Taken);
    queue.offer(2 * S, sample(1, 10));
    assert_eq!(drain(&mut queue, 3 * S, Answer::Taken).len(), 1, "it is old");
    assert_eq!((queue.kept(), queue.counters().taken), (0, 11));
}

#[test]
fn a_refused_batch_is_never_sent_again_and_a_failed_one_is_the_same() {
    let mut queue = Queue::new(Limits { shards: 1, ..limits() }, 1);
    queue.offer(0, sample(1, 0));
    let first = drain(&mut queue, S, Answer::NotNow { retry_after: None });
    queue.offer(S, sample(1, 1));
    let next = queue.next(S).expect("it is tried again");
    assert!((S + 15 * MS..=S + 30 * MS).contains(&next), "{next}");
    let mut send = Vec::new();
    queue.due(next, &mut send);
    assert_eq!((send[0].number, &send[0].samples, send[0].tries), (first[0].number, &first[0].samples, 1));
    queue.answered(next, 0, send[0].number, Answer::Refused);
    let rest = drain(&mut queue, 3 * S, Answer::Taken);
    assert_eq!(rest.iter().flat_map(|b| &b.samples).collect::<Vec<_>>(), [&sample(1, 1)]);
    let counters = queue.counters();
    assert_eq!((counters.refused, counters.taken, counters.retries), (1, 1, 1));
    // A late answer to what is over is nothing.
    queue.answered(4 * S, 0, first[0].number, Answer::Taken);
    assert_eq!(queue.counters(), counters);
}

#[test]
fn retry_after_is_heeded_by_all_shards_and_waits_grow_to_their_most() {
    let mut queue = Queue::new(limits(), 1);
    for series in 0..30 {
        queue.offer(0, sample(series, 0));
    }
    drain(&mut queue, S, Answer::NotNow { retry_after: Some(40 * S) });
    assert_eq!(queue.next(S), Some(41 * S));
    let mut none = Vec::new();
    queue.due(40 * S, &mut none);
    assert!(none.is_empty());
    let mut now = 41 * S;
    let mut waits = Vec::new();
    for _ in 0..12 {
        assert_eq!(drain(&mut queue, now, Answer::NotNow { retry_after: None }).len(), 1, "one asks for all");
        let next = queue.next(now).expect("there is more");
        waits.push(next - now);
        now = next;
        if now > 58 * S {
            break;
        }
    }
    assert!(waits.iter().all(|w| *w <= Limits::default().wait_most), "{waits:?}");
}

#[test]
fn ten_minutes_away_keeps_the_newest_within_the_bounds_and_tells_the_rest() {
    let limits =
        Limits { bytes: 5_000 * queue::SAMPLE_BYTES, age: 7_200 * S, batch_samples: 100, ..limits() };
    let mut queue = Queue::new(limits, 1);
    let mut tries = 0;
    for second in 0..600u64 {
        for series in 0..50 {
            queue.offer(second * S, sample(series, second as i64 * 1000));
        }
        let mut now = second * S;
        while let Some(next) = queue.next(now).filter(|at| *at < (second + 1) * S) {
            now = next.max(now + 1);
            tries += drain(&mut queue, now, Answer::NotNow { retry_after: None }).len();
        }
        assert!(queue.bytes() <= limits.bytes);
    }
    let away = queue.counters();
    assert_eq!(away.offered, 30_000);
    assert!(tries < 600, "no storm: {tries} tries in ten minutes");
    let kept = queue.kept();
    let back = drain(&mut queue, 700 * S, Answer::Taken);
    let mut last: BTreeMap<u64, i64> = BTreeMap::new();
    for sample in back.iter().flat_map(|b| &b.samples) {
        let before = last.insert(sample.series, sample.at_ms);
        assert!(before.is_none_or(|t| t < sample.at_ms), "in order, once each");
    }
    assert!(last.values().all(|t| *t == 599_000), "the newest are there");
    let told = queue.counters();
    assert_eq!(told.taken as usize, kept);
    assert_eq!(told.taken + told.dropped_full, 30_000, "what is missing is told");
}

#[test]
fn a_receiver_that_comes_back_is_met_by_one_batch_then_more() {
    let mut queue = Queue::new(Limits { shards: 8, bytes: 1 << 20, ..limits() }, 1);
    for n in 0..20 {
        for series in 0..64 {
            queue.offer(0, sample(series, n));
        }
    }
    drain(&mut queue, S, Answer::NotNow { retry_after: None });
    let mut at_once = Vec::new();
    let mut now = 10 * S;
    for _ in 0..12 {
        let mut send = Vec::new();
        queue.due(now, &mut send);
        at_once.push(send.len());
        now += 10 * MS;
        for batch in send {
            queue.answered(now, batch.shard, batch.number, Answer::Taken);
        }
    }
    assert_eq!(at_once[..4], [1, 2, 4, 8], "{at_once:?}");
}

#[test]
fn a_clock_that_steps_back_puts_nothing_out_of_order() {
    let mut queue = Queue::new(limits(), 1);
    for at in [1000, 2000, 500, 1500, 2000, 2500] {
        queue.offer(0, sample(1, at));
    }
    let sent = drain(&mut queue, S, Answer::Taken);
    let times: Vec<i64> = sent.iter().flat_map(|b| &b.samples).map(|s| s.at_ms).collect();
    assert_eq!(times, [1000, 2000, 2500]);
    assert_eq!(queue.counters().dropped_order, 3);
}

#[test]
fn too_many_series_are_dropped_and_told() {
    let mut queue = Queue::new(Limits { series: 5, ..limits() }, 1);
    for series in 0..8 {
        queue.offer(0, sample(series, 0));
    }
    assert_eq!((queue.kept(), queue.counters().dropped_series), (5, 3));
}

/// Answers all that is due: what holds a culprit is bad. The number of requests.
fn with_culprits(queue: &mut Queue, now: u64, bad: impl Fn(&Sample) -> bool) -> usize {
    let mut requests = 0;
    loop {
        let mut send = Vec::new();
        queue.due(now, &mut send);
        if send.is_empty() {
            return requests;
        }
        for batch in send {
            requests += 1;
            let answer = if batch.samples.iter().any(&bad) { Answer::Bad } else { Answer::Taken };
            queue.answered(now, batch.shard, batch.number, answer);
        }
    }
}

#[test]
fn one_bad_series_among_a_thousand_costs_itself_alone() {
    let limits = Limits { shards: 1, batch_samples: 3_000, bytes: 1 << 20, ..limits() };
    let mut queue = Queue::new(limits, 1);
    for at in [1, 2, 3] {
        for series in 0..1_000 {
            queue.offer(0, sample(series, at));
        }
    }
    let requests = with_culprits(&mut queue, S, |s| s.series == 617);
    let c = queue.counters();
    assert_eq!((c.taken, c.refused, queue.kept()), (2_997, 3, 0));
    assert!(requests <= 2 * 12 + 3, "{requests} requests");
    // It is left out for a while, and then tried again: what was bad of it may be over.
    for at in 4..8 {
        for series in 0..1_000 {
            queue.offer(2 * S, sample(series, at));
        }
    }
    assert_eq!(queue.left_out(), 1);
    assert!(with_culprits(&mut queue, 4 * S, |s| s.series == 617) <= 2, "no search");
    assert_eq!(queue.counters().refused, 7);
    queue.offer(700 * S, sample(617, 9));
    with_culprits(&mut queue, 702 * S, |_| false);
    assert_eq!((queue.counters().refused, queue.left_out()), (7, 0));
    // One bad moment of one series.
    let mut queue = Queue::new(limits, 1);
    for at in 0..64 {
        queue.offer(0, sample(1, at));
    }
    with_culprits(&mut queue, S, |s| s.at_ms == 40);
    assert_eq!((queue.counters().taken, queue.counters().refused), (63, 1));
}

#[test]
fn halving_is_bounded_and_what_is_refused_whole_is_not_halved() {
    let limits = Limits { shards: 1, batch_samples: 1_000, bytes: 1 << 20, splits: 5, ..limits() };
    let mut queue = Queue::new(limits, 1);
    for series in 0..1_000 {
        queue.offer(0, sample(series, 0));
    }
    let requests = with_culprits(&mut queue, S, |_| true);
    assert_eq!((requests, queue.counters().refused, queue.counters().splits), (11, 1_000, 5));
    for series in 0..1_000 {
        queue.offer(S, sample(series, 1));
    }
    assert_eq!(drain(&mut queue, 3 * S, Answer::Refused).len(), 1, "and none is left out");
    assert_eq!((queue.kept(), queue.bytes()), (0, 0));
}

#[test]
fn a_receiver_that_finds_everything_bad_has_no_series_left_out() {
    let mut queue = Queue::new(Limits { shards: 1, batch_samples: 4, ..limits() }, 1);
    for series in 0..4 {
        queue.offer(0, sample(series, 0));
    }
    assert_eq!(with_culprits(&mut queue, S, |_| true), 7, "halved down to each");
    assert_eq!((queue.counters().refused, queue.left_out()), (4, 0), "it is the receiver, not the series");
    for series in 0..4 {
        queue.offer(2 * S, sample(series, 1));
    }
    assert_eq!((drain(&mut queue, 4 * S, Answer::Taken).len(), queue.counters().taken), (1, 4));
}

#[test]
fn halves_leave_in_the_order_of_each_series_and_before_what_waits() {
    let limits = Limits { shards: 1, batch_samples: 20, ..limits() };
    let mut queue = Queue::new(limits, 1);
    for at in 0..20 {
        queue.offer(0, sample(at % 2, at as i64));
    }
    let mut send = Vec::new();
    queue.due(0, &mut send);
    queue.offer(0, sample(0, 100));
    queue.answered(0, 0, send[0].number, Answer::Bad);
    // A half that is not taken now comes again, as it is.
    let first = drain(&mut queue, 0, Answer::NotNow { retry_after: None });
    let rest = drain(&mut queue, 5 * S, Answer::Taken);
    assert_eq!((first[0].number, &first[0].samples), (rest[0].number, &rest[0].samples));
    let times: Vec<i64> = rest.iter().flat_map(|b| &b.samples).map(|s| s.at_ms).collect();
    let want: Vec<i64> = (0..20).step_by(2).chain((1..20).step_by(2)).chain([100]).collect();
    assert_eq!(times, want);
}

#[test]
fn at_the_end_nothing_waits_for_its_batch_to_fill() {
    let mut queue = Queue::new(limits(), 1);
    queue.offer(0, sample(1, 0));
    assert_eq!(queue.next(0), Some(S));
    queue.flush();
    assert_eq!((queue.next(0), drain(&mut queue, 0, Answer::Taken).len(), queue.kept()), (Some(0), 1, 0));
}

proptest! {
    #[test]
    fn whatever_the_receiver_does_samples_are_accounted_for_and_in_order(
        seed in any::<u64>(),
        steps in prop::collection::vec((0u64..12, 0u64..3, 0u64..2_000), 1..300),
    ) {
        let mut queue = Queue::new(limits(), seed);
        let (mut now, mut time) = (0, 0);
        let mut out: Vec<Batch> = Vec::new();
        let mut taken: BTreeMap<u64, Vec<i64>> = BTreeMap::new();
        let (mut count, mut left) = (0, 0);
        for (what, pick, span) in steps {
            match what {
                0..5 => {
                    time += 1;
                    queue.offer(now, sample(pick, time));
                }
                5..8 if !out.is_empty() => {
                    let batch = out.remove(pick as usize % out.len());
                    let answer = match what {
                        5 => Answer::Taken,
                        6 if pick == 0 => Answer::Refused,
                        6 => Answer::Bad,
                        _ => Answer::NotNow { retry_after: (pick == 2).then_some(span * MS) },
                    };
                    if answer == Answer::Taken {
                        count += batch.samples.len() as u64;
                        for s in &batch.samples {
                            taken.entry(s.series).or_default().push(s.at_ms);
                        }
                    }
                    queue.answered(now, batch.shard, batch.number, answer);
                }
                _ => {
                    now += span * MS;
                    queue.due(now, &mut out);
                    for (n, batch) in out.iter().enumerate() {
                        prop_assert!(out[n + 1..].iter().all(|b| b.shard != batch.shard), "two of a shard are out");
                        prop_assert!(!batch.samples.is_empty() && batch.samples.len() <= 10);
                    }
                }
            }
            prop_assert!(queue.bytes() <= limits().bytes);
            let c = queue.counters();
            let gone = c.taken + c.refused + c.dropped_full + c.dropped_old + c.dropped_order + c.dropped_series;
            prop_assert_eq!(c.offered, gone + queue.kept() as u64);
            prop_assert_eq!(c.taken, count);
            left += queue.gone().count() as u64;
            prop_assert_eq!(left, gone, "each that has gone is named once");
        }
        for times in taken.values() {
            prop_assert!(times.windows(2).all(|w| w[0] < w[1]), "in order, once each");
        }
    }
}
