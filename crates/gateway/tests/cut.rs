//! Network partitions that leave connections open: bytes sent over a cut link stay in socket buffers and arrive once
//! the link is restored. A non-idempotent call whose bytes may still arrive must be neither retried nor refused.

mod common;
use common::*;

use std::collections::BTreeMap;

use nettleferry_net::grpc::Code;
use nettleferry_test_servers::{Fault, Observation, ObservationKind};

const SETTINGS: &str = r#"
(listen (grpc "127.0.0.1:0"))
(workers (file "workers.sexp") (check-every 5ms))
(class once (effect unsafe) (aim 200ms) (deadline 900ms))
(class patient (effect unsafe) (aim 200ms) (deadline 20s))
(class safe (effect safe) (aim 200ms) (deadline 20s))
(class tag (effect keyed zone 500ms) (aim 200ms) (deadline 900ms))
(model "echo-once-*" (class once) (lanes 64))
(model "echo-patient-*" (class patient) (lanes 64))
(model "echo-safe-*" (class safe) (lanes 64))
(model "echo-tag-*" (class tag) (lanes 64))
(limits (attempts 4))
"#;

const KINDS: [&str; 4] = ["echo-once", "echo-patient", "echo-safe", "echo-tag"];
/// Models of each kind; enough that each worker is the first choice for some of them.
const MODELS: usize = 12;
/// Workers whose links are cut; the third worker stays reachable.
const CUT: [&str; 2] = ["w1", "w2"];

fn cut(fleet: &mut Fleet, cut: bool) {
    for handle in fleet.handles.iter().filter(|handle| CUT.contains(&handle.name.as_str())) {
        handle.inject(Fault::Cut { address_index: 0, cut });
    }
    eventually("the links are cut or restored", || {
        fleet.count(|s| matches!(s, ObservationKind::Link { cut: c, .. } if *c == cut)) == CUT.len()
    });
}

/// An attempt that arrived at a worker.
#[derive(Debug)]
struct Attempt {
    worker: String,
    number: Option<u32>,
    /// Whether the worker started to run it.
    ran: bool,
}

/// The attempts that arrived at workers, by call id. Those of one call are in order of arrival.
fn arrived_attempts(records: &[Observation]) -> BTreeMap<String, Vec<Attempt>> {
    let mut streams = BTreeMap::new();
    let mut attempts: BTreeMap<String, Vec<Attempt>> = BTreeMap::new();
    for Observation { worker, kind, .. } in records {
        match kind {
            ObservationKind::Call { stream, id, attempt, .. } => {
                let call_attempts = attempts.entry(id.clone()).or_default();
                streams.insert((worker, *stream), (id.clone(), call_attempts.len()));
                call_attempts.push(Attempt { worker: worker.clone(), number: *attempt, ran: false });
            }
            ObservationKind::Runs { stream } => {
                let (id, index) = &streams[&(worker, *stream)];
                attempts.get_mut(id).expect("an attempt arrives before it runs")[*index].ran = true;
            }
            _ => {}
        }
    }
    attempts
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario over several processes, step by step")]
fn non_idempotent_call_is_neither_retried_nor_refused_behind_a_cut_link() {
    let mut fleet = Fleet::new(3, SPEC);
    let program = serve(SETTINGS, &fleet.list());
    let mut caller = Caller::new(program.address);
    let call = |caller: &mut Caller, kind: &str, n: usize, id: &str| {
        caller.start_rpc(client_request("ModelInfer", &echo(&format!("{kind}-{n}"), id, 64)))
    };
    // Warm-up: the decision module assigns no calls to workers that have not responded yet.
    for (n, kind) in (0..MODELS).flat_map(|n| KINDS.map(|kind| (n, kind))) {
        let rpc = call(&mut caller, kind, n, &format!("warm-{kind}-{n}"));
        assert_eq!(caller.status(rpc).0.code, Code::Ok);
    }
    cut(&mut fleet, true);
    let mut calls = BTreeMap::new();
    for (n, kind) in (0..MODELS).flat_map(|n| KINDS.map(|kind| (n, kind))) {
        let id = format!("{kind}-{n}");
        calls.insert(caller.start_rpc(client_request("ModelInfer", &echo(&id, &id, 64))), (kind, id));
    }
    // The workers behind the cut links don't respond. Idempotent calls are retried at the third worker.
    let mut refused = Vec::new();
    let mut record_refusal = |(status, _): (nettleferry_net::grpc::Status, _), id: &str| {
        if status.code == Code::Unavailable {
            refused.push(id.to_owned());
        }
        status.code
    };
    for (rpc, (_, id)) in calls.iter().filter(|(_, (kind, _))| *kind != "echo-patient") {
        let code = record_refusal(caller.status(*rpc), id);
        assert!(!id.starts_with("echo-safe") || code == Code::Ok, "{id}: {code:?}");
    }
    cut(&mut fleet, false);
    for (rpc, (_, id)) in calls.iter().filter(|(_, (kind, _))| *kind == "echo-patient") {
        record_refusal(caller.status(*rpc), id);
    }
    // A socket delivers in order: once a worker has received a call sent after the cut, it has received all bytes that
    // the cut delayed.
    let mut calls_after = 0;
    eventually("each worker behind a cut link receives a later call", || {
        calls_after += 1;
        let rpc = call(&mut caller, "echo-safe", calls_after, "after");
        let _ = caller.end(rpc);
        let records = fleet.observations();
        CUT.iter().all(|name| {
            let of_worker = records.iter().filter(|record| record.worker == *name);
            let is_later_call =
                |record: &Observation| matches!(&record.kind, ObservationKind::Call { id, .. } if id == "after");
            of_worker
                .skip_while(|record| !matches!(record.kind, ObservationKind::Link { cut: false, .. }))
                .any(is_later_call)
        })
    });
    let arrived = arrived_attempts(fleet.observations());
    let kind = |id: &str| KINDS.into_iter().find(|kind| id.starts_with(kind));
    let is_non_idempotent = |id: &str| matches!(kind(id), Some("echo-once" | "echo-patient"));
    let behind_a_cut =
        |attempts: &[Attempt]| attempts.iter().any(|attempt| CUT.contains(&attempt.worker.as_str()));
    let delayed =
        arrived.iter().filter(|(id, attempts)| is_non_idempotent(id) && behind_a_cut(attempts)).count();
    assert!(delayed > 0, "the cut delays non-idempotent calls");
    let retried = arrived.iter().filter(|(id, attempts)| {
        kind(id) == Some("echo-safe")
            && behind_a_cut(attempts)
            && attempts.iter().any(|attempt| attempt.number > Some(0))
    });
    assert!(retried.count() > 0, "idempotent calls are retried elsewhere");
    for (id, attempts) in arrived.iter().filter(|(id, _)| is_non_idempotent(id)) {
        // No proof that the call did not run can arrive over a cut link, so there must be exactly one attempt.
        assert!(attempts.len() == 1 && attempts[0].number == Some(0), "{id}: {attempts:?}");
        assert!(!refused.contains(id), "{id} was refused, but arrived at a worker: {attempts:?}");
    }
}
