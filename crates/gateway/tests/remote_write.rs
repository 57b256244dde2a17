//! Remote write from a controller to receivers that accept, support version 1.0 only, are unavailable or lose
//! acknowledgements, and from a controller that is killed in between.

mod common;
use common::*;

use nettleferry_net::grpc::Code;
use nettleferry_proto::remote_write::is_stale;
use nettleferry_test_servers::receiver::{Mode, ReceivedData, Receiver};

/// Metric that counts calls by class, end, model group and tenant.
const CALLS: &str = "nettleferry_calls_total";
/// Labels of the series that counts the calls of these tests that were served in time.
const SERVED: [(&str, &str); 4] =
    [("class", "quick"), ("end", "served_in_time"), ("model_group", "echo"), ("tenant", "none")];

/// Settings with remote write to this receiver, at short intervals.
fn settings(receiver: &Receiver) -> String {
    format!(
        "{SETTINGS}(figures (push (to \"{}\") (every 40ms) (batch-age 10ms) (spool \"spool\") (label instance \"c0\")))",
        receiver.address
    )
}

/// The number of served calls in the latest sample; -1 if there is none.
fn served(data: &ReceivedData) -> f64 {
    data.find(CALLS, &SERVED).last().map_or(-1.0, |sample| sample.value)
}

/// Makes this number of calls, one after another; each must be served.
fn call(gateway: &Program, count: usize) {
    let mut caller = Caller::new(gateway.address);
    for _ in 0..count {
        let rpc = caller.unary("echo");
        assert_eq!(caller.status(rpc).0.code, Code::Ok);
    }
}

#[test]
fn samples_arrive_in_order_with_their_created_timestamps() {
    let fleet = Fleet::new(1, SPEC);
    let receiver = Receiver::start(Mode::Accept).expect("receiver listens");
    let gateway = serve(&settings(&receiver), &fleet.list());
    eventually("zeros arrive before any call", || served(&receiver.data()) == 0.0);
    call(&gateway, 7);
    eventually("seven calls arrive", || served(&receiver.data()) == 7.0);
    let data = receiver.data();
    assert_eq!(data.faults, Vec::<String>::new());
    assert!(data.requests[0] > 0 && data.requests[1] == 0, "all requests are of version 2.0");
    let samples = data.find(CALLS, &[("instance", "c0"), SERVED[0], SERVED[1], SERVED[2], SERVED[3]]);
    assert!(samples.iter().all(|s| s.created_ms.is_some_and(|c| c <= s.at_ms)));
    assert!(samples.windows(2).all(|w| w[0].at_ms < w[1].at_ms && w[0].value <= w[1].value));
}

#[test]
fn receiver_of_version_one_gets_version_one() {
    let fleet = Fleet::new(1, SPEC);
    let receiver = Receiver::start(Mode::Version1Only).expect("receiver listens");
    let gateway = serve(&settings(&receiver), &fleet.list());
    call(&gateway, 3);
    eventually("three calls arrive", || served(&receiver.data()) == 3.0);
    let data = receiver.data();
    assert!(data.faults.is_empty() && data.requests[0] == 0 && data.rejected >= 1, "{:?}", data.faults);
}

