//! Parses events in the wire format.

use nettleferry::*;
use serde_json::Value;

use super::error::{EventError, FieldError};
use super::{Fields, Names};

/// Request flag: the size hint is valid.
const FLAG_SIZE_HINT: u64 = 1;
/// Request flag: the client marked the request as a retry.
const FLAG_REPEAT: u64 = 2;
/// Upper bound for lanes and replica counts; larger values are clamped.
const COUNT_MAX: u64 = 1 << 20;
/// Modulus that separates the two parts of a verdict's detail: the remainder is the load note, the quotient
/// the number of concurrent calls.
const DETAIL_NOTE_MODULUS: u64 = 8;
/// Upper bound for the concurrent calls of a verdict; larger values are clamped.
const CONCURRENT_CALLS_MAX: u64 = 30;

/// Parses one event. Zones and machine kinds that were not named before are added to `names`.
pub(crate) fn read_event(fields: &Fields, names: &mut Names) -> Result<Event, EventError> {
    Ok(match fields.name {
        "TOPOLOGY" => worker_list(fields, names)?,
        "INBOUND" => Event::Request(request(fields, names)?),
        "VERDICT" => outcome(fields)?,
        "FIRST" => {
            Event::Started { request: fields.request_id()?, attempt: fields.integer(4, "leg")? as u32 }
        }
        "BROUGHT_UP" => Event::Loaded {
            worker: WorkerId(fields.integer(2, "invoker")?),
            outcome: fields.outcome(3)?,
            elapsed: fields.time(4, "rtt_ms")?,
            function: FunctionId(fields.integer(5, "fn")?),
            replicas: fields.optional_integer(6, "number")?.unwrap_or(0).min(COUNT_MAX) as u32,
        },
        "CHECK_RESULT" => Event::Probed {
            worker: WorkerId(fields.integer(2, "invoker")?),
            outcome: fields.outcome(3)?,
            report: fields.report(5)?,
        },
        "WAKE" => Event::Timer { tag: fields.integer(2, "tag")? },
        "TIMED_OUT_CLIENT" => Event::ClientGone { request: fields.request_id()? },
        "FROM_PEER" => {
            let bytes = hex(fields.text(3, "content")?)
                .ok_or_else(|| fields.error("content", FieldError::NotA("hex")))?;
            Event::Message { from: PeerId(fields.integer(2, "origin_peer")?), bytes }
        }
        other => return Err(EventError::UnknownEvent(other.to_string())),
    })
}

fn worker_list(fields: &Fields, names: &mut Names) -> Result<Event, EventError> {
    let keyword = fields.text(2, "form")?;
    let form = match keyword {
        "diff" => ListForm::Changes,
        "snapshot" => ListForm::Complete,
        "disk" => ListForm::Restored,
        "error" => ListForm::Failed,
        _ => return Err(unknown_keyword(fields, "form", keyword)),
    };
    let items = match fields.get(4, "items")? {
        Value::Array(items) => items.as_slice(),
        Value::Null => &[],
        _ => return Err(fields.error("items", FieldError::NotA("an array"))),
    };
    let entries: Result<Vec<_>, FieldError> = items.iter().map(|item| entry(item, names)).collect();
    Ok(Event::Workers { form, entries: entries.map_err(|error| fields.error("items", error))? })
}

fn entry(item: &Value, names: &mut Names) -> Result<WorkerEntry, FieldError> {
    let parts = item.as_array().ok_or(FieldError::EntryNotAnArray)?;
    let fields = Fields { name: "entry", parts };
    parse_entry(&fields, names).map_err(|error| FieldError::Entry(Box::new(error)))
}

fn parse_entry(fields: &Fields, names: &mut Names) -> Result<WorkerEntry, EventError> {
    let zone = fields.text(0, "failure_domain")?;
    let kind = fields.text(2, "kind")?;
    Ok(WorkerEntry {
        zone: names.zone(zone),
        worker: WorkerId(fields.integer(1, "invoker")?),
        kind: names.kind(kind),
        weight: fields.get(3, "weight")?.as_f64().unwrap_or(1.0),
        cell: CellId(fields.optional_integer(4, "pod")?.unwrap_or(0)),
        state: match fields.text(5, "state")? {
            "on" => WorkerState::On,
            "fading" => WorkerState::Draining,
            "off" => WorkerState::Gone,
            keyword => return Err(unknown_keyword(fields, "state", keyword)),
        },
        started_at: fields.optional_time(6, "born_ms")?.filter(|&started_at| started_at > 0),
    })
}

fn request(fields: &Fields, names: &Names) -> Result<Request, EventError> {
    let class_name = fields.text(3, "kind")?;
    let class = names
        .class(class_name)
        .ok_or_else(|| fields.error("kind", FieldError::UnknownClass(class_name.to_string())))?;
    let tenant = match fields.get(4, "user_group")? {
        Value::String(name) => names.tenant(name),
        _ => None,
    };
    let flags = fields.optional_integer(11, "flags")?.unwrap_or(0);
    Ok(Request {
        id: fields.request_id()?,
        class,
        tenant,
        function: FunctionId(fields.integer(5, "fn")?),
        time_left: fields.time(6, "left_ms")?,
        cpu_time_hint: fields.optional_time(7, "size_hint_ms")?.filter(|_| flags & FLAG_SIZE_HINT != 0),
        lanes: fields.optional_integer(9, "concurrency")?.unwrap_or(1).clamp(1, COUNT_MAX) as u32,
        load_time: fields.optional_time(10, "start_ms")?,
        is_retry: flags & FLAG_REPEAT != 0,
        // The simulator's workers recognise a repeat by the request id, which each request has.
        has_idempotency_key: true,
    })
}

fn outcome(fields: &Fields) -> Result<Event, EventError> {
    let detail = fields.optional_integer(5, "detail")?.unwrap_or(0);
    let outcome = fields.outcome(7)?;
    let reports_concurrency = matches!(outcome, Outcome::Ok | Outcome::Rejected);
    Ok(Event::Outcome {
        request: fields.request_id()?,
        finished: fields.boolean(3, "over")?,
        worker: WorkerId(fields.integer(4, "invoker")?),
        attempt: fields.integer(6, "leg")? as u32,
        outcome,
        elapsed: fields.time(8, "rtt_ms")?,
        note: match detail % DETAIL_NOTE_MODULUS {
            1 => Some(LoadNote::Warm),
            2 => Some(LoadNote::Began),
            3 => Some(LoadNote::Waited),
            4 => Some(LoadNote::Failed),
            _ => None,
        },
        concurrent_calls: reports_concurrency
            .then_some((detail / DETAIL_NOTE_MODULUS).min(CONCURRENT_CALLS_MAX) as u32),
        report: fields.report(9)?,
    })
}

fn unknown_keyword(fields: &Fields, field: &'static str, keyword: &str) -> EventError {
    fields.error(field, FieldError::UnknownKeyword(keyword.to_string()))
}

/// Decodes a string of hexadecimal digit pairs; `None` if it is not one.
fn hex(text: &str) -> Option<Vec<u8>> {
    let byte = |pair: &[u8]| {
        let pair = std::str::from_utf8(pair).ok().filter(|p| p.len() == 2)?;
        u8::from_str_radix(pair, 16).ok()
    };
    text.as_bytes().chunks(2).map(byte).collect()
}
