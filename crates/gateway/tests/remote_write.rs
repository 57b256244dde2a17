//! Remote write from a controller to a receiver that accepts, understands 1.0 alone, is away or forgets, and from a
//! controller that is killed in between.

mod common;
use common::*;

use nettleferry_net::grpc::Code;
use nettleferry_proto::remote_write::is_stale;
use nettleferry_test_servers::receiver::{Mode, ReceivedData, Receiver};

const CALLS: &str = "nettleferry_calls_total";
const SERVED: [(&str, &str); 4] =
    [("class", "quick"), ("end", "served_in_time"), ("model_group", "echo"), ("tenant", "none")];

fn settings(receiver: &Receiver) -> String {
    format!(
        "{SETTINGS}(figures (push (to \"{}\") (every 40ms) (batch-age 10ms) (spool \"spool\") (label instance \"c0\")))",
        receiver.address
    )
}

/// The served calls of the last sample.
fn served(kept: &ReceivedData) -> f64 {
    kept.find(CALLS, &SERVED).last().map_or(-1.0, |t| t.value)
}

fn call(gateway: &Program, times: usize) {
    let mut caller = Caller::new(gateway.address);
    for _ in 0..times {
        let rpc = caller.unary("echo");
        assert_eq!(caller.status(rpc).0.code, Code::Ok);
    }
}

#[test]
fn samples_arrive_in_order_with_their_created_timestamps() {
    let fleet = Fleet::new(1, SPEC);
    let receiver = Receiver::start(Mode::Accept).expect("listens");
    let gateway = serve(&settings(&receiver), &fleet.list());
    eventually("zeros arrive before any call", || served(&receiver.data()) == 0.0);
    call(&gateway, 7);
    eventually("seven calls arrive", || served(&receiver.data()) == 7.0);
    let kept = receiver.data();
    assert_eq!(kept.faults, Vec::<String>::new());
    assert!(kept.requests[0] > 0 && kept.requests[1] == 0, "version 2.0");
    let samples = kept.find(CALLS, &[("instance", "c0"), SERVED[0], SERVED[1], SERVED[2], SERVED[3]]);
    assert!(samples.iter().all(|s| s.created_ms.is_some_and(|c| c <= s.at_ms)));
    assert!(samples.windows(2).all(|w| w[0].at_ms < w[1].at_ms && w[0].value <= w[1].value));
}

#[test]
fn receiver_of_version_one_gets_version_one() {
    let fleet = Fleet::new(1, SPEC);
    let receiver = Receiver::start(Mode::Version1Only).expect("listens");
    let gateway = serve(&settings(&receiver), &fleet.list());
    call(&gateway, 3);
    eventually("three calls arrive", || served(&receiver.data()) == 3.0);
    let kept = receiver.data();
    assert!(kept.faults.is_empty() && kept.requests[0] == 0 && kept.rejected >= 1, "{:?}", kept.faults);
}