/// A graceful shutdown sends a last round with all counts, then a staleness marker on each series.
#[test]
fn graceful_shutdown_flushes_samples_and_closes_series() {
    let fleet = Fleet::new(1, SPEC);
    let receiver = Receiver::start(Mode::Accept).expect("receiver listens");
    // One round an hour, so that everything after the first round comes from the shutdown flush.
    let settings = settings(&receiver).replace("(every 40ms)", "(every 1h)");
    let mut gateway = serve(&settings, &fleet.list());
    eventually("the first round arrives", || served(&receiver.data()) == 0.0);
    call(&gateway, 9);
    gateway.signal("TERM");
    assert!(gateway.wait().success());
    let data = receiver.data();
    assert_eq!(data.faults, Vec::<String>::new());
    let samples = data.find(CALLS, &SERVED);
    assert_eq!(samples.iter().map(|sample| sample.value).take(2).collect::<Vec<_>>(), [0.0, 9.0]);
    for (labels, samples) in &data.series {
        assert!(samples.len() == 3 && is_stale(samples[2].value), "{labels:?}: {samples:?}");
    }
    for (labels, histograms) in &data.natives {
        assert!(histograms.len() == 3 && is_stale(histograms[2].1.sum), "{labels:?}");
    }
    let (_, histograms) = data
        .natives
        .iter()
        .find(|(labels, _)| labels.iter().any(|(_, value)| value == "quick"))
        .expect("a native histogram of the class quick");
    assert_eq!((histograms[0].1.count, histograms[1].1.count), (0, 9));
    assert_eq!(histograms[1].1.buckets.iter().map(|bucket| bucket.1).sum::<u64>(), 9);
    // Nothing is left for the next incarnation to send.
    let dir = tempfile::tempdir().expect("temporary folder");
    std::fs::rename(gateway.dir.path().join("spool"), dir.path().join("spool")).expect("log folder moved");
    std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("worker list written");
    let _next = serve_in(dir, &settings, None);
    eventually("the first round of the next incarnation arrives", || served(&receiver.data()) == 0.0);
    let data = receiver.data();
    let samples = data.find(CALLS, &SERVED);
    assert_eq!((samples.len(), data.repeated, data.faults), (4, 0, Vec::new()), "no second staleness marker");
    assert!(samples[3].created_ms > samples[2].created_ms);
}

#[test]
fn unsent_flush_is_bounded_and_repeated_by_the_next_incarnation() {
    let fleet = Fleet::new(1, SPEC);
    let receiver = Receiver::start(Mode::Accept).expect("receiver listens");
    let settings = settings(&receiver).replace("(every 40ms)", "(every 1h) (farewell 300ms)");
    let mut gateway = serve(&settings, &fleet.list());
    eventually("the first round arrives", || served(&receiver.data()) == 0.0);
    receiver.set_mode(Mode::Answer(503, Some(3600)));
    call(&gateway, 3);
    gateway.signal("TERM");
    assert!(gateway.wait().success(), "the process exits with success although the receiver is unavailable");
    receiver.set_mode(Mode::Accept);
    let dir = tempfile::tempdir().expect("temporary folder");
    std::fs::rename(gateway.dir.path().join("spool"), dir.path().join("spool")).expect("log folder moved");
    std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("worker list written");
    let _next = serve_in(dir, &settings, None);
    let values =
        || receiver.data().find(CALLS, &SERVED).iter().map(|sample| sample.value).collect::<Vec<_>>();
    eventually("the flush and the first sample of the next incarnation arrive", || values().len() == 4);
    let values = values();
    assert!(values[..2] == [0.0, 3.0] && is_stale(values[2]) && values[3] == 0.0, "{values:?}");
    assert_eq!(receiver.data().faults, Vec::<String>::new());
}

#[test]
fn replaced_receiver_is_tried_again_with_version_two() {
    let fleet = Fleet::new(1, SPEC);
    let receiver = Receiver::start(Mode::Version1Only).expect("receiver listens");
    let settings = settings(&receiver).replace("(every 40ms)", "(every 40ms) (ask-again 200ms)");
    let _gateway = serve(&settings, &fleet.list());
    eventually("requests of version 1.0 arrive", || receiver.data().requests[1] > 3);
    receiver.set_mode(Mode::Accept);
    eventually("requests of version 2.0 arrive", || receiver.data().requests[0] > 3);
    eventually("native histograms arrive", || !receiver.data().natives.is_empty());
    // A receiver that parses 2.0 as 1.0 and answers 204 has stored nothing: its response has no count of written
    // samples, so that the sender falls back to 1.0.
    let rounds_before = receiver.data().find("nettleferry_open_calls", &[]).len();
    receiver.set_mode(Mode::AssumeVersion1);
    eventually("samples of version 1.0 arrive", || {
        receiver.data().find("nettleferry_open_calls", &[]).len() > rounds_before + 3
    });
    let version_changes = || receiver.data().find("nettleferry_push_version_changes_total", &[]);
    eventually("each change of version is counted", || {
        version_changes().last().is_some_and(|sample| sample.value >= 3.0)
    });
    let data = receiver.data();
    assert_eq!(data.faults, Vec::<String>::new());
    let rounds = data.find("nettleferry_open_calls", &[]);
    assert!(rounds.windows(2).all(|w| w[0].at_ms < w[1].at_ms));
}

