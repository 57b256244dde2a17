//! Scripted scenarios (`days/`) with overlapping faults against controller processes: no rule may be broken. Only the
//! scenarios with the most overlapping faults run here; the others are run by hand. They run one after another in one
//! test, since each one needs the whole machine.

mod common;
use common::PROGRAM;

use std::path::Path;
use std::process::Command;

#[test]
fn scenarios_with_most_faults_break_no_rule() {
    let days = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days");
    for day in ["stop", "ration", "clients", "refuse", "bad", "without-id"] {
        play(&days, day);
    }
    // These two need little CPU time and run concurrently.
    let threads = ["slowdown", "no-slowdown"].map(|day| {
        let days = days.clone();
        std::thread::spawn(move || play(&days, day))
    });
    for thread in threads {
        let output = thread.join().expect("the scenario passes");
        assert!(output.contains("alerts came as expected"), "{output}");
    }
}

#[track_caller]
fn play(days: &Path, day: &str) -> String {
    let file = days.join(format!("{day}.sexp"));
    let out = Command::new(PROGRAM)
        .args(["--log", "warn", "day"])
        .arg(&file)
        .output()
        .expect("nettleferry day runs");
    let output = String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr);
    assert_eq!(out.status.code(), Some(0), "day {day}:\n{output}");
    assert!(output.contains(&format!("day {day}: no rule broken")), "{output}");
    output
}

#[test]
fn every_scenario_file_is_valid() {
    let days = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days");
    let mut scenario_count = 0;
    for entry in std::fs::read_dir(days).expect("folder readable") {
        let path = entry.expect("directory entry readable").path();
        let text = std::fs::read_to_string(&path).expect("scenario file readable");
        let name = path.display().to_string();
        nettleferry_scenario::script::read(&name, &text).unwrap_or_else(|e| panic!("{e}"));
        scenario_count += 1;
    }
    assert!(scenario_count >= 23);
}
