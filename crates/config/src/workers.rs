//! The text of the worker list, which is stored in a file. A list with any error is rejected as a whole.
//!
//! ```text
//! (worker w1 (address "127.0.0.1:9001") (zone room-a) (kind std-2c) (weight 1) (cell c1) (state on)
//!            (born 1764590000.250s))
//! ```
//!
//! Only the name and the address are required. `state` is `on`, `draining` or `gone`. `born` is the time at which the
//! worker's process last started, since 1970-01-01 UTC; without it, the worker counts as started long ago.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use nettleferry::{Micros, WorkerState};

use crate::form::{Errors, Form, TimeSpan};

/// The maximum number of workers in a list.
pub const MAX_WORKERS: usize = 100_000;

/// A worker in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Worker {
    /// The unique name, which stays the same when the worker's process restarts.
    pub name: String,
    /// The address on which the worker accepts connections.
    pub address: SocketAddr,
    /// The zone; `default` if not set.
    pub zone: String,
    /// The kind of machine; `default` if not set.
    pub kind: String,
    /// The weight; 1 if not set. The setting `weights` defines its meaning.
    pub weight: f64,
    /// The cell; the worker's name if not set.
    pub cell: String,
    /// Whether the worker is in service, draining or gone.
    pub state: WorkerState,
    /// The time of the process's last start, microseconds since 1970-01-01 UTC; `None` if not known.
    pub started_at: Option<Micros>,
}

/// Parses a worker list. `file` is the file's name in error messages.
///
/// # Errors
/// All errors in the list.
pub fn read(file: &str, text: &str) -> Result<Vec<Worker>, Errors> {
    let (source, mut top) = Form::parse(file, text);
    let mut names = BTreeSet::new();
    let mut workers = Vec::new();
    for mut form in top.lists("worker") {
        let worker = worker(&mut form);
        if let Some(worker) = worker {
            if !names.insert(worker.name.clone()) {
                form.error(format!("worker {} stands twice: names are unique", worker.name));
            }
            workers.push(worker);
        }
        form.finish();
    }
    if workers.len() > MAX_WORKERS {
        top.error(format!("{} workers: must be at most {MAX_WORKERS}", workers.len()));
    }
    top.finish();
    source.into_result(Some(workers))
}

/// Reads `(worker ...)`.
fn worker(form: &mut Form) -> Option<Worker> {
    let name: Option<String> = form.required_item("its name");
    let address: Option<SocketAddr> = form.required("address");
    let states = [("on", WorkerState::On), ("draining", WorkerState::Draining), ("gone", WorkerState::Gone)];
    let cell: Option<String> = form.optional("cell");
    let defaults = Worker {
        name: String::new(),
        address: SocketAddr::from(([0, 0, 0, 0], 0)),
        zone: form.value_or("zone", "default".to_owned()),
        kind: form.value_or("kind", "default".to_owned()),
        weight: form.value_or("weight", 1.0),
        cell: String::new(),
        state: form.keyword_or("state", &states, WorkerState::On),
        started_at: form.optional::<TimeSpan>("born").map(|span| span.0),
    };
    let (name, address) = (name?, address?);
    Some(Worker { cell: cell.unwrap_or_else(|| name.clone()), name, address, ..defaults })
}

/// Formats a list as text that [`read`] parses to the same list.
pub fn write(workers: &[Worker]) -> String {
    use std::fmt::Write;
    let mut out = String::new();
    for worker in workers {
        let state = match worker.state {
            WorkerState::On => "on",
            WorkerState::Draining => "draining",
            WorkerState::Gone => "gone",
        };
        let born = worker.started_at.map_or(String::new(), |micros| format!(" (born {micros}us)"));
        let _ = writeln!(
            out,
            "(worker {} (address \"{}\") (zone {}) (kind {}) (weight {}) (cell {}) (state {state}){born})",
            quoted(&worker.name),
            worker.address,
            quoted(&worker.zone),
            quoted(&worker.kind),
            worker.weight,
            quoted(&worker.cell),
        );
    }
    out
}

/// Quotes and escapes a string as [`crate::syntax`] parses it.
fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => out.extend(['\\', c]),
            '\n' => out.push_str("\\n"),
            '\t' => out.push_str("\\t"),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

#[cfg(test)]
mod tests;
