//! Where two events cross: both are written before one turn of the loop, so that it finds them together, and what is
//! sent on is counted at the invokers.

mod common;

use std::io::Write;
use std::net::Shutdown;

use common::hand::{Client, Hand, name, request, say};
use common::leaving::{WAYS, served, with_something_unread};
use common::{FAILED, REFUSED, SERVED};
use nettleferry_platform::frames;

const FIRST: u64 = 1;
const WAITS: u64 = 2;
const ROW: u64 = 9;

/// A hand with a call that waits: the first one has the one lane of the function's copy.
fn one_runs_and_one_waits() -> (Hand, Client, Client) {
    let mut hand = Hand::start(1, |_| ());
    let mut first = hand.client();
    // The copy is found by a call that is served.
    served(&mut hand, &mut first, 77, ROW);
    first.ask(2, "safe", FIRST, ROW, b"");
    hand.at(0, "CALL", &name(FIRST));
    let mut waits = with_something_unread(&mut hand);
    waits.ask(1, "safe", WAITS, ROW, b"");
    hand.turn();
    hand.turn();
    assert_eq!(hand.sends(&name(WAITS)), 0, "it waits for the lane");
    (hand, first, waits)
}

#[test]
fn a_client_that_leaves_with_the_answer_that_frees_its_lane_is_not_sent_on() {
    for way in WAYS {
        let (mut hand, _first, waits) = one_runs_and_one_waits();
        let conn = hand.at(0, "CALL", &name(FIRST));
        // Both before one turn.
        say(&mut hand.invokers[0].conns[conn].socket, &name(FIRST), "served", "n=w");
        let waits = way.go(waits, 1);
        hand.turn();
        way.check(&mut hand, waits, 1, REFUSED);
        hand.fence(500);
        assert_eq!(hand.sends(&name(WAITS)), 0, "{way:?}");
    }
}

#[test]
fn clients_that_leave_together_free_nothing_for_each_other() {
    let (mut hand, mut first, mut waits) = one_runs_and_one_waits();
    let mut third = hand.client();
    third.ask(1, "safe", 3, ROW, b"");
    hand.turn();
    hand.turn();
    // The one that runs leaves, and so do both that wait for its lane.
    first.withdraw(2);
    waits.withdraw(1);
    third.withdraw(1);
    hand.turn();
    hand.fence(500);
    assert_eq!((hand.sends(&name(WAITS)), hand.sends(&name(3))), (0, 0));
    assert_eq!(hand.words("CANCEL"), 1, "the one that ran is withdrawn");
}

#[test]
fn a_client_that_leaves_with_the_end_of_a_load_is_not_sent_on_again() {
    for way in WAYS {
        let mut hand = Hand::start(1, |_| ());
        let mut waits = with_something_unread(&mut hand);
        waits.ask(1, "safe", WAITS, ROW, b"");
        let conn = hand.at(0, "CALL", &name(WAITS));
        say(&mut hand.invokers[0].conns[conn].socket, &name(WAITS), "not_here", "-");
        hand.until("the order", |hand| (hand.words("LOAD") == 1).then_some(()));
        hand.invokers[0].load(|_| true);
        let waits = way.go(waits, 1);
        hand.turn();
        way.check(&mut hand, waits, 1, REFUSED);
        hand.fence(500);
        assert_eq!(hand.sends(&name(WAITS)), 1, "{way:?}: not again");
    }
}

#[test]
fn a_client_that_leaves_with_the_list_that_would_release_it_is_not_sent_on() {
    for way in WAYS {
        let (mut hand, _first, waits) = one_runs_and_one_waits();
        let more = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        more.set_nonblocking(true).expect("set");
        hand.invokers.push(common::hand::Invoker { listener: more, conns: Vec::new() });
        let query = hand.query();
        // Its home drains, and another invoker came: it would go there.
        hand.answer(query, 2, &[(0, true), (1, false)]);
        let waits = way.go(waits, 1);
        hand.turn();
        way.check(&mut hand, waits, 1, REFUSED);
        hand.fence(500);
        assert_eq!(hand.sends(&name(WAITS)), 0, "{way:?}");
    }
}

