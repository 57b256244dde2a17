//! Builders of the schemas that occur again and again.

use serde_json::{Value, json};

/// A reference to a named schema.
pub(super) fn reference(schema: &str) -> Value {
    json!({ "$ref": format!("#/components/schemas/{schema}") })
}

/// An object of these properties alone.
pub(super) fn object(required: &[&str], properties: Value) -> Value {
    json!({ "type": "object", "required": required, "properties": properties, "additionalProperties": false })
}

/// An integer from 0 on.
pub(super) fn integer(description: &str) -> Value {
    json!({ "type": "integer", "minimum": 0, "description": description })
}

/// An integer from 0 on, or null.
pub(super) fn nullable_integer(description: &str) -> Value {
    json!({ "type": ["integer", "null"], "minimum": 0, "description": description })
}

/// A string.
pub(super) fn text(description: &str) -> Value {
    json!({ "type": "string", "description": description })
}

/// An array of a named schema.
pub(super) fn list(schema: &str) -> Value {
    json!({ "type": "array", "items": reference(schema) })
}

/// A page of rows; `next`: the type of the cursor.
pub(super) fn page(rows: &str, schema: &str, next: &str) -> Value {
    let properties = json!({ rows: list(schema), "next": { "type": [next, "null"], "description": "`after` of the next page; null: this is the last" } });
    json!({ "type": "object", "required": [rows], "properties": properties })
}
