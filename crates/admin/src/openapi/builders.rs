//! Builders of JSON schemas that many parts of the document use.

use serde_json::{Value, json};

/// A reference to a named schema.
pub(super) fn reference(schema: &str) -> Value {
    json!({ "$ref": format!("#/components/schemas/{schema}") })
}

/// An object that has these properties only.
pub(super) fn object(required: &[&str], properties: Value) -> Value {
    json!({ "type": "object", "required": required, "properties": properties, "additionalProperties": false })
}

/// An integer that is not negative.
pub(super) fn integer(description: &str) -> Value {
    json!({ "type": "integer", "minimum": 0, "description": description })
}

/// An integer that is not negative, or null.
pub(super) fn nullable_integer(description: &str) -> Value {
    json!({ "type": ["integer", "null"], "minimum": 0, "description": description })
}

/// A string without restrictions.
pub(super) fn text(description: &str) -> Value {
    json!({ "type": "string", "description": description })
}

/// An array of items of a named schema.
pub(super) fn list(schema: &str) -> Value {
    json!({ "type": "array", "items": reference(schema) })
}

/// A page of rows of a named schema. `rows` is the name of the property, `next` the type of the cursor.
pub(super) fn page(rows: &str, schema: &str, next: &str) -> Value {
    let properties = json!({ rows: list(schema), "next": { "type": [next, "null"], "description": "`after` of the next page; null on the last page" } });
    json!({ "type": "object", "required": [rows], "properties": properties })
}
