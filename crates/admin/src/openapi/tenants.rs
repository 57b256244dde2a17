//! Schemas of tenants, of their usage and of the audit trail.

use serde_json::{Map, Value, json};

use super::builders::{integer, nullable_integer, object, page, reference, text};

/// The properties of a tenant that requests can set.
fn tenant_settings() -> Map<String, Value> {
    let rate = json!({ "type": ["number", "null"], "minimum": 0, "maximum": 1e7, "description": "calls per second" });
    let burst = json!({ "type": ["integer", "null"], "minimum": 1, "description": "number of calls that may be admitted at once in excess of the rate" });
    let limits = json!({
        "type": "object", "additionalProperties": false, "description": "limits in the whole installation; an absent limit does not apply",
        "properties": {
            "rate_per_second": rate, "burst": burst,
            "open_calls": nullable_integer("calls without a final answer"),
            "held_calls": nullable_integer("open calls that are not assigned to a worker"),
            "loaded_memory_bytes": nullable_integer("memory of the models in use, in bytes"),
            "fleet_share": { "type": ["number", "null"], "exclusiveMinimum": 0, "maximum": 1, "description": "maximum share of the running calls while other tenants wait" },
        },
    });
    let classes = json!({
        "type": "object", "description": "limits by class", "maxProperties": 64,
        "additionalProperties": object(&[], json!({ "rate_per_second": rate, "burst": burst, "open_calls": nullable_integer("calls without a final answer") })),
    });
    let mut properties = Map::new();
    properties.insert("limits".to_owned(), limits);
    properties.insert("classes".to_owned(), classes);
    properties.insert("weight".to_owned(), json!({ "type": ["number", "null"], "minimum": 0.001, "maximum": 1000, "description": "weight against other tenants in a full queue; default 1" }));
    properties.insert("models".to_owned(), json!({ "type": ["array", "null"], "items": { "type": "string" }, "maxItems": 10_000, "description": "names of models, or prefixes followed by *; absent: all models" }));
    properties.insert("note".to_owned(), text("free text, at most 1000 characters"));
    properties
}

/// The schemas of tenants, of their usage and of their changes.
pub(super) fn schemas() -> Value {
    let mut new = tenant_settings();
    new.insert(
        "name".to_owned(),
        json!({ "type": "string", "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$" }),
    );
    let mut tenant = new.clone();
    for (name, value) in [
        ("uid", integer("revision that created the tenant, which distinguishes tenants of the same name")),
        ("revision", integer("last revision that changed the tenant, which is its ETag")),
        ("state", json!({ "enum": ["active", "suspended", "removing"] })),
        ("gone_at_ms", integer("end of the grace period, in milliseconds since 1970")),
        ("created_ms", integer("time of the creation, in milliseconds since 1970")),
    ] {
        tenant.insert(name.to_owned(), value);
    }
    let usage = json!({
        "tenant": text("name of the tenant"), "uid": integer("uid of the tenant, which distinguishes tenants of the same name"),
        "open_calls": integer("calls without a final answer"), "held_calls": integer("open calls that are not assigned to a worker"),
        "loaded_memory_bytes": integer("memory of the models in use, in bytes"), "admitted": integer("calls admitted"), "refused": integer("calls rejected by admission control"),
        "open_by_class": { "type": "object", "additionalProperties": { "type": "integer" }, "description": "open calls by class" },
        "ends": { "type": "object", "additionalProperties": { "type": "integer" }, "description": "ended calls by final answer" },
    });
    let entry = json!({
        "revision": integer("revision that the change made"), "at_ms": integer("time of the change, in milliseconds since 1970"), "who": text("name of the API key; nettleferry: the program itself"),
        "action": { "enum": ["create", "change", "suspend", "resume", "remove", "gone"] }, "tenant": text("name of the tenant"),
        "before": reference("Tenant"), "after": reference("Tenant"),
    });
    json!({
        "NewTenant": object(&["name"], Value::Object(new)),
        "TenantPatch": { "type": "object", "additionalProperties": false, "description": "merge patch (RFC 7396): null removes a setting", "properties": tenant_settings() },
        "Tenant": object(&["name", "uid", "revision", "state", "created_ms", "limits", "classes"], Value::Object(tenant)),
        "TenantPage": page("tenants", "Tenant", "string"),
        "Usage": object(&["tenant", "uid"], usage),
        "UsagePage": page("usage", "Usage", "string"),
        "AuditEntry": object(&["revision", "at_ms", "who", "action", "tenant"], entry),
        "AuditPage": page("entries", "AuditEntry", "integer"),
    })
}