/// The last round before an end, with all that was counted, and a marker on each series.
#[test]
fn graceful_shutdown_flushes_samples_and_closes_series() {
    let fleet = Fleet::new(1, SPEC);
    let receiver = Receiver::start(Mode::Accept).expect("listens");
    // A round an hour: all that arrives after the first is the last words.
    let settings = settings(&receiver).replace("(every 40ms)", "(every 1h)");
    let mut gateway = serve(&settings, &fleet.list());
    eventually("the first round arrives", || served(&receiver.data()) == 0.0);
    call(&gateway, 9);
    gateway.signal("TERM");
    assert!(gateway.wait().success());
    let kept = receiver.data();
    assert_eq!(kept.faults, Vec::<String>::new());
    let all = kept.find(CALLS, &SERVED);
    assert_eq!(all.iter().map(|t| t.value).take(2).collect::<Vec<_>>(), [0.0, 9.0]);
    for (labels, taken) in &kept.series {
        assert!(taken.len() == 3 && is_stale(taken[2].value), "{labels:?}: {taken:?}");
    }
    for (labels, taken) in &kept.natives {
        assert!(taken.len() == 3 && is_stale(taken[2].1.sum), "{labels:?}");
    }
    let quick = kept.natives.iter().find(|(l, _)| l.iter().any(|(_, v)| v == "quick")).expect("native");
    assert_eq!((quick.1[0].1.count, quick.1[1].1.count), (0, 9));
    assert_eq!(quick.1[1].1.buckets.iter().map(|b| b.1).sum::<u64>(), 9);
    // Nothing is left for the next incarnation to send.
    let dir = tempfile::tempdir().expect("a folder");
    std::fs::rename(gateway.dir.path().join("spool"), dir.path().join("spool")).expect("the log exists");
    std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("written");
    let _next = serve_in(dir, &settings, None);
    eventually("the next incarnation's first round", || served(&receiver.data()) == 0.0);
    let kept = receiver.data();
    let all = kept.find(CALLS, &SERVED);
    assert_eq!((all.len(), kept.repeated, kept.faults), (4, 0, Vec::new()), "no second marker");
    assert!(all[3].created_ms > all[2].created_ms);
}

#[test]
fn unsent_flush_is_bounded_and_repeated_by_the_next_incarnation() {
    let fleet = Fleet::new(1, SPEC);
    let receiver = Receiver::start(Mode::Accept).expect("listens");
    let settings = settings(&receiver).replace("(every 40ms)", "(every 1h) (farewell 300ms)");
    let mut gateway = serve(&settings, &fleet.list());
    eventually("the first round arrives", || served(&receiver.data()) == 0.0);
    receiver.set_mode(Mode::Answer(503, Some(3600)));
    call(&gateway, 3);
    gateway.signal("TERM");
    assert!(gateway.wait().success(), "it ends all the same");
    receiver.set_mode(Mode::Accept);
    let dir = tempfile::tempdir().expect("a folder");
    std::fs::rename(gateway.dir.path().join("spool"), dir.path().join("spool")).expect("the log exists");
    std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("written");
    let _next = serve_in(dir, &settings, None);
    let values = || receiver.data().find(CALLS, &SERVED).iter().map(|t| t.value).collect::<Vec<_>>();
    eventually("the flush and a new incarnation", || values().len() == 4);
    let all = values();
    assert!(all[..2] == [0.0, 3.0] && is_stale(all[2]) && all[3] == 0.0, "{all:?}");
    assert_eq!(receiver.data().faults, Vec::<String>::new());
}

#[test]
fn replaced_receiver_is_tried_again_with_version_two() {
    let fleet = Fleet::new(1, SPEC);
    let receiver = Receiver::start(Mode::Version1Only).expect("listens");
    let settings = settings(&receiver).replace("(every 40ms)", "(every 40ms) (ask-again 200ms)");
    let _gateway = serve(&settings, &fleet.list());
    eventually("1.0 is spoken", || receiver.data().requests[1] > 3);
    receiver.set_mode(Mode::Accept);
    eventually("2.0 is spoken again", || receiver.data().requests[0] > 3);
    eventually("native histograms arrive", || !receiver.data().natives.is_empty());
    // One that takes 2.0 for 1.0 and answers 204 has read nothing: its answer does not say what it wrote.
    let before = receiver.data().find("nettleferry_open_calls", &[]).len();
    receiver.set_mode(Mode::AssumeVersion1);
    eventually("1.0 again", || receiver.data().find("nettleferry_open_calls", &[]).len() > before + 3);
    let changes = || receiver.data().find("nettleferry_push_version_changes_total", &[]);
    eventually("each change is counted", || changes().last().is_some_and(|t| t.value >= 3.0));
    let kept = receiver.data();
    assert_eq!(kept.faults, Vec::<String>::new());
    let rounds = kept.find("nettleferry_open_calls", &[]);
    assert!(rounds.windows(2).all(|w| w[0].at_ms < w[1].at_ms));
}