#[test]
fn one_invalid_series_costs_itself_alone() {
    let fleet = Fleet::new(1, SPEC);
    let receiver = Receiver::start(Mode::RejectLabelValue("nettleferry_load_orders_sent_total".to_owned()))
        .expect("receiver listens");
    let gateway = serve(&settings(&receiver), &fleet.list());
    call(&gateway, 6);
    eventually("samples of other series arrive", || served(&receiver.data()) == 6.0);
    let rejected_samples = || receiver.data().find("nettleferry_push_samples_total", &[("end", "refused")]);
    eventually("the rejected samples are counted", || {
        rejected_samples().last().is_some_and(|sample| sample.value > 0.0)
    });
    let data = receiver.data();
    assert!(data.find("nettleferry_load_orders_sent_total", &[]).is_empty());
    assert_eq!(data.faults, Vec::<String>::new());
    // Other series have arrived.
    assert!(!data.find("nettleferry_workers", &[]).is_empty() && !data.natives.is_empty());
}

#[test]
fn slow_or_faulty_receiver_gets_every_round_once() {
    let fleet = Fleet::new(1, SPEC);
    let receiver = Receiver::start(Mode::CutRequest(2_000)).expect("receiver listens");
    let settings = settings(&receiver).replace("(every 40ms)", "(every 200ms) (timeout 2s)");
    let gateway = serve(&settings, &fleet.list());
    call(&gateway, 2);
    let retries = |data: &ReceivedData| {
        data.find("nettleferry_push_retries_total", &[]).last().map_or(0.0, |sample| sample.value)
    };
    let rounds = || receiver.data().find("nettleferry_open_calls", &[]);
    // The receiver closes the connection within a request; the samples of a partial request must be sent again.
    let mut caller = Caller::new(gateway.address);
    for _ in 0..20 {
        let rpc = caller.unary("echo");
        assert_eq!(caller.status(rpc).0.code, Code::Ok);
    }
    receiver.set_mode(Mode::CutAnswer);
    eventually("batches are sent again", || receiver.data().repeated > 0);
    receiver.set_mode(Mode::Slow(std::time::Duration::from_millis(300)));
    let rounds_before = rounds().len();
    eventually("the slow receiver stores rounds", || rounds().len() > rounds_before + 3);
    receiver.set_mode(Mode::Accept);
    eventually("all calls have arrived", || served(&receiver.data()) == 22.0);
    eventually("retries are counted", || retries(&receiver.data()) > 0.0);
    let data = receiver.data();
    assert_eq!(data.faults, Vec::<String>::new());
    assert!(rounds().windows(2).all(|w| w[0].at_ms < w[1].at_ms));
}

/// While the folder of the write-ahead log is missing, samples are sent from memory and the failures are counted.
#[test]
fn failing_write_ahead_log_is_reported_and_stops_nothing() {
    let fleet = Fleet::new(1, SPEC);
    let receiver = Receiver::start(Mode::Accept).expect("receiver listens");
    let gateway = serve(
        // Small segments, so that the log soon has to open the next one.
        &settings(&receiver).replace("(every 40ms)", "(every 40ms) (spool-size 1MiB)"),
        &fleet.list(),
    );
    eventually("the first round arrives", || served(&receiver.data()) == 0.0);
    // A file replaces the folder: nothing can be opened, created or removed in it.
    let log_folder = gateway.dir.path().join("spool");
    std::fs::rename(&log_folder, gateway.dir.path().join("away")).expect("log folder renamed");
    std::fs::write(&log_folder, "").expect("file written in place of the folder");
    call(&gateway, 4);
    eventually("the calls arrive although the log fails", || served(&receiver.data()) == 4.0);
    let failure_samples = || receiver.data().find("nettleferry_spool_failures_total", &[]);
    eventually("the failures are counted", || {
        failure_samples().last().is_some_and(|sample| sample.value > 0.0)
    });
    std::fs::remove_file(&log_folder).expect("file removed");
    std::fs::rename(gateway.dir.path().join("away"), &log_folder).expect("log folder renamed back");
    let failures = failure_samples().last().map_or(0.0, |sample| sample.value);
    let rounds_before = failure_samples().len();
    eventually("further rounds arrive", || failure_samples().len() > rounds_before + 8);
    eventually("the number of failures no longer grows", || {
        let samples = failure_samples();
        samples.len() > 4
            && samples[samples.len() - 4..]
                .iter()
                .all(|sample| sample.value == samples[samples.len() - 1].value && sample.value >= failures)
    });
    assert_eq!(receiver.data().faults, Vec::<String>::new());
}

