//! Guards against child processes that outlive a run, and against errors that don't say which child failed and why.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use nettleferry_scale::children::Children;
use nettleferry_scale::context::{Context, NoProgress, RunLimits};
use nettleferry_scale::interrupt::Interrupt;
use nettleferry_scale::measure::MeasureError;

const PATIENCE: Duration = Duration::from_secs(30);

/// Children that run a shell script.
fn shells(most: u64) -> Children {
    Children::new(PathBuf::from("/bin/sh"), most)
}

/// Prints `ready` and exits when its standard input closes.
const WAITS: &str = "echo ready; read line; exit 0";
/// Ignores SIGTERM and the end of its standard input, so that it must be killed.
const STUBBORN: &str = "trap '' TERM; echo ready; while :; do sleep 1; done";

fn runs(id: u32) -> bool {
    Path::new(&format!("/proc/{id}")).exists()
}

fn limits(interrupt: &Interrupt) -> RunLimits {
    RunLimits { deadline: Instant::now() + PATIENCE, interrupt: interrupt.clone(), memory: u64::MAX }
}

#[test]
fn error_for_an_exited_child_has_its_label_and_last_log_lines() {
    let mut children = shells(4);
    let script = "for i in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20 21 22 23 24 25; do echo line $i >&2; done; exit 7";
    children.start("controller 3", ["-c", script]).expect("started");
    let interrupt = Interrupt::default();
    let limits = limits(&interrupt);
    let mut context = Context::new(&mut children, &NoProgress, Path::new("/"), &limits, 1);
    let error = context.wait(PATIENCE).expect_err("the child is dead");
    let MeasureError::ChildDied { label, status, log } = &error else { panic!("{error}") };
    assert_eq!((label.as_str(), status.as_str()), ("controller 3", "exit status: 7"));
    let lines: Vec<&str> = log.lines().collect();
    assert_eq!((lines.len(), lines[0], lines[19]), (20, "line 6", "line 25"), "bounded, and the last ones");
    assert!(error.to_string().contains("child controller 3 ended (exit status: 7)"), "{error}");
}

#[test]
fn child_that_exits_before_its_first_line_fails_the_read() {
    let mut children = shells(4);
    let id = children.start("serve", ["-c", "echo no such file >&2; exit 3"]).expect("started");
    let error = children.next_line(id, PATIENCE).expect_err("it is dead").to_string();
    assert!(
        error.contains("child serve ended (exit status: 3)") && error.contains("no such file"),
        "{error}"
    );
}

#[test]
fn lines_are_exchanged_over_standard_input_and_output() {
    let mut children = shells(4);
    let id = children.start("echo", ["-c", "while read line; do echo got $line; done"]).expect("started");
    children.write_line(id, "one").expect("written");
    assert_eq!(children.next_line(id, PATIENCE).expect("a line"), "got one");
    assert_eq!(children.try_line(id), None);
}

#[test]
fn interrupt_ends_a_wait_and_dropping_ends_all_children() {
    let mut children = shells(4);
    let first = children.start("waits", ["-c", WAITS]).expect("started");
    let second = children.start("stubborn", ["-c", STUBBORN]).expect("started");
    for id in [first, second] {
        assert_eq!(children.next_line(id, PATIENCE).expect("a line"), "ready");
    }
    let ids: Vec<u32> = children.ids().collect();
    assert!(ids.len() == 2 && ids.iter().all(|id| runs(*id)));
    let interrupt = Interrupt::default();
    let limits = limits(&interrupt);
    let mut context = Context::new(&mut children, &NoProgress, Path::new("/"), &limits, 1);
    interrupt.set();
    assert!(matches!(context.wait(PATIENCE), Err(MeasureError::Interrupted)));
    drop(children);
    assert!(ids.iter().all(|id| !runs(*id)), "both have ended, and were waited for");
}

#[test]
fn deadline_and_memory_limit_end_a_wait() {
    let mut children = shells(1);
    let interrupt = Interrupt::default();
    let past_deadline = RunLimits { deadline: Instant::now(), ..limits(&interrupt) };
    let mut context = Context::new(&mut children, &NoProgress, Path::new("/"), &past_deadline, 1);
    assert!(matches!(context.wait(PATIENCE), Err(MeasureError::Deadline)));
    let little_memory = RunLimits { memory: 1, ..limits(&interrupt) };
    let mut context = Context::new(&mut children, &NoProgress, Path::new("/"), &little_memory, 1);
    assert!(matches!(context.wait(PATIENCE), Err(MeasureError::Memory { allowed: 1, .. })));
}

#[test]
fn children_beyond_the_maximum_are_not_started() {
    let mut children = shells(1);
    children.start("first", ["-c", WAITS]).expect("started");
    let error = children.start("second", ["-c", WAITS]).expect_err("one too many").to_string();
    assert!(error.contains("second: more than 1 processes"), "{error}");
}
