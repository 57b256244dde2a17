//! The soak test over real processes, at a size that a small machine runs in seconds. `nettleferry soak` runs larger
//! ones.

use std::path::Path;
use std::process::Command;

use nettleferry_soak::{Extras, Plan, Size, execute};

const PROGRAM: &str = env!("CARGO_BIN_EXE_nettleferry");

/// Runs one seed and asserts that no invariant is broken; a failure shows the timeline of each finding.
fn assert_no_findings(seed: u64, faults: bool) {
    assert_no_findings_with(seed, faults, Extras::default());
}

fn assert_no_findings_with(seed: u64, faults: bool, extras: Extras) {
    let dir = tempfile::tempdir().expect("temporary folder");
    let plan = Plan::draw_with(seed, Size::SMALL, faults, extras);
    let report = execute(plan, Path::new(PROGRAM), dir.path()).expect("the soak runs");
    let findings: Vec<_> = report
        .findings
        .iter()
        .map(|finding| format!("{finding}\n{}", report.timeline(finding).join("\n")))
        .collect();
    assert!(findings.is_empty(), "seed {seed}, faults {faults}, {:?}:\n{}", report.ends, findings.join("\n"));
    assert!(report.attempts > 0, "no call was sent: {:?}", report.ends);
}

#[test]
fn overlapping_faults_break_no_invariant() {
    assert_no_findings(1, false);
}

#[test]
fn overlapping_faults_and_failing_system_calls_break_no_invariant() {
    assert_no_findings(2, true);
}

/// Clients send requests until SIGKILL, which comes at the earliest time that the platform allows; signals arrive in
/// series.
#[test]
fn requests_until_the_kill_and_signals_in_series_break_no_invariant() {
    assert_no_findings_with(101, false, Extras { shutdowns: true, crowd: false });
}

/// As above, with failing system calls, and with idle clients up to the descriptor limit during a directory outage.
#[test]
fn crowds_and_shutdowns_under_failing_system_calls_break_no_invariant() {
    assert_no_findings_with(103, true, Extras { shutdowns: true, crowd: true });
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
        let out = Command::new(PROGRAM).args(["soak", field, value]).output().expect("nettleferry soak runs");
        let stderr = String::from_utf8_lossy(&out.stderr);
        assert!(out.status.code() == Some(2) && stderr.contains(field), "{field} {value}: {stderr}");
    }
}
