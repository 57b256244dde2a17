//! Calls of a keyed class whose requests carry no id. Workers recognise a repeat by the id of the request, so nothing
//! marks the repeat of such a call.

mod common;
use common::*;

use nettleferry_net::grpc::Code;
use nettleferry_test_servers::{Fault, ObservationKind};

/// A keyed class whose repeats are dropped within `scope`. Segments of `climb-keyed` are streamed.
fn settings(scope: &str) -> String {
    format!(
        r#"
(listen (grpc "127.0.0.1:0"))
(workers (file "workers.sexp") (check-every 5ms))
(class keyed (effect keyed {scope} 20s) (aim 1s) (deadline 15s))
(model "echo-keyed" (class keyed) (lanes 64))
(model "climb-keyed" (class keyed) (lanes 64))
"#
    )
}

/// The list of the fleet, with all workers in one zone and one cell.
fn list_of_one_group(fleet: &Fleet) -> String {
    let entry = |worker: &nettleferry_test_servers::Handle| {
        format!("(worker {} (address \"{}\") (zone z1) (cell c1))\n", worker.name, worker.addresses[0])
    };
    fleet.handles.iter().map(entry).collect()
}

/// How attempts end after they have run.
#[derive(Clone, Copy, Debug)]
enum Break {
    /// Each attempt gets the status INTERNAL.
    Status,
    /// The connection of each worker's first attempt is reset within the response.
    Reset,
}

impl Break {
    fn inject(self, fleet: &Fleet) {
        let fault = || match self {
            Self::Status => Fault::FailFast(1.0),
            Self::Reset => Fault::CutAfter(Some(1)),
        };
        fleet.handles.iter().for_each(|worker| worker.inject(fault()));
    }
}

/// What the client of a call is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Told {
    code: Code,
    /// The delay after which a retry is harmless, milliseconds. Negative: the client must not retry.
    pushback_ms: Option<i64>,
}

/// Makes a unary call, or one on a stream whose errors end the stream, and returns what its client is told.
fn told(caller: &mut Caller, method: &'static str, id: &str) -> Told {
    let message =
        if method == "ModelInfer" { echo("echo-keyed", id, 64) } else { climb("climb-keyed", id, 1) };
    let mut request = client_request(method, &message);
    request.headers.push(("triton_grpc_error".to_owned(), "true".to_owned()));
    let rpc = caller.start_rpc(request);
    let (status, trailers) = caller.status(rpc);
    let pushback = trailers.get("grpc-retry-pushback-ms").map(|value| value.to_str().expect("ASCII"));
    Told { code: status.code, pushback_ms: pushback.map(|text| text.parse().expect("a number")) }
}

/// A call that was made at a gateway with two workers.
#[derive(Debug)]
struct Made {
    told: Told,
    attempts: usize,
    runs: usize,
}

/// Makes one call, after `inject` has set the faults of the workers.
fn make_call(scope: &str, inject: impl FnOnce(&Fleet), method: &'static str, id: &str) -> Made {
    let mut fleet = Fleet::new(2, SPEC);
    let gateway = serve(&settings(scope), &list_of_one_group(&fleet));
    inject(&fleet);
    let told = told(&mut Caller::new(gateway.address), method, id);
    let attempts = fleet.count(|observation| matches!(observation, ObservationKind::Call { .. }));
    let runs = fleet.count(|observation| matches!(observation, ObservationKind::Runs { .. }));
    Made { told, attempts, runs }
}

const METHODS: [&str; 2] = ["ModelInfer", "ModelStreamInfer"];

// Guards against a second run of a keyed call that no worker can recognise as a repeat, and against telling its client
// that a retry is harmless.
#[test]
fn keyed_call_without_an_id_is_not_repeated_after_it_may_have_run() {
    for scope in ["all", "zone", "cell"] {
        for how in [Break::Status, Break::Reset] {
            for method in METHODS {
                for id in ["", " ", "\t\n"] {
                    let made = make_call(scope, |fleet| how.inject(fleet), method, id);
                    let case = format!("{scope}, {how:?}, {method}, id {id:?}: {made:?}");
                    assert_eq!((made.attempts, made.runs), (1, 1), "{case}");
                    assert!(matches!(made.told.code, Code::Internal | Code::Aborted), "{case}");
                    assert_eq!(made.told.pushback_ms, Some(-1), "{case}");
                }
            }
        }
    }
}

// Guards against a mend that takes the retries from the calls whose repeats are recognised.
#[test]
fn keyed_call_with_an_id_is_repeated_in_its_group() {
    for (scope, is_told) in [("all", Code::Unavailable), ("zone", Code::Internal), ("cell", Code::Internal)] {
        for method in METHODS {
            let made = make_call(scope, |fleet| Break::Status.inject(fleet), method, "call-1");
            let case = format!("{scope}, {method}: {made:?}");
            assert!(made.attempts > 1, "{case}");
            assert_eq!(made.told.code, is_told, "{case}");
            let harmless = made.told.pushback_ms.is_some_and(|ms| ms >= 0);
            assert_eq!(harmless, is_told == Code::Unavailable, "{case}");
            let made = make_call(scope, |fleet| Break::Reset.inject(fleet), method, "call-1");
            assert!(made.attempts > 1, "{scope}, {method}: {made:?}");
        }
    }
}

// Guards against a mend that turns clients without ids away: their calls are served, also by another worker once it is
// proven that the first one did not run them.
#[test]
fn sound_keyed_calls_without_an_id_are_served() {
    let fleet = Fleet::new(2, SPEC);
    let mut gateway = serve(&settings("cell"), &list_of_one_group(&fleet));
    let mut caller = Caller::new(gateway.address);
    for round in 0..40 {
        for method in METHODS {
            assert_eq!(told(&mut caller, method, "").code, Code::Ok, "call {round}, {method}");
        }
    }
    assert_eq!(told(&mut caller, METHODS[0], "call-1").code, Code::Ok);
    drop(caller);
    gateway.signal("TERM");
    gateway.wait();
    let log = gateway.log();
    assert!(log.contains("keyed_without_id: 80"), "the calls without an id are counted: {log}");
    for refusing in 0..2 {
        let inject = |fleet: &Fleet| fleet.handles[refusing].inject(Fault::Refuse(true));
        for method in METHODS {
            let made = make_call("cell", inject, method, "");
            assert_eq!((made.told.code, made.runs), (Code::Ok, 1), "{method}: {made:?}");
        }
    }
}
