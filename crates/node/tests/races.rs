//! Where two events cross: both are written before one turn of the loop, so that it finds them together, and what is
//! sent on is counted at the invokers.

mod common;

use std::io::Write;
use std::net::Shutdown;

use common::disconnect::{WAYS, served, with_something_unread};
use common::harness::{Client, NodeHarness, name, request, write_response};
use common::{FAILED, REFUSED, SERVED};
use nettleferry_platform::frames;

const FIRST: u64 = 1;
const WAITS: u64 = 2;
const ROW: u64 = 9;

/// A node with a call that waits: the first one has the one lane of the function's copy.
fn one_runs_and_one_waits() -> (NodeHarness, Client, Client) {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut first = harness.client();
    // The copy is found by a call that is served.
    served(&mut harness, &mut first, 77, ROW);
    first.ask(2, "safe", FIRST, ROW, b"");
    harness.at(0, "CALL", &name(FIRST));
    let mut waits = with_something_unread(&mut harness);
    waits.ask(1, "safe", WAITS, ROW, b"");
    harness.turn();
    harness.turn();
    assert_eq!(harness.sends(&name(WAITS)), 0, "it waits for the lane");
    (harness, first, waits)
}

#[test]
fn disconnect_with_the_answer_that_frees_a_lane_forwards_nothing() {
    for way in WAYS {
        let (mut harness, _first, waits) = one_runs_and_one_waits();
        let conn = harness.at(0, "CALL", &name(FIRST));
        // Both before one turn.
        write_response(&mut harness.invokers[0].conns[conn].socket, &name(FIRST), "served", "n=w");
        let waits = way.go(waits, 1);
        harness.turn();
        way.check(&mut harness, waits, 1, REFUSED);
        harness.fence(500);
        assert_eq!(harness.sends(&name(WAITS)), 0, "{way:?}");
    }
}

#[test]
fn clients_that_disconnect_together_are_not_granted_each_others_lanes() {
    let (mut harness, mut first, mut waits) = one_runs_and_one_waits();
    let mut third = harness.client();
    third.ask(1, "safe", 3, ROW, b"");
    harness.turn();
    harness.turn();
    // The one that runs leaves, and so do both that wait for its lane.
    first.withdraw(2);
    waits.withdraw(1);
    third.withdraw(1);
    harness.turn();
    harness.fence(500);
    assert_eq!((harness.sends(&name(WAITS)), harness.sends(&name(3))), (0, 0));
    assert_eq!(harness.words("CANCEL"), 1, "the one that ran is withdrawn");
}

#[test]
fn disconnect_with_the_end_of_a_load_is_not_retried() {
    for way in WAYS {
        let mut harness = NodeHarness::start(1, |_| ());
        let mut waits = with_something_unread(&mut harness);
        waits.ask(1, "safe", WAITS, ROW, b"");
        let conn = harness.at(0, "CALL", &name(WAITS));
        write_response(&mut harness.invokers[0].conns[conn].socket, &name(WAITS), "not_here", "-");
        harness.until("the order", |harness| (harness.words("LOAD") == 1).then_some(()));
        harness.invokers[0].load(|_| true);
        let waits = way.go(waits, 1);
        harness.turn();
        way.check(&mut harness, waits, 1, REFUSED);
        harness.fence(500);
        assert_eq!(harness.sends(&name(WAITS)), 1, "{way:?}: not again");
    }
}

#[test]
fn disconnect_with_a_new_list_forwards_nothing() {
    for way in WAYS {
        let (mut harness, _first, waits) = one_runs_and_one_waits();
        let more = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        more.set_nonblocking(true).expect("set");
        harness.invokers.push(common::harness::Invoker { listener: more, conns: Vec::new() });
        let query = harness.query();
        // Its home drains, and another invoker came: it would go there.
        harness.answer(query, 2, &[(0, true), (1, false)]);
        let waits = way.go(waits, 1);
        harness.turn();
        way.check(&mut harness, waits, 1, REFUSED);
        harness.fence(500);
        assert_eq!(harness.sends(&name(WAITS)), 0, "{way:?}");
    }
}