#[test]
fn one_invalid_series_costs_itself_alone() {
    let fleet = Fleet::new(1, SPEC);
    let receiver = Receiver::start(Mode::RejectLabelValue("nettleferry_load_orders_sent_total".to_owned()))
        .expect("listens");
    let gateway = serve(&settings(&receiver), &fleet.list());
    call(&gateway, 6);
    eventually("its neighbours arrive", || served(&receiver.data()) == 6.0);
    let refused = || receiver.data().find("nettleferry_push_samples_total", &[("end", "refused")]);
    eventually("the rejected samples are counted", || refused().last().is_some_and(|t| t.value > 0.0));
    let kept = receiver.data();
    assert!(kept.find("nettleferry_load_orders_sent_total", &[]).is_empty());
    assert_eq!(kept.faults, Vec::<String>::new());
    // All other series of the registry are there.
    assert!(!kept.find("nettleferry_workers", &[]).is_empty() && !kept.natives.is_empty());
}

#[test]
fn slow_or_faulty_receiver_gets_every_round_once() {
    let fleet = Fleet::new(1, SPEC);
    let receiver = Receiver::start(Mode::CutRequest(2_000)).expect("listens");
    let settings = settings(&receiver).replace("(every 40ms)", "(every 200ms) (timeout 2s)");
    let gateway = serve(&settings, &fleet.list());
    call(&gateway, 2);
    let retries = |kept: &ReceivedData| {
        kept.find("nettleferry_push_retries_total", &[]).last().map_or(0.0, |t| t.value)
    };
    let rounds = || receiver.data().find("nettleferry_open_calls", &[]);
    // Half a request is no request.
    let mut caller = Caller::new(gateway.address);
    for _ in 0..20 {
        let rpc = caller.unary("echo");
        assert_eq!(caller.status(rpc).0.code, Code::Ok);
    }
    receiver.set_mode(Mode::CutAnswer);
    eventually("batches come again", || receiver.data().repeated > 0);
    receiver.set_mode(Mode::Slow(std::time::Duration::from_millis(300)));
    let then = rounds().len();
    eventually("a slow one takes them", || rounds().len() > then + 3);
    receiver.set_mode(Mode::Accept);
    eventually("all calls have arrived", || served(&receiver.data()) == 22.0);
    eventually("retries are counted", || retries(&receiver.data()) > 0.0);
    let kept = receiver.data();
    assert_eq!(kept.faults, Vec::<String>::new());
    assert!(rounds().windows(2).all(|w| w[0].at_ms < w[1].at_ms));
}

/// A write-ahead log whose folder is gone: samples are sent from memory, and the failures are counted.
#[test]
fn failing_write_ahead_log_is_reported_and_stops_nothing() {
    let fleet = Fleet::new(1, SPEC);
    let receiver = Receiver::start(Mode::Accept).expect("listens");
    let gateway = serve(
        // Small segments: the next one is soon wanted.
        &settings(&receiver).replace("(every 40ms)", "(every 40ms) (spool-size 1MiB)"),
        &fleet.list(),
    );
    eventually("the first round arrives", || served(&receiver.data()) == 0.0);
    // A file in the folder's place: nothing can be opened, made or removed there.
    let log_folder = gateway.dir.path().join("spool");
    std::fs::rename(&log_folder, gateway.dir.path().join("away")).expect("renamed");
    std::fs::write(&log_folder, "").expect("written");
    call(&gateway, 4);
    eventually("calls arrive all the same", || served(&receiver.data()) == 4.0);
    let failed = || receiver.data().find("nettleferry_spool_failures_total", &[]);
    eventually("the failure is counted", || failed().last().is_some_and(|t| t.value > 0.0));
    std::fs::remove_file(&log_folder).expect("removed");
    std::fs::rename(gateway.dir.path().join("away"), &log_folder).expect("renamed");
    let failures = failed().last().map_or(0.0, |t| t.value);
    let then = failed().len();
    eventually("rounds go on", || failed().len() > then + 8);
    eventually("it works again", || {
        let all = failed();
        all.len() > 4
            && all[all.len() - 4..].iter().all(|t| t.value == all[all.len() - 1].value && t.value >= failures)
    });
    assert_eq!(receiver.data().faults, Vec::<String>::new());
}

