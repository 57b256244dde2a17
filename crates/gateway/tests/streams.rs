//! Streamed responses when workers, clients or links fail between two parts.

mod common;
use common::*;

use bytes::Bytes;
use nettleferry_net::grpc::Code;
use nettleferry_scenario::client::{ClientEvent, ClientRequest};
use nettleferry_test_servers::{Fault, ObservationKind};
use prost::Message;

/// A call of four segments takes 40 ms for each, which leaves time to inject a fault between them.
const SLOW: &str = "(listen \"127.0.0.1:0\") (cores 8) (model \"\" (lanes 64) (load-time 1ms) (work 160ms))";

fn is_call(seen: &ObservationKind) -> bool {
    matches!(seen, ObservationKind::Call { .. })
}

#[test]
fn worker_that_dies_after_the_third_segment_aborts_the_call() {
    let mut fleet = Fleet::new(2, SLOW);
    let gateway = serve(SETTINGS, &fleet.list());
    for handle in &fleet.handles {
        handle.inject(Fault::CutAfter(Some(3)));
    }
    let mut caller = Caller::new(gateway.address);
    let rpc = caller.start_rpc(client_request("ModelStreamInfer", &climb("climb", "c", 6)));
    for _ in 0..3 {
        let part = caller.response(rpc);
        assert!(part.error_message.is_empty() && !is_final(&part));
    }
    let last = caller.response(rpc);
    assert!(last.error_message.starts_with("ABORTED"), "{}", last.error_message);
    assert_eq!(last.infer_response.as_ref().expect("its id").id, "c");
    assert!(is_final(&last));
    assert_eq!(caller.status(rpc).0.code, Code::Ok, "the stream itself goes on to its end");
    assert_eq!(fleet.count(is_call), 1, "no second attempt");
}

#[test]
fn cancel_reaches_the_worker_and_nothing_follows() {
    let mut fleet = Fleet::new(2, SLOW);
    let gateway = serve(SETTINGS, &fleet.list());
    let mut caller = Caller::new(gateway.address);
    let rpc = caller.start_rpc(client_request("ModelStreamInfer", &climb("climb", "c", 4)));
    caller.response(rpc);
    caller.client.cancel(rpc);
    caller.until("the worker sees the cancel", || fleet.any(|s| matches!(s, ObservationKind::Gone { .. })));
    // A later call on the same connection is answered; the cancelled one is not retried.
    let next = caller.start_rpc(client_request("ModelStreamInfer", &climb("climb", "d", 1)));
    assert!(is_final(&caller.response(next)));
    assert_eq!(fleet.count(is_call), 2);
    assert!(caller.events().iter().all(|h| !matches!(h, ClientEvent::Message { rpc: r, .. } if *r == rpc)));
}

#[test]
fn calls_of_one_stream_end_independently() {
    let mut fleet = Fleet::new(2, SPEC);
    let gateway = serve(SETTINGS, &fleet.list());
    let mut caller = Caller::new(gateway.address);
    let bad = climb("nobody", "bad", 1);
    let messages = [climb("climb", "a", 3), bad, climb("climb", "b", 2), echo("echo", "e", 9)];
    let messages: Vec<Bytes> = messages.iter().map(|m| m.encode_to_vec().into()).collect();
    let rpc =
        caller.start_rpc(ClientRequest { method: "ModelStreamInfer", messages, ..ClientRequest::default() });
    let mut finals = std::collections::BTreeMap::new();
    let mut parts = std::collections::BTreeMap::new();
    while finals.len() < 4 {
        let response = caller.response(rpc);
        let id = response.infer_response.as_ref().expect("each names its call").id.clone();
        assert!(!finals.contains_key(&id), "nothing after the final answer of {id}");
        *parts.entry(id.clone()).or_insert(0) += 1;
        if is_final(&response) {
            finals.insert(id, response.error_message);
        }
    }
    assert_eq!((parts["a"], parts["b"], parts["e"]), (3, 2, 1));
    assert!(finals["bad"].starts_with("NOT_FOUND"), "{finals:?}");
    assert!(finals["a"].is_empty() && finals["b"].is_empty() && finals["e"].is_empty());
    assert_eq!(caller.status(rpc).0.code, Code::Ok);
    assert_eq!(fleet.count(is_call), 3);
}

#[test]
fn with_triton_grpc_error_the_first_failing_call_ends_the_stream() {
    let mut fleet = Fleet::new(1, SLOW);
    let gateway = serve(SETTINGS, &fleet.list());
    let mut caller = Caller::new(gateway.address);
    let messages = vec![climb("climb", "a", 4).encode_to_vec().into()];
    let headers = vec![("triton_grpc_error".to_owned(), "true".to_owned())];
    let ask = ClientRequest {
        method: "ModelStreamInfer",
        messages,
        headers,
        keep_open: true,
        ..ClientRequest::default()
    };
    let rpc = caller.start_rpc(ask);
    caller.response(rpc);
    caller.client.send(rpc, climb("nobody", "bad", 1).encode_to_vec().into());
    let (status, _) = caller.status(rpc);
    assert_eq!(status.code, Code::NotFound);
    caller
        .until("the other call lost its client", || fleet.any(|s| matches!(s, ObservationKind::Gone { .. })));
}

