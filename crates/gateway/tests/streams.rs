//! Streamed responses when workers, clients or links fail between two parts.

mod common;
use common::*;

use bytes::Bytes;
use nettleferry_net::grpc::Code;
use nettleferry_scenario::client::{ClientEvent, ClientRequest};
use nettleferry_test_servers::{Fault, ObservationKind};
use prost::Message;

/// Settings of test servers. A call of four segments takes 40 ms for each, which leaves time to inject a fault
/// between them.
const SLOW: &str = "(listen \"127.0.0.1:0\") (cores 8) (model \"\" (lanes 64) (load-time 1ms) (work 160ms))";

fn is_call(observation: &ObservationKind) -> bool {
    matches!(observation, ObservationKind::Call { .. })
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
    assert_eq!(last.infer_response.as_ref().expect("a response that names its call").id, "c");
    assert!(is_final(&last));
    assert_eq!(caller.status(rpc).0.code, Code::Ok, "the stream ends with OK, although its call is aborted");
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
    let later = caller.start_rpc(client_request("ModelStreamInfer", &climb("climb", "d", 1)));
    assert!(is_final(&caller.response(later)));
    assert_eq!(fleet.count(is_call), 2);
    assert!(
        caller
            .events()
            .iter()
            .all(|event| !matches!(event, ClientEvent::Message { rpc: number, .. } if *number == rpc))
    );
}

#[test]
fn calls_of_one_stream_end_independently() {
    let mut fleet = Fleet::new(2, SPEC);
    let gateway = serve(SETTINGS, &fleet.list());
    let mut caller = Caller::new(gateway.address);
    let invalid = climb("nobody", "bad", 1);
    let messages = [climb("climb", "a", 3), invalid, climb("climb", "b", 2), echo("echo", "e", 9)];
    let messages: Vec<Bytes> = messages.iter().map(|m| m.encode_to_vec().into()).collect();
    let rpc =
        caller.start_rpc(ClientRequest { method: "ModelStreamInfer", messages, ..ClientRequest::default() });
    let mut errors_by_call = std::collections::BTreeMap::new();
    let mut part_counts = std::collections::BTreeMap::new();
    while errors_by_call.len() < 4 {
        let response = caller.response(rpc);
        let id = response.infer_response.as_ref().expect("a response that names its call").id.clone();
        assert!(!errors_by_call.contains_key(&id), "a response after the final one of {id}");
        *part_counts.entry(id.clone()).or_insert(0) += 1;
        if is_final(&response) {
            errors_by_call.insert(id, response.error_message);
        }
    }
    assert_eq!((part_counts["a"], part_counts["b"], part_counts["e"]), (3, 2, 1));
    assert!(errors_by_call["bad"].starts_with("NOT_FOUND"), "{errors_by_call:?}");
    assert!(
        errors_by_call["a"].is_empty() && errors_by_call["b"].is_empty() && errors_by_call["e"].is_empty()
    );
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
    let request = ClientRequest {
        method: "ModelStreamInfer",
        messages,
        headers,
        keep_open: true,
        ..ClientRequest::default()
    };
    let rpc = caller.start_rpc(request);
    caller.response(rpc);
    caller.client.send(rpc, climb("nobody", "bad", 1).encode_to_vec().into());
    let (status, _) = caller.status(rpc);
    assert_eq!(status.code, Code::NotFound);
    caller.until("the worker sees that the other call is cancelled", || {
        fleet.any(|s| matches!(s, ObservationKind::Gone { .. }))
    });
}

/// Starts a call of `model` on a stream whose errors end it, waits until it runs, and adds a call that is refused. Returns
/// the code of the stream and the advice on retries.
fn refusal_beside_a_running_call(model: &str) -> (Code, String) {
    let mut fleet = Fleet::new(1, SLOW);
    let gateway = serve(&format!("{SETTINGS}(limits (open-calls 1))"), &fleet.list());
    let mut caller = Caller::new(gateway.address);
    let request = ClientRequest {
        headers: vec![("triton_grpc_error".to_owned(), "true".to_owned())],
        keep_open: true,
        ..client_request("ModelStreamInfer", &climb(model, "a", 4))
    };
    let rpc = caller.start_rpc(request);
    caller.until("the call runs", || fleet.any(|s| matches!(s, ObservationKind::Runs { .. })));
    caller.client.send(rpc, climb(model, "refused", 1).encode_to_vec().into());
    let (status, trailers) = caller.status(rpc);
    (status.code, trailers["grpc-retry-pushback-ms"].to_str().expect("ASCII").to_owned())
}

