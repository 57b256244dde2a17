//! The OpenAPI document, made from the table of routes; `docs/openapi.json` is this, and a test holds them
//! together.

use serde_json::{Map, Value, json};

use crate::routes::{ROUTES, Route};

fn of(schema: &str) -> Value {
    json!({ "$ref": format!("#/components/schemas/{schema}") })
}

fn object(required: &[&str], properties: Value) -> Value {
    json!({ "type": "object", "required": required, "properties": properties, "additionalProperties": false })
}

fn whole(what: &str) -> Value {
    json!({ "type": "integer", "minimum": 0, "description": what })
}

fn limit(what: &str) -> Value {
    json!({ "type": ["integer", "null"], "minimum": 0, "description": what })
}

fn text(what: &str) -> Value {
    json!({ "type": "string", "description": what })
}

fn list(schema: &str) -> Value {
    json!({ "type": "array", "items": of(schema) })
}

fn page(rows: &str, schema: &str, next: &str) -> Value {
    let properties = json!({ rows: list(schema), "next": { "type": [next, "null"], "description": "`after` of the next page; null: this is the last" } });
    json!({ "type": "object", "required": [rows], "properties": properties })
}

/// What is said of a tenant.
fn spec() -> Map<String, Value> {
    let rate =
        json!({ "type": ["number", "null"], "minimum": 0, "maximum": 1e7, "description": "calls a second" });
    let burst =
        json!({ "type": ["integer", "null"], "minimum": 1, "description": "calls at once beyond the rate" });
    let limits = json!({
        "type": "object", "additionalProperties": false, "description": "for the whole installation; what is not there is no limit",
        "properties": {
            "rate_per_second": rate, "burst": burst,
            "open_calls": limit("calls without a final answer"),
            "held_calls": limit("open calls that no worker has"),
            "loaded_memory_bytes": limit("bytes of the models in use"),
            "fleet_share": { "type": ["number", "null"], "exclusiveMinimum": 0, "maximum": 1, "description": "part of the running calls while others wait" },
        },
    });
    let classes = json!({
        "type": "object", "description": "limits by class", "maxProperties": 64,
        "additionalProperties": object(&[], json!({ "rate_per_second": rate, "burst": burst, "open_calls": limit("calls without a final answer") })),
    });
    let mut all = Map::new();
    all.insert("limits".to_owned(), limits);
    all.insert("classes".to_owned(), classes);
    all.insert("weight".to_owned(), json!({ "type": ["number", "null"], "minimum": 0.001, "maximum": 1000, "description": "against other tenants in a full queue; 1 where not told" }));
    all.insert("models".to_owned(), json!({ "type": ["array", "null"], "items": { "type": "string" }, "maxItems": 10_000, "description": "names, or beginnings followed by *; not told: all" }));
    all.insert("note".to_owned(), text("for people, at most 1000 characters"));
    all
}

