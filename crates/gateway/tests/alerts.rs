//! The alert rules in `alerts/`, checked with `nettleferry alerts`.

mod common;
use common::PROGRAM;

use std::path::Path;
use std::process::Command;

fn run(arguments: &[&str]) -> (i32, String) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let out = Command::new(PROGRAM)
        .arg("alerts")
        .args(arguments)
        .current_dir(root)
        .output()
        .expect("nettleferry alerts runs");
    let text = String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr);
    (out.status.code().expect("the process was not killed by a signal"), text)
}

#[test]
fn shipped_rules_name_existing_series() {
    let (code, output) = run(&["check"]);
    assert_eq!(code, 0, "{output}");
    let (code, output) = run(&["check", "--settings", "examples/nettleferry.sexp"]);
    assert_eq!(code, 0, "{output}");
}

#[test]
fn shipped_rules_pass_their_unit_tests() {
    let (code, output) = run(&["test", "alerts/tests.yml"]);
    assert_eq!(code, 0, "{output}");
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let read = |name: &str| std::fs::read_to_string(root.join(name)).expect("file readable");
    let (rules, tests, documentation) =
        (read("alerts/nettleferry.yml"), read("alerts/tests.yml"), read("docs/alerts.md"));
    for line in rules.lines() {
        if let Some(alert) = line.trim().strip_prefix("- alert: ") {
            let fires = tests.split("alertname: ").any(|test| {
                test.starts_with(alert) && test[alert.len()..].trim_start().starts_with("exp_alerts")
            });
            assert!(fires, "{alert} fires in no test");
            assert!(documentation.contains(alert), "{alert} is not in docs/alerts.md");
        }
    }
}

#[test]
fn rule_on_an_unknown_series_is_a_finding() {
    let dir = tempfile::tempdir().expect("temporary folder");
    let file = dir.path().join("r.yml");
    let text = "groups: [{name: g, rules: [{alert: A, expr: 'nettleferry_call_total{end=\"late\"} > 0'}]}]";
    std::fs::write(&file, text).expect("rule file written");
    let (code, output) = run(&["check", &file.display().to_string()]);
    assert!(code == 1 && output.contains("A: there is no metric nettleferry_call_total"), "{output}");
    std::fs::write(&file, "groups: [{name: g, rules: [{alert: A, expr: 'sum by ('}]}]")
        .expect("rule file written");
    assert_eq!(run(&["check", &file.display().to_string()]).0, 3);
}

#[test]
fn unit_test_file_is_distinguished_from_a_rule_file() {
    let (code, output) = run(&["check", "alerts/tests.yml"]);
    assert!(code == 3 && output.contains("run it with nettleferry alerts test alerts/tests.yml"), "{output}");
}
