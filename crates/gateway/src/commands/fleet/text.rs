//! Formats responses of the fleet API as text lines.

use serde_json::Value;

/// Formats the snapshots of the leader and of each controller, and the incarnations with their leases.
pub(super) fn status(response: &Value) -> Vec<String> {
    let mut lines = vec![leader(response)];
    lines.extend(items(&response["controllers"]).map(controller));
    lines.extend(items(&response["lives"]).map(incarnation));
    lines
}

fn leader(response: &Value) -> String {
    format!(
        "administration {}: {}{}, for {} ms, holds {}",
        response["controller"],
        response["step"].as_str().unwrap_or("?"),
        response["cause"].as_str().map(|cause| format!(" ({cause})")).unwrap_or_default(),
        response["since_ms"],
        snapshot_version(&response["holds"])
    )
}

fn controller(row: &Value) -> String {
    format!(
        "controller {}: {}, holds {}, seen {} ms ago",
        row["controller"],
        row["standing"].as_str().unwrap_or("no book to compare"),
        snapshot_version(&row["holds"]),
        row["seen_ms_ago"]
    )
}

fn incarnation(row: &Value) -> String {
    let lease = match row["lease_left_ms"].as_u64() {
        Some(0) => "its lease is out".to_owned(),
        Some(left) => format!("its lease is out in {left} ms"),
        None => "without a lease".to_owned(),
    };
    let then = if row["ends"] == true { "then refuses" } else { "then goes on" };
    let fenced = if row["fenced"] == true { ", fenced" } else { "" };
    format!(
        "life {} of controller {}: acts on revision {}, {} behind, has synced {}, {lease}, {then}{fenced}",
        row["life"].as_str().unwrap_or("?"),
        row["controller"],
        row["in_force"],
        row["behind"],
        row["kept"]
    )
}

fn snapshot_version(version: &Value) -> String {
    match version["store"].as_str() {
        Some(store) => format!("{store} epoch {} revision {}", version["epoch"], version["revision"]),
        None => "none".to_owned(),
    }
}

/// Formats the progress of a change, and the members that may still act without it.
pub(super) fn change(response: &Value) -> Vec<String> {
    let state = match (response["everywhere"].as_bool(), response["within_ms"].as_u64()) {
        (Some(true), _) => "in force everywhere".to_owned(),
        (_, Some(within)) => format!("in force everywhere within {within} ms"),
        _ => "not in force everywhere, and there is no bound".to_owned(),
    };
    let mut lines = vec![format!(
        "revision {}: {state}; held by {} of {} other disks",
        response["revision"], response["held"], response["wanted"]
    )];
    lines.extend(items(&response["waits"]).map(pending_member));
    lines
}

fn pending_member(row: &Value) -> String {
    let member = match row["controller"].as_u64() {
        Some(number) => format!("controller {number}"),
        None => "leases of before this start of the administration".to_owned(),
    };
    let bound = match row["within_ms"].as_u64() {
        Some(within) => format!("may act without it for {within} ms at the most"),
        None => "goes on without a lease, and may act without it".to_owned(),
    };
    format!("  {member} {bound}")
}

/// Formats the number of incarnations of a controller that were fenced or admitted. `action` is the printed text for
/// one of the two.
pub(super) fn incarnations(response: &Value, controller: u32, action: &str) -> String {
    let count = response["lives"].as_u64().unwrap_or(0);
    let noun = if count == 1 { "life" } else { "lives" };
    format!("controller {controller}: {count} {noun} {action}")
}

/// Formats the selected snapshot and how the others differ from it; `applied` is false for a dry run.
pub(super) fn recovery(response: &Value, applied: bool) -> Vec<String> {
    let mut lines = vec![format!(
        "{}: the book of controller {} at revision {}, {} tenants, epoch {}",
        if applied { "stands now" } else { "would stand; nothing was done, add --yes" },
        response["controller"],
        response["revision"],
        response["tenants"],
        response["epoch"]
    )];
    for other in items(&response["others"]) {
        lines.push(format!(
            "against controller {} at revision {}: {} differences",
            other["controller"], other["revision"], other["differences"]
        ));
        for tenant in items(&other["tenants"]) {
            let text = |key: &str| tenant[key].as_str().unwrap_or("").to_owned();
            lines.push(format!("  {} {}", text("tenant"), text("what")));
        }
    }
    lines
}

fn items(list: &Value) -> impl Iterator<Item = &Value> {
    list.as_array().into_iter().flatten()
}
