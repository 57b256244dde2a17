//! The worker list: a file, taken whole or not at all.
//!
//! ```text
//! (worker w1 (address "127.0.0.1:9001") (zone room-a) (kind std-2c) (weight 1) (cell c1) (state on)
//!            (born 1764590000.250s))
//! ```
//!
//! Only the address must stand. `state` is `on`, `draining` or `gone`; `born` is when its process last
//! started, as time since 1970-01-01 UTC: absent means long ago.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use nettleferry::{Micros, WorkerState};

use crate::form::{Errors, Form, Source, TimeSpan};

/// Most workers of a list.
pub const MOST_WORKERS: usize = 100_000;

/// A worker of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Worker {
    /// Its name: it keeps it when its process restarts.
    pub name: String,
    /// Where it serves.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its machine kind.
    pub kind: String,
    /// Its weight.
    pub weight: f64,
    /// Its cell; its own name where none is told.
    pub cell: String,
    /// Its state.
    pub state: WorkerState,
    /// When it last started, microseconds since 1970.
    pub born: Option<Micros>,
}

/// Reads a worker list.
pub fn read(file: &str, text: &str) -> Result<Vec<Worker>, Errors> {
    let (source, mut top) = Source::open(file, text);
    let mut names = BTreeSet::new();
    let mut workers = Vec::new();
    for mut form in top.all("worker") {
        let worker = worker(&mut form);
        if let Some(worker) = worker {
            if !names.insert(worker.name.clone()) {
                form.fault(format!("worker {} stands twice: names are unique", worker.name));
            }
            workers.push(worker);
        }
        form.end();
    }
    if workers.len() > MOST_WORKERS {
        top.fault(format!("{} workers; at most {MOST_WORKERS} are taken", workers.len()));
    }
    top.end();
    source.finish(Some(workers))
}

fn worker(form: &mut Form) -> Option<Worker> {
    let name: Option<String> = form.want("its name");
    let address: Option<SocketAddr> = form.must("address");
    let states = [("on", WorkerState::On), ("draining", WorkerState::Draining), ("gone", WorkerState::Gone)];
    let cell: Option<String> = form.get("cell");
    let rest = Worker {
        name: String::new(),
        address: SocketAddr::from(([0, 0, 0, 0], 0)),
        zone: form.or("zone", "default".to_owned()),
        kind: form.or("kind", "default".to_owned()),
        weight: form.or("weight", 1.0),
        cell: String::new(),
        state: form.word_or("state", &states, WorkerState::On),
        born: form.get::<TimeSpan>("born").map(|span| span.0),
    };
    let (name, address) = (name?, address?);
    Some(Worker { cell: cell.unwrap_or_else(|| name.clone()), name, address, ..rest })
}

/// Writes a list that [`read`] gives back.
pub fn write(workers: &[Worker]) -> String {
    use std::fmt::Write;
    let mut out = String::new();
    for w in workers {
        let state = match w.state {
            WorkerState::On => "on",
            WorkerState::Draining => "draining",
            WorkerState::Gone => "gone",
        };
        let born = w.born.map_or(String::new(), |us| format!(" (born {us}us)"));
        let _ = writeln!(
            out,
            "(worker {} (address \"{}\") (zone {}) (kind {}) (weight {}) (cell {}) (state {state}){born})",
            quoted(&w.name),
            w.address,
            quoted(&w.zone),
            quoted(&w.kind),
            w.weight,
            quoted(&w.cell),
        );
    }
    out
}

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
