//! Schemas of what controllers report: entries of their audit logs, and their demand of limits.

use serde_json::{Value, json};

use super::builders::{integer, object, reference, text};

/// The schemas of audit logs and loans.
pub(super) fn schemas() -> Value {
    json!({
        "Lines": { "type": "array", "items": { "type": "string" }, "description": "each as it was written and hashed" },
        "Delivered": object(&["last"], json!({ "last": integer("the number of the last line that is held and durable") })),
        "Records": { "type": "object", "required": ["by"], "properties": {
            "by": integer("the life of the administration, on whose clock all is told"),
            "records": { "type": "array", "items": { "type": "object" }, "description": "of: whose, lines: how many are held, last: the last one's number" },
            "lines": reference("Lines"), "next": { "type": ["integer", "null"], "description": "`from` of the next page" },
        } },
        "Demands": { "type": "array", "maxItems": 1000, "items": { "type": "object", "required": ["tenant", "uid", "kind", "demand", "in_use", "acts_on", "by"], "properties": {
            "tenant": text("whose"), "uid": integer("which tenant of that name"), "kind": { "enum": ["rate", "open", "held", "memory"] },
            "demand": { "type": "number", "minimum": 0, "description": "what it could use, in all" }, "in_use": { "type": "number", "minimum": 0, "description": "by calls in hand; nothing of a rate" }, "acts_on": integer("the loan that it acts on; 0: none"), "by": integer("the life of the administration that gave it"),
        } } },
        "Loans": { "type": "object", "required": ["span_ms", "loans"], "properties": {
            "span_ms": integer("they last so long, counted from the ask"),
            "loans": { "type": "array", "items": { "type": "object" }, "description": "uid, kind, limit, number, amount beyond the reserve" },
        } },
    })
}
