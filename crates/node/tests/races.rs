//! Two events in the same iteration of the event loop: the test writes both before it runs the iteration, and counts at
//! the invokers what the node forwards.

mod common;

use std::io::Write;
use std::net::Shutdown;

use common::disconnect::{ALL_DISCONNECTS, client_with_unread_data, serve_call};
use common::harness::{Client, NodeHarness, request, wire_id, write_response};
use common::{FAILED, REFUSED, SERVED};
use nettleferry_platform::frames;

const FIRST: u64 = 1;
const WAITING: u64 = 2;
const ROW: u64 = 9;

/// A node with two calls of a function whose replica has one lane: the first one runs and the second one waits.
fn one_runs_and_one_waits() -> (NodeHarness, Client, Client) {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut first = harness.client();
    // A call that is served shows the node where the replica is.
    serve_call(&mut harness, &mut first, 77, ROW);
    first.send_request(2, "safe", FIRST, ROW, b"");
    harness.wait_for_command(0, "CALL", &wire_id(FIRST));
    let mut waits = client_with_unread_data(&mut harness);
    waits.send_request(1, "safe", WAITING, ROW, b"");
    harness.iterate();
    harness.iterate();
    assert_eq!(harness.call_count(&wire_id(WAITING)), 0, "the second call waits for the lane");
    (harness, first, waits)
}

#[test]
fn disconnect_with_the_answer_that_frees_a_lane_forwards_nothing() {
    for way in ALL_DISCONNECTS {
        let (mut harness, _first, waits) = one_runs_and_one_waits();
        let conn = harness.wait_for_command(0, "CALL", &wire_id(FIRST));
        // The response and the disconnect arrive in the same iteration.
        write_response(&mut harness.invokers[0].conns[conn].socket, &wire_id(FIRST), "served", "n=w");
        let waits = way.apply(waits, 1);
        harness.iterate();
        way.check_answer(&mut harness, waits, 1, REFUSED);
        harness.fence(500);
        assert_eq!(harness.call_count(&wire_id(WAITING)), 0, "{way:?}");
    }
}

#[test]
fn clients_that_disconnect_together_are_not_granted_each_others_lanes() {
    let (mut harness, mut first, mut waits) = one_runs_and_one_waits();
    let mut third = harness.client();
    third.send_request(1, "safe", 3, ROW, b"");
    harness.iterate();
    harness.iterate();
    // The running call and both calls that wait for its lane are cancelled.
    first.cancel(2);
    waits.cancel(1);
    third.cancel(1);
    harness.iterate();
    harness.fence(500);
    assert_eq!((harness.call_count(&wire_id(WAITING)), harness.call_count(&wire_id(3))), (0, 0));
    assert_eq!(harness.command_count("CANCEL"), 1, "the running call is cancelled");
}

#[test]
fn disconnect_with_the_end_of_a_load_is_not_retried() {
    for way in ALL_DISCONNECTS {
        let mut harness = NodeHarness::start(1, |_| ());
        let mut waits = client_with_unread_data(&mut harness);
        waits.send_request(1, "safe", WAITING, ROW, b"");
        let conn = harness.wait_for_command(0, "CALL", &wire_id(WAITING));
        write_response(&mut harness.invokers[0].conns[conn].socket, &wire_id(WAITING), "not_here", "-");
        harness.until("the load order", |harness| (harness.command_count("LOAD") == 1).then_some(()));
        harness.invokers[0].complete_loads(|_| true);
        let waits = way.apply(waits, 1);
        harness.iterate();
        way.check_answer(&mut harness, waits, 1, REFUSED);
        harness.fence(500);
        assert_eq!(harness.call_count(&wire_id(WAITING)), 1, "{way:?}: no retry");
    }
}

#[test]
fn disconnect_with_a_new_list_forwards_nothing() {
    for way in ALL_DISCONNECTS {
        let (mut harness, _first, waits) = one_runs_and_one_waits();
        let other = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        other.set_nonblocking(true).expect("set");
        harness.invokers.push(common::harness::Invoker { listener: other, conns: Vec::new() });
        let query = harness.next_query();
        // The call's home drains and another invoker is listed, to which the call would be sent.
        harness.answer_query(query, 2, &[(0, true), (1, false)]);
        let waits = way.apply(waits, 1);
        harness.iterate();
        way.check_answer(&mut harness, waits, 1, REFUSED);
        harness.fence(500);
        assert_eq!(harness.call_count(&wire_id(WAITING)), 0, "{way:?}");
    }
}

