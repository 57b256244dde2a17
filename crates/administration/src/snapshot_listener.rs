//! A follower's listener, which serves its snapshot and the snapshot's version to other controllers. It answers from
//! memory and sends no requests itself, so that two recovering controllers never wait for each other.

use std::io;
use std::net::SocketAddr;
use std::sync::PoisonError;

use nettleferry_admin::Problem;
use nettleferry_config::settings::AdminKey;
use nettleferry_net::http1::{Reply, Request};
use serde_json::{Value, json};

use crate::endpoint::Endpoint;
use crate::http_reply::{json_reply, problem_reply};
use crate::keys::KeyRing;
use crate::snapshot_document::SharedSnapshot;

/// Maximum size of a request body in bytes. No request that is served has a body.
const MAX_BODY_BYTES: usize = 1 << 10;

/// Starts the listener. `controller` is the number of the local controller, which responses contain.
///
/// # Errors
/// The address cannot be bound, or the thread cannot be started.
pub(crate) fn start(
    listen: SocketAddr,
    keys: &[AdminKey],
    controller: u32,
    snapshot: SharedSnapshot,
) -> io::Result<Endpoint> {
    let mut keys = KeyRing::new(keys);
    let answer = move |request: &Request<'_>| answer(request, &mut keys, controller, &snapshot);
    Endpoint::start(listen, MAX_BODY_BYTES, "snapshots", answer)
}

fn answer(request: &Request<'_>, keys: &mut KeyRing, controller: u32, snapshot: &SharedSnapshot) -> Reply {
    if let Err(problem) = keys.authenticate(request.header("authorization")) {
        return problem_reply(&problem);
    }
    let path = request.target.split('?').next().unwrap_or("");
    let document = snapshot.lock().unwrap_or_else(PoisonError::into_inner).clone();
    match (request.method, path, document) {
        ("GET", "/v1/snapshot", Some(document)) => {
            let body = json!({
                "controller": controller, "store": document.store, "epoch": document.epoch,
                "sum": document.snapshot.checksum(), "book": document.snapshot,
            });
            json_reply(200, &body)
        }
        ("GET", "/v1/snapshot", None) => json_reply(503, &no_snapshot(controller)),
        ("GET", "/v1/fleet", document) => {
            let holds = document.map(|document| document.version());
            json_reply(200, &json!({ "controller": controller, "role": "follows", "holds": holds }))
        }
        _ => {
            let detail = "a controller that follows gives /v1/snapshot and /v1/fleet";
            problem_reply(&Problem::new(404, "no-such-path", detail))
        }
    }
}

fn no_snapshot(controller: u32) -> Value {
    json!({
        "type": "/problems/no-book", "status": 503, "controller": controller, "detail": "no book is in force here",
    })
}