/// A log damaged while the controller was away: valid records are sent, and nothing else.
#[test]
fn damaged_write_ahead_log_yields_valid_records_alone() {
    let fleet = Fleet::new(1, SPEC);
    let receiver = Receiver::start(Mode::Answer(503, None)).expect("listens");
    let gateway = serve(&settings(&receiver), &fleet.list());
    call(&gateway, 5);
    // Counted by the log itself: one round may have several rejected attempts.
    let kept = || {
        let files = std::fs::read_dir(gateway.dir.path().join("spool")).into_iter().flatten().flatten();
        files.filter_map(|file| file.metadata().ok()).map(|m| m.len()).sum::<u64>()
    };
    eventually("the first round is kept", || kept() > 0);
    let first = kept();
    eventually("a dozen rounds are kept", || kept() > first * 12);
    gateway.signal("KILL");
    let dir = tempfile::tempdir().expect("a folder");
    let log_folder = dir.path().join("spool");
    std::fs::rename(gateway.dir.path().join("spool"), &log_folder).expect("the log exists");
    std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("written");
    drop(gateway);
    let mut files: Vec<_> =
        std::fs::read_dir(&log_folder).expect("there").map(|e| e.expect("readable").path()).collect();
    files.sort();
    let mut bytes = std::fs::read(&files[0]).expect("readable");
    let (middle, tail) = (bytes.len() / 2, bytes.len() - 7);
    bytes[middle] ^= 0x10;
    bytes.truncate(tail);
    std::fs::write(&files[0], bytes).expect("written");
    receiver.set_mode(Mode::Accept);
    let _next = serve_in(dir, &settings(&receiver), None);
    let rounds = || receiver.data().find(CALLS, &SERVED);
    eventually("rounds of the new incarnation arrive", || {
        let all = rounds();
        all.iter().position(|t| is_stale(t.value)).is_some_and(|at| at + 2 < all.len())
    });
    let kept = receiver.data();
    assert_eq!(kept.faults, Vec::<String>::new());
    let all = rounds();
    let marker = all.iter().position(|t| is_stale(t.value)).expect("just seen");
    assert!(marker > 2, "valid rounds of the old incarnation are there");
    assert!(all[..marker].iter().all(|t| (0.0..=5.0).contains(&t.value)), "{all:?}");
}

#[test]
fn samples_queued_during_an_outage_arrive_in_order() {
    let fleet = Fleet::new(1, SPEC);
    let receiver = Receiver::start(Mode::Answer(503, None)).expect("listens");
    let gateway = serve(&settings(&receiver), &fleet.list());
    call(&gateway, 5);
    eventually("it is tried again and again", || receiver.data().rejected > 5);
    let back =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970").as_millis();
    receiver.set_mode(Mode::Accept);
    eventually("five calls arrive", || served(&receiver.data()) == 5.0);
    // Series of other shards come by batches of their own.
    let rounds = || receiver.data().find("nettleferry_open_calls", &[]);
    eventually("later rounds arrive", || rounds().last().is_some_and(|t| t.at_ms > back as i64));
    let kept = receiver.data();
    assert_eq!((kept.faults, kept.repeated), (Vec::new(), 0));
    let rounds = rounds();
    assert!(rounds[0].at_ms < back as i64, "rounds of the time away are there");
    assert!(rounds.windows(2).all(|w| w[0].at_ms < w[1].at_ms), "in order, once each");
}