#[test]
fn disconnect_while_connecting_forwards_nothing() {
    for way in ALL_DISCONNECTS {
        let mut harness = NodeHarness::start(1, |_| ());
        let mut waits = client_with_unread_data(&mut harness);
        waits.send_request(1, "safe", WAITING, ROW, b"");
        // This iteration begins to connect. The next one finds the connection established and the client disconnected.
        harness.iterate();
        let waits = way.apply(waits, 1);
        harness.iterate();
        way.check_answer(&mut harness, waits, 1, FAILED);
        harness.fence(500);
        assert_eq!(harness.call_count(&wire_id(WAITING)), 0, "{way:?}");
    }
}

#[test]
fn disconnect_between_two_attempts_is_not_retried() {
    for way in ALL_DISCONNECTS {
        let mut harness = NodeHarness::start(2, |_| ());
        let mut waits = client_with_unread_data(&mut harness);
        waits.send_request(1, "safe", WAITING, ROW, b"");
        let (at, conn) = harness.until("the first attempt", |harness| {
            (0..2).find_map(|at| Some((at, harness.invokers[at].find("CALL", &wire_id(WAITING))?)))
        });
        write_response(&mut harness.invokers[at].conns[conn].socket, &wire_id(WAITING), "overload", "-");
        let waits = way.apply(waits, 1);
        harness.iterate();
        // The response in the same iteration shows that the first attempt did not run, but the disconnect is handled
        // first.
        drop(waits);
        harness.fence(500);
        assert_eq!(harness.call_count(&wire_id(WAITING)), 1, "{way:?}");
    }
}

#[test]
fn request_with_half_close_in_one_iteration_is_answered_and_not_forwarded() {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut client = harness.client();
    // After the first event of the connection, its data and its end are reported by a single event.
    harness.iterate();
    harness.iterate();
    client.send_request(1, "safe", WAITING, ROW, b"ab");
    client.socket.shutdown(Shutdown::Write).expect("open");
    let codes = harness.until("an answer", |_| Some(client.answer_codes(1)).filter(|c| !c.is_empty()));
    assert_eq!(codes, [REFUSED]);
    harness.fence(500);
    assert_eq!(harness.call_count(&wire_id(WAITING)), 0);
    assert_eq!(harness.node.engine_counters().opened, 1, "only the fence request was opened");
}

#[test]
fn running_attempt_is_cancelled_only_where_the_settings_allow_it() {
    for (allowed, way) in
        [true, false].into_iter().flat_map(|allowed| ALL_DISCONNECTS.map(|way| (allowed, way)))
    {
        let mut harness =
            NodeHarness::start(1, |config| config["settings"]["limits"]["cancel"] = allowed.into());
        let mut client = client_with_unread_data(&mut harness);
        client.send_request(1, "once", WAITING, ROW, b"");
        let conn = harness.wait_for_command(0, "CALL", &wire_id(WAITING));
        let client = way.apply(client, 1);
        harness.iterate();
        way.check_answer(&mut harness, client, 1, FAILED);
        if allowed {
            harness.wait_for_command(0, "CANCEL", &wire_id(WAITING));
        }
        // The invoker responds nevertheless, and the response is dropped.
        write_response(&mut harness.invokers[0].conns[conn].socket, &wire_id(WAITING), "served", "n=w");
        harness.fence(500);
        assert_eq!(harness.command_count("CANCEL"), usize::from(allowed), "{way:?}");
        assert_eq!(harness.call_count(&wire_id(WAITING)), 1);
        if !allowed {
            assert!(!harness.invokers[0].conns[conn].ended, "{way:?}: the connection stays open");
        }
    }
}

#[test]
fn load_wanted_only_by_a_disconnected_client_is_not_ordered() {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut waits = harness.client();
    waits.send_request(1, "safe", WAITING, ROW, b"");
    let conn = harness.wait_for_command(0, "CALL", &wire_id(WAITING));
    // The invoker closes the connection after its response: the load order waits for a new connection.
    let conn = &mut harness.invokers[0].conns[conn].socket;
    write_response(conn, &wire_id(WAITING), "not_here", "-");
    conn.shutdown(Shutdown::Write).expect("open");
    harness.iterate();
    assert_eq!(harness.command_count("LOAD"), 0, "the load order waits for its connection");
    waits.cancel(1);
    harness.iterate();
    harness.fence(500);
    let for_it = |command: &&Vec<String>| {
        command[0].starts_with("LOAD") && command[2].contains(&format!("asset={}", wire_id(ROW)))
    };
    let orders = harness.invokers[0].conns.iter().flat_map(|c| &c.commands).filter(for_it).count();
    assert_eq!(orders, 0);
}

