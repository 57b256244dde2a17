//! Whole lists that cross: one behind another, a shorter one, an older one, a spoilt one, and none any more.

mod common;

use std::net::UdpSocket;

use common::hand::{Client, Hand, name};
use common::leaving::served;
use common::{REFUSED, Reply, SERVED, reply};

const ROW: u64 = 9;

/// Has a call served at whatever invoker gets it; gives which.
fn placed(hand: &mut Hand, client: &mut Client, stream: u32, id: u64) -> usize {
    client.ask(stream, "safe", id, id, b"");
    let all = 0..hand.invokers.len();
    let at = hand.until("it is sent", |hand| {
        all.clone().find(|at| hand.invokers[*at].find("CALL", &name(id)).is_some())
    });
    hand.invokers[at].serve(|_| true);
    let codes = hand.until("its answer", |_| Some(client.codes(stream)).filter(|codes| !codes.is_empty()));
    assert_eq!(codes, [SERVED]);
    at
}

/// Where so many calls, each of a function of its own, are placed.
fn all_placed(hand: &mut Hand, client: &mut Client, ids: std::ops::Range<u64>) -> Vec<usize> {
    let mut all: Vec<usize> = ids.map(|id| placed(hand, client, id as u32, id)).collect();
    all.sort_unstable();
    all.dedup();
    all
}

#[test]
fn of_two_lists_in_one_turn_the_newer_and_shorter_one_stands_whatever_their_order() {
    for newer_first in [false, true] {
        let mut hand = Hand::start(3, |_| ());
        let (first, second) = (hand.query(), hand.query());
        let older = (first, 2, vec![(0, false), (1, false), (2, false)]);
        let newer = (second, 3, vec![(1, false)]);
        let both = if newer_first { [newer, older] } else { [older, newer] };
        for (query, serial, list) in &both {
            hand.answer(*query, *serial, list);
        }
        hand.turn();
        let mut client = hand.client();
        assert_eq!(all_placed(&mut hand, &mut client, 10..22), [1], "newer first: {newer_first}");
        assert_eq!(hand.node.counters().old_lists, u64::from(newer_first));
    }
}

#[test]
fn a_shorter_list_that_comes_while_the_one_before_is_being_put_in_force_is_what_counts() {
    let mut hand = Hand::start(3, |_| ());
    let (first, second) = (hand.query(), hand.query());
    // The first takes one out of service, and what it would have got begins to connect to another.
    hand.answer(first, 2, &[(0, true), (1, false), (2, false)]);
    let mut client = hand.client();
    client.ask(1, "once", 5, ROW, b"");
    hand.until("it is taken", |hand| (hand.node.counters().requests == 1).then_some(()));
    let begun =
        hand.until_looked("it connects", |hand| (0..3).find(|at| !hand.invokers[*at].conns.is_empty()));
    assert_ne!(begun, 0, "the first list is in force");
    // In the turn in which that connection is up, a shorter list does not hold its invoker any more.
    let other = 3 - begun;
    hand.answer(second, 3, &[(other, false)]);
    hand.at(other, "CALL", &name(5));
    assert_eq!(hand.sends(&name(5)), 1);
    hand.until("the connection to the one that is gone ends", |hand| {
        hand.invokers[begun].conns.iter().all(|conn| conn.ended).then_some(())
    });
}

