//! Tenant administration over HTTP, end to end, while clients make calls.

mod common;
use common::admin_client::*;
use common::cluster::call_status;
use common::*;

use std::io::Write;
use std::net::TcpStream;
use std::process::Command;

use nettleferry_net::grpc::Code;
use nettleferry_test_servers::{Fault, ObservationKind};
use serde_json::{Value, json};

#[test]
fn tenant_changes_apply_from_the_next_call() {
    let fleet = Fleet::new(2, SPEC);
    let leader = leader(&fleet);
    let mut caller = Caller::new(leader.program.address);
    assert_eq!(code(&mut caller, None, "echo").0, Code::PermissionDenied, "a call must name its tenant");
    assert_eq!(code(&mut caller, Some("kalahari"), "echo").0, Code::PermissionDenied);
    leader.create(
        json!({"name": "kalahari", "models": ["echo*"], "limits": {"rate_per_second": 0.01, "burst": 2}}),
    );
    assert_eq!(
        code(&mut caller, Some("kalahari"), "climb").0,
        Code::PermissionDenied,
        "the tenant may not use this model"
    );
    assert_eq!(code(&mut caller, Some("kalahari"), "echo").0, Code::Ok);
    assert_eq!(code(&mut caller, Some("kalahari"), "echo").0, Code::Ok);
    let (status, pushback) = code(&mut caller, Some("kalahari"), "echo");
    assert_eq!(status, Code::ResourceExhausted);
    assert!(
        pushback.parse::<u64>().is_ok_and(|ms| ms > 50_000),
        "time until the rate limit admits a call: {pushback} ms"
    );
    leader.change("PATCH", "/v1/tenants/kalahari", r#"{"limits":{"rate_per_second":null,"burst":null}}"#);
    assert_eq!(code(&mut caller, Some("kalahari"), "echo").0, Code::Ok);
    leader.change("POST", "/v1/tenants/kalahari/suspend", "");
    assert_eq!(code(&mut caller, Some("kalahari"), "echo").0, Code::PermissionDenied);
    leader.change("POST", "/v1/tenants/kalahari/resume", "");
    assert_eq!(code(&mut caller, Some("kalahari"), "echo").0, Code::Ok);
    leader.change("PATCH", "/v1/tenants/kalahari", r#"{"limits":{"open_calls":0}}"#);
    assert_eq!(
        code(&mut caller, Some("kalahari"), "echo").0,
        Code::ResourceExhausted,
        "no open calls are allowed"
    );
    let get_usage = || leader.get("/v1/tenants/kalahari/usage");
    // The usage is updated with a short delay; its counters never decrease.
    eventually("the usage counts all calls", || {
        let usage = get_usage();
        usage["ends"] == json!({"served": 4}) && usage["open_calls"] == 0 && usage["refused"] == 3
    });
    assert_eq!(get_usage()["admitted"], 4);
}

#[test]
fn removing_a_tenant_ends_its_held_running_and_streaming_calls() {
    let mut fleet = Fleet::new(
        1,
        "(listen \"127.0.0.1:0\") (cores 8) (queue 100) (model \"\" (lanes 64) (load-time 1ms) (work 600ms))",
    );
    let leader = leader(&fleet);
    leader.create(json!({"name": "a"}));
    leader.create(json!({"name": "b"}));
    let mut caller = Caller::new(leader.program.address);
    assert_eq!(code(&mut caller, Some("b"), "echo").0, Code::Ok);
    // The in-flight call hangs at its worker. The held calls wait because the load of their model never completes.
    fleet.handles[0].inject(Fault::Hang(Some("echo-".to_owned())));
    let stream = caller.start_rpc(nettleferry_scenario::client::ClientRequest {
        headers: vec![("nettleferry-tenant".to_owned(), "a".to_owned())],
        ..client_request("ModelStreamInfer", &climb("climb", "s", 50))
    });
    caller.message(stream);
    let in_flight = call(&mut caller, Some("a"), "echo-x");
    let held_calls: Vec<u64> = (0..4).map(|_| call(&mut caller, Some("a"), "echo-x")).collect();
    let other_tenants_call = call(&mut caller, Some("b"), "echo");
    caller.until("a worker received the call", || {
        fleet.any(|s| matches!(s, ObservationKind::Call { model, .. } if model == "echo-x"))
    });
    eventually("all calls of the tenant are open", || leader.get("/v1/tenants/a/usage")["open_calls"] == 6);
    leader.change("DELETE", "/v1/tenants/a?grace_ms=400", "");
    assert_eq!(
        code(&mut caller, Some("a"), "echo").0,
        Code::PermissionDenied,
        "calls are refused from the change on"
    );
    let mut refused = 0;
    for rpc in held_calls {
        match caller.status(rpc).0.code {
            Code::PermissionDenied => refused += 1,
            other => assert_eq!(other, Code::Aborted),
        }
    }
    assert!(refused > 0, "calls that no worker received are refused");
    assert_eq!(caller.status(in_flight).0.code, Code::Aborted, "the worker may have run the call");
    let (status, _) = caller.end(stream);
    assert!(status.is_ok(), "the stream ends with a status");
    assert_eq!(caller.status(other_tenants_call).0.code, Code::Ok, "calls of other tenants are not affected");
    eventually("the tenant is removed", || leader.send("GET", "/v1/tenants/a", "", "").0 == 404);
    // A new tenant of the same name starts with zero usage.
    fleet.handles[0].inject(Fault::Hang(None));
    leader.create(json!({"name": "a"}));
    let usage = leader.get("/v1/tenants/a/usage");
    assert_eq!((usage["admitted"].clone(), usage["ends"].clone()), (json!(0), json!({})));
    assert_eq!(code(&mut caller, Some("a"), "echo").0, Code::Ok);
    let audit = leader.get("/v1/audit?tenant=a");
    let actions: Vec<&str> = audit["entries"]
        .as_array()
        .expect("an array of entries")
        .iter()
        .filter_map(|entry| entry["action"].as_str())
        .collect();
    assert_eq!(actions, ["create", "remove", "gone", "create"]);
}

#[test]
fn concurrent_changes_of_one_tenant_are_serialized() {
    let fleet = Fleet::new(1, SPEC);
    let leader = leader(&fleet);
    leader.create(json!({"name": "a"}));
    let http = &leader.http;
    let change_repeatedly = |client_number: u64| {
        let mut accepted = 0;
        for n in 0..100u64 {
            let revision = http.get("/v1/tenants/a")["revision"].as_u64().expect("a numeric revision");
            let body = json!({"note": format!("{client_number}-{n}")}).to_string();
            let (status, response) =
                http.send("PATCH", "/v1/tenants/a", &format!("If-Match: \"{revision}\"\r\n"), &body);
            match status {
                200 => {
                    assert_eq!(response["revision"], revision + 1);
                    accepted += 1;
                }
                412 => {}
                other => panic!("unexpected status {other}: {response}"),
            }
        }
        accepted
    };
    let accepted: u64 = std::thread::scope(|scope| {
        let threads = [scope.spawn(|| change_repeatedly(1)), scope.spawn(|| change_repeatedly(2))];
        threads.into_iter().map(|thread| thread.join().expect("all changes get an expected status")).sum()
    });
    let audit = leader.get("/v1/audit?limit=1000");
    let entries = audit["entries"].as_array().expect("an array of entries");
    assert_eq!(entries.len() as u64, 1 + accepted, "the audit log has the creation and each accepted change");
    assert!(accepted >= 100, "of two concurrent changes, at least one is accepted");
    for pair in entries.windows(2) {
        assert_eq!(
            pair[1]["before"], pair[0]["after"],
            "each change starts from the result of the previous one"
        );
    }
    assert_eq!(entries.last().expect("audit entries")["after"], leader.get("/v1/tenants/a"));
}

#[test]
fn acknowledged_change_survives_a_kill_and_a_damaged_store_serves_its_snapshot() {
    let fleet = Fleet::new(1, SPEC);
    let leader = leader(&fleet);
    leader.create(json!({"name": "a"}));
    leader.create(json!({"name": "b", "note": "kept"}));
    leader.program.signal("KILL");
    let token = leader.token.clone();
    let Leader { program, .. } = leader;
    let dir = surviving_files(program, &["tenants.redb", "tenants.lease", "workers.sexp", "key"]);
    let key_settings = std::fs::read_to_string(dir.path().join("key")).expect("key file readable");
    let mut leader = start(dir, token.clone(), &key_settings);
    assert_eq!(leader.get("/v1/tenants/b")["note"], "kept");
    leader.change("POST", "/v1/tenants/b/suspend", "");
    // A graceful shutdown writes the snapshot if it is not yet written.
    leader.program.signal("TERM");
    assert!(leader.program.wait().success());
    let Leader { program, .. } = leader;
    let dir = surviving_files(program, &["workers.sexp", "tenants.lease", "tenants.snapshot"]);
    std::fs::write(dir.path().join("tenants.redb"), vec![7; 20_000]).expect("damaged store written");
    let leader = start(dir, token, &key_settings);
    assert_eq!(leader.get("/v1/tenants/b")["state"], "suspended");
    let (status, response) = leader.send("POST", "/v1/tenants/b/resume", "If-Match: *\r\n", "");
    assert!(
        status == 503 && response["detail"].as_str().is_some_and(|d| d.contains("nothing can be changed")),
        "{response}"
    );
    let mut caller = Caller::new(leader.program.address);
    assert_eq!(code(&mut caller, Some("a"), "echo").0, Code::Ok, "calls are served");
    assert_eq!(code(&mut caller, Some("b"), "echo").0, Code::PermissionDenied);
}

#[test]
fn invalid_requests_get_a_problem_and_change_nothing() {
    let fleet = Fleet::new(1, SPEC);
    let leader = leader(&fleet);
    leader.create(json!({"name": "a"}));
    let mut caller = Caller::new(leader.program.address);
    // Incomplete request heads and bodies, left open.
    let mut incomplete: Vec<TcpStream> = Vec::new();
    for partial_request in
        ["POST /v1/tenants HT", "POST /v1/tenants HTTP/1.1\r\nContent-Length: 900000\r\n\r\n{\"a\":"]
    {
        let mut socket = TcpStream::connect(leader.api).expect("connection to the API opened");
        socket.write_all(partial_request.as_bytes()).expect("partial request sent");
        incomplete.push(socket);
    }
    let auth = format!("Authorization: Bearer {}\r\nConnection: close\r\n", leader.token);
    for (request, expected_status, expected_text) in [
        ("GET /v1/tenants HTTP/1.1\r\nConnection: close\r\n\r\n".to_owned(), 401, "NAME.SECRET"),
        (
            "GET /v1/tenants HTTP/1.1\r\nConnection: close\r\nAuthorization: Bearer ada.wrong\r\n\r\n"
                .to_owned(),
            401,
            "no such key",
        ),
        (format!("POST /v1/tenants HTTP/1.1\r\n{auth}Content-Length: 99999999\r\n\r\n"), 413, "at most"),
        (
            format!("POST /v1/tenants HTTP/1.1\r\n{auth}Transfer-Encoding: chunked\r\n\r\n"),
            411,
            "Content-Length",
        ),
        (format!("GET /v1/tenants HTTP/1.1\r\n{auth}X: {}\r\n\r\n", "y".repeat(20_000)), 431, "at most"),
        (
            format!(
                "POST /v1/tenants HTTP/1.1\r\n{auth}Content-Type: application/json\r\nContent-Length: 3\r\n\r\n{{a}}"
            ),
            400,
            "the body",
        ),
        (
            format!(
                "POST /v1/tenants HTTP/1.1\r\n{auth}Content-Type: application/json\r\nContent-Length: 20\r\n\r\n{{\"name\":\"x\",\"nme\":1}}"
            ),
            422,
            "nme",
        ),
    ] {
        let (status, head, body) = leader.send_raw(&request);
        assert_eq!(status, expected_status, "{head}\n{body}");
        assert!(body.contains(expected_text), "{expected_text} in {body}");
    }
    // Two pipelined requests are answered in order.
    let keep_alive_auth = format!("Authorization: Bearer {}\r\n", leader.token);
    let (_, _, responses) = leader.send_raw(&format!(
        "GET /v1/tenants/a HTTP/1.1\r\n{keep_alive_auth}\r\nGET /v1/tenants/none HTTP/1.1\r\n{auth}\r\n"
    ));
    assert!(responses.contains("HTTP/1.1 404") && responses.contains("\"name\":\"a\""), "{responses}");
    for _ in 0..20 {
        assert_eq!(code(&mut caller, Some("a"), "echo").0, Code::Ok);
    }
    drop(incomplete);
}

#[test]
fn manually_drained_worker_gets_no_new_calls_until_undrained() {
    let mut fleet = Fleet::new(2, SPEC);
    let leader = leader(&fleet);
    leader.create(json!({"name": "a"}));
    let mut caller = Caller::new(leader.program.address);
    eventually("both workers are listed", || {
        leader.get("/v1/workers")["workers"].as_array().map(Vec::len) == Some(2)
    });
    leader.change("POST", "/v1/workers/w1/drain", "");
    let response = leader.get("/v1/workers");
    assert_eq!(
        (response["workers"][0]["drained"].clone(), response["workers"][0]["listed"].clone()),
        (json!(true), json!("on"))
    );
    for n in 0..20 {
        assert_eq!(code(&mut caller, Some("a"), &format!("echo-{n}")).0, Code::Ok);
    }
    let calls_at = |fleet: &mut Fleet, name: &str| {
        fleet
            .observations()
            .iter()
            .filter(|observation| {
                observation.worker == name && matches!(observation.kind, ObservationKind::Call { .. })
            })
            .count()
    };
    assert_eq!((calls_at(&mut fleet, "w1"), calls_at(&mut fleet, "w2")), (0, 20));
    leader.change("POST", "/v1/workers/w1/undrain", "");
    eventually("the undrained worker gets calls again", || {
        let n = fleet.observations().len();
        code(&mut caller, Some("a"), &format!("echo-{n}"));
        calls_at(&mut fleet, "w1") > 0
    });
    assert_eq!(leader.send("POST", "/v1/workers/w9/drain", "", "").0, 404);
}

#[test]
fn watch_responds_when_a_tenant_changes() {
    let fleet = Fleet::new(1, SPEC);
    let leader = leader(&fleet);
    leader.create(json!({"name": "a"}));
    let http = &leader.http;
    std::thread::scope(|scope| {
        let watch = scope.spawn(|| http.get("/v1/watch?after=1&wait_ms=20000"));
        leader.create(json!({"name": "b"}));
        let response = watch.join().expect("the watch gets a response");
        assert_eq!(response["entries"][0]["tenant"], "b", "{response}");
    });
}

/// Runs `nettleferry admin` with these arguments. Returns its exit code, and its standard output followed by its
/// standard error.
fn run_admin(leader: &Leader, arguments: &[&str]) -> (i32, String) {
    let mut command = Command::new(PROGRAM);
    command
        .args(["admin", "--api", &leader.api.to_string()])
        .args(arguments)
        .env("NETTLEFERRY_KEY", &leader.token);
    let out = command.output().expect("nettleferry admin runs");
    let text = String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr);
    (out.status.code().expect("the process was not killed by a signal"), text)
}

#[test]
fn command_line_supports_tables_json_conditions_and_dry_runs() {
    let fleet = Fleet::new(1, SPEC);
    let leader = leader(&fleet);
    let run = |arguments: &[&str]| run_admin(&leader, arguments);
    let (code, output) = run(&["tenants", "create", "a", r#"{"limits":{"open_calls":5}}"#, "--once", "k"]);
    assert!(code == 0 && output.contains("open_calls=5"), "{output}");
    assert_eq!(
        run(&["tenants", "create", "a", r#"{"limits":{"open_calls":5}}"#, "--once", "k"]).0,
        0,
        "a repetition with the same key is accepted"
    );
    let (code, output) = run(&["limits", "a", r#"{"limits":{"open_calls":9}}"#, "--dry-run"]);
    assert!(
        code == 0 && output.contains("- limits.open_calls: 5") && output.contains("+ limits.open_calls: 9"),
        "{output}"
    );
    assert_eq!(leader.get("/v1/tenants/a")["limits"]["open_calls"], 5);
    let (code, output) = run(&["limits", "a", r#"{"weight":2}"#, "--if-revision", "7"]);
    assert!(code == 1 && output.contains("412") && output.contains("is at revision 1, not 7"), "{output}");
    let (code, output) = run(&["limits", "a", r#"{"wieght":2}"#]);
    assert!(code == 1 && output.contains("wieght"), "{output}");
    assert_eq!(run(&["limits", "a", r#"{"weight":2}"#, "--if-revision", "1"]).0, 0);
    let (_, output) = run(&["tenants", "list"]);
    assert!(output.contains("NAME") && output.lines().any(|l| l.starts_with(" a ")), "{output}");
    let (_, output) = run(&["audit", "--json"]);
    let rows: Value = serde_json::from_str(&output).expect("JSON output");
    assert_eq!((rows.as_array().map(Vec::len), rows[1]["action"].clone()), (Some(2), json!("change")));
    assert!(run(&["workers"]).1.contains("w1") && run(&["usage"]).1.contains("TENANT"));
    assert_eq!(run(&["tenants", "remove", "a", "--grace-ms", "0"]).0, 0);
    assert_eq!(run(&["tenants", "show", "none"]).0, 1);
    // Snapshot and restore of a store that no process has open.
    let store = leader.program.dir.path().join("tenants.redb");
    let dir = tempfile::tempdir().expect("temporary folder");
    let mut leader = leader;
    leader.program.signal("TERM");
    assert!(leader.program.wait().success());
    let path = |path: &std::path::Path| path.display().to_string();
    let (snapshot, restored) = (dir.path().join("s.snapshot"), dir.path().join("b.redb"));
    let offline = |arguments: &[&str]| {
        Command::new(PROGRAM)
            .arg("admin")
            .args(arguments)
            .output()
            .expect("nettleferry admin runs")
            .status
            .code()
    };
    assert_eq!(offline(&["snapshot", &path(&store), &path(&snapshot)]), Some(0));
    assert_eq!(offline(&["restore", &path(&snapshot), &path(&restored)]), Some(0));
    assert_eq!(
        offline(&["restore", &path(&snapshot), &path(&restored)]),
        Some(3),
        "an existing store is not overwritten"
    );
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario over several processes, step by step")]
fn followers_replicate_each_change_and_continue_without_the_leader() {
    let fleet = Fleet::new(1, SPEC);
    let (token, operator_settings) = key("ada", "admin");
    let (follower_token, follower_settings) = key("fleet", "controller");
    let keys = format!("{operator_settings} {follower_settings}");
    let dir = tempfile::tempdir().expect("temporary folder");
    std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("worker list written");
    // A loopback address that no other test uses, so that no other process takes the port while the administration is
    // down.
    let leader = start_at("127.0.0.2:0", dir, token.clone(), &keys);
    let api = leader.api.to_string();
    leader.create(json!({"name": "early"}));
    let follower = |dir: tempfile::TempDir, number: u32| {
        std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("worker list written");
        std::fs::write(dir.path().join("key"), &follower_token).expect("key file written");
        let admin = format!("(admin (follow \"{api}\") (key-file \"key\") (kept \"kept.json\"))");
        let settings = format!("{SETTINGS}{admin}(controller (number {number}) (of 3))");
        serve_in(dir, &settings, None)
    };
    let first = follower(tempfile::tempdir().expect("temporary folder"), 1);
    let second = follower(tempfile::tempdir().expect("temporary folder"), 2);
    for program in [&first, &second] {
        eventually("a follower that starts after the change has it", || {
            call_status(program, "early") == Code::Ok
        });
    }
    leader.create(json!({"name": "later"}));
    eventually("both followers have the change", || {
        [&first, &second].iter().all(|follower| call_status(follower, "later") == Code::Ok)
    });
    eventually("all three controllers report the latest revision", || {
        let response = leader.get("/v1/controllers");
        let controllers = response["controllers"].as_array().expect("an array of controllers");
        controllers.len() == 3 && controllers.iter().all(|c| c["revision"] == response["revision"])
    });
    let (status, response) = AdminClient { token: follower_token.clone(), ..leader.http.clone() }.send(
        "POST",
        "/v1/tenants",
        "",
        "{}",
    );
    assert_eq!(status, 403, "a controller's key must not permit changes: {response}");
    // The administration is killed: followers continue, and a restarted one begins with its persisted snapshot.
    leader.program.signal("KILL");
    let Leader { program, .. } = leader;
    let store = surviving_files(program, &["tenants.redb", "tenants.lease", "workers.sexp", "key"]);
    assert_eq!(call_status(&first, "later"), Code::Ok);
    second.signal("KILL");
    let second = follower(surviving_files(second, &["kept.json"]), 2);
    assert_eq!(
        call_status(&second, "early"),
        Code::Ok,
        "the persisted snapshot holds from the first call on"
    );
    assert_eq!(call_status(&second, "none"), Code::PermissionDenied);
    // The administration restarts and makes a change that neither follower has seen.
    let leader = start_at(&api, store, token.clone(), &keys);
    leader.change("POST", "/v1/tenants/later/suspend", "");
    eventually("both followers have the suspension", || {
        [&first, &second].iter().all(|p| call_status(p, "later") == Code::PermissionDenied)
    });
    // The administration starts with a new store: followers must not accept it until an operator decides so.
    leader.program.signal("KILL");
    let Leader { program, .. } = leader;
    let dir_without_store = surviving_files(program, &["tenants.lease", "workers.sexp", "key"]);
    let leader = start_at(&api, dir_without_store, token, &keys);
    leader.create(json!({"name": "other"}));
    eventually("both followers are listed with a snapshot of another store", || {
        let fleet = leader.get("/v1/fleet");
        let rows = fleet["controllers"].as_array().expect("an array of controllers").clone();
        rows.len() == 2 && rows.iter().all(|row| row["standing"] == "foreign")
    });
    assert!([&first, &second].iter().all(|p| call_status(p, "early") == Code::Ok));
    let (status, response) = leader.send("POST", "/v1/fleet/recover?take=own&dry_run=true", "", "");
    assert_eq!((status, &response["done"]), (200, &json!(false)), "{response}");
    assert_eq!(leader.send("POST", "/v1/fleet/recover?take=own", "", "").0, 200);
    eventually("both followers use the new store", || {
        [&first, &second]
            .iter()
            .all(|p| call_status(p, "other") == Code::Ok && call_status(p, "early") == Code::PermissionDenied)
    });
}