#[test]
fn a_client_that_leaves_while_its_connection_comes_up_is_not_sent_on() {
    for way in WAYS {
        let mut hand = Hand::start(1, |_| ());
        let mut waits = with_something_unread(&mut hand);
        waits.ask(1, "safe", WAITS, ROW, b"");
        // This turn begins to connect; the next one finds the connection up, and the client gone.
        hand.turn();
        let waits = way.go(waits, 1);
        hand.turn();
        way.check(&mut hand, waits, 1, FAILED);
        hand.fence(500);
        assert_eq!(hand.sends(&name(WAITS)), 0, "{way:?}");
    }
}

#[test]
fn a_client_that_leaves_between_two_attempts_is_not_sent_on_again() {
    for way in WAYS {
        let mut hand = Hand::start(2, |_| ());
        let mut waits = with_something_unread(&mut hand);
        waits.ask(1, "safe", WAITS, ROW, b"");
        let (at, conn) = hand.until("its first attempt", |hand| {
            (0..2).find_map(|at| Some((at, hand.invokers[at].find("CALL", &name(WAITS))?)))
        });
        say(&mut hand.invokers[at].conns[conn].socket, &name(WAITS), "overload", "-");
        let waits = way.go(waits, 1);
        hand.turn();
        // Whether the first one ran is known: its answer came in the same turn. Its client left first.
        drop(waits);
        hand.fence(500);
        assert_eq!(hand.sends(&name(WAITS)), 1, "{way:?}");
    }
}

#[test]
fn a_request_and_the_end_of_its_client_s_side_in_one_turn_is_answered_and_never_sent_on() {
    let mut hand = Hand::start(1, |_| ());
    let mut client = hand.client();
    // The first event of a connection is behind us: its bytes and its end come with one.
    hand.turn();
    hand.turn();
    client.ask(1, "safe", WAITS, ROW, b"ab");
    client.socket.shutdown(Shutdown::Write).expect("open");
    let codes = hand.until("its answer", |_| Some(client.codes(1)).filter(|c| !c.is_empty()));
    assert_eq!(codes, [REFUSED]);
    hand.fence(500);
    assert_eq!(hand.sends(&name(WAITS)), 0);
    assert_eq!(hand.node.engine_counters().opened, 1, "it was never opened: the fence was");
}

#[test]
fn an_attempt_that_runs_is_withdrawn_where_the_settings_allow_it_and_left_alone_where_they_do_not() {
    for (allowed, way) in [true, false].into_iter().flat_map(|allowed| WAYS.map(|way| (allowed, way))) {
        let mut hand = Hand::start(1, |config| config["settings"]["limits"]["cancel"] = allowed.into());
        let mut client = with_something_unread(&mut hand);
        client.ask(1, "once", WAITS, ROW, b"");
        let conn = hand.at(0, "CALL", &name(WAITS));
        let client = way.go(client, 1);
        hand.turn();
        way.check(&mut hand, client, 1, FAILED);
        if allowed {
            hand.at(0, "CANCEL", &name(WAITS));
        }
        // It is answered nevertheless, and nobody gets it.
        say(&mut hand.invokers[0].conns[conn].socket, &name(WAITS), "served", "n=w");
        hand.fence(500);
        assert_eq!(hand.words("CANCEL"), usize::from(allowed), "{way:?}");
        assert_eq!(hand.sends(&name(WAITS)), 1);
        if !allowed {
            assert!(!hand.invokers[0].conns[conn].ended, "{way:?}: its connection goes on");
        }
    }
}

#[test]
fn a_load_that_only_the_client_who_left_waited_for_is_not_ordered() {
    let mut hand = Hand::start(1, |_| ());
    let mut waits = hand.client();
    waits.ask(1, "safe", WAITS, ROW, b"");
    let conn = hand.at(0, "CALL", &name(WAITS));
    // The answer ends its connection: the order has to wait for a new one.
    let conn = &mut hand.invokers[0].conns[conn].socket;
    say(conn, &name(WAITS), "not_here", "-");
    conn.shutdown(Shutdown::Write).expect("open");
    hand.turn();
    assert_eq!(hand.words("LOAD"), 0, "it waits for its connection");
    waits.withdraw(1);
    hand.turn();
    hand.fence(500);
    let for_it =
        |got: &&Vec<String>| got[0].starts_with("LOAD") && got[2].contains(&format!("asset={}", name(ROW)));
    let orders = hand.invokers[0].conns.iter().flat_map(|c| &c.got).filter(for_it).count();
    assert_eq!(orders, 0);
}