fn schemas() -> Value {
    let mut new = spec();
    new.insert(
        "name".to_owned(),
        json!({ "type": "string", "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$" }),
    );
    let mut tenant = new.clone();
    for (name, value) in [
        ("uid", whole("the revision that created it: another tenant of the same name has another")),
        ("revision", whole("the last revision that changed it; its ETag")),
        ("state", json!({ "enum": ["active", "suspended", "removing"] })),
        ("gone_at_ms", whole("when its grace is over, milliseconds since 1970")),
        ("created_ms", whole("milliseconds since 1970")),
    ] {
        tenant.insert(name.to_owned(), value);
    }
    let usage = json!({
        "tenant": text("its name"), "uid": whole("which tenant of that name"),
        "open_calls": whole("calls without a final answer"), "held_calls": whole("those that no worker has"),
        "loaded_memory_bytes": whole("of the models in use"), "admitted": whole("calls taken"), "refused": whole("calls turned away by admission"),
        "open_by_class": { "type": "object", "additionalProperties": { "type": "integer" }, "description": "open calls by class" },
        "ends": { "type": "object", "additionalProperties": { "type": "integer" }, "description": "calls by their one final answer" },
    });
    let entry = json!({
        "revision": whole("the revision it made"), "at_ms": whole("milliseconds since 1970"), "who": text("the key's name"),
        "action": { "enum": ["create", "change", "suspend", "resume", "remove", "gone"] }, "tenant": text("its name"),
        "before": of("Tenant"), "after": of("Tenant"),
    });
    let worker = json!({
        "name": text("its name"), "address": text("where it is reached"), "zone": text("its zone"),
        "listed": { "enum": ["on", "draining", "gone"] }, "drained": { "type": "boolean", "description": "by hand" },
    });
    let controller = json!({ "controller": whole("its number"), "revision": whole("in force there"), "seen_ms_ago": whole("how long ago it said so") });
    json!({
        "NewTenant": object(&["name"], Value::Object(new)),
        "TenantPatch": { "type": "object", "additionalProperties": false, "description": "RFC 7396: null takes away", "properties": spec() },
        "Tenant": object(&["name", "uid", "revision", "state", "created_ms", "limits", "classes"], Value::Object(tenant)),
        "TenantPage": page("tenants", "Tenant", "string"),
        "Usage": object(&["tenant", "uid"], usage),
        "UsagePage": page("usage", "Usage", "string"),
        "AuditEntry": object(&["revision", "at_ms", "who", "action", "tenant"], entry),
        "AuditPage": page("entries", "AuditEntry", "integer"),
        "Worker": object(&["name", "address", "zone", "listed", "drained"], worker),
        "WorkerPage": { "type": "object", "required": ["workers"], "properties": { "workers": list("Worker") } },
        "Controller": object(&["controller", "revision", "seen_ms_ago"], controller),
        "ControllerPage": { "type": "object", "required": ["controllers"], "properties": { "controllers": list("Controller"), "revision": whole("the book's") } },
        "Snapshot": { "type": "object", "required": ["store", "epoch", "sum", "book"], "properties": {
            "store": text("the store's own name, kept by its restores"), "epoch": whole("raised by each restore"), "sum": whole("the book's CRC-32"),
            "lease_ms": { "type": ["integer", "null"], "description": "a controller that asked may act on it for so long" },
            "place": { "type": ["integer", "null"], "description": "of this life among those of the fleet: a later one has a higher one" },
            "clock": { "type": "object", "description": "by: whose life, at_ms: what its clock reads, held_ms: the request was held for so long" },
            "book": { "type": "object", "required": ["revision", "tenants"], "properties": { "revision": whole("the last"), "tenants": { "type": "object", "additionalProperties": of("Tenant") } } },
        } },
        "Fleet": { "type": "object", "required": ["controller", "step", "controllers"], "properties": {
            "controller": whole("who answers"), "step": text("serving, or waiting: it is open which book stands"),
            "cause": { "type": ["string", "null"], "description": "damaged, empty, behind or disagreed" },
            "holds": { "type": ["object", "null"], "description": "the stamp of its book: store, epoch, revision, sum" },
            "controllers": { "type": "array", "items": { "type": "object" } },
        } },
        "Recovery": { "type": "object", "required": ["take", "done", "others"], "properties": {
            "take": text("own, or a controller's number"), "done": { "type": "boolean", "description": "false: it was shown, and nothing was done" },
            "others": { "type": "array", "items": { "type": "object" }, "description": "by controller, what its book holds otherwise" },
        } },
        "Fence": object(&["controller", "lives"], json!({ "controller": whole("its number"), "lives": whole("of it that are shut out, or let in again") })),
        "Progress": { "type": "object", "required": ["revision", "held", "wanted", "everywhere", "waits"], "properties": {
            "revision": whole("the change"), "held": whole("disks of others that hold it"), "wanted": whole("how many are wanted, of those that are there"),
            "everywhere": { "type": "boolean", "description": "nobody acts without it" },
            "within_ms": { "type": ["integer", "null"], "description": "it is in force everywhere within this span; null: there is no bound, as one goes on without a lease" },
            "waits": { "type": "array", "items": { "type": "object" }, "description": "who may still act without it, and for how long at the most" },
        } },
        "Lines": { "type": "array", "items": { "type": "string" }, "description": "each as it was written and hashed" },
        "Delivered": object(&["last"], json!({ "last": whole("the number of the last line that is held and durable") })),
        "Records": { "type": "object", "required": ["by"], "properties": {
            "by": whole("the life of the administration, on whose clock all is told"),
            "records": { "type": "array", "items": { "type": "object" }, "description": "of: whose, lines: how many are held, last: the last one's number" },
            "lines": of("Lines"), "next": { "type": ["integer", "null"], "description": "`from` of the next page" },
        } },
        "Demands": { "type": "array", "maxItems": 1000, "items": { "type": "object", "required": ["tenant", "uid", "kind", "demand", "in_use", "acts_on", "by"], "properties": {
            "tenant": text("whose"), "uid": whole("which tenant of that name"), "kind": { "enum": ["rate", "open", "held", "memory"] },
            "demand": { "type": "number", "minimum": 0, "description": "what it could use, in all" }, "in_use": { "type": "number", "minimum": 0, "description": "by calls in hand; nothing of a rate" }, "acts_on": whole("the loan that it acts on; 0: none"), "by": whole("the life of the administration that gave it"),
        } } },
        "Loans": { "type": "object", "required": ["span_ms", "loans"], "properties": {
            "span_ms": whole("they last so long, counted from the ask"),
            "loans": { "type": "array", "items": { "type": "object" }, "description": "uid, kind, limit, number, amount beyond the reserve" },
        } },
        "Document": { "type": "object" },
        "Problem": { "type": "object", "required": ["type", "title", "status", "detail"], "properties": {
            "type": text("/problems/ and a word for the kind"), "title": text("for people"), "status": whole("the HTTP status"),
            "detail": text("what happened and what would do"), "field": text("the field that is wrong"),
        } },
    })
}

