//! Lists from the directory: several in one iteration, a shorter one, older ones, invalid ones, and no more at all.

mod common;

use std::net::UdpSocket;

use common::disconnect::serve_call;
use common::harness::{Client, NodeHarness, wire_id};
use common::{REFUSED, Reply, SERVED, reply};

const ROW: u64 = 9;

/// Sends a call and serves it at the invoker that receives it. Returns the index of that invoker.
fn place_call(harness: &mut NodeHarness, client: &mut Client, stream: u32, id: u64) -> usize {
    client.send_request(stream, "safe", id, id, b"");
    let all = 0..harness.invokers.len();
    let at = harness.until("the call to be forwarded", |harness| {
        all.clone().find(|at| harness.invokers[*at].find("CALL", &wire_id(id)).is_some())
    });
    harness.invokers[at].serve(|_| true);
    let codes =
        harness.until("an answer", |_| Some(client.answer_codes(stream)).filter(|codes| !codes.is_empty()));
    assert_eq!(codes, [SERVED]);
    at
}

/// Sends and serves several calls, each of its own function. Returns the indexes of the invokers that received any.
fn place_calls(harness: &mut NodeHarness, client: &mut Client, ids: std::ops::Range<u64>) -> Vec<usize> {
    let mut all: Vec<usize> = ids.map(|id| place_call(harness, client, id as u32, id)).collect();
    all.sort_unstable();
    all.dedup();
    all
}

#[test]
fn newer_of_two_lists_in_one_iteration_wins_in_either_order() {
    for newer_first in [false, true] {
        let mut harness = NodeHarness::start(3, |_| ());
        let (first, second) = (harness.next_query(), harness.next_query());
        let older = (first, 2, vec![(0, false), (1, false), (2, false)]);
        let newer = (second, 3, vec![(1, false)]);
        let both = if newer_first { [newer, older] } else { [older, newer] };
        for (query, serial, list) in &both {
            harness.answer_query(*query, *serial, list);
        }
        harness.iterate();
        let mut client = harness.client();
        assert_eq!(place_calls(&mut harness, &mut client, 10..22), [1], "newer first: {newer_first}");
        assert_eq!(harness.node.counters().old_lists, u64::from(newer_first));
    }
}

#[test]
fn shorter_list_replaces_one_that_is_being_applied() {
    let mut harness = NodeHarness::start(3, |_| ());
    let (first, second) = (harness.next_query(), harness.next_query());
    // The first list takes an invoker out of service, so the node begins to connect to another one for the call.
    harness.answer_query(first, 2, &[(0, true), (1, false), (2, false)]);
    let mut client = harness.client();
    client.send_request(1, "once", 5, ROW, b"");
    harness.until("the request to be read", |harness| (harness.node.counters().requests == 1).then_some(()));
    let begun = harness.until_at_invokers("a connection", |harness| {
        (0..3).find(|at| !harness.invokers[*at].conns.is_empty())
    });
    assert_ne!(begun, 0, "the first list is applied");
    // In the iteration in which the connection is established, a shorter list no longer contains its invoker.
    let other = 3 - begun;
    harness.answer_query(second, 3, &[(other, false)]);
    harness.wait_for_command(other, "CALL", &wire_id(5));
    assert_eq!(harness.call_count(&wire_id(5)), 1);
    harness.until("the connection to the removed invoker to close", |harness| {
        harness.invokers[begun].conns.iter().all(|conn| conn.ended).then_some(())
    });
}

#[test]
fn last_list_stays_in_use_while_the_directory_is_unresponsive() {
    let mut harness = NodeHarness::start(2, |_| ());
    let mut client = harness.client();
    // Both invokers have replicas of some functions, and the one that is removed later has a request in flight.
    assert_eq!(place_calls(&mut harness, &mut client, 10..30), [0, 1]);
    let row =
        (10..30).find(|id| harness.invokers[0].find("CALL served", &wire_id(*id)).is_some()).expect("some");
    let mut waits = harness.client();
    waits.send_request(1, "once", 5, row, b"");
    let conn = harness.wait_for_command(0, "CALL", &wire_id(5));
    let query = harness.next_query();
    harness.answer_query(query, 2, &[(1, false)]);
    let lost = harness.node.counters().lost_lists;
    // The directory does not respond from here on.
    let sent = |harness: &NodeHarness| {
        let all = harness.invokers[0].conns.iter().flat_map(|conn| &conn.commands);
        all.filter(|command| command[0].starts_with("CALL") || command[0].starts_with("LOAD")).count()
    };
    harness.iterate();
    harness.iterate();
    let before = sent(&harness);
    let mut id = 100;
    while harness.node.counters().lost_lists < lost + 3 {
        assert_eq!(place_call(&mut harness, &mut client, id as u32, id), 1);
        id += 1;
    }
    assert_eq!(sent(&harness), before, "the removed invoker gets no more requests");
    // The response to its request in flight is still used.
    common::harness::write_response(
        &mut harness.invokers[0].conns[conn].socket,
        &wire_id(5),
        "served",
        "n=w",
    );
    let codes = harness.until("an answer", |_| Some(waits.answer_codes(1)).filter(|codes| !codes.is_empty()));
    assert_eq!(codes, [SERVED]);
    harness.until("the connection to the removed invoker to close", |harness| {
        harness.invokers[0].conns[conn].ended.then_some(())
    });
}