#[test]
fn slow_reader_delays_only_its_own_worker() {
    let quick = "(listen \"127.0.0.1:0\") (cores 8) (model \"\" (lanes 64) (load-time 1ms) (work 1ms))";
    let mut fleet = Fleet::new(1, quick);
    let small = "(limits (send-queue 16KiB) (stream-window 64KiB))";
    let gateway = serve(&format!("{SETTINGS}{small}"), &fleet.list());
    let mut other = Caller::new(gateway.address);
    let warm = other.unary("echo");
    assert_eq!(other.status(warm).0.code, Code::Ok);
    let before = gateway.resident();
    // A response of about 30 MB that its client does not read.
    let segments = 150_000;
    let mut slow = Caller::new(gateway.address);
    let rpc = slow.start_rpc(client_request("ModelStreamInfer", &climb("climb", "s", segments)));
    slow.client.set_reading(rpc, false);
    slow.until("it runs", || {
        fleet.any(|s| matches!(s, ObservationKind::Call { model, .. } if model == "climb"))
    });
    for _ in 0..200 {
        let rpc = other.unary("echo");
        assert_eq!(other.status(rpc).0.code, Code::Ok);
        slow.poll_once();
    }
    let served = fleet.count(|s| matches!(s, ObservationKind::Answered { served: true, .. }));
    assert_eq!(served, 201, "the long answer waits at its worker");
    let grown = gateway.resident().saturating_sub(before);
    assert!(grown < 20 << 10, "{grown} KiB for an answer that nobody reads");
    slow.client.set_reading(rpc, true);
    let mut parts = 0;
    loop {
        let response = slow.response(rpc);
        parts += 1;
        if is_final(&response) {
            break;
        }
    }
    assert_eq!(parts, segments);
    assert_eq!(slow.status(rpc).0.code, Code::Ok);
}

#[test]
fn calls_over_the_stream_limit_stay_unread() {
    let fleet = Fleet::new(1, SPEC);
    let gateway = serve(&format!("{SETTINGS}(limits (calls-per-stream 2))"), &fleet.list());
    let mut caller = Caller::new(gateway.address);
    let messages = (0..40).map(|n| echo("echo", &n.to_string(), 9).encode_to_vec().into()).collect();
    let rpc =
        caller.start_rpc(ClientRequest { method: "ModelStreamInfer", messages, ..ClientRequest::default() });
    for _ in 0..40 {
        assert!(is_final(&caller.response(rpc)));
    }
    assert_eq!(caller.status(rpc).0.code, Code::Ok);
}

#[test]
fn deadline_during_segments_gives_one_final_answer() {
    let mut fleet = Fleet::new(
        2,
        "(listen \"127.0.0.1:0\") (cores 64) (model \"\" (lanes 64) (load-time 1ms) (work 200ms))",
    );
    let gateway = serve(SETTINGS, &fleet.list());
    let mut caller = Caller::new(gateway.address);
    // Timeouts spread around the time at which the last segment arrives.
    let mut open = std::collections::BTreeMap::new();
    for n in 0..60u64 {
        let mut ask = client_request("ModelStreamInfer", &climb("climb", &n.to_string(), 4));
        ask.timeout = Some(std::time::Duration::from_millis(190 + n * 2));
        open.insert(caller.start_rpc(ask), 0);
    }
    let mut ends = 0;
    while ends < 60 {
        let heard = caller.wait("an end or a message", |h| Some(h.clone()));
        match heard {
            ClientEvent::Message { rpc, payload } => {
                let response = nettleferry_proto::inference::ModelStreamInferResponse::decode(payload)
                    .expect("valid response");
                *open.get_mut(&rpc).expect("an open call") += u32::from(is_final(&response));
            }
            ClientEvent::End { rpc, status, .. } => {
                ends += 1;
                assert_eq!(open[&rpc], 1, "one final answer");
                assert_eq!(status.expect("a status").code, Code::Ok);
            }
        }
    }
    let again = caller.unary("echo");
    assert_eq!(caller.status(again).0.code, Code::Ok);
    // A call may be both answered and cancelled, if its response was in flight at the cancellation. A request cancelled
    // before it arrived completely is never observed as a call.
    eventually("withdrawn calls are withdrawn at the workers", || {
        let seen = fleet.observations();
        let ended: std::collections::HashSet<(&str, u64)> = seen
            .iter()
            .filter_map(|r| match &r.seen {
                ObservationKind::Gone { stream } | ObservationKind::Answered { stream, .. } => {
                    Some((r.worker.as_str(), *stream))
                }
                _ => None,
            })
            .collect();
        let call = |r: &nettleferry_test_servers::Observation| match &r.seen {
            ObservationKind::Call { stream, .. } => Some((r.worker.clone(), *stream)),
            _ => None,
        };
        seen.iter().filter_map(call).all(|(worker, stream)| ended.contains(&(worker.as_str(), stream)))
    });
}