#[test]
fn disconnect_while_connecting_forwards_nothing() {
    for way in WAYS {
        let mut harness = NodeHarness::start(1, |_| ());
        let mut waits = with_something_unread(&mut harness);
        waits.ask(1, "safe", WAITS, ROW, b"");
        // This turn begins to connect; the next one finds the connection up, and the client gone.
        harness.turn();
        let waits = way.go(waits, 1);
        harness.turn();
        way.check(&mut harness, waits, 1, FAILED);
        harness.fence(500);
        assert_eq!(harness.sends(&name(WAITS)), 0, "{way:?}");
    }
}

#[test]
fn disconnect_between_two_attempts_is_not_retried() {
    for way in WAYS {
        let mut harness = NodeHarness::start(2, |_| ());
        let mut waits = with_something_unread(&mut harness);
        waits.ask(1, "safe", WAITS, ROW, b"");
        let (at, conn) = harness.until("its first attempt", |harness| {
            (0..2).find_map(|at| Some((at, harness.invokers[at].find("CALL", &name(WAITS))?)))
        });
        write_response(&mut harness.invokers[at].conns[conn].socket, &name(WAITS), "overload", "-");
        let waits = way.go(waits, 1);
        harness.turn();
        // Whether the first one ran is known: its answer came in the same turn. Its client left first.
        drop(waits);
        harness.fence(500);
        assert_eq!(harness.sends(&name(WAITS)), 1, "{way:?}");
    }
}

#[test]
fn request_with_half_close_in_one_iteration_is_answered_and_not_forwarded() {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut client = harness.client();
    // The first event of a connection is behind us: its bytes and its end come with one.
    harness.turn();
    harness.turn();
    client.ask(1, "safe", WAITS, ROW, b"ab");
    client.socket.shutdown(Shutdown::Write).expect("open");
    let codes = harness.until("its answer", |_| Some(client.codes(1)).filter(|c| !c.is_empty()));
    assert_eq!(codes, [REFUSED]);
    harness.fence(500);
    assert_eq!(harness.sends(&name(WAITS)), 0);
    assert_eq!(harness.node.engine_counters().opened, 1, "it was never opened: the fence was");
}

#[test]
fn running_attempt_is_cancelled_only_where_the_settings_allow_it() {
    for (allowed, way) in [true, false].into_iter().flat_map(|allowed| WAYS.map(|way| (allowed, way))) {
        let mut harness =
            NodeHarness::start(1, |config| config["settings"]["limits"]["cancel"] = allowed.into());
        let mut client = with_something_unread(&mut harness);
        client.ask(1, "once", WAITS, ROW, b"");
        let conn = harness.at(0, "CALL", &name(WAITS));
        let client = way.go(client, 1);
        harness.turn();
        way.check(&mut harness, client, 1, FAILED);
        if allowed {
            harness.at(0, "CANCEL", &name(WAITS));
        }
        // It is answered nevertheless, and nobody gets it.
        write_response(&mut harness.invokers[0].conns[conn].socket, &name(WAITS), "served", "n=w");
        harness.fence(500);
        assert_eq!(harness.words("CANCEL"), usize::from(allowed), "{way:?}");
        assert_eq!(harness.sends(&name(WAITS)), 1);
        if !allowed {
            assert!(!harness.invokers[0].conns[conn].ended, "{way:?}: its connection goes on");
        }
    }
}

#[test]
fn load_wanted_only_by_a_disconnected_client_is_not_ordered() {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut waits = harness.client();
    waits.ask(1, "safe", WAITS, ROW, b"");
    let conn = harness.at(0, "CALL", &name(WAITS));
    // The answer ends its connection: the order has to wait for a new one.
    let conn = &mut harness.invokers[0].conns[conn].socket;
    write_response(conn, &name(WAITS), "not_here", "-");
    conn.shutdown(Shutdown::Write).expect("open");
    harness.turn();
    assert_eq!(harness.words("LOAD"), 0, "it waits for its connection");
    waits.withdraw(1);
    harness.turn();
    harness.fence(500);
    let for_it =
        |got: &&Vec<String>| got[0].starts_with("LOAD") && got[2].contains(&format!("asset={}", name(ROW)));
    let orders = harness.invokers[0].conns.iter().flat_map(|c| &c.got).filter(for_it).count();
    assert_eq!(orders, 0);
}