#[test]
fn request_waiting_for_a_connection_moves_when_its_invoker_drains() {
    // The list takes an invoker out of service in the iteration in which the connection to it is established.
    let mut harness = NodeHarness::start(2, |_| ());
    let query = harness.next_query();
    let mut client = harness.client();
    client.send_request(1, "once", WAITING, ROW, b"");
    harness.iterate();
    // The node has begun to connect; the connection will be established in the next iteration.
    let chosen = harness.until_at_invokers("a connection", |harness| {
        (0..2).find(|at| !harness.invokers[*at].conns.is_empty())
    });
    harness.answer_query(query, 2, &[(chosen, true), (1 - chosen, false)]);
    let at = harness.until("an attempt", |harness| {
        (0..2).find(|at| harness.invokers[*at].find("CALL", &wire_id(WAITING)).is_some())
    });
    assert_eq!(at, 1 - chosen, "not the draining invoker");
    assert_eq!(harness.call_count(&wire_id(WAITING)), 1);
}

#[test]
fn restarted_invoker_gets_nothing_on_old_connections() {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut client = harness.client();
    let old = serve_call(&mut harness, &mut client, 77, ROW);
    let query = harness.next_query();
    let started_ms =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("now").as_millis();
    // A restarted machine does not close its old connections, so the node sees no failure on them.
    harness.answer_query_with_start(query, 2, 0, started_ms as u64 + 1);
    harness.iterate();
    client.send_request(2, "safe", 78, ROW, b"");
    harness
        .until("the old connection to close", |harness| harness.invokers[0].conns[old].ended.then_some(()));
    let after = |c: &common::harness::Conn| {
        c.commands.iter().any(|command| command[0] == "CALL" && command[1] == wire_id(78))
    };
    assert!(!after(&harness.invokers[0].conns[old]));
}

#[test]
fn address_reused_by_another_invoker_gets_new_connections() {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut client = harness.client();
    let old = serve_call(&mut harness, &mut client, 77, ROW);
    let query = harness.next_query();
    harness.answer_query_with_names(query, 2, &[("s-new", 0)]);
    client.send_request(2, "safe", 78, ROW, b"");
    let new = harness.wait_for_command(0, "CALL", &wire_id(78));
    assert_ne!(new, old);
    harness
        .until("the old connection to close", |harness| harness.invokers[0].conns[old].ended.then_some(()));
}

#[test]
fn disconnect_with_its_own_answer_neither_cancels_nor_retries() {
    for way in ALL_DISCONNECTS {
        let mut harness = NodeHarness::start(1, |_| ());
        let mut client = client_with_unread_data(&mut harness);
        client.send_request(1, "once", WAITING, ROW, b"");
        let conn = harness.wait_for_command(0, "CALL", &wire_id(WAITING));
        write_response(&mut harness.invokers[0].conns[conn].socket, &wire_id(WAITING), "served", "n=w");
        let client = way.apply(client, 1);
        harness.iterate();
        way.check_answer(&mut harness, client, 1, FAILED);
        harness.fence(500);
        assert_eq!(
            (harness.command_count("CANCEL"), harness.call_count(&wire_id(WAITING))),
            (0, 1),
            "{way:?}"
        );
        assert!(!harness.invokers[0].conns[conn].ended, "{way:?}: the connection stays open");
    }
}

#[test]
fn connection_past_its_idle_timeout_is_not_used_before_its_alarm_is_handled() {
    let mut harness =
        NodeHarness::start(1, |config| config["settings"]["limits"]["conn_idle_ms"] = 80.into());
    let mut client = harness.client();
    let old = serve_call(&mut harness, &mut client, 77, ROW);
    // The process is suspended for the idle timeout; the request and the alarm then fall into the same iteration.
    std::thread::sleep(std::time::Duration::from_millis(80));
    client.send_request(2, "once", 78, ROW, b"");
    let new = harness.wait_for_command(0, "CALL", &wire_id(78));
    assert_ne!(new, old);
}

#[test]
fn directory_answer_after_the_query_timeout_is_used() {
    let mut harness = NodeHarness::start(2, |_| ());
    let late = harness.next_query();
    // The next query shows that the first one has timed out.
    let _next = harness.next_query();
    harness.answer_query(late, 2, &[(1, false)]);
    let mut client = harness.client();
    harness.iterate();
    for id in 10..14 {
        client.send_request(id as u32, "safe", id, id, b"");
        harness.wait_for_command(1, "CALL", &wire_id(id));
    }
    assert!(harness.invokers[0].conns.is_empty(), "the removed invoker gets nothing");
}

