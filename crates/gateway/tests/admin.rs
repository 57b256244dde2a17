//! Tenant administration over HTTP, end to end, while clients make calls.

mod common;
use common::admin_client::*;
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
    assert_eq!(code(&mut caller, None, "echo").0, Code::PermissionDenied, "a call names its tenant");
    assert_eq!(code(&mut caller, Some("kalahari"), "echo").0, Code::PermissionDenied);
    leader.create(
        json!({"name": "kalahari", "models": ["echo*"], "limits": {"rate_per_second": 0.01, "burst": 2}}),
    );
    assert_eq!(code(&mut caller, Some("kalahari"), "climb").0, Code::PermissionDenied, "no right to it");
    assert_eq!(code(&mut caller, Some("kalahari"), "echo").0, Code::Ok);
    assert_eq!(code(&mut caller, Some("kalahari"), "echo").0, Code::Ok);
    let (over, pushback) = code(&mut caller, Some("kalahari"), "echo");
    assert_eq!(over, Code::ResourceExhausted);
    assert!(pushback.parse::<u64>().is_ok_and(|ms| ms > 50_000), "the wait that is needed: {pushback} ms");
    leader.change("PATCH", "/v1/tenants/kalahari", r#"{"limits":{"rate_per_second":null,"burst":null}}"#);
    assert_eq!(code(&mut caller, Some("kalahari"), "echo").0, Code::Ok);
    leader.change("POST", "/v1/tenants/kalahari/suspend", "");
    assert_eq!(code(&mut caller, Some("kalahari"), "echo").0, Code::PermissionDenied);
    leader.change("POST", "/v1/tenants/kalahari/resume", "");
    assert_eq!(code(&mut caller, Some("kalahari"), "echo").0, Code::Ok);
    leader.change("PATCH", "/v1/tenants/kalahari", r#"{"limits":{"open_calls":0}}"#);
    assert_eq!(code(&mut caller, Some("kalahari"), "echo").0, Code::ResourceExhausted, "set to nought");
    let usage = || leader.get("/v1/tenants/kalahari/usage");
    // The usage is updated with a short delay; its counters never decrease.
    eventually("the usage is the truth", || {
        let told = usage();
        told["ends"] == json!({"served": 4}) && told["open_calls"] == 0 && told["refused"] == 3
    });
    assert_eq!(usage()["admitted"], 4);
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
    let headers = || vec![("nettleferry-tenant".to_owned(), "a".to_owned())];
    let stream = caller.ask(nettleferry_scenario::client::ClientRequest {
        headers: headers(),
        ..ask("ModelStreamInfer", &climb("climb", "s", 50))
    });
    caller.message(stream);
    let flight = call(&mut caller, Some("a"), "echo-x");
    let held: Vec<u64> = (0..4).map(|_| call(&mut caller, Some("a"), "echo-x")).collect();
    let bystander = call(&mut caller, Some("b"), "echo");
    caller.until("it is out", || {
        fleet.any(|s| matches!(s, ObservationKind::Call { model, .. } if model == "echo-x"))
    });
    eventually("all are open", || leader.get("/v1/tenants/a/usage")["open_calls"] == 6);
    leader.change("DELETE", "/v1/tenants/a?grace_ms=400", "");
    assert_eq!(code(&mut caller, Some("a"), "echo").0, Code::PermissionDenied, "refused promptly");
    let mut refused = 0;
    for rpc in held {
        match caller.status(rpc).0.code {
            Code::PermissionDenied => refused += 1,
            other => assert_eq!(other, Code::Aborted),
        }
    }
    assert!(refused > 0, "what no worker had is refused");
    assert_eq!(caller.status(flight).0.code, Code::Aborted, "it may have run");
    let (status, _) = caller.end(stream);
    assert!(status.is_ok(), "a stream ends in order");
    assert_eq!(caller.status(bystander).0.code, Code::Ok, "nobody else is hurt");
    eventually("it is gone", || leader.ask("GET", "/v1/tenants/a", "", "").0 == 404);
    // A new tenant of the same name starts with zero usage.
    fleet.handles[0].inject(Fault::Hang(None));
    leader.create(json!({"name": "a"}));
    let usage = leader.get("/v1/tenants/a/usage");
    assert_eq!((usage["admitted"].clone(), usage["ends"].clone()), (json!(0), json!({})));
    assert_eq!(code(&mut caller, Some("a"), "echo").0, Code::Ok);
    let audit = leader.get("/v1/audit?tenant=a");
    let actions: Vec<&str> =
        audit["entries"].as_array().expect("an array").iter().filter_map(|e| e["action"].as_str()).collect();
    assert_eq!(actions, ["create", "remove", "gone", "create"]);
}

#[test]
fn concurrent_changes_of_one_tenant_are_serialized() {
    let fleet = Fleet::new(1, SPEC);
    let leader = leader(&fleet);
    leader.create(json!({"name": "a"}));
    let http = &leader.http;
    let work = |number: u64| {
        let leader = http;
        let mut accepted = 0;
        for n in 0..100u64 {
            let now = leader.get("/v1/tenants/a")["revision"].as_u64().expect("a revision");
            let body = json!({"note": format!("{number}-{n}")}).to_string();
            let (status, told) =
                leader.ask("PATCH", "/v1/tenants/a", &format!("If-Match: \"{now}\"\r\n"), &body);
            match status {
                200 => {
                    assert_eq!(told["revision"], now + 1);
                    accepted += 1;
                }
                412 => {}
                other => panic!("{other}: {told}"),
            }
        }
        accepted
    };
    let accepted: u64 = std::thread::scope(|scope| {
        let both = [scope.spawn(|| work(1)), scope.spawn(|| work(2))];
        both.into_iter().map(|t| t.join().expect("all changes get an expected status")).sum()
    });
    let audit = leader.get("/v1/audit?limit=1000");
    let entries = audit["entries"].as_array().expect("an array");
    assert_eq!(entries.len() as u64, 1 + accepted, "the trail has exactly these");
    assert!(accepted >= 100, "one of two succeeds");
    for pair in entries.windows(2) {
        assert_eq!(pair[1]["before"], pair[0]["after"], "each follows on the one before");
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
    let (token, dir) = (leader.token.clone(), tempfile::tempdir().expect("temporary folder"));
    for name in ["tenants.redb", "tenants.lease", "workers.sexp", "key"] {
        std::fs::copy(leader.program.dir.path().join(name), dir.path().join(name)).expect("copied");
    }
    drop(leader);
    let line = std::fs::read_to_string(dir.path().join("key")).expect("text");
    let mut leader = start(dir, token.clone(), &line);
    assert_eq!(leader.get("/v1/tenants/b")["note"], "kept");
    leader.change("POST", "/v1/tenants/b/suspend", "");
    // A graceful shutdown writes the snapshot if it is not yet written.
    leader.program.signal("TERM");
    assert!(leader.program.wait().success());
    let dir = tempfile::tempdir().expect("temporary folder");
    for name in ["workers.sexp", "tenants.lease", "tenants.snapshot"] {
        std::fs::copy(leader.program.dir.path().join(name), dir.path().join(name)).expect("copied");
    }
    std::fs::write(dir.path().join("tenants.redb"), vec![7; 20_000]).expect("written");
    drop(leader);
    let leader = start(dir, token, &line);
    assert_eq!(leader.get("/v1/tenants/b")["state"], "suspended");
    let (status, told) = leader.ask("POST", "/v1/tenants/b/resume", "If-Match: *\r\n", "");
    assert!(
        status == 503 && told["detail"].as_str().is_some_and(|d| d.contains("nothing can be changed")),
        "{told}"
    );
    let mut caller = Caller::new(leader.program.address);
    assert_eq!(code(&mut caller, Some("a"), "echo").0, Code::Ok, "calls flow");
    assert_eq!(code(&mut caller, Some("b"), "echo").0, Code::PermissionDenied);
}

#[test]
fn invalid_requests_get_a_problem_and_change_nothing() {
    let fleet = Fleet::new(1, SPEC);
    let leader = leader(&fleet);
    leader.create(json!({"name": "a"}));
    let mut caller = Caller::new(leader.program.address);
    // Incomplete request heads and bodies, left open.
    let mut slow: Vec<TcpStream> = Vec::new();
    for part in ["POST /v1/tenants HT", "POST /v1/tenants HTTP/1.1\r\nContent-Length: 900000\r\n\r\n{\"a\":"]
    {
        let mut socket = TcpStream::connect(leader.api).expect("connects");
        socket.write_all(part.as_bytes()).expect("sent");
        slow.push(socket);
    }
    let auth = format!("Authorization: Bearer {}\r\nConnection: close\r\n", leader.token);
    for (request, status, words) in [
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
        let (got, head, body) = leader.raw(&request);
        assert_eq!(got, status, "{head}\n{body}");
        assert!(body.contains(words), "{words} in {body}");
    }
    // Two pipelined requests are answered in order.
    let plain = format!("Authorization: Bearer {}\r\n", leader.token);
    let (_, _, both) = leader.raw(&format!(
        "GET /v1/tenants/a HTTP/1.1\r\n{plain}\r\nGET /v1/tenants/none HTTP/1.1\r\n{auth}\r\n"
    ));
    assert!(both.contains("HTTP/1.1 404") && both.contains("\"name\":\"a\""), "{both}");
    for _ in 0..20 {
        assert_eq!(code(&mut caller, Some("a"), "echo").0, Code::Ok);
    }
    drop(slow);
}

#[test]
fn manually_drained_worker_gets_no_new_calls_until_undrained() {
    let mut fleet = Fleet::new(2, SPEC);
    let leader = leader(&fleet);
    leader.create(json!({"name": "a"}));
    let mut caller = Caller::new(leader.program.address);
    eventually("workers are known", || {
        leader.get("/v1/workers")["workers"].as_array().map(Vec::len) == Some(2)
    });
    leader.change("POST", "/v1/workers/w1/drain", "");
    let told = leader.get("/v1/workers");
    assert_eq!(
        (told["workers"][0]["drained"].clone(), told["workers"][0]["listed"].clone()),
        (json!(true), json!("on"))
    );
    for n in 0..20 {
        assert_eq!(code(&mut caller, Some("a"), &format!("echo-{n}")).0, Code::Ok);
    }
    let at = |fleet: &mut Fleet, name: &str| {
        fleet
            .look()
            .iter()
            .filter(|r| r.worker == name && matches!(r.kind, ObservationKind::Call { .. }))
            .count()
    };
    assert_eq!((at(&mut fleet, "w1"), at(&mut fleet, "w2")), (0, 20));
    leader.change("POST", "/v1/workers/w1/undrain", "");
    eventually("it is used again", || {
        let n = fleet.look().len();
        code(&mut caller, Some("a"), &format!("echo-{n}"));
        at(&mut fleet, "w1") > 0
    });
    assert_eq!(leader.ask("POST", "/v1/workers/w9/drain", "", "").0, 404);
}

#[test]
fn watch_responds_when_a_tenant_changes() {
    let fleet = Fleet::new(1, SPEC);
    let leader = leader(&fleet);
    leader.create(json!({"name": "a"}));
    let http = &leader.http;
    std::thread::scope(|scope| {
        let waiting = scope.spawn(|| http.get("/v1/watch?after=1&wait_ms=20000"));
        leader.create(json!({"name": "b"}));
        let told = waiting.join().expect("the watch is answered");
        assert_eq!(told["entries"][0]["tenant"], "b", "{told}");
    });
}

#[test]
fn command_line_supports_tables_json_conditions_and_dry_runs() {
    let fleet = Fleet::new(1, SPEC);
    let leader = leader(&fleet);
    let run = |arguments: &[&str]| {
        let mut command = Command::new(PROGRAM);
        command
            .args(["admin", "--api", &leader.api.to_string()])
            .args(arguments)
            .env("NETTLEFERRY_KEY", &leader.token);
        let out = command.output().expect("it runs");
        let text = String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr);
        (out.status.code().expect("it ended by itself"), text)
    };
    let (code, told) = run(&["tenants", "create", "a", r#"{"limits":{"open_calls":5}}"#, "--once", "k"]);
    assert!(code == 0 && told.contains("open_calls=5"), "{told}");
    assert_eq!(
        run(&["tenants", "create", "a", r#"{"limits":{"open_calls":5}}"#, "--once", "k"]).0,
        0,
        "once"
    );
    let (code, told) = run(&["limits", "a", r#"{"limits":{"open_calls":9}}"#, "--dry-run"]);
    assert!(
        code == 0 && told.contains("- limits.open_calls: 5") && told.contains("+ limits.open_calls: 9"),
        "{told}"
    );
    assert_eq!(leader.get("/v1/tenants/a")["limits"]["open_calls"], 5);
    let (code, told) = run(&["limits", "a", r#"{"weight":2}"#, "--if-revision", "7"]);
    assert!(code == 1 && told.contains("412") && told.contains("is at revision 1, not 7"), "{told}");
    let (code, told) = run(&["limits", "a", r#"{"wieght":2}"#]);
    assert!(code == 1 && told.contains("wieght"), "{told}");
    assert_eq!(run(&["limits", "a", r#"{"weight":2}"#, "--if-revision", "1"]).0, 0);
    let (_, told) = run(&["tenants", "list"]);
    assert!(told.contains("NAME") && told.lines().any(|l| l.starts_with(" a ")), "{told}");
    let (_, told) = run(&["audit", "--json"]);
    let rows: Value = serde_json::from_str(&told).expect("json");
    assert_eq!((rows.as_array().map(Vec::len), rows[1]["action"].clone()), (Some(2), json!("change")));
    assert!(run(&["workers"]).1.contains("w1") && run(&["usage"]).1.contains("TENANT"));
    assert_eq!(run(&["tenants", "remove", "a", "--grace-ms", "0"]).0, 0);
    assert_eq!(run(&["tenants", "show", "none"]).0, 1);
    // Snapshot and restore of a store that no process has open.
    let (store, dir) =
        (leader.program.dir.path().join("tenants.redb"), tempfile::tempdir().expect("temporary folder"));
    let mut leader = leader;
    leader.program.signal("TERM");
    assert!(leader.program.wait().success());
    let path = |p: &std::path::Path| p.display().to_string();
    let (file, other) = (dir.path().join("s.snapshot"), dir.path().join("b.redb"));
    let offline = |arguments: &[&str]| {
        Command::new(PROGRAM).arg("admin").args(arguments).output().expect("it runs").status.code()
    };
    assert_eq!(offline(&["snapshot", &path(&store), &path(&file)]), Some(0));
    assert_eq!(offline(&["restore", &path(&file), &path(&other)]), Some(0));
    assert_eq!(offline(&["restore", &path(&file), &path(&other)]), Some(3), "not over what is there");
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario over several processes, step by step")]
fn followers_replicate_each_change_and_continue_without_the_leader() {
    let fleet = Fleet::new(1, SPEC);
    let (token, line) = key("ada", "admin");
    let (follow_token, follow_line) = key("fleet", "controller");
    let keys = format!("{line} {follow_line}");
    let dir = tempfile::tempdir().expect("temporary folder");
    std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("written");
    // A loopback address that no other test uses, so that nobody takes its port while the administration is down.
    let leader = start_at("127.0.0.2:0", dir, token.clone(), &keys);
    leader.create(json!({"name": "early"}));
    let follower = |dir: tempfile::TempDir, number: u32| {
        std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("written");
        std::fs::write(dir.path().join("key"), &follow_token).expect("written");
        let admin = format!("(admin (follow \"{}\") (key-file \"key\") (kept \"kept.json\"))", leader.api);
        let settings = format!("{SETTINGS}{admin}(controller (number {number}) (of 3))");
        serve_in(dir, &settings, None)
    };
    let one = follower(tempfile::tempdir().expect("temporary folder"), 1);
    let two = follower(tempfile::tempdir().expect("temporary folder"), 2);
    let call_status = |program: &Program, tenant: &str| {
        let mut caller = Caller::new(program.address);
        code(&mut caller, Some(tenant), "echo").0
    };
    for program in [&one, &two] {
        eventually("a late one has the snapshot", || call_status(program, "early") == Code::Ok);
    }
    leader.create(json!({"name": "later"}));
    eventually("both have the change", || [&one, &two].iter().all(|p| call_status(p, "later") == Code::Ok));
    eventually("each says what it runs", || {
        let told = leader.get("/v1/controllers");
        let all = told["controllers"].as_array().expect("an array");
        all.len() == 3 && all.iter().all(|c| c["revision"] == told["revision"])
    });
    let (status, told) = AdminClient { token: follow_token.clone(), ..leader.http.clone() }.ask(
        "POST",
        "/v1/tenants",
        "",
        "{}",
    );
    assert_eq!(status, 403, "a controller's key changes nothing: {told}");
    // The administration is killed: followers continue, and a restarted one begins with its persisted snapshot.
    leader.program.signal("KILL");
    let api = leader.api.to_string();
    let Leader { program, .. } = leader;
    let store = surviving_files(program, &["tenants.redb", "tenants.lease", "workers.sexp", "key"]);
    assert_eq!(call_status(&one, "later"), Code::Ok);
    two.signal("KILL");
    let kept = surviving_files(two, &["kept.json"]);
    let settings_dir = kept;
    std::fs::write(settings_dir.path().join("workers.sexp"), fleet.list()).expect("written");
    std::fs::write(settings_dir.path().join("key"), &follow_token).expect("written");
    let admin = format!("(admin (follow \"{api}\") (key-file \"key\") (kept \"kept.json\"))");
    let settings = format!("{SETTINGS}{admin}(controller (number 2) (of 3))");
    let two = serve_in(settings_dir, &settings, None);
    assert_eq!(call_status(&two, "early"), Code::Ok, "from the first call on");
    assert_eq!(call_status(&two, "none"), Code::PermissionDenied);
    // The administration restarts and makes a change that neither follower has seen.
    let leader = start_at(&api, store, token.clone(), &keys);
    leader.change("POST", "/v1/tenants/later/suspend", "");
    eventually("both catch up", || {
        [&one, &two].iter().all(|p| call_status(p, "later") == Code::PermissionDenied)
    });
    // The administration starts with a new store: followers must not accept it until an operator decides so.
    leader.program.signal("KILL");
    let Leader { program, .. } = leader;
    let anew = surviving_files(program, &["tenants.lease", "workers.sexp", "key"]);
    let leader = start_at(&api, anew, token, &keys);
    leader.create(json!({"name": "other"}));
    eventually("both say that they hold another store's book", || {
        let fleet = leader.get("/v1/fleet");
        let rows = fleet["controllers"].as_array().expect("an array").clone();
        rows.len() == 2 && rows.iter().all(|row| row["standing"] == "foreign")
    });
    assert!([&one, &two].iter().all(|p| call_status(p, "early") == Code::Ok));
    let (status, shown) = leader.ask("POST", "/v1/fleet/recover?take=own&dry_run=true", "", "");
    assert_eq!((status, &shown["done"]), (200, &json!(false)), "{shown}");
    assert_eq!(leader.ask("POST", "/v1/fleet/recover?take=own", "", "").0, 200);
    eventually("they follow the new store", || {
        [&one, &two]
            .iter()
            .all(|p| call_status(p, "other") == Code::Ok && call_status(p, "early") == Code::PermissionDenied)
    });
}