#[test]
fn request_waiting_for_a_connection_moves_when_its_invoker_drains() {
    // In the turn in which the connection is up, the list takes its invoker out of service.
    let mut harness = NodeHarness::start(2, |_| ());
    let query = harness.query();
    let mut client = harness.client();
    client.ask(1, "once", WAITS, ROW, b"");
    harness.turn();
    // It has begun to connect, and by the next turn it is connected.
    let home = harness
        .until_looked("it connects", |harness| (0..2).find(|at| !harness.invokers[*at].conns.is_empty()));
    harness.answer(query, 2, &[(home, true), (1 - home, false)]);
    let at = harness.until("its attempt", |harness| {
        (0..2).find(|at| harness.invokers[*at].find("CALL", &name(WAITS)).is_some())
    });
    assert_eq!(at, 1 - home, "not where nothing new may go");
    assert_eq!(harness.sends(&name(WAITS)), 1);
}

#[test]
fn restarted_invoker_gets_nothing_on_old_connections() {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut client = harness.client();
    let old = served(&mut harness, &mut client, 77, ROW);
    let query = harness.query();
    let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("now").as_millis();
    // A machine that vanished and came back says nothing on what stood: the connection looks sound.
    harness.answer_born(query, 2, 0, born as u64 + 1);
    harness.turn();
    client.ask(2, "safe", 78, ROW, b"");
    harness.until("what stood is ended", |harness| harness.invokers[0].conns[old].ended.then_some(()));
    let after = |c: &common::harness::Conn| c.got.iter().any(|got| got[0] == "CALL" && got[1] == name(78));
    assert!(!after(&harness.invokers[0].conns[old]));
}

#[test]
fn address_reused_by_another_invoker_gets_new_connections() {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut client = harness.client();
    let old = served(&mut harness, &mut client, 77, ROW);
    let query = harness.query();
    harness.answer_named(query, 2, &[("s-new", 0)]);
    client.ask(2, "safe", 78, ROW, b"");
    let new = harness.at(0, "CALL", &name(78));
    assert_ne!(new, old);
    harness.until("what stood is ended", |harness| harness.invokers[0].conns[old].ended.then_some(()));
}

#[test]
fn disconnect_with_its_own_answer_neither_cancels_nor_retries() {
    for way in WAYS {
        let mut harness = NodeHarness::start(1, |_| ());
        let mut client = with_something_unread(&mut harness);
        client.ask(1, "once", WAITS, ROW, b"");
        let conn = harness.at(0, "CALL", &name(WAITS));
        write_response(&mut harness.invokers[0].conns[conn].socket, &name(WAITS), "served", "n=w");
        let client = way.go(client, 1);
        harness.turn();
        way.check(&mut harness, client, 1, FAILED);
        harness.fence(500);
        assert_eq!((harness.words("CANCEL"), harness.sends(&name(WAITS))), (0, 1), "{way:?}");
        assert!(!harness.invokers[0].conns[conn].ended, "{way:?}: its connection is sound");
    }
}

#[test]
fn connection_past_its_idle_time_is_not_used_before_its_alarm() {
    let mut harness =
        NodeHarness::start(1, |config| config["settings"]["limits"]["conn_idle_ms"] = 80.into());
    let mut client = harness.client();
    let old = served(&mut harness, &mut client, 77, ROW);
    // The process is stopped for longer than that; then the request is there with the alarm.
    std::thread::sleep(std::time::Duration::from_millis(80));
    client.ask(2, "once", 78, ROW, b"");
    let new = harness.at(0, "CALL", &name(78));
    assert_ne!(new, old);
}

#[test]
fn directory_answer_after_the_query_timeout_is_used() {
    let mut harness = NodeHarness::start(2, |_| ());
    let late = harness.query();
    // The next query shows that this one is taken for lost.
    let _next = harness.query();
    harness.answer(late, 2, &[(1, false)]);
    let mut client = harness.client();
    harness.turn();
    for id in 10..14 {
        client.ask(id as u32, "safe", id, id, b"");
        harness.at(1, "CALL", &name(id));
    }
    assert!(harness.invokers[0].conns.is_empty(), "the one that is gone gets nothing");
}

