//! Child processes of a run. Guards against children that outlive the run, and against errors that don't name the
//! failed child and the cause.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use nettleferry_scale::children::Children;
use nettleferry_scale::context::{Context, NoProgress, RunLimits};
use nettleferry_scale::interrupt::Interrupt;
use nettleferry_scale::measure::MeasureError;

/// Time within which a child must respond or a wait must fail.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A set of at most `max_processes` children that run shell scripts.
fn shells(max_processes: u64) -> Children {
    Children::new(PathBuf::from("/bin/sh"), max_processes)
}

/// Script that prints `ready` and exits when its standard input closes.
const EXIT_AT_END_OF_INPUT: &str = "echo ready; read line; exit 0";
/// Script that prints `ready` and ignores SIGTERM and the end of its standard input, so that it must be killed.
const IGNORE_SIGTERM: &str = "trap '' TERM; echo ready; while :; do sleep 1; done";

fn process_exists(id: u32) -> bool {
    Path::new(&format!("/proc/{id}")).exists()
}

fn limits(interrupt: &Interrupt) -> RunLimits {
    RunLimits { deadline: Instant::now() + TIMEOUT, interrupt: interrupt.clone(), memory: u64::MAX }
}

#[test]
fn error_for_an_exited_child_has_its_label_and_last_log_lines() {
    let mut children = shells(4);
    let script = "for i in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20 21 22 23 24 25; do echo line $i >&2; done; exit 7";
    children.start("controller 3", ["-c", script]).expect("the shell starts");
    let interrupt = Interrupt::default();
    let limits = limits(&interrupt);
    let mut context = Context::new(&mut children, &NoProgress, Path::new("/"), &limits, 1);
    let error = context.wait(TIMEOUT).expect_err("the wait fails because the child has exited");
    let MeasureError::ChildDied { label, status, log } = &error else { panic!("{error}") };
    assert_eq!((label.as_str(), status.as_str()), ("controller 3", "exit status: 7"));
    let lines: Vec<&str> = log.lines().collect();
    assert_eq!(
        (lines.len(), lines[0], lines[19]),
        (20, "line 6", "line 25"),
        "the error has only the last 20 lines"
    );
    assert!(error.to_string().contains("child controller 3 ended (exit status: 7)"), "{error}");
}

#[test]
fn child_that_exits_before_its_first_line_fails_the_read() {
    let mut children = shells(4);
    let id = children.start("serve", ["-c", "echo no such file >&2; exit 3"]).expect("the shell starts");
    let error =
        children.next_line(id, TIMEOUT).expect_err("the read fails because the child has exited").to_string();
    assert!(
        error.contains("child serve ended (exit status: 3)") && error.contains("no such file"),
        "{error}"
    );
}

#[test]
fn lines_are_exchanged_over_standard_input_and_output() {
    let mut children = shells(4);
    let id =
        children.start("echo", ["-c", "while read line; do echo got $line; done"]).expect("the shell starts");
    children.write_line(id, "one").expect("the line is written");
    assert_eq!(children.next_line(id, TIMEOUT).expect("the child prints a line"), "got one");
    assert_eq!(children.try_line(id), None);
}

#[test]
fn interrupt_ends_a_wait_and_dropping_ends_all_children() {
    let mut children = shells(4);
    let first = children.start("waits", ["-c", EXIT_AT_END_OF_INPUT]).expect("the shell starts");
    let second = children.start("stubborn", ["-c", IGNORE_SIGTERM]).expect("the shell starts");
    for id in [first, second] {
        assert_eq!(children.next_line(id, TIMEOUT).expect("the child prints a line"), "ready");
    }
    let ids: Vec<u32> = children.ids().collect();
    assert!(ids.len() == 2 && ids.iter().all(|id| process_exists(*id)));
    let interrupt = Interrupt::default();
    let limits = limits(&interrupt);
    let mut context = Context::new(&mut children, &NoProgress, Path::new("/"), &limits, 1);
    interrupt.set();
    assert!(matches!(context.wait(TIMEOUT), Err(MeasureError::Interrupted)));
    drop(children);
    assert!(ids.iter().all(|id| !process_exists(*id)), "both children have exited and were reaped");
}

#[test]
fn deadline_and_memory_limit_end_a_wait() {
    let mut children = shells(1);
    let interrupt = Interrupt::default();
    let past_deadline = RunLimits { deadline: Instant::now(), ..limits(&interrupt) };
    let mut context = Context::new(&mut children, &NoProgress, Path::new("/"), &past_deadline, 1);
    assert!(matches!(context.wait(TIMEOUT), Err(MeasureError::Deadline)));
    let little_memory = RunLimits { memory: 1, ..limits(&interrupt) };
    let mut context = Context::new(&mut children, &NoProgress, Path::new("/"), &little_memory, 1);
    assert!(matches!(context.wait(TIMEOUT), Err(MeasureError::Memory { allowed: 1, .. })));
}

#[test]
fn children_beyond_the_maximum_are_not_started() {
    let mut children = shells(1);
    children.start("first", ["-c", EXIT_AT_END_OF_INPUT]).expect("the shell starts");
    let error = children
        .start("second", ["-c", EXIT_AT_END_OF_INPUT])
        .expect_err("the second child exceeds the maximum")
        .to_string();
    assert!(error.contains("second: more than 1 processes"), "{error}");
}
