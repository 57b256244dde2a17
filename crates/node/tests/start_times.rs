//! Starts of workers as the directory tells them, by a wall clock that is not ours: one of the two may have been stepped.

mod common;

use std::time::{SystemTime, UNIX_EPOCH};

use common::harness::{Client, NodeHarness, name};
use common::{REFUSED, SERVED};

/// A step of a wall clock.
const HOUR_MS: u64 = 3_600_000;
/// A cold worker bears a call of this work only after some 1.3 s: 0.5 of a core at first.
const AIM_MS: u64 = 3_000;
const CALL: u64 = 5;

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

/// A node that hears in its second list that its one worker started then.
fn told_of_a_start(started_ms: u64) -> (NodeHarness, Client) {
    let mut harness = NodeHarness::start(1, |config| {
        for class in config["settings"]["classes"].as_array_mut().expect("classes") {
            class["goal_time_ms"] = AIM_MS.into();
        }
    });
    let query = harness.query();
    harness.answer(query, 1, &[(0, false)]);
    let query = harness.query();
    harness.answer_born(query, 2, 0, started_ms);
    // The list is in force once the node asks again.
    harness.query();
    let mut client = harness.client();
    client.ask(1, "safe", CALL, 9, b"ab");
    (harness, client)
}

/// Serves what comes until the call has its answer.
fn answer(harness: &mut NodeHarness, client: &mut Client) -> u8 {
    harness.until("an answer", |harness| {
        harness.invokers[0].serve(|_| true);
        harness.invokers[0].load(|_| true);
        client.codes(1).first().copied()
    })
}

#[test]
fn start_time_in_the_future_is_taken_as_now() {
    let (mut harness, mut client) = told_of_a_start(unix_ms() + HOUR_MS);
    let code = answer(&mut harness, &mut client);
    assert_ne!(code, REFUSED, "a worker is not cold for an hour");
    assert_eq!(code, SERVED);
}

#[test]
fn new_start_time_is_not_taken_for_an_old_one() {
    let (mut harness, mut client) = told_of_a_start(unix_ms() - HOUR_MS);
    // A warm worker would have it long before the node asks its directory again.
    harness.query();
    assert_eq!(harness.sends(&name(CALL)), 0, "it is as cold as one that has just started");
    assert_eq!(answer(&mut harness, &mut client), SERVED);
}
