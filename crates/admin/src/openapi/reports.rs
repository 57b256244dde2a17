//! Schemas of the reports of controllers: entries of their audit logs, and their demand for limits.

use serde_json::{Value, json};

use super::builders::{integer, object, reference, text};

/// The schemas of audit logs and loans.
pub(super) fn schemas() -> Value {
    json!({
        "Lines": { "type": "array", "items": { "type": "string" }, "description": "lines of an audit log, each exactly as it was written and hashed" },
        "Delivered": object(&["last"], json!({ "last": integer("number of the last line that is stored") })),
        "Records": { "type": "object", "required": ["by"], "properties": {
            "by": integer("incarnation of the administration, whose clock all times refer to"),
            "records": { "type": "array", "items": { "type": "object" }, "description": "of: owner of the log, lines: number of stored lines, last: number of the last line" },
            "lines": reference("Lines"), "next": { "type": ["integer", "null"], "description": "`from` of the next page; null on the last page" },
        } },
        "Demands": { "type": "array", "maxItems": 1000, "items": { "type": "object", "required": ["tenant", "uid", "kind", "demand", "in_use", "acts_on", "by"], "properties": {
            "tenant": text("name of the tenant"), "uid": integer("uid of the tenant, which distinguishes tenants of the same name"), "kind": { "enum": ["rate", "open", "held", "memory"] },
            "demand": { "type": "number", "minimum": 0, "description": "how much the controller's calls could use in total" }, "in_use": { "type": "number", "minimum": 0, "description": "how much its open calls use now; always 0 for a rate" }, "acts_on": integer("number of the loan that the controller applies; 0: none"), "by": integer("incarnation of the administration that granted that loan"),
        } } },
        "Loans": { "type": "object", "required": ["span_ms", "loans"], "properties": {
            "span_ms": integer("duration of the loans in milliseconds, counted from the request"),
            "loans": { "type": "array", "items": { "type": "object" }, "description": "uid, kind, limit, number, and the amount beyond the reserve" },
        } },
    })
}