/// A log that was damaged while the controller was down: only its valid records are sent.
#[test]
fn damaged_write_ahead_log_yields_valid_records_alone() {
    let fleet = Fleet::new(1, SPEC);
    let receiver = Receiver::start(Mode::Answer(503, None)).expect("receiver listens");
    let gateway = serve(&settings(&receiver), &fleet.list());
    call(&gateway, 5);
    // Rounds are counted by the size of the log, since one round may have several rejected attempts.
    let log_bytes = || {
        let files = std::fs::read_dir(gateway.dir.path().join("spool")).into_iter().flatten().flatten();
        files.filter_map(|file| file.metadata().ok()).map(|metadata| metadata.len()).sum::<u64>()
    };
    eventually("the first round is logged", || log_bytes() > 0);
    let first_round_bytes = log_bytes();
    eventually("a dozen rounds are logged", || log_bytes() > first_round_bytes * 12);
    gateway.signal("KILL");
    let dir = tempfile::tempdir().expect("temporary folder");
    let log_folder = dir.path().join("spool");
    std::fs::rename(gateway.dir.path().join("spool"), &log_folder).expect("log folder moved");
    std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("worker list written");
    drop(gateway);
    let mut files: Vec<_> = std::fs::read_dir(&log_folder)
        .expect("log folder readable")
        .map(|entry| entry.expect("directory entry readable").path())
        .collect();
    files.sort();
    let mut bytes = std::fs::read(&files[0]).expect("segment readable");
    let (middle, truncated_length) = (bytes.len() / 2, bytes.len() - 7);
    bytes[middle] ^= 0x10;
    bytes.truncate(truncated_length);
    std::fs::write(&files[0], bytes).expect("damaged segment written");
    receiver.set_mode(Mode::Accept);
    let _next = serve_in(dir, &settings(&receiver), None);
    let rounds = || receiver.data().find(CALLS, &SERVED);
    eventually("rounds of the new incarnation arrive", || {
        let samples = rounds();
        samples
            .iter()
            .position(|sample| is_stale(sample.value))
            .is_some_and(|index| index + 2 < samples.len())
    });
    let data = receiver.data();
    assert_eq!(data.faults, Vec::<String>::new());
    let samples = rounds();
    let marker = samples.iter().position(|sample| is_stale(sample.value)).expect("a staleness marker");
    assert!(marker > 2, "valid rounds of the killed incarnation must arrive");
    assert!(samples[..marker].iter().all(|s| (0.0..=5.0).contains(&s.value)), "{samples:?}");
}

#[test]
fn samples_queued_during_an_outage_arrive_in_order() {
    let fleet = Fleet::new(1, SPEC);
    let receiver = Receiver::start(Mode::Answer(503, None)).expect("receiver listens");
    let gateway = serve(&settings(&receiver), &fleet.list());
    call(&gateway, 5);
    eventually("the receiver has rejected several requests", || receiver.data().rejected > 5);
    let outage_end_ms =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970").as_millis();
    receiver.set_mode(Mode::Accept);
    eventually("five calls arrive", || served(&receiver.data()) == 5.0);
    // Only one series is compared, since other shards send their series in separate batches.
    let rounds = || receiver.data().find("nettleferry_open_calls", &[]);
    eventually("rounds from after the outage arrive", || {
        rounds().last().is_some_and(|t| t.at_ms > outage_end_ms as i64)
    });
    let data = receiver.data();
    assert_eq!((data.faults, data.repeated), (Vec::new(), 0));
    let rounds = rounds();
    assert!(rounds[0].at_ms < outage_end_ms as i64, "rounds from during the outage must arrive");
    assert!(rounds.windows(2).all(|w| w[0].at_ms < w[1].at_ms), "each round arrives once and in order");
}

