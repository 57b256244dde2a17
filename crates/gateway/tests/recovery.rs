//! Several processes of the program after losses: disks that stand still.

mod common;
use common::*;

use std::path::Path;
use std::process::Command;
use std::time::Instant;

use nettleferry_net::grpc::Code;

fn fifo(path: &Path) {
    assert!(Command::new("mkfifo").arg(path).status().expect("mkfifo runs").success());
}

#[test]
fn a_disk_that_stands_still_holds_up_no_call() {
    let mut fleet = Fleet::new(2, SPEC);
    let dir = tempfile::tempdir().expect("a folder");
    // The kept list is written to a pipe that nobody reads: whoever opens it waits for ever.
    fifo(&dir.path().join("kept.sexp.new"));
    std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("written");
    let settings = SETTINGS.replace("(check-every 5ms)", "(check-every 5ms) (kept \"kept.sexp\")");
    let program = serve_in(dir, &settings, None);
    let mut caller = Caller::new(program.address);
    for round in 0..20 {
        // Each is to be kept; the first stands, and the last alone would follow.
        let drained = if round % 2 == 0 { "(state draining)" } else { "" };
        let list = fleet.list().replacen("))", &format!(") {drained})"), 1);
        program.write_list(&list);
        let begun = Instant::now();
        let all: Vec<u64> = (0..20).map(|_| caller.unary("echo-brief")).collect();
        for rpc in all {
            let (status, _) = caller.status(rpc);
            assert_eq!(
                status.code,
                Code::Ok,
                "round {round}, after {:?}: {}",
                begun.elapsed(),
                status.message
            );
        }
    }
    // The list is followed all the same: with its first worker draining, the second alone gets what is new.
    program.write_list(&fleet.list().replacen("))", ") (state draining))", 1));
    eventually("the drained worker gets nothing new", || {
        let before = fleet.handles[0].name.clone();
        let seen = |fleet: &mut Fleet| fleet.look().iter().filter(|r| r.worker == before).count();
        let start = seen(&mut fleet);
        for _ in 0..5 {
            let rpc = caller.unary("echo");
            assert_eq!(caller.status(rpc).0.code, Code::Ok);
        }
        seen(&mut fleet) == start
    });
}
