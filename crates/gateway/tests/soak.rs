//! The soak test over real processes, in a size that a small machine plays in seconds. `nettleferry soak` plays more.

use std::path::Path;

use nettleferry_soak::{Plan, Size, play};

/// Plays one seed; what the controllers' processes left is told with what was found.
fn sound(seed: u64, faults: bool) {
    let dir = tempfile::tempdir().expect("a folder");
    let program = Path::new(env!("CARGO_BIN_EXE_nettleferry"));
    let report = play(Plan::draw(seed, Size::SMALL, faults), program, dir.path()).expect("it is played");
    let found: Vec<_> = report.findings.iter().map(ToString::to_string).collect();
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
