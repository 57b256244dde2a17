//! Whole lists that cross: one behind another, a shorter one, an older one, a spoilt one, and none any more.

mod common;

use std::net::UdpSocket;

use common::disconnect::served;
use common::harness::{Client, NodeHarness, name};
use common::{REFUSED, Reply, SERVED, reply};

const ROW: u64 = 9;

/// Has a call served at whatever invoker gets it; gives which.
fn placed(harness: &mut NodeHarness, client: &mut Client, stream: u32, id: u64) -> usize {
    client.ask(stream, "safe", id, id, b"");
    let all = 0..harness.invokers.len();
    let at = harness.until("it is sent", |harness| {
        all.clone().find(|at| harness.invokers[*at].find("CALL", &name(id)).is_some())
    });
    harness.invokers[at].serve(|_| true);
    let codes = harness.until("its answer", |_| Some(client.codes(stream)).filter(|codes| !codes.is_empty()));
    assert_eq!(codes, [SERVED]);
    at
}

/// Where so many calls, each of a function of its own, are placed.
fn all_placed(harness: &mut NodeHarness, client: &mut Client, ids: std::ops::Range<u64>) -> Vec<usize> {
    let mut all: Vec<usize> = ids.map(|id| placed(harness, client, id as u32, id)).collect();
    all.sort_unstable();
    all.dedup();
    all
}

#[test]
fn newer_of_two_lists_in_one_iteration_wins_in_either_order() {
    for newer_first in [false, true] {
        let mut harness = NodeHarness::start(3, |_| ());
        let (first, second) = (harness.query(), harness.query());
        let older = (first, 2, vec![(0, false), (1, false), (2, false)]);
        let newer = (second, 3, vec![(1, false)]);
        let both = if newer_first { [newer, older] } else { [older, newer] };
        for (query, serial, list) in &both {
            harness.answer(*query, *serial, list);
        }
        harness.turn();
        let mut client = harness.client();
        assert_eq!(all_placed(&mut harness, &mut client, 10..22), [1], "newer first: {newer_first}");
        assert_eq!(harness.node.counters().old_lists, u64::from(newer_first));
    }
}

#[test]
fn shorter_list_replaces_one_that_is_being_applied() {
    let mut harness = NodeHarness::start(3, |_| ());
    let (first, second) = (harness.query(), harness.query());
    // The first takes one out of service, and what it would have got begins to connect to another.
    harness.answer(first, 2, &[(0, true), (1, false), (2, false)]);
    let mut client = harness.client();
    client.ask(1, "once", 5, ROW, b"");
    harness.until("it is taken", |harness| (harness.node.counters().requests == 1).then_some(()));
    let begun = harness
        .until_looked("it connects", |harness| (0..3).find(|at| !harness.invokers[*at].conns.is_empty()));
    assert_ne!(begun, 0, "the first list is in force");
    // In the turn in which that connection is up, a shorter list does not hold its invoker any more.
    let other = 3 - begun;
    harness.answer(second, 3, &[(other, false)]);
    harness.at(other, "CALL", &name(5));
    assert_eq!(harness.sends(&name(5)), 1);
    harness.until("the connection to the one that is gone ends", |harness| {
        harness.invokers[begun].conns.iter().all(|conn| conn.ended).then_some(())
    });
}

#[test]
fn last_list_stands_while_the_directory_is_unresponsive() {
    let mut harness = NodeHarness::start(2, |_| ());
    let mut client = harness.client();
    // Copies of some functions stand at each of the two, and one that is to go has a request in harness.
    assert_eq!(all_placed(&mut harness, &mut client, 10..30), [0, 1]);
    let row =
        (10..30).find(|id| harness.invokers[0].find("CALL served", &name(*id)).is_some()).expect("some");
    let mut waits = harness.client();
    waits.ask(1, "once", 5, row, b"");
    let conn = harness.at(0, "CALL", &name(5));
    let query = harness.query();
    harness.answer(query, 2, &[(1, false)]);
    let lost = harness.node.counters().lost_lists;
    // From here on the directory says nothing.
    let sent = |harness: &NodeHarness| {
        let all = harness.invokers[0].conns.iter().flat_map(|conn| &conn.got);
        all.filter(|got| got[0].starts_with("CALL") || got[0].starts_with("LOAD")).count()
    };
    harness.turn();
    harness.turn();
    let before = sent(&harness);
    let mut id = 100;
    while harness.node.counters().lost_lists < lost + 3 {
        assert_eq!(placed(&mut harness, &mut client, id as u32, id), 1);
        id += 1;
    }
    assert_eq!(sent(&harness), before, "the one that was removed gets nothing more");
    // What it had in harness is awaited all the same.
    common::harness::write_response(&mut harness.invokers[0].conns[conn].socket, &name(5), "served", "n=w");
    let codes = harness.until("its answer", |_| Some(waits.codes(1)).filter(|codes| !codes.is_empty()));
    assert_eq!(codes, [SERVED]);
    harness.until("its connection ends", |harness| harness.invokers[0].conns[conn].ended.then_some(()));
}