#[test]
fn what_waits_for_a_connection_goes_elsewhere_when_its_invoker_is_told_to_drain() {
    // In the turn in which the connection is up, the list takes its invoker out of service.
    let mut hand = Hand::start(2, |_| ());
    let query = hand.query();
    let mut client = hand.client();
    client.ask(1, "once", WAITS, ROW, b"");
    hand.turn();
    // It has begun to connect, and by the next turn it is connected.
    let home =
        hand.until_looked("it connects", |hand| (0..2).find(|at| !hand.invokers[*at].conns.is_empty()));
    hand.answer(query, 2, &[(home, true), (1 - home, false)]);
    let at = hand.until("its attempt", |hand| {
        (0..2).find(|at| hand.invokers[*at].find("CALL", &name(WAITS)).is_some())
    });
    assert_eq!(at, 1 - home, "not where nothing new may go");
    assert_eq!(hand.sends(&name(WAITS)), 1);
}

#[test]
fn a_process_that_started_anew_at_its_address_is_not_sent_anything_over_what_stood_before() {
    let mut hand = Hand::start(1, |_| ());
    let mut client = hand.client();
    let old = served(&mut hand, &mut client, 77, ROW);
    let query = hand.query();
    let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("now").as_millis();
    // A machine that vanished and came back says nothing on what stood: the connection looks sound.
    hand.answer_born(query, 2, 0, born as u64 + 1);
    hand.turn();
    client.ask(2, "safe", 78, ROW, b"");
    hand.until("what stood is ended", |hand| hand.invokers[0].conns[old].ended.then_some(()));
    let after = |c: &common::hand::Conn| c.got.iter().any(|got| got[0] == "CALL" && got[1] == name(78));
    assert!(!after(&hand.invokers[0].conns[old]));
}

#[test]
fn an_address_that_goes_to_another_invoker_takes_no_connection_along() {
    let mut hand = Hand::start(1, |_| ());
    let mut client = hand.client();
    let old = served(&mut hand, &mut client, 77, ROW);
    let query = hand.query();
    hand.answer_named(query, 2, &[("s-new", 0)]);
    client.ask(2, "safe", 78, ROW, b"");
    let new = hand.at(0, "CALL", &name(78));
    assert_ne!(new, old);
    hand.until("what stood is ended", |hand| hand.invokers[0].conns[old].ended.then_some(()));
}

#[test]
fn a_client_that_leaves_with_its_answer_has_its_request_neither_withdrawn_nor_sent_again() {
    for way in WAYS {
        let mut hand = Hand::start(1, |_| ());
        let mut client = with_something_unread(&mut hand);
        client.ask(1, "once", WAITS, ROW, b"");
        let conn = hand.at(0, "CALL", &name(WAITS));
        say(&mut hand.invokers[0].conns[conn].socket, &name(WAITS), "served", "n=w");
        let client = way.go(client, 1);
        hand.turn();
        way.check(&mut hand, client, 1, FAILED);
        hand.fence(500);
        assert_eq!((hand.words("CANCEL"), hand.sends(&name(WAITS))), (0, 1), "{way:?}");
        assert!(!hand.invokers[0].conns[conn].ended, "{way:?}: its connection is sound");
    }
}

#[test]
fn a_connection_past_its_idle_time_is_not_used_though_its_alarm_has_not_rung() {
    let mut hand = Hand::start(1, |config| config["settings"]["limits"]["conn_idle_ms"] = 80.into());
    let mut client = hand.client();
    let old = served(&mut hand, &mut client, 77, ROW);
    // The process is stopped for longer than that; then the request is there with the alarm.
    std::thread::sleep(std::time::Duration::from_millis(80));
    client.ask(2, "once", 78, ROW, b"");
    let new = hand.at(0, "CALL", &name(78));
    assert_ne!(new, old);
}

#[test]
fn an_answer_of_the_directory_that_is_later_than_our_patience_is_heard() {
    let mut hand = Hand::start(2, |_| ());
    let late = hand.query();
    // The next query shows that this one is taken for lost.
    let _next = hand.query();
    hand.answer(late, 2, &[(1, false)]);
    let mut client = hand.client();
    hand.turn();
    for id in 10..14 {
        client.ask(id as u32, "safe", id, id, b"");
        hand.at(1, "CALL", &name(id));
    }
    assert!(hand.invokers[0].conns.is_empty(), "the one that is gone gets nothing");
}

