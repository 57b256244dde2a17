//! Formats the library's actions in the wire format.

use std::fmt::Write;

use nettleferry::{Action, Micros};
use serde_json::Value;

/// Appends one action of the controller `id` to the outbox.
pub(crate) fn write_action(id: u64, action: &Action, out: &mut String) {
    // The simulator sends a load order at the moment it receives it, so that the order can't be cancelled.
    if matches!(action, Action::CancelLoad { .. }) {
        return;
    }
    if !out.is_empty() {
        out.push(',');
    }
    let millis = |span: Micros| span as f64 / 1000.0;
    let optional = |span: &Option<Micros>| span.map_or("null".to_string(), |s| millis(s).to_string());
    let written = match action {
        Action::Send { request, worker, timeout } => {
            write!(out, "[\"ATTEMPT\",{id},\"{:016x}\",{},{}]", request.0, worker.0, optional(timeout))
        }
        Action::Cancel { request, attempt } => {
            write!(out, "[\"RETRACT\",{id},\"{:016x}\",{attempt}]", request.0)
        }
        Action::Refuse { request, retry_after } => {
            write!(out, "[\"OVERLOAD_REPLY\",{id},\"{:016x}\",{}]", request.0, optional(retry_after))
        }
        Action::Fail { request } => write!(out, "[\"REPORT_FAILURE\",{id},\"{:016x}\"]", request.0),
        Action::Load { worker, function, count } => {
            write!(out, "[\"PRELOAD\",{id},{},{count},{}]", worker.0, function.0)
        }
        Action::CancelLoad { .. } => return,
        Action::Unload { worker, function } => {
            write!(out, "[\"RELEASE_IDLE\",{id},{},{}]", function.0, worker.0)
        }
        Action::Probe { worker } => write!(out, "[\"SOUND_OUT\",{id},{}]", worker.0),
        Action::SetTimer { after, tag } => write!(out, "[\"AFTER\",{id},{},{tag}]", millis(*after)),
        Action::Watch => write!(out, "[\"KEEP_INFORMED\",{id},true]"),
        Action::Fetch => write!(out, "[\"RELOAD\",{id}]"),
        Action::Log(text) => write!(out, "[\"DEBUG\",{id},{}]", Value::from(text.as_str())),
    };
    written.expect("writing to a string");
}