#[test]
fn answers_of_the_old_directory_address_are_used_after_a_move() {
    let mut harness = NodeHarness::start(2, |_| ());
    let query = harness.query();
    harness.answer(query, 2, &[(1, false)]);
    // Its answer stands in the socket; the new address says nothing.
    let silent = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    harness.config["resolver"] = silent.local_addr().expect("bound").to_string().into();
    std::fs::write(&harness.path, harness.config.to_string()).expect("written");
    harness.node.reload();
    harness.turn();
    let mut client = harness.client();
    for id in 10..14 {
        client.ask(id as u32, "safe", id, id, b"");
        harness.at(1, "CALL", &name(id));
    }
    assert!(harness.invokers[0].conns.is_empty());
}

#[test]
fn list_behind_a_flood_of_datagrams_is_read_without_another_wakeup() {
    let mut harness = NodeHarness::start(2, |_| ());
    let query = harness.query();
    for _ in 0..40 {
        harness.directory.send_to(b"??", query.1).expect("sent");
    }
    harness.answer(query, 2, &[(1, false)]);
    for _ in 0..4 {
        harness.turn();
    }
    let mut client = harness.client();
    client.ask(1, "safe", 10, ROW, b"");
    harness.at(1, "CALL", &name(10));
    assert!(harness.invokers[0].conns.is_empty());
}

#[test]
fn requests_that_arrived_while_the_process_was_stopped_are_served_before_shutdown() {
    let mut harness = NodeHarness::start(1, |_| ());
    harness.turn();
    harness.node.begin_shutdown();
    harness.turn();
    // The process is stopped until its quiet span is over by the clock, and a client came meanwhile.
    std::thread::sleep(nettleferry_node::limits::SHUTDOWN_QUIET_SPAN);
    let mut client = harness.client();
    client.ask(1, "safe", WAITS, ROW, b"");
    assert!(!harness.node.is_done(), "nobody has looked");
    harness.turn();
    assert!(!harness.node.is_done());
    harness.at(0, "CALL", &name(WAITS));
    harness.invokers[0].serve(|_| true);
    harness.until("it is served", |_| (!client.codes(1).is_empty()).then_some(()));
    harness.until("the end", |harness| harness.node.is_done().then_some(()));
}

#[test]
fn client_that_connects_during_shutdown_is_served_and_gets_go_away() {
    let mut harness = NodeHarness::start(1, |_| ());
    harness.node.begin_shutdown();
    let mut client = harness.client();
    harness.turn();
    assert!(client.frames().is_empty(), "the request that it came for is awaited");
    served(&mut harness, &mut client, WAITS, ROW);
    let away = client.frames().iter().filter(|f| f.0 == frames::kind::GO_AWAY).count();
    assert_eq!(away, 1);
}

#[test]
fn client_within_a_frame_is_not_evicted_as_idle() {
    // At the bound, one that stopped within a request makes room only after those that have nothing to lose.
    let mut harness = NodeHarness::start(1, |config| config["limits"]["sockets"] = 64.into());
    let mut half = harness.client();
    let whole = request(1, "safe", WAITS, ROW, b"ab");
    half.socket.write_all(&whole[..20]).expect("written");
    harness.turn();
    let mut unread = harness.client();
    let others: Vec<Client> = (0..30).map(|_| harness.client()).collect();
    harness.turn();
    // The oldest that has sent nothing is asked last: its request has come by now.
    unread.ask(1, "safe", 3, ROW + 1, b"");
    let more: Vec<Client> = (0..4).map(|_| harness.client()).collect();
    harness.turn();
    half.socket.write_all(&whole[20..]).expect("still open");
    harness.at(0, "CALL", &name(WAITS));
    harness.at(0, "CALL", &name(3));
    assert!(harness.node.counters().over_clients > 0, "the bound was hit");
    drop((others, more));
}

#[test]
fn request_is_forwarded_with_its_idempotency_key() {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut client = harness.client();
    let (id, row) = (name(WAITS), name(ROW));
    let fields = [("op", "safe"), ("call", id.as_str()), ("ttl", "3000"), ("row", &row), ("dedupe", "k-17")];
    let mut out = Vec::new();
    frames::request(&mut out, 1, &fields, b"");
    client.socket.write_all(&out).expect("written");
    let conn = harness.at(0, "CALL", &name(WAITS));
    let got = &harness.invokers[0].conns[conn].got[0];
    assert!(got[2].split(',').any(|field| field == "op=k-17"), "{got:?}");
}