#[test]
fn lost_response_repeats_the_same_values_and_rejection_repeats_nothing() {
    let fleet = Fleet::new(1, SPEC);
    let receiver = Receiver::start(Mode::LoseAcknowledgement).expect("listens");
    let gateway = serve(&settings(&receiver), &fleet.list());
    eventually("batches come again", || receiver.data().repeated > 0);
    // Refused whatever is in it: a 400 would be searched for what is bad.
    receiver.set_mode(Mode::Answer(403, None));
    eventually("batches are refused", || receiver.data().rejected > 2);
    receiver.set_mode(Mode::Accept);
    call(&gateway, 2);
    eventually("later ones arrive", || served(&receiver.data()) == 2.0);
    let kept = receiver.data();
    assert_eq!(kept.faults, Vec::<String>::new());
    let refused = || receiver.data().find("nettleferry_push_samples_total", &[("end", "refused")]);
    eventually("the rejection is counted in a series that arrives", || {
        refused().last().is_some_and(|t| t.value > 0.0)
    });
}

#[test]
fn samples_of_a_killed_controller_are_sent_by_its_next_incarnation() {
    let fleet = Fleet::new(1, SPEC);
    let receiver = Receiver::start(Mode::Accept).expect("listens");
    let gateway = serve(&settings(&receiver), &fleet.list());
    call(&gateway, 4);
    eventually("four calls arrive", || served(&receiver.data()) == 4.0);
    // From here on nothing is acknowledged; two more calls are in samples that only the log has.
    receiver.set_mode(Mode::Answer(503, None));
    let away = receiver.data().find("nettleferry_open_calls", &[]).len();
    call(&gateway, 2);
    let before = receiver.data().rejected;
    eventually("rounds pass", || receiver.data().rejected > before + 6);
    gateway.signal("KILL");
    let dir = tempfile::tempdir().expect("a folder");
    std::fs::rename(gateway.dir.path().join("spool"), dir.path().join("spool")).expect("the log exists");
    std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("written");
    drop(gateway);
    receiver.set_mode(Mode::Accept);
    let _next = serve_in(dir, &settings(&receiver), None);
    let samples = || receiver.data().find(CALLS, &SERVED);
    eventually("the next life's own samples arrive", || {
        let all = samples();
        let marker = all.iter().position(|t| is_stale(t.value));
        marker.is_some_and(|at| at + 1 < all.len())
    });
    let kept = receiver.data();
    assert_eq!(kept.faults, Vec::<String>::new());
    let all = samples();
    let marker = all.iter().position(|t| is_stale(t.value)).expect("just seen");
    assert!(marker > away, "{marker} samples of the old life; {away} had come before it was away");
    assert_eq!(all[marker - 1].value, 6.0, "the last word of the old life");
    assert_eq!(all[marker + 1].value, 0.0, "the new one counts anew");
    assert!(all[marker + 1].created_ms > all[marker - 1].created_ms);
    assert!(all.windows(2).all(|w| w[0].at_ms < w[1].at_ms));
}

/// The receiver has written what it never acknowledged; the next life sends it again, with the same values.
#[test]
fn kill_between_write_and_acknowledgement_repeats_unchanged_samples() {
    let fleet = Fleet::new(1, SPEC);
    let receiver = Receiver::start(Mode::LoseAcknowledgement).expect("listens");
    let gateway = serve(&settings(&receiver), &fleet.list());
    call(&gateway, 3);
    eventually("it is written and not acknowledged", || served(&receiver.data()) >= 0.0);
    gateway.signal("KILL");
    let dir = tempfile::tempdir().expect("a folder");
    std::fs::rename(gateway.dir.path().join("spool"), dir.path().join("spool")).expect("the log exists");
    std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("written");
    drop(gateway);
    let before = receiver.data().repeated;
    receiver.set_mode(Mode::Accept);
    let _next = serve_in(dir, &settings(&receiver), None);
    eventually("a marker and a new life", || {
        let all = receiver.data().find(CALLS, &SERVED);
        all.iter().position(|t| is_stale(t.value)).is_some_and(|at| at + 1 < all.len())
    });
    let kept = receiver.data();
    assert_eq!(kept.faults, Vec::<String>::new());
    assert!(kept.repeated > before, "what it had is sent again, the same");
}