#[test]
fn lost_response_repeats_the_same_values_and_rejection_repeats_nothing() {
    let fleet = Fleet::new(1, SPEC);
    let receiver = Receiver::start(Mode::LoseAcknowledgement).expect("receiver listens");
    let gateway = serve(&settings(&receiver), &fleet.list());
    eventually("batches are sent again", || receiver.data().repeated > 0);
    // 403 rejects a batch whatever it contains. After a 400, the sender would split the batch to find the invalid
    // series.
    receiver.set_mode(Mode::Answer(403, None));
    eventually("batches are rejected", || receiver.data().rejected > 2);
    receiver.set_mode(Mode::Accept);
    call(&gateway, 2);
    eventually("later samples arrive", || served(&receiver.data()) == 2.0);
    let data = receiver.data();
    assert_eq!(data.faults, Vec::<String>::new());
    let rejected_samples = || receiver.data().find("nettleferry_push_samples_total", &[("end", "refused")]);
    eventually("the rejection is counted in a series that arrives", || {
        rejected_samples().last().is_some_and(|sample| sample.value > 0.0)
    });
}

#[test]
fn samples_of_a_killed_controller_are_sent_by_its_next_incarnation() {
    let fleet = Fleet::new(1, SPEC);
    let receiver = Receiver::start(Mode::Accept).expect("receiver listens");
    let gateway = serve(&settings(&receiver), &fleet.list());
    call(&gateway, 4);
    eventually("four calls arrive", || served(&receiver.data()) == 4.0);
    // From here on nothing is acknowledged; the samples of two more calls are in the log only.
    receiver.set_mode(Mode::Answer(503, None));
    let rounds_before = receiver.data().find("nettleferry_open_calls", &[]).len();
    call(&gateway, 2);
    let rejected_before = receiver.data().rejected;
    eventually("the receiver has rejected further requests", || {
        receiver.data().rejected > rejected_before + 6
    });
    gateway.signal("KILL");
    let dir = tempfile::tempdir().expect("temporary folder");
    std::fs::rename(gateway.dir.path().join("spool"), dir.path().join("spool")).expect("log folder moved");
    std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("worker list written");
    drop(gateway);
    receiver.set_mode(Mode::Accept);
    let _next = serve_in(dir, &settings(&receiver), None);
    let samples = || receiver.data().find(CALLS, &SERVED);
    eventually("samples of the next incarnation arrive", || {
        let samples = samples();
        let marker = samples.iter().position(|sample| is_stale(sample.value));
        marker.is_some_and(|index| index + 1 < samples.len())
    });
    let data = receiver.data();
    assert_eq!(data.faults, Vec::<String>::new());
    let samples = samples();
    let marker = samples.iter().position(|sample| is_stale(sample.value)).expect("a staleness marker");
    assert!(
        marker > rounds_before,
        "{marker} samples of the killed incarnation; {rounds_before} had arrived before the outage"
    );
    assert_eq!(samples[marker - 1].value, 6.0, "the last sample of the killed incarnation");
    assert_eq!(samples[marker + 1].value, 0.0, "the next incarnation counts from 0");
    assert!(samples[marker + 1].created_ms > samples[marker - 1].created_ms);
    assert!(samples.windows(2).all(|w| w[0].at_ms < w[1].at_ms));
}

/// The receiver stored samples that it never acknowledged; the next incarnation sends them again with the same values.
#[test]
fn kill_between_write_and_acknowledgement_repeats_unchanged_samples() {
    let fleet = Fleet::new(1, SPEC);
    let receiver = Receiver::start(Mode::LoseAcknowledgement).expect("receiver listens");
    let gateway = serve(&settings(&receiver), &fleet.list());
    call(&gateway, 3);
    eventually("samples are stored without an acknowledgement", || served(&receiver.data()) >= 0.0);
    gateway.signal("KILL");
    let dir = tempfile::tempdir().expect("temporary folder");
    std::fs::rename(gateway.dir.path().join("spool"), dir.path().join("spool")).expect("log folder moved");
    std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("worker list written");
    drop(gateway);
    let repeated_before = receiver.data().repeated;
    receiver.set_mode(Mode::Accept);
    let _next = serve_in(dir, &settings(&receiver), None);
    eventually("a staleness marker and a sample of the next incarnation arrive", || {
        let samples = receiver.data().find(CALLS, &SERVED);
        samples
            .iter()
            .position(|sample| is_stale(sample.value))
            .is_some_and(|index| index + 1 < samples.len())
    });
    let data = receiver.data();
    assert_eq!(data.faults, Vec::<String>::new());
    assert!(data.repeated > repeated_before, "samples that the receiver has are sent again unchanged");
}