fn operation(route: &Route) -> Value {
    let mut parameters: Vec<Value> = Vec::new();
    if route.path.contains("{name}") {
        parameters
            .push(json!({ "name": "name", "in": "path", "required": true, "schema": { "type": "string" } }));
    }
    for (name, what) in route.query {
        parameters.push(
            json!({ "name": name, "in": "query", "description": what, "schema": { "type": "string" } }),
        );
    }
    if route.conditional {
        let what = "the tenant's ETag, or *; 412 where it was changed meanwhile, 428 without";
        parameters.push(json!({ "name": "If-Match", "in": "header", "required": true, "description": what, "schema": { "type": "string" } }));
    }
    if route.id == "createTenant" {
        let what = "a request that comes again under the same key is not done again and has the same answer";
        parameters.push(json!({ "name": "Idempotency-Key", "in": "header", "description": what, "schema": { "type": "string", "maxLength": 128 } }));
    }
    let answer = json!({ "application/json": { "schema": of(route.answer) } });
    let problem = json!({ "description": "a problem", "content": { "application/problem+json": { "schema": of("Problem") } } });
    let mut responses = Map::new();
    responses.insert(route.status.to_string(), json!({ "description": route.summary, "content": answer }));
    responses.insert("default".to_owned(), problem);
    let mut all = json!({
        "operationId": route.id, "summary": route.summary, "description": format!("Role: {}", json!(route.role).as_str().unwrap_or("")),
        "parameters": parameters, "responses": responses,
    });
    if let (Some(body), Value::Object(all)) = (route.body, &mut all) {
        let kind = if route.method == "PATCH" { "application/merge-patch+json" } else { "application/json" };
        all.insert(
            "requestBody".to_owned(),
            json!({ "required": true, "content": { kind: { "schema": of(body) } } }),
        );
    }
    all
}

/// The document.
pub fn document() -> Value {
    let mut paths: Map<String, Value> = Map::new();
    for route in ROUTES {
        let path = paths.entry(route.path).or_insert_with(|| json!({}));
        if let Value::Object(path) = path {
            path.insert(route.method.to_ascii_lowercase(), operation(route));
        }
    }
    json!({
        "openapi": "3.1.0",
        "info": {
            "title": "nettleferry administration", "version": "1",
            "description": "Tenants, their limits, the audit trail and workers of a running controller. Errors are problem details (RFC 9457).",
        },
        "paths": paths,
        "components": {
            "schemas": schemas(),
            "securitySchemes": { "bearer": { "type": "http", "scheme": "bearer" } },
        },
        "security": [{ "bearer": [] }],
    })
}
