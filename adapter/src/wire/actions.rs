//! Formats the library's actions in the wire format.

use std::fmt::Write;

use nettleferry::{Action, Micros};
use serde_json::Value;

/// Appends one action of the controller `id` to the outbox.
pub(crate) fn write_action(id: u64, action: &Action, outbox: &mut String) {
    // The simulator sends a load order at the moment it receives it, so that the order can't be cancelled.
    if matches!(action, Action::CancelLoad { .. }) {
        return;
    }
    if !outbox.is_empty() {
        outbox.push(',');
    }
    let millis = |span: Micros| span as f64 / 1000.0;
    let optional = |span: &Option<Micros>| span.map_or("null".to_string(), |s| millis(s).to_string());
    let written = match action {
        Action::Send { request, worker, timeout } => {
            write!(outbox, "[\"ATTEMPT\",{id},\"{:016x}\",{},{}]", request.0, worker.0, optional(timeout))
        }
        Action::Cancel { request, attempt } => {
            write!(outbox, "[\"RETRACT\",{id},\"{:016x}\",{attempt}]", request.0)
        }
        Action::Refuse { request, retry_after } => {
            write!(outbox, "[\"OVERLOAD_REPLY\",{id},\"{:016x}\",{}]", request.0, optional(retry_after))
        }
        Action::Fail { request } => write!(outbox, "[\"REPORT_FAILURE\",{id},\"{:016x}\"]", request.0),
        Action::Load { worker, function, count } => {
            write!(outbox, "[\"PRELOAD\",{id},{},{count},{}]", worker.0, function.0)
        }
        Action::CancelLoad { .. } => return,
        Action::Unload { worker, function } => {
            write!(outbox, "[\"RELEASE_IDLE\",{id},{},{}]", function.0, worker.0)
        }
        Action::Probe { worker } => write!(outbox, "[\"SOUND_OUT\",{id},{}]", worker.0),
        Action::SetTimer { after, tag } => write!(outbox, "[\"AFTER\",{id},{},{tag}]", millis(*after)),
        Action::Watch => write!(outbox, "[\"KEEP_INFORMED\",{id},true]"),
        Action::Fetch => write!(outbox, "[\"RELOAD\",{id}]"),
        Action::Log(text) => write!(outbox, "[\"DEBUG\",{id},{}]", Value::from(text.as_str())),
    };
    written.expect("writing to a string cannot fail");
}