// Guards against a stream whose status permits a retry although one of its calls, which must not run twice, may have run.
#[test]
fn refusal_that_ends_a_stream_permits_no_retry_of_its_other_calls() {
    assert_eq!(refusal_beside_a_running_call("climb-once"), (Code::Aborted, "-1".to_owned()));
    assert_eq!(refusal_beside_a_running_call("climb"), (Code::Unavailable, "100".to_owned()));
}

#[test]
fn slow_reader_delays_only_its_own_worker() {
    let fast_worker = "(listen \"127.0.0.1:0\") (cores 8) (model \"\" (lanes 64) (load-time 1ms) (work 1ms))";
    let mut fleet = Fleet::new(1, fast_worker);
    let small_buffers = "(limits (send-queue 16KiB) (stream-window 64KiB))";
    let gateway = serve(&format!("{SETTINGS}{small_buffers}"), &fleet.list());
    let mut other = Caller::new(gateway.address);
    let warm_up = other.unary("echo");
    assert_eq!(other.status(warm_up).0.code, Code::Ok);
    let resident_before = gateway.resident();
    // A streamed response of about 30 MB, which its client does not read.
    let segments = 150_000;
    let mut slow = Caller::new(gateway.address);
    let rpc = slow.start_rpc(client_request("ModelStreamInfer", &climb("climb", "s", segments)));
    slow.client.set_reading(rpc, false);
    slow.until("the worker received the call", || {
        fleet.any(|s| matches!(s, ObservationKind::Call { model, .. } if model == "climb"))
    });
    for _ in 0..200 {
        let rpc = other.unary("echo");
        assert_eq!(other.status(rpc).0.code, Code::Ok);
        slow.poll_once();
    }
    let served = fleet.count(|s| matches!(s, ObservationKind::Answered { served: true, .. }));
    assert_eq!(served, 201, "the unread response must not be complete");
    let growth_kib = gateway.resident().saturating_sub(resident_before);
    assert!(growth_kib < 20 << 10, "{growth_kib} KiB more memory for a response that is not read");
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
    let mut finals_by_rpc = std::collections::BTreeMap::new();
    for n in 0..60u64 {
        let mut request = client_request("ModelStreamInfer", &climb("climb", &n.to_string(), 4));
        request.timeout = Some(std::time::Duration::from_millis(190 + n * 2));
        finals_by_rpc.insert(caller.start_rpc(request), 0);
    }
    let mut ended = 0;
    while ended < 60 {
        let event = caller.wait("an end or a message", |event| Some(event.clone()));
        match event {
            ClientEvent::Message { rpc, payload } => {
                let response = nettleferry_proto::inference::ModelStreamInferResponse::decode(payload)
                    .expect("a ModelStreamInferResponse");
                *finals_by_rpc.get_mut(&rpc).expect("an RPC of this test") += u32::from(is_final(&response));
            }
            ClientEvent::End { rpc, status, .. } => {
                ended += 1;
                assert_eq!(finals_by_rpc[&rpc], 1, "exactly one final response");
                assert_eq!(status.expect("a status").code, Code::Ok);
            }
        }
    }
    let later = caller.unary("echo");
    assert_eq!(caller.status(later).0.code, Code::Ok);
    // A call may be both answered and cancelled, if its response was in flight at the cancellation. A request cancelled
    // before it arrived completely is never observed as a call.
    eventually("each call that a worker received is answered or cancelled there", || {
        let observations = fleet.observations();
        let ended: std::collections::HashSet<(&str, u64)> = observations
            .iter()
            .filter_map(|observation| match &observation.kind {
                ObservationKind::Gone { stream } | ObservationKind::Answered { stream, .. } => {
                    Some((observation.worker.as_str(), *stream))
                }
                _ => None,
            })
            .collect();
        let call = |observation: &nettleferry_test_servers::Observation| match &observation.kind {
            ObservationKind::Call { stream, .. } => Some((observation.worker.clone(), *stream)),
            _ => None,
        };
        observations
            .iter()
            .filter_map(call)
            .all(|(worker, stream)| ended.contains(&(worker.as_str(), stream)))
    });
}