#[test]
fn what_the_old_address_of_the_directory_had_said_is_heard_when_it_moves() {
    let mut hand = Hand::start(2, |_| ());
    let query = hand.query();
    hand.answer(query, 2, &[(1, false)]);
    // Its answer stands in the socket; the new address says nothing.
    let silent = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    hand.config["resolver"] = silent.local_addr().expect("bound").to_string().into();
    std::fs::write(&hand.path, hand.config.to_string()).expect("written");
    hand.node.reload();
    hand.turn();
    let mut client = hand.client();
    for id in 10..14 {
        client.ask(id as u32, "safe", id, id, b"");
        hand.at(1, "CALL", &name(id));
    }
    assert!(hand.invokers[0].conns.is_empty());
}

#[test]
fn a_list_behind_a_flood_of_datagrams_is_read_without_another_to_wake_it() {
    let mut hand = Hand::start(2, |_| ());
    let query = hand.query();
    for _ in 0..40 {
        hand.directory.send_to(b"??", query.1).expect("sent");
    }
    hand.answer(query, 2, &[(1, false)]);
    for _ in 0..4 {
        hand.turn();
    }
    let mut client = hand.client();
    client.ask(1, "safe", 10, ROW, b"");
    hand.at(1, "CALL", &name(10));
    assert!(hand.invokers[0].conns.is_empty());
}

#[test]
fn what_came_while_the_process_did_not_run_is_served_before_its_end() {
    let mut hand = Hand::start(1, |_| ());
    hand.turn();
    hand.node.begin_shutdown();
    hand.turn();
    // The process is stopped until its quiet span is over by the clock, and a client came meanwhile.
    std::thread::sleep(nettleferry_node::limits::SHUTDOWN_QUIET_SPAN);
    let mut client = hand.client();
    client.ask(1, "safe", WAITS, ROW, b"");
    assert!(!hand.node.is_done(), "nobody has looked");
    hand.turn();
    assert!(!hand.node.is_done());
    hand.at(0, "CALL", &name(WAITS));
    hand.invokers[0].serve(|_| true);
    hand.until("it is served", |_| (!client.codes(1).is_empty()).then_some(()));
    hand.until("the end", |hand| hand.node.is_done().then_some(()));
}

#[test]
fn one_that_came_after_the_word_to_end_is_served_and_asked_for_no_more() {
    let mut hand = Hand::start(1, |_| ());
    hand.node.begin_shutdown();
    let mut client = hand.client();
    hand.turn();
    assert!(client.frames().is_empty(), "the request that it came for is awaited");
    served(&mut hand, &mut client, WAITS, ROW);
    let away = client.frames().iter().filter(|f| f.0 == frames::kind::GO_AWAY).count();
    assert_eq!(away, 1);
}

#[test]
fn half_a_request_is_no_idleness() {
    // At the bound, one that stopped within a request makes room only after those that have nothing to lose.
    let mut hand = Hand::start(1, |config| config["limits"]["sockets"] = 64.into());
    let mut half = hand.client();
    let whole = request(1, "safe", WAITS, ROW, b"ab");
    half.socket.write_all(&whole[..20]).expect("written");
    hand.turn();
    let mut unread = hand.client();
    let others: Vec<Client> = (0..30).map(|_| hand.client()).collect();
    hand.turn();
    // The oldest that has sent nothing is asked last: its request has come by now.
    unread.ask(1, "safe", 3, ROW + 1, b"");
    let more: Vec<Client> = (0..4).map(|_| hand.client()).collect();
    hand.turn();
    half.socket.write_all(&whole[20..]).expect("still open");
    hand.at(0, "CALL", &name(WAITS));
    hand.at(0, "CALL", &name(3));
    assert!(hand.node.counters().over_clients > 0, "the bound was hit");
    drop((others, more));
}

#[test]
fn a_keyed_request_is_passed_on_with_its_key() {
    let mut hand = Hand::start(1, |_| ());
    let mut client = hand.client();
    let (id, row) = (name(WAITS), name(ROW));
    let fields = [("op", "safe"), ("call", id.as_str()), ("ttl", "3000"), ("row", &row), ("dedupe", "k-17")];
    let mut out = Vec::new();
    frames::request(&mut out, 1, &fields, b"");
    client.socket.write_all(&out).expect("written");
    let conn = hand.at(0, "CALL", &name(WAITS));
    let got = &hand.invokers[0].conns[conn].got[0];
    assert!(got[2].split(',').any(|field| field == "op=k-17"), "{got:?}");
}

