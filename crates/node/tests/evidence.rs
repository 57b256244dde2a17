//! Counters and log data from which the cause of a lost request can be found afterwards: connections that end with
//! requests open, an old list, and the progress of a shutdown.

mod common;
use std::net::Shutdown;
use std::time::Instant;

use common::harness::{NodeHarness, wire_id};
use nettleferry_node::log_budget::{LINES_PER_SPAN, LogBudget, SPAN};
use nettleferry_node::node::ShutdownWait;
use nettleferry_node::reasons::CloseReason;

const ROW: u64 = 9;

#[test]
fn connections_that_end_with_requests_open_are_counted_by_reason() {
    let mut harness = NodeHarness::start(1, |_| ());
    let (mut with_request, without) = (harness.client(), harness.client());
    with_request.send_request(1, "safe", 1, ROW, b"");
    harness.wait_for_command(0, "CALL", &wire_id(1));
    for client in [&with_request, &without] {
        client.socket.shutdown(Shutdown::Write).expect("open");
    }
    harness.until("both connections to be counted", |harness| {
        let reasons = harness.node.counters().reasons;
        (reasons.closes(CloseReason::ClientEnded) == 2).then_some(())
    });
    let reasons = harness.node.counters().reasons;
    assert_eq!(reasons.closes_with_requests(CloseReason::ClientEnded), 1);
    assert_eq!(reasons.closes_with_requests(CloseReason::Broken), 0);
}

#[test]
fn shutdown_reports_what_it_waits_for() {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut client = harness.client();
    client.send_request(1, "safe", 1, ROW, b"");
    harness.wait_for_command(0, "CALL", &wire_id(1));
    assert_eq!(harness.node.shutdown_waits_for(), None, "shutdown has not begun");
    harness.node.begin_shutdown();
    assert_eq!(harness.node.shutdown_waits_for(), Some(ShutdownWait::OpenRequests));
    harness.invokers[0].serve(|_| true);
    harness.until("the call to be served", |_| (!client.answer_codes(1).is_empty()).then_some(()));
    assert_eq!(harness.node.shutdown_waits_for(), Some(ShutdownWait::QuietSpan));
    harness.until("the end of the quiet span", |harness| harness.node.is_done().then_some(()));
    assert_eq!(harness.node.shutdown_waits_for(), None);
}

#[test]
fn unconfirmed_list_is_counted_as_old_once() {
    let mut harness = NodeHarness::start(1, |_| ());
    let outages = |harness: &NodeHarness| harness.node.counters().list_outages;
    harness.until("the list to become old", |harness| (outages(harness) > 0).then_some(()));
    for _ in 0..100 {
        harness.iterate();
    }
    assert_eq!(outages(&harness), 1, "one outage");
    // A response with the same list confirms it. When it becomes old again, that counts as another outage.
    let query = harness.next_query();
    harness.answer_query(query, 2, &[(0, false)]);
    harness.until("the list to become old again", |harness| (outages(harness) > 1).then_some(()));
}

#[test]
fn log_lines_of_one_kind_are_limited_and_suppressed_ones_are_counted() {
    let (mut budget, began) = (LogBudget::default(), Instant::now());
    let lines = (0..100).filter(|_| budget.take(began).is_some()).count();
    assert_eq!(lines, LINES_PER_SPAN as usize);
    assert_eq!(budget.take(began + SPAN), Some(100 - u64::from(LINES_PER_SPAN)));
    assert_eq!(budget.take(began + SPAN), Some(0));
}
