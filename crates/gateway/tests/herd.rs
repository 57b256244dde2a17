//! A hundred followers on one machine that restart at the same time, as after a power loss.

mod common;
use common::admin_client::*;
use common::*;

use std::net::TcpListener;
use std::time::Instant;

use nettleferry_net::grpc::Code;
use serde_json::json;

const MANY: u32 = 100;

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario over several processes, step by step")]
fn hundred_followers_restart_at_once() {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    // Fewer on a small machine, where so many processes would test its scheduler. The number is printed.
    let many = if cores < 4 { 12 } else { MANY };
    println!("{many} processes on {cores} cores");
    let fleet = Fleet::new(1, SPEC);
    let (token, line) = key("ada", "admin");
    let (key, fleet_line) = key("fleet", "controller");
    let api = TcpListener::bind("127.0.10.1:0").and_then(|l| l.local_addr()).expect("a free port");
    let dir = || {
        let dir = tempfile::tempdir().expect("temporary folder");
        std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("written");
        std::fs::write(dir.path().join("key"), &key).expect("written");
        dir
    };
    let administration = |dir| {
        let admin =
            format!("(admin (listen \"{api}\") (store \"tenants.redb\") (lease 3s) {line} {fleet_line})");
        let program =
            serve_in(dir, &format!("{SETTINGS}{admin}(controller (number 0) (of {}))", many + 1), None);
        assert_eq!(program.line("listening admin "), api);
        Leader { program, http: AdminClient { api, token: token.clone() } }
    };
    let follower = |dir, number: u32| {
        let admin = format!(
            "(admin (follow \"{api}\") (key-file \"key\") (kept \"kept.json\") (without-lease refuse))"
        );
        serve_in(dir, &format!("{SETTINGS}{admin}(controller (number {number}) (of {}))", many + 1), None)
    };
    let leader = administration(dir());
    for n in 0..20 {
        let spec = json!({ "name": format!("t{n}"), "note": "x".repeat(500) });
        leader.create(spec);
    }
    let all = |leader: &Leader, what: &str| {
        let begun = Instant::now();
        eventually(what, || leader.get("/v1/fleet")["leases"] == many);
        begun.elapsed()
    };
    let programs: Vec<Program> = (1..=many).map(|n| follower(dir(), n)).collect();
    let first = all(&leader, "each has its lease");
    // A change reaches all followers, and is reported to be in force everywhere.
    let begun = Instant::now();
    leader.change("POST", "/v1/tenants/t3/suspend", "");
    assert_eq!(leader.get("/v1/fleet/change")["everywhere"], true);
    let change = begun.elapsed();
    // All processes are killed and restarted, the administration last.
    let kept: Vec<tempfile::TempDir> = programs
        .into_iter()
        .map(|program| {
            program.signal("KILL");
            surviving_files(program, &["kept.json", "workers.sexp", "key"])
        })
        .collect();
    leader.program.signal("KILL");
    let store = surviving_files(leader.program, &["tenants.redb", "tenants.lease", "workers.sexp", "key"]);
    let begun = Instant::now();
    let programs: Vec<Program> = std::thread::scope(|scope| {
        let follower = &follower;
        let threads: Vec<_> =
            (1..=many).zip(kept).map(|(n, dir)| scope.spawn(move || follower(dir, n))).collect();
        threads.into_iter().map(|t| t.join().expect("it starts")).collect()
    });
    let leader = administration(store);
    let again = all(&leader, "each has its lease again");
    let whole = begun.elapsed();
    for program in &programs {
        let mut caller = Caller::new(program.address);
        eventually("each serves", || code(&mut caller, Some("t4"), "echo").0 == Code::Ok);
        assert_eq!(
            code(&mut caller, Some("t3"), "echo").0,
            Code::PermissionDenied,
            "none has the older book"
        );
    }
    println!(
        "all with leases {first:?} after the last start; a change everywhere after {change:?}; back {whole:?} after the loss, {again:?} after the administration"
    );
}
