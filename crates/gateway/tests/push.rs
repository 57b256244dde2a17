//! Remote write on whole paths: a receiver that takes, speaks 1.0 alone, is away, forgets; a controller that is
//! killed in between.

mod common;
use common::*;

use nettleferry_net::grpc::Code;
use nettleferry_proto::remote_write::is_stale;
use nettleferry_standin::receiver::{Kept, Mode, Receiver};

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
fn served(kept: &Kept) -> f64 {
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
fn figures_arrive_in_order_with_their_created_timestamps() {
    let fleet = Fleet::new(1, SPEC);
    let receiver = Receiver::start(Mode::Take).expect("listens");
    let gateway = serve(&settings(&receiver), &fleet.list());
    eventually("zeros arrive before any call", || served(&receiver.kept()) == 0.0);
    call(&gateway, 7);
    eventually("seven calls arrive", || served(&receiver.kept()) == 7.0);
    let kept = receiver.kept();
    assert_eq!(kept.faults, Vec::<String>::new());
    assert!(kept.requests[0] > 0 && kept.requests[1] == 0, "version 2.0");
    let samples = kept.find(CALLS, &[("instance", "c0"), SERVED[0], SERVED[1], SERVED[2], SERVED[3]]);
    assert!(samples.iter().all(|s| s.created_ms.is_some_and(|c| c <= s.at_ms)));
    assert!(samples.windows(2).all(|w| w[0].at_ms < w[1].at_ms && w[0].value <= w[1].value));
}

#[test]
fn a_receiver_of_version_one_is_spoken_to_in_it() {
    let fleet = Fleet::new(1, SPEC);
    let receiver = Receiver::start(Mode::OnlyOne).expect("listens");
    let gateway = serve(&settings(&receiver), &fleet.list());
    call(&gateway, 3);
    eventually("three calls arrive", || served(&receiver.kept()) == 3.0);
    let kept = receiver.kept();
    assert!(kept.faults.is_empty() && kept.requests[0] == 0 && kept.turned_away >= 1, "{:?}", kept.faults);
}

#[test]
fn what_was_kept_while_the_receiver_was_away_arrives_in_order() {
    let fleet = Fleet::new(1, SPEC);
    let receiver = Receiver::start(Mode::Answer(503, None)).expect("listens");
    let gateway = serve(&settings(&receiver), &fleet.list());
    call(&gateway, 5);
    eventually("it is tried again and again", || receiver.kept().turned_away > 5);
    let back =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970").as_millis();
    receiver.be(Mode::Take);
    eventually("five calls arrive", || served(&receiver.kept()) == 5.0);
    // Series of other shards come by batches of their own.
    let rounds = || receiver.kept().find("nettleferry_open_calls", &[]);
    eventually("later rounds arrive", || rounds().last().is_some_and(|t| t.at_ms > back as i64));
    let kept = receiver.kept();
    assert_eq!((kept.faults, kept.repeated), (Vec::new(), 0));
    let rounds = rounds();
    assert!(rounds[0].at_ms < back as i64, "rounds of the time away are there");
    assert!(rounds.windows(2).all(|w| w[0].at_ms < w[1].at_ms), "in order, once each");
}

#[test]
fn a_lost_acknowledgement_repeats_the_same_values_and_a_refusal_repeats_nothing() {
    let fleet = Fleet::new(1, SPEC);
    let receiver = Receiver::start(Mode::Forget).expect("listens");
    let gateway = serve(&settings(&receiver), &fleet.list());
    eventually("batches come again", || receiver.kept().repeated > 0);
    receiver.be(Mode::Answer(400, None));
    eventually("batches are refused", || receiver.kept().turned_away > 2);
    receiver.be(Mode::Take);
    call(&gateway, 2);
    eventually("later ones arrive", || served(&receiver.kept()) == 2.0);
    let kept = receiver.kept();
    assert_eq!(kept.faults, Vec::<String>::new());
    let refused = || receiver.kept().find("nettleferry_push_samples_total", &[("end", "refused")]);
    eventually("the refusal is told in a series that arrives", || {
        refused().last().is_some_and(|t| t.value > 0.0)
    });
}

#[test]
fn a_killed_controller_s_samples_are_sent_by_its_next_life() {
    let fleet = Fleet::new(1, SPEC);
    let receiver = Receiver::start(Mode::Take).expect("listens");
    let gateway = serve(&settings(&receiver), &fleet.list());
    call(&gateway, 4);
    eventually("four calls arrive", || served(&receiver.kept()) == 4.0);
    // From here on nothing is acknowledged; two more calls are seen by samples that only the spool has.
    receiver.be(Mode::Answer(503, None));
    let away = receiver.kept().find("nettleferry_open_calls", &[]).len();
    call(&gateway, 2);
    let before = receiver.kept().turned_away;
    eventually("rounds pass", || receiver.kept().turned_away > before + 6);
    gateway.signal("KILL");
    let dir = tempfile::tempdir().expect("a folder");
    std::fs::rename(gateway.dir.path().join("spool"), dir.path().join("spool")).expect("the spool stands");
    std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("written");
    drop(gateway);
    receiver.be(Mode::Take);
    let _next = serve_in(dir, &settings(&receiver), None);
    let samples = || receiver.kept().find(CALLS, &SERVED);
    eventually("the next life's own samples arrive", || {
        let all = samples();
        let marker = all.iter().position(|t| is_stale(t.value));
        marker.is_some_and(|at| at + 1 < all.len())
    });
    let kept = receiver.kept();
    assert_eq!(kept.faults, Vec::<String>::new());
    let all = samples();
    let marker = all.iter().position(|t| is_stale(t.value)).expect("just seen");
    assert!(marker > away, "{marker} samples of the old life; {away} had come before it was away");
    assert_eq!(all[marker - 1].value, 6.0, "the last word of the old life");
    assert_eq!(all[marker + 1].value, 0.0, "the new one counts anew");
    assert!(all[marker + 1].created_ms > all[marker - 1].created_ms);
    assert!(all.windows(2).all(|w| w[0].at_ms < w[1].at_ms));
}
