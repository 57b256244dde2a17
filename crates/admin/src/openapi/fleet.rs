//! Schemas of workers, controllers, the snapshot and the state of the fleet.

use serde_json::{Value, json};

use super::builders::{integer, list, object, reference, text};

/// The schemas of workers, of controllers, and of the snapshot that controllers replicate.
pub(super) fn member_schemas() -> Value {
    let worker = json!({
        "name": text("name of the worker"), "address": text("address that the controller connects to"), "zone": text("zone of the worker"),
        "listed": { "enum": ["on", "draining", "gone"] }, "drained": { "type": "boolean", "description": "whether an operator drained the worker by hand" },
    });
    let controller = json!({ "controller": integer("number of the controller"), "revision": integer("revision that is in force at the controller"), "seen_ms_ago": integer("milliseconds since the controller reported this") });
    json!({
        "Worker": object(&["name", "address", "zone", "listed", "drained"], worker),
        "WorkerPage": { "type": "object", "required": ["workers"], "properties": { "workers": list("Worker") } },
        "Controller": object(&["controller", "revision", "seen_ms_ago"], controller),
        "ControllerPage": { "type": "object", "required": ["controllers"], "properties": { "controllers": list("Controller"), "revision": integer("revision of the snapshot") } },
        "Snapshot": { "type": "object", "required": ["store", "epoch", "sum", "book"], "properties": {
            "store": text("name of the store, which a restore keeps"), "epoch": integer("epoch of the store, which a restore increases"), "sum": integer("CRC-32 of the snapshot"),
            "lease_ms": { "type": ["integer", "null"], "description": "for how long the requesting controller may act on the snapshot, in milliseconds; null: no lease was granted" },
            "place": { "type": ["integer", "null"], "description": "fencing token of the requesting incarnation; later incarnations have higher ones" },
            "clock": { "type": "object", "description": "by: incarnation of the administration, at_ms: reading of its clock, held_ms: for how long the request was held" },
            "book": { "type": "object", "required": ["revision", "tenants"], "properties": { "revision": integer("revision of the last change"), "tenants": { "type": "object", "additionalProperties": reference("Tenant") } } },
        } },
    })
}

/// The schemas of the state of the fleet, and of recovery, fencing and the progress of changes.
pub(super) fn state_schemas() -> Value {
    json!({
        "Fleet": { "type": "object", "required": ["controller", "step", "controllers"], "properties": {
            "controller": integer("number of the responding controller"), "step": text("serving, or waiting: the fleet has not agreed on a snapshot"),
            "cause": { "type": ["string", "null"], "description": "why the fleet waits: damaged, empty, behind or disagreed" },
            "holds": { "type": ["object", "null"], "description": "version of the responding controller's snapshot: store, epoch, revision, sum" },
            "controllers": { "type": "array", "items": { "type": "object" } },
        } },
        "Recovery": { "type": "object", "required": ["take", "done", "others"], "properties": {
            "take": text("the chosen snapshot: own, or a controller's number"), "done": { "type": "boolean", "description": "false: dry run, nothing was changed" },
            "others": { "type": "array", "items": { "type": "object" }, "description": "by controller, how its snapshot differs from the chosen one" },
        } },
        "Fence": object(&["controller", "lives"], json!({ "controller": integer("number of the controller"), "lives": integer("number of incarnations that were fenced or admitted again") })),
        "Progress": { "type": "object", "required": ["revision", "held", "wanted", "everywhere", "waits"], "properties": {
            "revision": integer("revision of the change"), "held": integer("number of other controllers that have persisted it"), "wanted": integer("how many must have persisted it: the configured number, or all reachable ones if these are fewer"),
            "everywhere": { "type": "boolean", "description": "whether no controller acts without the change any more" },
            "within_ms": { "type": ["integer", "null"], "description": "milliseconds until it is in force everywhere at the latest; null: no bound, as a controller accepts calls without a lease" },
            "waits": { "type": "array", "items": { "type": "object" }, "description": "incarnations that may still act without the change, and for how long at most" },
        } },
    })
}
