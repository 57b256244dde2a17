//! `fleet audit` and `fleet verify`: fetches the audit logs that controllers delivered to the leader, and evaluates or
//! verifies them with `nettleferry_audit_log`.

use std::path::Path;

use nettleferry_administration::{ADMINISTRATION_LOG, audit_log_writer};
use nettleferry_audit_log::chain::{self, ChainError, CheckedLog};
use nettleferry_audit_log::{Audit, Report};
use serde_json::{Value, json};

use super::super::admin::{Api, Client, percent_encoded};
use super::super::error::CommandError;
use super::output::Output;

/// Number of entries at which the fetch of an audit log stops.
const MAX_ENTRIES: usize = 1_000_000;
/// Maximum number of entries requested in one page.
const PAGE_ENTRIES: usize = 1_000;

/// An audit log, with the errors that the check of its hash chain found.
struct FetchedLog {
    /// Origin of the log: a controller's number or [`ADMINISTRATION_LOG`], as the leader returns it, or the path of a
    /// folder.
    source: String,
    checked: CheckedLog,
}

/// All audit logs that the leader has collected.
pub(super) struct FetchedLogs {
    /// Incarnation of the leader; times in the report are on its clock.
    leader: u64,
    logs: Vec<FetchedLog>,
}

/// Fetches all audit logs from the leader, page by page, and checks their hash chains.
pub(super) fn fetch(client: &mut Client) -> Result<FetchedLogs, CommandError> {
    let list = client.get("/v1/fleet/records")?;
    let leader = list["by"].as_u64().unwrap_or(0);
    let sources = list["records"].as_array().into_iter().flatten().filter_map(|row| row["of"].as_str());
    let logs: Result<_, CommandError> = sources
        .map(|source| {
            let entries = fetch_entries(client, source)?;
            let checked = chain::check(entries.iter().map(String::as_str));
            Ok(FetchedLog { source: source.to_owned(), checked })
        })
        .collect();
    Ok(FetchedLogs { leader, logs: logs? })
}

fn fetch_entries(client: &mut Client, source: &str) -> Result<Vec<String>, CommandError> {
    let mut entries: Vec<String> = Vec::new();
    let mut next = Some(0);
    while let Some(from) = next.filter(|_| entries.len() < MAX_ENTRIES) {
        let source = percent_encoded(source);
        let page = client.get(&format!("/v1/fleet/records?of={source}&from={from}&limit={PAGE_ENTRIES}"))?;
        let lines = page["lines"].as_array().into_iter().flatten();
        entries.extend(lines.filter_map(|line| line.as_str().map(str::to_owned)));
        next = page["next"].as_u64();
    }
    Ok(entries)
}

/// Evaluates all logs together; errors of their hash chains become gaps in the report.
pub(super) fn report(fetched: &FetchedLogs) -> Report {
    let mut audit = Audit::default();
    for FetchedLog { source, checked } in &fetched.logs {
        if source == ADMINISTRATION_LOG {
            audit.add_leader(fetched.leader, &checked.entries);
        } else {
            audit.add_controller(fetched.leader, &checked.entries, false);
        }
        for error in &checked.errors {
            audit.add_gap(None, format!("record of {source}: {error}"));
        }
    }
    audit.report()
}

/// Result of `fleet verify`.
pub(super) struct Verification {
    pub(super) output: Output,
    /// Whether no log has missing or altered entries. Entries that were deleted at the start of a log don't count.
    pub(super) complete: bool,
}

/// Checks the hash chain of the audit log in `folder`, or without a folder those of all logs that the leader has
/// collected.
pub(super) fn verify(folder: Option<&Path>, api: &Api) -> Result<Verification, CommandError> {
    let logs = match folder {
        Some(folder) => {
            let checked = audit_log_writer::read(folder.to_owned())?;
            vec![FetchedLog { source: folder.display().to_string(), checked }]
        }
        None => fetch(&mut Client::new(api)?)?.logs,
    };
    let mut verification =
        Verification { output: Output { json: json!([]), lines: Vec::new() }, complete: true };
    let mut rows = Vec::new();
    for log in &logs {
        let complete = log.checked.errors.iter().all(is_expected);
        verification.complete &= complete;
        verification.output.lines.extend(log_lines(log, complete));
        rows.push(log_row(log, complete));
    }
    verification.output.json = json!(rows);
    Ok(verification)
}

/// Returns whether an error is expected in an undamaged log: its oldest entries are deleted to bound its size.
fn is_expected(error: &ChainError) -> bool {
    matches!(error, ChainError::Truncated { .. })
}

fn log_lines(log: &FetchedLog, complete: bool) -> Vec<String> {
    let state = if complete { "whole" } else { "NOT whole" };
    let FetchedLog { source, checked } = log;
    let mut lines = vec![format!("record of {source}: {} lines, {state}", checked.entries.len())];
    lines.extend(checked.errors.iter().map(|error| format!("  {error}")));
    lines
}

fn log_row(log: &FetchedLog, complete: bool) -> Value {
    let FetchedLog { source, checked } = log;
    let errors: Vec<String> = checked.errors.iter().map(ToString::to_string).collect();
    json!({ "of": source, "lines": checked.entries.len(), "whole": complete, "faults": errors })
}
