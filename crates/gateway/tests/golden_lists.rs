//! Names that operators, scripts and other processes rely on, compared with lists written by the program at commit
//! 6b10503: options of every command, metrics with their labels, settings keys, and the document of the administration
//! API. After a deliberate change, run these tests with `UPDATE_GOLDEN=1` to rewrite the lists.

mod common;
use common::admin_client::*;
use common::golden;
use common::*;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::Command;

use serde_json::Value;

/// The `--help` text of a command.
fn help(path: &[&str]) -> String {
    let out = Command::new(PROGRAM).args(path).arg("--help").output().expect("nettleferry runs");
    assert!(out.status.success(), "{path:?}: {}", String::from_utf8_lossy(&out.stderr));
    String::from_utf8(out.stdout).expect("the help text is UTF-8")
}

/// The options and arguments that a help text names.
fn options(text: &str) -> Vec<String> {
    let entries = text.lines().filter_map(|line| {
        let entry = line.trim_start();
        let indent = line.len() - entry.len();
        let names_option = (2..=6).contains(&indent) && entry.starts_with(['-', '<', '[']);
        names_option.then(|| entry.split("  ").next().unwrap_or(entry).to_owned())
    });
    entries.filter(|entry| !entry.starts_with("[default") && !entry.starts_with("[possible")).collect()
}

/// The commands that a help text names.
fn commands(text: &str) -> Vec<String> {
    let command_lines = text.lines().skip_while(|line| *line != "Commands:").skip(1);
    let names =
        command_lines.take_while(|line| !line.is_empty()).filter_map(|line| line.split_whitespace().next());
    names.filter(|name| *name != "help").map(str::to_owned).collect()
}

/// Collects this command and all visible commands below it.
fn walk(path: &[&str], found: &mut Vec<Vec<String>>) {
    found.push(path.iter().map(|&name| name.to_owned()).collect());
    for name in commands(&help(path)) {
        let subcommand: Vec<&str> = path.iter().copied().chain([name.as_str()]).collect();
        walk(&subcommand, found);
    }
}

#[test]
fn commands_of_earlier_versions_keep_their_options() {
    // A renamed command keeps its earlier name as a hidden alias, so its line stays in the list.
    let file = golden::path("commands.txt");
    let mut paths: Vec<Vec<String>> = std::fs::read_to_string(&file)
        .unwrap_or_default()
        .lines()
        .filter_map(|line| line.split_once(':'))
        .map(|(path, _)| path.split_whitespace().skip(1).map(str::to_owned).collect())
        .collect();
    if paths.is_empty() {
        walk(&[], &mut paths);
    }
    let lines = paths.iter().map(|path| {
        let names: Vec<&str> = path.iter().map(String::as_str).collect();
        let path = ["nettleferry"].iter().chain(&names).copied().collect::<Vec<_>>().join(" ");
        format!("{path}: {}", options(&help(&names)).join(" | "))
    });
    golden::check_lines("commands.txt", lines);
}

#[test]
fn help_lists_the_same_commands() {
    let mut paths = Vec::new();
    walk(&[], &mut paths);
    golden::check_lines("commands-shown.txt", paths.iter().map(|path| path.join(" ")));
}

fn scrape(address: SocketAddr) -> String {
    let mut socket = TcpStream::connect(address).expect("connection to the metrics listener opened");
    socket.set_read_timeout(Some(CONDITION_TIMEOUT)).expect("socket option set");
    socket.write_all(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").expect("request sent");
    let mut text = String::new();
    socket.read_to_string(&mut text).expect("the response is UTF-8");
    text
}

/// Each metric with its type, and each series without its value; histogram buckets are left out.
fn metrics(text: &str) -> BTreeSet<String> {
    let series = text.lines().filter(|line| line.starts_with("nettleferry_") && !line.contains("_bucket{"));
    let series = series.filter_map(|line| line.split_once(' ').map(|(name, _)| name.to_owned()));
    let types = text.lines().filter(|line| line.starts_with("# TYPE ")).map(str::to_owned);
    series.chain(types).collect()
}

#[test]
fn metrics_keep_their_names_types_and_labels() {
    let fleet = Fleet::new(1, SPEC);
    let (_, key_settings) = key("ada", "admin");
    let dir = tempfile::tempdir().expect("temporary folder");
    std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("worker list written");
    let figures =
        "(figures (scrape \"127.0.0.1:0\") (push (to \"127.0.0.1:9\") (every 1h) (spool \"spool\")))";
    let admin = format!(
        "(admin (listen \"127.0.0.1:0\") (store \"tenants.redb\") {key_settings} (trail (folder \"trail\")) (loans (reserve 0.2)))"
    );
    let program = serve_in(dir, &format!("{SETTINGS}(tenant kalahari){figures}{admin}"), None);
    let address = program.scrape();
    golden::check_lines("metrics.txt", metrics(&scrape(address)));
}

/// Words that follow an opening parenthesis, outside of comments.
fn keys(text: &str) -> BTreeSet<String> {
    let code = text.lines().map(|line| line.split(';').next().unwrap_or(""));
    let code = code.collect::<Vec<_>>().join("\n");
    let names = code.split('(').skip(1).filter_map(|rest| rest.split([' ', ')', '\n', '(']).next());
    names.filter(|name| !name.is_empty()).map(str::to_owned).collect()
}

fn check(settings: &Path) {
    let out = Command::new(PROGRAM).arg("check").arg(settings).output().expect("nettleferry check runs");
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
}

#[test]
fn settings_of_earlier_versions_are_accepted() {
    check(&golden::path("settings.sexp"));
    check(&golden::path("settings-follower.sexp"));
}

#[test]
fn example_settings_keep_their_keys() {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/nettleferry.sexp");
    let text = std::fs::read_to_string(example).expect("example settings readable");
    golden::check_lines("settings-keys.txt", keys(&text));
}

/// Collects each value of a document by its path, except `description`, `summary` and `title` texts.
fn flatten(path: &str, value: &Value, lines: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(fields) => {
            let compared = fields.iter().filter(|(name, value)| {
                !(value.is_string() && matches!(name.as_str(), "description" | "summary" | "title"))
            });
            compared.for_each(|(name, value)| flatten(&format!("{path}/{name}"), value, lines));
        }
        Value::Array(values) => {
            values.iter().enumerate().for_each(|(n, value)| flatten(&format!("{path}[{n}]"), value, lines));
        }
        _ => _ = lines.insert(path.to_owned(), value.to_string()),
    }
}

#[test]
fn api_document_keeps_its_paths_and_fields() {
    let document = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/openapi.json");
    let text = std::fs::read_to_string(document).expect("API document readable");
    let mut lines = BTreeMap::new();
    flatten("", &serde_json::from_str(&text).expect("the API document is JSON"), &mut lines);
    golden::check_lines("api.txt", lines.iter().map(|(path, value)| format!("{path} = {value}")));
}