#[test]
fn class_name_with_separators_does_not_affect_other_classes() {
    let mut harness =
        NodeHarness::start(1, |config| config["settings"]["classes"][1]["name"] = "a,patience=1".into());
    let mut client = harness.client();
    client.ask(1, "a,patience=1", 77, ROW, b"");
    client.ask(2, "safe", 78, ROW, b"");
    harness.at(0, "CALL", &name(78));
    harness.until("it is answered", |_| (client.codes(1) == [FAILED]).then_some(()));
    assert_eq!(harness.sends(&name(77)), 0);
}

#[test]
fn half_close_behind_unread_bytes_is_noticed_before_they_are_forwarded() {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut client = harness.client();
    served(&mut harness, &mut client, 77, ROW);
    client.ask(2, "safe", FIRST, ROW, b"");
    harness.at(0, "CALL", &name(FIRST));
    let mut waits = harness.client();
    waits.ask(1, "safe", WAITS, ROW, b"");
    harness.turn();
    harness.turn();
    // While the process does not run, its client asks for more than one turn reads, and goes; and the lane that its first
    // request waits for is freed.
    for n in 0..12 {
        waits.ask(2 + n, "safe", 100 + u64::from(n), ROW + 1 + u64::from(n), &[0; 8 << 10]);
    }
    waits.socket.shutdown(Shutdown::Write).expect("open");
    harness.invokers[0].serve(|_| true);
    for stream in 1..14 {
        let codes = harness.until("its answer", |_| Some(waits.codes(stream)).filter(|c| !c.is_empty()));
        assert_eq!(codes, [REFUSED], "stream {stream}");
    }
    harness.fence(500);
    let sent: usize = (100..112).chain([WAITS]).map(|id| harness.sends(&name(id))).sum();
    assert_eq!(sent, 0);
}

#[test]
fn duplicate_open_id_fails_because_the_first_may_run() {
    // The same connection, and another one.
    for same in [true, false] {
        let mut harness = NodeHarness::start(1, |_| ());
        let mut first = harness.client();
        first.ask(1, "once", FIRST, ROW, b"one");
        let conn = harness.at(0, "CALL", &name(FIRST));
        let mut other = harness.client();
        let (again, stream) = if same { (&mut first, 2) } else { (&mut other, 1) };
        again.ask(stream, "once", FIRST, ROW, b"two");
        let codes = harness.until("its answer", |_| Some(again.codes(stream)).filter(|c| !c.is_empty()));
        assert_eq!(codes, [FAILED], "a refusal would write_response that a new try does no harm");
        write_response(&mut harness.invokers[0].conns[conn].socket, &name(FIRST), "served", "n=w");
        let codes = harness.until("its answer", |_| Some(first.codes(1)).filter(|c| !c.is_empty()));
        assert_eq!(codes, [SERVED], "the first goes on");
        assert_eq!((harness.sends(&name(FIRST)), harness.node.counters().ids_open), (1, 1));
    }
}

#[test]
fn request_of_an_unknown_tenant_is_not_served() {
    for (accounts, code) in [(serde_json::json!([{"name": "ada"}]), FAILED), (serde_json::json!([]), SERVED)]
    {
        let mut harness = NodeHarness::start(1, |config| config["settings"]["accounts"] = accounts);
        let mut client = harness.client();
        let (id, row) = (name(WAITS), name(ROW));
        let fields = [("op", "safe"), ("call", id.as_str()), ("ttl", "3000"), ("row", &row), ("org", "bob")];
        let mut out = Vec::new();
        frames::request(&mut out, 1, &fields, b"");
        client.socket.write_all(&out).expect("written");
        let codes = harness.until("its answer", |harness| {
            harness.invokers[0].serve(|_| true);
            Some(client.codes(1)).filter(|codes| !codes.is_empty())
        });
        assert_eq!((codes, harness.node.counters().bad_requests), (vec![code], u64::from(code == FAILED)));
    }
}

#[test]
fn request_cancelled_with_half_close_violates_no_invariant() {
    let (mut harness, _first, mut waits) = one_runs_and_one_waits();
    // Its end is heard before the bytes that stand in front of it.
    waits.withdraw(1);
    waits.socket.shutdown(Shutdown::Write).expect("shut");
    harness.turn();
    harness.fence(500);
    assert_eq!(harness.node.counters().violations.total(), 0, "{:?}", harness.node.counters().violations);
    assert_eq!(harness.sends(&name(WAITS)), 0);
}