#[test]
fn a_name_that_invokers_would_misread_hurts_no_other_class() {
    let mut hand = Hand::start(1, |config| config["settings"]["classes"][1]["name"] = "a,patience=1".into());
    let mut client = hand.client();
    client.ask(1, "a,patience=1", 77, ROW, b"");
    client.ask(2, "safe", 78, ROW, b"");
    hand.at(0, "CALL", &name(78));
    hand.until("it is answered", |_| (client.codes(1) == [FAILED]).then_some(()));
    assert_eq!(hand.sends(&name(77)), 0);
}

#[test]
fn an_end_behind_more_than_one_turn_reads_is_heard_before_what_stands_in_front_of_it_is_sent_on() {
    let mut hand = Hand::start(1, |_| ());
    let mut client = hand.client();
    served(&mut hand, &mut client, 77, ROW);
    client.ask(2, "safe", FIRST, ROW, b"");
    hand.at(0, "CALL", &name(FIRST));
    let mut waits = hand.client();
    waits.ask(1, "safe", WAITS, ROW, b"");
    hand.turn();
    hand.turn();
    // While the process does not run, its client asks for more than one turn reads, and goes; and the lane that its first
    // request waits for is freed.
    for n in 0..12 {
        waits.ask(2 + n, "safe", 100 + u64::from(n), ROW + 1 + u64::from(n), &[0; 8 << 10]);
    }
    waits.socket.shutdown(Shutdown::Write).expect("open");
    hand.invokers[0].serve(|_| true);
    for stream in 1..14 {
        let codes = hand.until("its answer", |_| Some(waits.codes(stream)).filter(|c| !c.is_empty()));
        assert_eq!(codes, [REFUSED], "stream {stream}");
    }
    hand.fence(500);
    let sent: usize = (100..112).chain([WAITS]).map(|id| hand.sends(&name(id))).sum();
    assert_eq!(sent, 0);
}

#[test]
fn an_id_that_is_open_already_fails_as_the_first_with_it_may_run() {
    // The same connection, and another one.
    for same in [true, false] {
        let mut hand = Hand::start(1, |_| ());
        let mut first = hand.client();
        first.ask(1, "once", FIRST, ROW, b"one");
        let conn = hand.at(0, "CALL", &name(FIRST));
        let mut other = hand.client();
        let (again, stream) = if same { (&mut first, 2) } else { (&mut other, 1) };
        again.ask(stream, "once", FIRST, ROW, b"two");
        let codes = hand.until("its answer", |_| Some(again.codes(stream)).filter(|c| !c.is_empty()));
        assert_eq!(codes, [FAILED], "a refusal would say that a new try does no harm");
        say(&mut hand.invokers[0].conns[conn].socket, &name(FIRST), "served", "n=w");
        let codes = hand.until("its answer", |_| Some(first.codes(1)).filter(|c| !c.is_empty()));
        assert_eq!(codes, [SERVED], "the first goes on");
        assert_eq!((hand.sends(&name(FIRST)), hand.node.counters().ids_open), (1, 1));
    }
}

#[test]
fn a_request_of_another_s_customer_is_not_served_where_there_are_tenants() {
    for (accounts, code) in [(serde_json::json!([{"name": "ada"}]), FAILED), (serde_json::json!([]), SERVED)]
    {
        let mut hand = Hand::start(1, |config| config["settings"]["accounts"] = accounts);
        let mut client = hand.client();
        let (id, row) = (name(WAITS), name(ROW));
        let fields = [("op", "safe"), ("call", id.as_str()), ("ttl", "3000"), ("row", &row), ("org", "bob")];
        let mut out = Vec::new();
        frames::request(&mut out, 1, &fields, b"");
        client.socket.write_all(&out).expect("written");
        let codes = hand.until("its answer", |hand| {
            hand.invokers[0].serve(|_| true);
            Some(client.codes(1)).filter(|codes| !codes.is_empty())
        });
        assert_eq!((codes, hand.node.counters().bad_requests), (vec![code], u64::from(code == FAILED)));
    }
}

#[test]
fn a_request_that_is_withdrawn_with_its_client_s_end_has_no_answer_for_nobody() {
    let (mut hand, _first, mut waits) = one_runs_and_one_waits();
    // Its end is heard before the bytes that stand in front of it.
    waits.withdraw(1);
    waits.socket.shutdown(Shutdown::Write).expect("shut");
    hand.turn();
    hand.fence(500);
    assert_eq!(hand.node.counters().violations.total(), 0, "{:?}", hand.node.counters().violations);
    assert_eq!(hand.sends(&name(WAITS)), 0);
}
