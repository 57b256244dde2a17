//! Start times of workers that the directory states by its own wall clock: either clock may have been stepped.

mod common;

use std::time::{SystemTime, UNIX_EPOCH};

use common::harness::{Client, NodeHarness, wire_id};
use common::{REFUSED, SERVED};

/// The step of a wall clock.
const HOUR_MS: u64 = 3_600_000;
/// Goal time of a call, milliseconds. A cold worker starts with 0.5 of a core and is sent a call of this size only
/// after about 1.3 s.
const GOAL_TIME_MS: u64 = 3_000;
const CALL: u64 = 5;

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

/// Starts a node whose second list states the start time of its only worker, and sends a call.
fn start_with_listed_start(started_ms: u64) -> (NodeHarness, Client) {
    let mut harness = NodeHarness::start(1, |config| {
        for class in config["settings"]["classes"].as_array_mut().expect("classes") {
            class["goal_time_ms"] = GOAL_TIME_MS.into();
        }
    });
    let query = harness.next_query();
    harness.answer_query(query, 1, &[(0, false)]);
    let query = harness.next_query();
    harness.answer_query_with_start(query, 2, 0, started_ms);
    // The list is applied when the node sends its next query.
    harness.next_query();
    let mut client = harness.client();
    client.send_request(1, "safe", CALL, 9, b"ab");
    (harness, client)
}

/// Serves all commands until the call has its answer.
fn wait_for_code(harness: &mut NodeHarness, client: &mut Client) -> u8 {
    harness.until("an answer", |harness| {
        harness.invokers[0].serve(|_| true);
        harness.invokers[0].complete_loads(|_| true);
        client.answer_codes(1).first().copied()
    })
}

#[test]
fn start_time_in_the_future_is_replaced_by_now() {
    let (mut harness, mut client) = start_with_listed_start(unix_ms() + HOUR_MS);
    let code = wait_for_code(&mut harness, &mut client);
    assert_ne!(code, REFUSED, "a worker is not cold for an hour");
    assert_eq!(code, SERVED);
}

#[test]
fn new_start_time_that_is_implausibly_old_is_replaced_by_now() {
    let (mut harness, mut client) = start_with_listed_start(unix_ms() - HOUR_MS);
    // A warm worker would receive the call long before the next query to the directory.
    harness.next_query();
    assert_eq!(harness.call_count(&wire_id(CALL)), 0, "the worker counts as just started");
    assert_eq!(wait_for_code(&mut harness, &mut client), SERVED);
}
