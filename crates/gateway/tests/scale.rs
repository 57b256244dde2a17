//! `nettleferry scale` as a process: its output lines, exit codes, and the children of an interrupted run.

use std::fs;
use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

/// Timeout of each wait for an event.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A running `nettleferry scale`, killed on drop.
struct Run(Child);

impl Drop for Run {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn command(file: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_nettleferry"));
    command.arg("scale").arg(file).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

fn write_scale_file(folder: &Path, text: &str) -> PathBuf {
    let file = folder.join("scale.sexp");
    fs::write(&file, text).expect("scale file written");
    file
}

fn lines(output: &Output) -> Vec<Value> {
    let text = String::from_utf8_lossy(&output.stdout);
    text.lines().map(|line| serde_json::from_str(line).expect("a line of JSON")).collect()
}

/// Ids of the child processes that the main thread of `parent` started; none if the process has ended.
fn children_of(parent: u32) -> Vec<u32> {
    let text = fs::read_to_string(format!("/proc/{parent}/task/{parent}/children")).unwrap_or_default();
    text.split_whitespace().filter_map(|id| id.parse().ok()).collect()
}

/// Polls until `attempt` returns a value; panics with `what` after `WAIT_TIMEOUT`.
fn eventually<T>(what: &str, mut attempt: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = attempt() {
            return value;
        }
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn lists_of_two_sizes_are_measured_at_a_real_process() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let file = write_scale_file(
        folder.path(),
        "(deadline 60s) (list (workers 4 40) (changes 2) (rest 50ms) (settle 50ms))
         (bounds (ratio (list list-bytes 40 4) 12) (at-most (list not-served 40) 0))",
    );
    let output = command(&file).args(["--commit", "abc"]).output().expect("nettleferry scale runs");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(0), "{stderr}");
    let lines = lines(&output);
    for size in [4, 40] {
        for figure in
            ["memory", "list-bytes", "rest", "change", "change-longest", "replace", "replace-longest"]
        {
            let found = lines.iter().any(|line| {
                line["kind"] == "observation"
                    && line["figure"] == figure
                    && line["size"] == size
                    && line["commit"] == "abc"
            });
            assert!(found, "{figure} at {size}: {lines:?}");
        }
    }
    let verdicts: Vec<&Value> = lines.iter().filter(|line| line["kind"] == "verdict").collect();
    assert_eq!(verdicts.len(), 2);
    assert!(verdicts.iter().all(|verdict| verdict["outcome"] == "kept"), "{verdicts:?}");
    assert_eq!(lines.last().map(|line| line["how"].clone()), Some("done".into()));
    assert!(stderr.contains("list-bytes"), "stderr has a table of the figures: {stderr}");
}

#[test]
fn broken_bound_is_exit_code_1() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let file = write_scale_file(
        folder.path(),
        "(module (workers 5 10 20 40) (functions 20) (calls 40) (again 10))
         (target (workers 1000) (budget (module remembered) 1000))
         (bounds (at-most (module remembered 40) 1))",
    );
    let plots = folder.path().join("plots");
    let output = command(&file).arg("--plots").arg(&plots).output().expect("nettleferry scale runs");
    assert_eq!(output.status.code(), Some(1), "{}", String::from_utf8_lossy(&output.stderr));
    let lines = lines(&output);
    let lines_of_kind = |kind: &str| lines.iter().filter(|line| line["kind"] == kind).collect::<Vec<_>>();
    assert_eq!(lines_of_kind("verdict")[0]["outcome"], "broken");
    assert_eq!(lines_of_kind("target")[0]["observed"], false);
    assert!(lines_of_kind("fit").iter().any(|fit| fit["figure"] == "remembered" && fit["sizes"] == 4));
    assert!(plots.join("module-remembered.svg").is_file());
}

#[test]
fn invalid_file_is_rejected_before_anything_starts() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let file = write_scale_file(folder.path(), "(list\n  (workers 10 20000000))");
    let output = command(&file).output().expect("nettleferry scale runs");
    assert_eq!(output.status.code(), Some(3));
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(stderr.contains("scale.sexp:2:3: workers 20000000 can't fit"), "{stderr}");
    assert!(output.stdout.is_empty());
}

#[test]
fn interrupted_run_ends_its_children_and_reports_what_it_measured() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let file = write_scale_file(
        folder.path(),
        "(deadline 10min) (module (workers 5) (functions 10) (calls 10) (again 10))
         (list (workers 4) (changes 1) (rest 60s) (settle 50ms))",
    );
    for signal in [Signal::INT, Signal::TERM] {
        let mut run = Run(command(&file).spawn().expect("nettleferry scale starts"));
        let mut stdout = BufReader::new(run.0.stdout.take().expect("stdout is piped"));
        let mut first_line = String::new();
        stdout.read_line(&mut first_line).expect("a line on stdout");
        let children = eventually("both children run", || {
            Some(children_of(run.0.id())).filter(|children| children.len() == 2)
        });
        kill_process(Pid::from_child(&run.0), signal).expect("signal sent");
        let status =
            eventually("the interrupted run exits", || run.0.try_wait().expect("status of the child"));
        assert_eq!(status.code(), Some(130), "{signal:?}");
        assert!(children.iter().all(|id| !Path::new(&format!("/proc/{id}")).exists()), "{children:?}");
        let mut rest = String::new();
        stdout.read_to_string(&mut rest).expect("stdout is UTF-8");
        assert!(first_line.contains("\"measure\":\"module\""), "{first_line}");
        assert!(rest.contains("\"how\":\"interrupted\""), "{rest}");
    }
}