#[test]
fn answers_of_the_old_directory_address_are_used_after_a_move() {
    let mut harness = NodeHarness::start(2, |_| ());
    let query = harness.next_query();
    harness.answer_query(query, 2, &[(1, false)]);
    // The response is in the old socket, and the new address does not respond.
    let silent = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    harness.config["resolver"] = silent.local_addr().expect("bound").to_string().into();
    std::fs::write(&harness.path, harness.config.to_string()).expect("written");
    harness.node.reload();
    harness.iterate();
    let mut client = harness.client();
    for id in 10..14 {
        client.send_request(id as u32, "safe", id, id, b"");
        harness.wait_for_command(1, "CALL", &wire_id(id));
    }
    assert!(harness.invokers[0].conns.is_empty());
}

#[test]
fn list_behind_a_flood_of_datagrams_is_read_without_another_poll_event() {
    let mut harness = NodeHarness::start(2, |_| ());
    let query = harness.next_query();
    for _ in 0..40 {
        harness.directory.send_to(b"??", query.1).expect("sent");
    }
    harness.answer_query(query, 2, &[(1, false)]);
    for _ in 0..4 {
        harness.iterate();
    }
    let mut client = harness.client();
    client.send_request(1, "safe", 10, ROW, b"");
    harness.wait_for_command(1, "CALL", &wire_id(10));
    assert!(harness.invokers[0].conns.is_empty());
}

#[test]
fn request_that_arrived_while_the_process_was_suspended_is_served_before_shutdown() {
    let mut harness = NodeHarness::start(1, |_| ());
    harness.iterate();
    harness.node.begin_shutdown();
    harness.iterate();
    // The process is suspended until the quiet span is over by the clock, and a client connects meanwhile.
    std::thread::sleep(nettleferry_node::limits::SHUTDOWN_QUIET_SPAN);
    let mut client = harness.client();
    client.send_request(1, "safe", WAITING, ROW, b"");
    assert!(!harness.node.is_done(), "no iteration has read the sockets yet");
    harness.iterate();
    assert!(!harness.node.is_done());
    harness.wait_for_command(0, "CALL", &wire_id(WAITING));
    harness.invokers[0].serve(|_| true);
    harness.until("the call to be served", |_| (!client.answer_codes(1).is_empty()).then_some(()));
    harness.until("the end of the shutdown", |harness| harness.node.is_done().then_some(()));
}

#[test]
fn client_that_connects_during_shutdown_is_served_and_gets_go_away() {
    let mut harness = NodeHarness::start(1, |_| ());
    harness.node.begin_shutdown();
    let mut client = harness.client();
    harness.iterate();
    assert!(client.frames().is_empty(), "the client may still send its first request");
    serve_call(&mut harness, &mut client, WAITING, ROW);
    let away = client.frames().iter().filter(|f| f.0 == frames::kind::GO_AWAY).count();
    assert_eq!(away, 1);
}

#[test]
fn client_in_the_middle_of_a_frame_is_not_evicted_as_idle() {
    // At the client limit, a connection with an incomplete request is evicted only after those without any input.
    let mut harness = NodeHarness::start(1, |config| config["limits"]["sockets"] = 64.into());
    let mut half = harness.client();
    let whole = request(1, "safe", WAITING, ROW, b"ab");
    half.socket.write_all(&whole[..20]).expect("written");
    harness.iterate();
    let mut unread = harness.client();
    let others: Vec<Client> = (0..30).map(|_| harness.client()).collect();
    harness.iterate();
    // The request on the oldest connection without input arrives before the eviction.
    unread.send_request(1, "safe", 3, ROW + 1, b"");
    let more: Vec<Client> = (0..4).map(|_| harness.client()).collect();
    harness.iterate();
    half.socket.write_all(&whole[20..]).expect("still open");
    harness.wait_for_command(0, "CALL", &wire_id(WAITING));
    harness.wait_for_command(0, "CALL", &wire_id(3));
    assert!(harness.node.counters().over_clients > 0, "the client limit was reached");
    drop((others, more));
}

#[test]
fn request_is_forwarded_with_its_idempotency_key() {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut client = harness.client();
    let (id, row) = (wire_id(WAITING), wire_id(ROW));
    let fields = [("op", "safe"), ("call", id.as_str()), ("ttl", "3000"), ("row", &row), ("dedupe", "k-17")];
    let mut out = Vec::new();
    frames::request(&mut out, 1, &fields, b"");
    client.socket.write_all(&out).expect("written");
    let conn = harness.wait_for_command(0, "CALL", &wire_id(WAITING));
    let command = &harness.invokers[0].conns[conn].commands[0];
    assert!(command[2].split(',').any(|field| field == "op=k-17"), "{command:?}");
}

