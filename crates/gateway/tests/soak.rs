//! The soak test over real processes, in a size that a small machine plays in seconds. `nettleferry soak` plays more.

use std::path::Path;

use std::process::Command;

use nettleferry_soak::{Extras, Plan, Size, play};

const PROGRAM: &str = env!("CARGO_BIN_EXE_nettleferry");

/// Plays one seed; what the controllers' processes left is told with what was found.
fn sound(seed: u64, faults: bool) {
    sound_with(seed, faults, Extras::default());
}

fn sound_with(seed: u64, faults: bool, extras: Extras) {
    let dir = tempfile::tempdir().expect("a folder");
    let plan = Plan::draw_with(seed, Size::SMALL, faults, extras);
    let report = play(plan, Path::new(PROGRAM), dir.path()).expect("it is played");
    let found: Vec<_> =
        report.findings.iter().map(|f| format!("{f}\n{}", report.timeline(f).join("\n"))).collect();
    assert!(found.is_empty(), "seed {seed}, faults {faults}, {:?}:\n{}", report.ends, found.join("\n"));
    assert!(report.attempts > 0, "calls were sent: {:?}", report.ends);
}

#[test]
fn overlapping_faults_break_no_invariant() {
    sound(1, false);
}

#[test]
fn overlapping_faults_and_failing_system_calls_break_no_invariant() {
    sound(2, true);
}

/// Clients use their connections until SIGKILL, at the earliest moment that the platform allows; signals come in series.
#[test]
fn requests_until_the_kill_and_signals_in_series_break_no_invariant() {
    sound_with(101, false, Extras { shutdowns: true, crowd: false });
}

/// The same with system calls that fail, and idle clients up to the descriptors' limit while the directory is silent.
#[test]
fn crowds_and_shutdowns_under_failing_system_calls_break_no_invariant() {
    sound_with(103, true, Extras { shutdowns: true, crowd: true });
}

#[test]
fn sizes_out_of_range_end_with_exit_code_2_and_the_name_of_the_field() {
    for (field, value) in [
        ("--controllers", "0"),
        ("--workers", "51"),
        ("--clients", "17"),
        ("--seconds", "3"),
        ("--seeds", "0"),
    ] {
        let out = Command::new(PROGRAM).args(["soak", field, value]).output().expect("it runs");
        let told = String::from_utf8_lossy(&out.stderr);
        assert!(out.status.code() == Some(2) && told.contains(field), "{field} {value}: {told}");
    }
}