#[test]
fn lower_serial_at_the_new_directory_address_is_an_older_list() {
    let mut harness = NodeHarness::start(2, |_| ());
    let query = harness.query();
    harness.answer(query, 5, &[(1, false)]);
    harness.turn();
    let moved = UdpSocket::bind("127.0.0.1:0").expect("a port");
    harness.config["resolver"] = moved.local_addr().expect("bound").to_string().into();
    std::fs::write(&harness.path, harness.config.to_string()).expect("written");
    harness.node.reload();
    harness.directory = moved;
    let query = harness.query();
    harness.answer(query, 3, &[(0, false)]);
    harness.until("it is counted", |harness| (harness.node.counters().old_lists == 1).then_some(()));
    let mut client = harness.client();
    assert_eq!(all_placed(&mut harness, &mut client, 10..22), [1]);
    // Its numbers go on: the next that is higher counts.
    let query = harness.query();
    harness.answer(query, 6, &[(0, false)]);
    harness.turn();
    assert_eq!(all_placed(&mut harness, &mut client, 100..112), [0]);
}

#[test]
fn invalid_and_foreign_lists_are_counted_and_ignored() {
    let mut harness = NodeHarness::start(2, |_| ());
    let mut client = harness.client();
    served(&mut harness, &mut client, 77, ROW);
    let gone = vec![common::ListedInvoker::new(9, harness.invokers[1].listener.local_addr().expect("bound"))];
    type Spoil = fn(&Reply) -> Vec<u8>;
    let spoils: [Spoil; 8] = [
        |_| Vec::new(),
        |_| vec![0xff; 700],
        |sound| reply(sound.id.wrapping_add(1), sound.serial, &sound.list),
        |sound| {
            let whole = sound.bytes(|_| ());
            whole[..whole.len() - 9].to_vec()
        },
        |sound| sound.bytes(|packet| packet.set_flags(simple_dns::PacketFlag::TRUNCATION)),
        |sound| sound.bytes(|packet| *packet.rcode_mut() = simple_dns::RCODE::ServerFailure),
        |sound| sound.bytes(|packet| packet.additional_records.clear()),
        // The list of another service.
        |sound| {
            sound.bytes(|packet| {
                for record in &mut packet.answers {
                    record.name = simple_dns::Name::new_unchecked("_rpc._tcp.other.local");
                }
            })
        },
    ];
    for (at, spoil) in spoils.iter().enumerate() {
        let (id, from) = harness.query();
        let sound = Reply { id, serial: 100, list: gone.clone() };
        harness.directory.send_to(&spoil(&sound), from).expect("sent");
        let counted = at as u64 + 1;
        harness
            .until("it is counted", |harness| (harness.node.counters().bad_lists == counted).then_some(()));
    }
    assert_eq!(all_placed(&mut harness, &mut client, 30..50), [0, 1], "both are served by, and no other");
    // None of them moved the number: the next good one is heard.
    let query = harness.query();
    harness.answer(query, 2, &[(1, false)]);
    harness.turn();
    assert_eq!(all_placed(&mut harness, &mut client, 100..112), [1]);
}

#[test]
fn node_without_invokers_refuses_until_a_list_names_one() {
    let mut harness =
        NodeHarness::start(1, |config| config["known"] = serde_json::json!({"pos": 0, "entries": []}));
    let mut client = harness.client();
    client.ask(1, "once", 5, ROW, b"");
    let codes = harness.until("its answer", |_| Some(client.codes(1)).filter(|codes| !codes.is_empty()));
    assert_eq!(codes, [REFUSED], "nothing ran");
    let query = harness.query();
    harness.answer(query, 1, &[(0, false)]);
    harness.turn();
    assert_eq!(all_placed(&mut harness, &mut client, 10..14), [0]);
}