#[test]
fn class_name_with_separators_does_not_affect_other_classes() {
    let mut harness =
        NodeHarness::start(1, |config| config["settings"]["classes"][1]["name"] = "a,patience=1".into());
    let mut client = harness.client();
    client.send_request(1, "a,patience=1", 77, ROW, b"");
    client.send_request(2, "safe", 78, ROW, b"");
    harness.wait_for_command(0, "CALL", &wire_id(78));
    harness.until("an answer", |_| (client.answer_codes(1) == [FAILED]).then_some(()));
    assert_eq!(harness.call_count(&wire_id(77)), 0);
}

#[test]
fn half_close_behind_unread_bytes_is_noticed_before_they_are_forwarded() {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut client = harness.client();
    serve_call(&mut harness, &mut client, 77, ROW);
    client.send_request(2, "safe", FIRST, ROW, b"");
    harness.wait_for_command(0, "CALL", &wire_id(FIRST));
    let mut waits = harness.client();
    waits.send_request(1, "safe", WAITING, ROW, b"");
    harness.iterate();
    harness.iterate();
    // While the process is suspended, the client sends more than one iteration reads and ends its side, and the lane
    // for which its first request waits becomes free.
    for n in 0..12 {
        waits.send_request(2 + n, "safe", 100 + u64::from(n), ROW + 1 + u64::from(n), &[0; 8 << 10]);
    }
    waits.socket.shutdown(Shutdown::Write).expect("open");
    harness.invokers[0].serve(|_| true);
    for stream in 1..14 {
        let codes =
            harness.until("an answer", |_| Some(waits.answer_codes(stream)).filter(|c| !c.is_empty()));
        assert_eq!(codes, [REFUSED], "stream {stream}");
    }
    harness.fence(500);
    let sent: usize = (100..112).chain([WAITING]).map(|id| harness.call_count(&wire_id(id))).sum();
    assert_eq!(sent, 0);
}

#[test]
fn duplicate_open_id_fails_because_the_first_may_run() {
    // The duplicate arrives on the same connection, or on another one.
    for same in [true, false] {
        let mut harness = NodeHarness::start(1, |_| ());
        let mut first = harness.client();
        first.send_request(1, "once", FIRST, ROW, b"one");
        let conn = harness.wait_for_command(0, "CALL", &wire_id(FIRST));
        let mut other = harness.client();
        let (again, stream) = if same { (&mut first, 2) } else { (&mut other, 1) };
        again.send_request(stream, "once", FIRST, ROW, b"two");
        let codes =
            harness.until("an answer", |_| Some(again.answer_codes(stream)).filter(|c| !c.is_empty()));
        assert_eq!(codes, [FAILED], "a refusal would state that a retry is harmless");
        write_response(&mut harness.invokers[0].conns[conn].socket, &wire_id(FIRST), "served", "n=w");
        let codes = harness.until("an answer", |_| Some(first.answer_codes(1)).filter(|c| !c.is_empty()));
        assert_eq!(codes, [SERVED], "the first request continues");
        assert_eq!((harness.call_count(&wire_id(FIRST)), harness.node.counters().ids_open), (1, 1));
    }
}

#[test]
fn request_of_an_unknown_tenant_is_not_served() {
    for (accounts, code) in [(serde_json::json!([{"name": "ada"}]), FAILED), (serde_json::json!([]), SERVED)]
    {
        let mut harness = NodeHarness::start(1, |config| config["settings"]["accounts"] = accounts);
        let mut client = harness.client();
        let (id, row) = (wire_id(WAITING), wire_id(ROW));
        let fields = [("op", "safe"), ("call", id.as_str()), ("ttl", "3000"), ("row", &row), ("org", "bob")];
        let mut out = Vec::new();
        frames::request(&mut out, 1, &fields, b"");
        client.socket.write_all(&out).expect("written");
        let codes = harness.until("an answer", |harness| {
            harness.invokers[0].serve(|_| true);
            Some(client.answer_codes(1)).filter(|codes| !codes.is_empty())
        });
        assert_eq!((codes, harness.node.counters().bad_requests), (vec![code], u64::from(code == FAILED)));
    }
}

#[test]
fn request_cancelled_with_half_close_violates_no_invariant() {
    let (mut harness, _first, mut waits) = one_runs_and_one_waits();
    // The end of the client's side is reported before the data in front of it is read.
    waits.cancel(1);
    waits.socket.shutdown(Shutdown::Write).expect("shut");
    harness.iterate();
    harness.fence(500);
    assert_eq!(harness.node.counters().violations.total(), 0, "{:?}", harness.node.counters().violations);
    assert_eq!(harness.call_count(&wire_id(WAITING)), 0);
}
