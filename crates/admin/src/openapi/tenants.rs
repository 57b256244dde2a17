//! Schemas of tenants, their usage and the audit trail.

use serde_json::{Map, Value, json};

use super::builders::{integer, nullable_integer, object, page, reference, text};

/// The properties of a tenant that a request may set.
fn tenant_settings() -> Map<String, Value> {
    let rate =
        json!({ "type": ["number", "null"], "minimum": 0, "maximum": 1e7, "description": "calls a second" });
    let burst =
        json!({ "type": ["integer", "null"], "minimum": 1, "description": "calls at once beyond the rate" });
    let limits = json!({
        "type": "object", "additionalProperties": false, "description": "for the whole installation; what is not there is no limit",
        "properties": {
            "rate_per_second": rate, "burst": burst,
            "open_calls": nullable_integer("calls without a final answer"),
            "held_calls": nullable_integer("open calls that no worker has"),
            "loaded_memory_bytes": nullable_integer("bytes of the models in use"),
            "fleet_share": { "type": ["number", "null"], "exclusiveMinimum": 0, "maximum": 1, "description": "part of the running calls while others wait" },
        },
    });
    let classes = json!({
        "type": "object", "description": "limits by class", "maxProperties": 64,
        "additionalProperties": object(&[], json!({ "rate_per_second": rate, "burst": burst, "open_calls": nullable_integer("calls without a final answer") })),
    });
    let mut properties = Map::new();
    properties.insert("limits".to_owned(), limits);
    properties.insert("classes".to_owned(), classes);
    properties.insert("weight".to_owned(), json!({ "type": ["number", "null"], "minimum": 0.001, "maximum": 1000, "description": "against other tenants in a full queue; 1 where not told" }));
    properties.insert("models".to_owned(), json!({ "type": ["array", "null"], "items": { "type": "string" }, "maxItems": 10_000, "description": "names, or beginnings followed by *; not told: all" }));
    properties.insert("note".to_owned(), text("for people, at most 1000 characters"));
    properties
}

/// The schemas of tenants, their usage and their changes.
pub(super) fn schemas() -> Value {
    let mut new = tenant_settings();
    new.insert(
        "name".to_owned(),
        json!({ "type": "string", "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$" }),
    );
    let mut tenant = new.clone();
    for (name, value) in [
        ("uid", integer("the revision that created it: another tenant of the same name has another")),
        ("revision", integer("the last revision that changed it; its ETag")),
        ("state", json!({ "enum": ["active", "suspended", "removing"] })),
        ("gone_at_ms", integer("when its grace is over, milliseconds since 1970")),
        ("created_ms", integer("milliseconds since 1970")),
    ] {
        tenant.insert(name.to_owned(), value);
    }
    let usage = json!({
        "tenant": text("its name"), "uid": integer("which tenant of that name"),
        "open_calls": integer("calls without a final answer"), "held_calls": integer("those that no worker has"),
        "loaded_memory_bytes": integer("of the models in use"), "admitted": integer("calls taken"), "refused": integer("calls turned away by admission"),
        "open_by_class": { "type": "object", "additionalProperties": { "type": "integer" }, "description": "open calls by class" },
        "ends": { "type": "object", "additionalProperties": { "type": "integer" }, "description": "calls by their one final answer" },
    });
    let entry = json!({
        "revision": integer("the revision it made"), "at_ms": integer("milliseconds since 1970"), "who": text("the key's name"),
        "action": { "enum": ["create", "change", "suspend", "resume", "remove", "gone"] }, "tenant": text("its name"),
        "before": reference("Tenant"), "after": reference("Tenant"),
    });
    json!({
        "NewTenant": object(&["name"], Value::Object(new)),
        "TenantPatch": { "type": "object", "additionalProperties": false, "description": "RFC 7396: null takes away", "properties": tenant_settings() },
        "Tenant": object(&["name", "uid", "revision", "state", "created_ms", "limits", "classes"], Value::Object(tenant)),
        "TenantPage": page("tenants", "Tenant", "string"),
        "Usage": object(&["tenant", "uid"], usage),
        "UsagePage": page("usage", "Usage", "string"),
        "AuditEntry": object(&["revision", "at_ms", "who", "action", "tenant"], entry),
        "AuditPage": page("entries", "AuditEntry", "integer"),
    })
}
