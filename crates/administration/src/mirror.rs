//! A follower's own listener: gives the book that it has in force to others who lack one, and says which that is.
//! It answers at once from memory and asks nobody, so that two who recover never wait for each other.

use std::io;
use std::net::SocketAddr;
use std::sync::PoisonError;

use nettleferry_admin::Problem;
use nettleferry_config::settings::AdminKey;
use nettleferry_net::http1::{Reply, Request};
use serde_json::{Value, json};

use crate::endpoint::Endpoint;
use crate::keys::Keys;
use crate::peers::Mirror;
use crate::reply;

/// Bytes of a request's body: none is read.
const MOST_BODY: usize = 1 << 10;

/// Listens.
pub fn start(listen: SocketAddr, keys: &[AdminKey], number: u32, mirror: Mirror) -> io::Result<Endpoint> {
    let mut keys = Keys::new(keys);
    Endpoint::start(listen, MOST_BODY, "window", move |request| answer(request, &mut keys, number, &mirror))
}

fn answer(request: &Request<'_>, keys: &mut Keys, number: u32, mirror: &Mirror) -> Reply {
    if let Err(problem) = keys.prove(request.header("authorization")) {
        return reply(problem.response());
    }
    let path = request.target.split('?').next().unwrap_or("");
    let held = mirror.lock().unwrap_or_else(PoisonError::into_inner).clone();
    match (request.method, path, held) {
        ("GET", "/v1/snapshot", Some(whole)) => {
            let sum = whole.book.checksum();
            let body = json!({ "controller": number, "store": whole.store, "epoch": whole.epoch, "sum": sum, "book": whole.book });
            json_reply(200, &body)
        }
        ("GET", "/v1/snapshot", None) => json_reply(
            503,
            &json!({ "type": "/problems/no-book", "status": 503, "controller": number, "detail": "no book is in force here" }),
        ),
        ("GET", "/v1/fleet", held) => {
            let holds = held.map(|whole| json!(whole.stamp()));
            json_reply(200, &json!({ "controller": number, "role": "follows", "holds": holds }))
        }
        _ => {
            let detail = "a controller that follows gives /v1/snapshot and /v1/fleet";
            reply(Problem::new(404, "no-such-path", detail).response())
        }
    }
}

fn json_reply(status: u16, body: &Value) -> Reply {
    Reply {
        status,
        kind: "application/json",
        headers: Vec::new(),
        body: body.to_string().into_bytes(),
        cut: None,
    }
}
