//! What a process tells of connections that end under requests, of an old list and of its own end: what is needed to find
//! the cause of a lost request afterwards.

mod common;
use std::net::Shutdown;
use std::time::Instant;

use common::harness::{NodeHarness, name};
use nettleferry_node::log_budget::{LINES_PER_SPAN, LogBudget, SPAN};
use nettleferry_node::node::ShutdownWait;
use nettleferry_node::reasons::CloseReason;

const ROW: u64 = 9;

#[test]
fn connections_that_end_with_requests_open_are_counted_by_reason() {
    let mut harness = NodeHarness::start(1, |_| ());
    let (mut with_request, without) = (harness.client(), harness.client());
    with_request.ask(1, "safe", 1, ROW, b"");
    harness.at(0, "CALL", &name(1));
    for client in [&with_request, &without] {
        client.socket.shutdown(Shutdown::Write).expect("open");
    }
    harness.until("both ends are counted", |harness| {
        let reasons = harness.node.counters().reasons;
        (reasons.closes(CloseReason::ClientEnded) == 2).then_some(())
    });
    let reasons = harness.node.counters().reasons;
    assert_eq!(reasons.closes_with_requests(CloseReason::ClientEnded), 1);
    assert_eq!(reasons.closes_with_requests(CloseReason::Broken), 0);
}

#[test]
fn shutdown_tells_what_it_waits_for() {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut client = harness.client();
    client.ask(1, "safe", 1, ROW, b"");
    harness.at(0, "CALL", &name(1));
    assert_eq!(harness.node.shutdown_waits_for(), None, "it was not begun");
    harness.node.begin_shutdown();
    assert_eq!(harness.node.shutdown_waits_for(), Some(ShutdownWait::OpenRequests));
    harness.invokers[0].serve(|_| true);
    harness.until("it is served", |_| (!client.codes(1).is_empty()).then_some(()));
    assert_eq!(harness.node.shutdown_waits_for(), Some(ShutdownWait::QuietSpan));
    harness.until("the quiet span is over", |harness| harness.node.is_done().then_some(()));
    assert_eq!(harness.node.shutdown_waits_for(), None);
}

#[test]
fn list_that_no_answer_confirms_is_counted_as_old_once() {
    let mut harness = NodeHarness::start(1, |_| ());
    let outages = |harness: &NodeHarness| harness.node.counters().list_outages;
    harness.until("the list is old", |harness| (outages(harness) > 0).then_some(()));
    for _ in 0..100 {
        harness.turn();
    }
    assert_eq!(outages(&harness), 1, "one outage");
    // An answer with the same list confirms it: the next outage is another.
    let query = harness.query();
    harness.answer(query, 2, &[(0, false)]);
    harness.until("it is old again", |harness| (outages(harness) > 1).then_some(()));
}

#[test]
fn lines_of_one_kind_are_bounded_and_those_left_out_are_told() {
    let (mut budget, began) = (LogBudget::default(), Instant::now());
    let lines = (0..100).filter(|_| budget.take(began).is_some()).count();
    assert_eq!(lines, LINES_PER_SPAN as usize);
    assert_eq!(budget.take(began + SPAN), Some(100 - u64::from(LINES_PER_SPAN)));
    assert_eq!(budget.take(began + SPAN), Some(0));
}