#[test]
fn lower_serial_at_the_new_directory_address_is_an_older_list() {
    let mut harness = NodeHarness::start(2, |_| ());
    let query = harness.next_query();
    harness.answer_query(query, 5, &[(1, false)]);
    harness.iterate();
    let moved = UdpSocket::bind("127.0.0.1:0").expect("a port");
    harness.config["resolver"] = moved.local_addr().expect("bound").to_string().into();
    std::fs::write(&harness.path, harness.config.to_string()).expect("written");
    harness.node.reload();
    harness.directory = moved;
    let query = harness.next_query();
    harness.answer_query(query, 3, &[(0, false)]);
    harness.until("the older list to be counted", |harness| {
        (harness.node.counters().old_lists == 1).then_some(())
    });
    let mut client = harness.client();
    assert_eq!(place_calls(&mut harness, &mut client, 10..22), [1]);
    // Serials continue at the new address: a list with a higher serial is applied.
    let query = harness.next_query();
    harness.answer_query(query, 6, &[(0, false)]);
    harness.iterate();
    assert_eq!(place_calls(&mut harness, &mut client, 100..112), [0]);
}

#[test]
fn invalid_and_foreign_lists_are_counted_and_ignored() {
    let mut harness = NodeHarness::start(2, |_| ());
    let mut client = harness.client();
    serve_call(&mut harness, &mut client, 77, ROW);
    let gone = vec![common::ListedInvoker::new(9, harness.invokers[1].listener.local_addr().expect("bound"))];
    type Corruption = fn(&Reply) -> Vec<u8>;
    let corruptions: [Corruption; 8] = [
        |_| Vec::new(),
        |_| vec![0xff; 700],
        |valid| reply(valid.id.wrapping_add(1), valid.serial, &valid.list),
        |valid| {
            let whole = valid.encode(|_| ());
            whole[..whole.len() - 9].to_vec()
        },
        |valid| valid.encode(|packet| packet.set_flags(simple_dns::PacketFlag::TRUNCATION)),
        |valid| valid.encode(|packet| *packet.rcode_mut() = simple_dns::RCODE::ServerFailure),
        |valid| valid.encode(|packet| packet.additional_records.clear()),
        // A list of another service.
        |valid| {
            valid.encode(|packet| {
                for record in &mut packet.answers {
                    record.name = simple_dns::Name::new_unchecked("_rpc._tcp.other.local");
                }
            })
        },
    ];
    for (at, corrupt) in corruptions.iter().enumerate() {
        let (id, from) = harness.next_query();
        let valid = Reply { id, serial: 100, list: gone.clone() };
        harness.directory.send_to(&corrupt(&valid), from).expect("sent");
        let counted = at as u64 + 1;
        harness.until("the invalid list to be counted", |harness| {
            (harness.node.counters().bad_lists == counted).then_some(())
        });
    }
    assert_eq!(
        place_calls(&mut harness, &mut client, 30..50),
        [0, 1],
        "both invokers stay in use, and no other"
    );
    // None of them changed the serial: the next valid list is applied.
    let query = harness.next_query();
    harness.answer_query(query, 2, &[(1, false)]);
    harness.iterate();
    assert_eq!(place_calls(&mut harness, &mut client, 100..112), [1]);
}

#[test]
fn node_without_invokers_refuses_until_a_list_names_one() {
    let mut harness =
        NodeHarness::start(1, |config| config["known"] = serde_json::json!({"pos": 0, "entries": []}));
    let mut client = harness.client();
    client.send_request(1, "once", 5, ROW, b"");
    let codes =
        harness.until("an answer", |_| Some(client.answer_codes(1)).filter(|codes| !codes.is_empty()));
    assert_eq!(codes, [REFUSED], "no attempt was made");
    let query = harness.next_query();
    harness.answer_query(query, 1, &[(0, false)]);
    harness.iterate();
    assert_eq!(place_calls(&mut harness, &mut client, 10..14), [0]);
}
