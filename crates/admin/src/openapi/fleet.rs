//! Schemas of workers and controllers, of the snapshot, and of the state of the fleet.

use serde_json::{Value, json};

use super::builders::{integer, list, object, reference, text};

/// The schemas of workers, controllers and the snapshot that they get.
pub(super) fn member_schemas() -> Value {
    let worker = json!({
        "name": text("its name"), "address": text("where it is reached"), "zone": text("its zone"),
        "listed": { "enum": ["on", "draining", "gone"] }, "drained": { "type": "boolean", "description": "by hand" },
    });
    let controller = json!({ "controller": integer("its number"), "revision": integer("in force there"), "seen_ms_ago": integer("how long ago it said so") });
    json!({
        "Worker": object(&["name", "address", "zone", "listed", "drained"], worker),
        "WorkerPage": { "type": "object", "required": ["workers"], "properties": { "workers": list("Worker") } },
        "Controller": object(&["controller", "revision", "seen_ms_ago"], controller),
        "ControllerPage": { "type": "object", "required": ["controllers"], "properties": { "controllers": list("Controller"), "revision": integer("the book's") } },
        "Snapshot": { "type": "object", "required": ["store", "epoch", "sum", "book"], "properties": {
            "store": text("the store's own name, kept by its restores"), "epoch": integer("raised by each restore"), "sum": integer("the book's CRC-32"),
            "lease_ms": { "type": ["integer", "null"], "description": "a controller that asked may act on it for so long" },
            "place": { "type": ["integer", "null"], "description": "of this life among those of the fleet: a later one has a higher one" },
            "clock": { "type": "object", "description": "by: whose life, at_ms: what its clock reads, held_ms: the request was held for so long" },
            "book": { "type": "object", "required": ["revision", "tenants"], "properties": { "revision": integer("the last"), "tenants": { "type": "object", "additionalProperties": reference("Tenant") } } },
        } },
    })
}

/// The schemas of the state of the fleet and of acts on it.
pub(super) fn state_schemas() -> Value {
    json!({
        "Fleet": { "type": "object", "required": ["controller", "step", "controllers"], "properties": {
            "controller": integer("who answers"), "step": text("serving, or waiting: it is open which book stands"),
            "cause": { "type": ["string", "null"], "description": "damaged, empty, behind or disagreed" },
            "holds": { "type": ["object", "null"], "description": "the stamp of its book: store, epoch, revision, sum" },
            "controllers": { "type": "array", "items": { "type": "object" } },
        } },
        "Recovery": { "type": "object", "required": ["take", "done", "others"], "properties": {
            "take": text("own, or a controller's number"), "done": { "type": "boolean", "description": "false: it was shown, and nothing was done" },
            "others": { "type": "array", "items": { "type": "object" }, "description": "by controller, what its book holds otherwise" },
        } },
        "Fence": object(&["controller", "lives"], json!({ "controller": integer("its number"), "lives": integer("of it that are shut out, or let in again") })),
        "Progress": { "type": "object", "required": ["revision", "held", "wanted", "everywhere", "waits"], "properties": {
            "revision": integer("the change"), "held": integer("disks of others that hold it"), "wanted": integer("how many are wanted, of those that are there"),
            "everywhere": { "type": "boolean", "description": "nobody acts without it" },
            "within_ms": { "type": ["integer", "null"], "description": "it is in force everywhere within this span; null: there is no bound, as one goes on without a lease" },
            "waits": { "type": "array", "items": { "type": "object" }, "description": "who may still act without it, and for how long at the most" },
        } },
    })
}
