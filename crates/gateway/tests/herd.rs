//! A hundred followers on one machine that restart at the same time, as after a power loss.

mod common;
use common::admin_client::*;
use common::*;

use std::net::TcpListener;
use std::time::Instant;

use nettleferry_net::grpc::Code;
use serde_json::json;

/// Number of followers on a machine of at least four cores.
const FOLLOWERS: u32 = 100;

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario over several processes, step by step")]
fn hundred_followers_restart_at_once() {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    // Fewer on a small machine, where the test would depend mostly on its scheduler.
    let followers = if cores < 4 { 12 } else { FOLLOWERS };
    println!("{followers} followers on {cores} cores");
    let fleet = Fleet::new(1, SPEC);
    let (token, operator_settings) = key("ada", "admin");
    let (follower_token, follower_settings) = key("fleet", "controller");
    let api = TcpListener::bind("127.0.10.1:0").and_then(|l| l.local_addr()).expect("a free port");
    let dir = || {
        let dir = tempfile::tempdir().expect("temporary folder");
        std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("worker list written");
        std::fs::write(dir.path().join("key"), &follower_token).expect("key file written");
        dir
    };
    let administration = |dir| {
        let admin = format!(
            "(admin (listen \"{api}\") (store \"tenants.redb\") (lease 3s) {operator_settings} {follower_settings})"
        );
        let program =
            serve_in(dir, &format!("{SETTINGS}{admin}(controller (number 0) (of {}))", followers + 1), None);
        assert_eq!(program.line("listening admin "), api);
        Leader { program, http: AdminClient { api, token: token.clone() } }
    };
    let follower = |dir, number: u32| {
        let admin = format!(
            "(admin (follow \"{api}\") (key-file \"key\") (kept \"kept.json\") (without-lease refuse))"
        );
        serve_in(
            dir,
            &format!("{SETTINGS}{admin}(controller (number {number}) (of {}))", followers + 1),
            None,
        )
    };
    let leader = administration(dir());
    for n in 0..20 {
        let spec = json!({ "name": format!("t{n}"), "note": "x".repeat(500) });
        leader.create(spec);
    }
    let wait_for_leases = |leader: &Leader, what: &str| {
        let started_at = Instant::now();
        eventually(what, || leader.get("/v1/fleet")["leases"] == followers);
        started_at.elapsed()
    };
    let programs: Vec<Program> = (1..=followers).map(|n| follower(dir(), n)).collect();
    let until_first_leases = wait_for_leases(&leader, "each follower has a lease");
    // A change reaches all followers, and is reported to be in force everywhere.
    let changed_at = Instant::now();
    leader.change("POST", "/v1/tenants/t3/suspend", "");
    assert_eq!(leader.get("/v1/fleet/change")["everywhere"], true);
    let until_everywhere = changed_at.elapsed();
    // All processes are killed and restarted, the administration last.
    let follower_dirs: Vec<tempfile::TempDir> = programs
        .into_iter()
        .map(|program| {
            program.signal("KILL");
            surviving_files(program, &["kept.json", "workers.sexp", "key"])
        })
        .collect();
    leader.program.signal("KILL");
    let store = surviving_files(leader.program, &["tenants.redb", "tenants.lease", "workers.sexp", "key"]);
    let restarted_at = Instant::now();
    let programs: Vec<Program> = std::thread::scope(|scope| {
        let follower = &follower;
        let threads: Vec<_> = (1..=followers)
            .zip(follower_dirs)
            .map(|(n, dir)| scope.spawn(move || follower(dir, n)))
            .collect();
        threads.into_iter().map(|thread| thread.join().expect("the follower starts")).collect()
    });
    let leader = administration(store);
    let until_leases_again = wait_for_leases(&leader, "each follower has a lease again");
    let restart = restarted_at.elapsed();
    for program in &programs {
        let mut caller = Caller::new(program.address);
        eventually("the follower serves", || code(&mut caller, Some("t4"), "echo").0 == Code::Ok);
        assert_eq!(
            code(&mut caller, Some("t3"), "echo").0,
            Code::PermissionDenied,
            "each follower has the suspension"
        );
    }
    println!(
        "all have leases {until_first_leases:?} after the last start; change in force everywhere after {until_everywhere:?}; \
         all have leases again {restart:?} after the start of the restart, {until_leases_again:?} after that of the administration"
    );
}