#[test]
fn a_list_that_falls_silent_just_after_a_removal_stands_as_it_was_told_last() {
    let mut hand = Hand::start(2, |_| ());
    let mut client = hand.client();
    // Copies of some functions stand at each of the two, and one that is to go has a request in hand.
    assert_eq!(all_placed(&mut hand, &mut client, 10..30), [0, 1]);
    let row = (10..30).find(|id| hand.invokers[0].find("CALL served", &name(*id)).is_some()).expect("some");
    let mut waits = hand.client();
    waits.ask(1, "once", 5, row, b"");
    let conn = hand.at(0, "CALL", &name(5));
    let query = hand.query();
    hand.answer(query, 2, &[(1, false)]);
    let lost = hand.node.counters().lost_lists;
    // From here on the directory says nothing.
    let sent = |hand: &Hand| {
        let all = hand.invokers[0].conns.iter().flat_map(|conn| &conn.got);
        all.filter(|got| got[0].starts_with("CALL") || got[0].starts_with("LOAD")).count()
    };
    hand.turn();
    hand.turn();
    let before = sent(&hand);
    let mut id = 100;
    while hand.node.counters().lost_lists < lost + 3 {
        assert_eq!(placed(&mut hand, &mut client, id as u32, id), 1);
        id += 1;
    }
    assert_eq!(sent(&hand), before, "the one that was removed gets nothing more");
    // What it had in hand is awaited all the same.
    common::hand::say(&mut hand.invokers[0].conns[conn].socket, &name(5), "served", "n=w");
    let codes = hand.until("its answer", |_| Some(waits.codes(1)).filter(|codes| !codes.is_empty()));
    assert_eq!(codes, [SERVED]);
    hand.until("its connection ends", |hand| hand.invokers[0].conns[conn].ended.then_some(()));
}

#[test]
fn a_lower_number_at_the_address_to_which_the_directory_moved_is_an_older_list() {
    let mut hand = Hand::start(2, |_| ());
    let query = hand.query();
    hand.answer(query, 5, &[(1, false)]);
    hand.turn();
    let moved = UdpSocket::bind("127.0.0.1:0").expect("a port");
    hand.config["resolver"] = moved.local_addr().expect("bound").to_string().into();
    std::fs::write(&hand.path, hand.config.to_string()).expect("written");
    hand.node.reload();
    hand.directory = moved;
    let query = hand.query();
    hand.answer(query, 3, &[(0, false)]);
    hand.until("it is counted", |hand| (hand.node.counters().old_lists == 1).then_some(()));
    let mut client = hand.client();
    assert_eq!(all_placed(&mut hand, &mut client, 10..22), [1]);
    // Its numbers go on: the next that is higher counts.
    let query = hand.query();
    hand.answer(query, 6, &[(0, false)]);
    hand.turn();
    assert_eq!(all_placed(&mut hand, &mut client, 100..112), [0]);
}

#[test]
fn spoilt_lists_and_those_of_others_are_counted_and_the_last_good_one_stands() {
    let mut hand = Hand::start(2, |_| ());
    let mut client = hand.client();
    served(&mut hand, &mut client, 77, ROW);
    let gone = vec![("s-9".to_owned(), hand.invokers[1].listener.local_addr().expect("bound"), false)];
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
        let (id, from) = hand.query();
        let sound = Reply { id, serial: 100, list: gone.clone() };
        hand.directory.send_to(&spoil(&sound), from).expect("sent");
        let counted = at as u64 + 1;
        hand.until("it is counted", |hand| (hand.node.counters().bad_lists == counted).then_some(()));
    }
    assert_eq!(all_placed(&mut hand, &mut client, 30..50), [0, 1], "both are served by, and no other");
    // None of them moved the number: the next good one is heard.
    let query = hand.query();
    hand.answer(query, 2, &[(1, false)]);
    hand.turn();
    assert_eq!(all_placed(&mut hand, &mut client, 100..112), [1]);
}

#[test]
fn one_that_starts_without_an_invoker_refuses_at_once_and_serves_as_soon_as_a_list_tells_of_one() {
    let mut hand = Hand::start(1, |config| config["known"] = serde_json::json!({"pos": 0, "entries": []}));
    let mut client = hand.client();
    client.ask(1, "once", 5, ROW, b"");
    let codes = hand.until("its answer", |_| Some(client.codes(1)).filter(|codes| !codes.is_empty()));
    assert_eq!(codes, [REFUSED], "nothing ran");
    let query = hand.query();
    hand.answer(query, 1, &[(0, false)]);
    hand.turn();
    assert_eq!(all_placed(&mut hand, &mut client, 10..14), [0]);
}
