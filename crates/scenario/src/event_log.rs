//! Formats the evidence as text with one line per event: either all events or those that concern one call.

use std::collections::BTreeMap;
use std::fmt::Write;

use nettleferry::{Effect, KeyScope, Micros, WorkerState};
use nettleferry_test_servers::ObservationKind;

use crate::evidence::{ClientObservation, Evidence};

/// Time before the first event of a call from which the events of its workers and its controller are included.
const CONTEXT_BEFORE: Micros = 5_000_000;

/// One event with its time, its observer, and the id of the call to which it belongs, if any.
struct Line {
    at: Micros,
    observer: String,
    text: String,
    call: Option<String>,
}

fn lines(evidence: &Evidence) -> Vec<Line> {
    let mut lines = client_lines(evidence);
    lines.extend(worker_lines(evidence));
    lines.extend(evidence.list_changes.iter().map(|change| Line {
        at: change.at,
        observer: "list".to_owned(),
        text: format!("{} is {}", change.worker, state_text(change.state)),
        call: None,
    }));
    lines.extend(controller_lines(evidence));
    lines.sort_by_key(|line| line.at);
    lines
}

fn client_lines(evidence: &Evidence) -> Vec<Line> {
    let records = evidence.clients.iter();
    let lines = records.map(|record| {
        let text = match &record.observation {
            ClientObservation::Sent { controller, model, deadline, effect, class, has_id, .. } => format!(
                "sent to controller {controller}: {model}, class {class}, {}{}, deadline at {:.3}",
                effect_text(*effect),
                if *has_id { "" } else { ", without an id" },
                *deadline as f64 / 1e6
            ),
            ClientObservation::Part => "a part of the answer".to_owned(),
            ClientObservation::Final(end) => format!("final answer: {end:?}"),
            ClientObservation::Cancelled => "cancelled by the client".to_owned(),
            ClientObservation::Lost => "the client's connection broke".to_owned(),
        };
        Line { at: record.at, observer: "client".to_owned(), text, call: Some(record.id.clone()) }
    });
    lines.collect()
}

fn worker_lines(evidence: &Evidence) -> Vec<Line> {
    let mut lines = Vec::new();
    let mut streams: BTreeMap<(&str, u64), &str> = BTreeMap::new();
    for record in &evidence.workers {
        let worker = record.worker.as_str();
        let call_of = |stream: &u64| streams.get(&(worker, *stream)).copied();
        let (text, call) = match &record.kind {
            ObservationKind::Call { stream, id, model, controller, attempt, .. } => {
                streams.insert((worker, *stream), id);
                let number = attempt.map_or("without a number".to_owned(), |number| number.to_string());
                (format!("attempt {number} comes from controller {controller}: {model}"), Some(id.as_str()))
            }
            ObservationKind::Runs { stream } => ("the attempt runs".to_owned(), call_of(stream)),
            ObservationKind::Gone { stream } => {
                ("the attempt is cancelled, or its connection is closed".to_owned(), call_of(stream))
            }
            ObservationKind::Answered { stream, served, never_ran } => {
                let outcome = match (served, never_ran) {
                    (true, _) => "served",
                    (_, true) => "never ran",
                    _ => "failed",
                };
                (format!("the attempt is answered: {outcome}"), call_of(stream))
            }
            ObservationKind::Link { address_index, conn, cut } => {
                let from = link_origin(evidence, worker, *address_index, record.at);
                let part = if conn.is_some() { "one connection" } else { "the link" };
                (format!("{part} from {from} is {}", if *cut { "cut" } else { "mended" }), None)
            }
            other => (format!("{other:?}"), None),
        };
        let call = call.map(str::to_owned);
        lines.push(Line { at: record.at, observer: worker.to_owned(), text, call });
    }
    lines
}

/// The effect of a call, in the format of existing evidence files.
fn effect_text(effect: Effect) -> String {
    match effect {
        Effect::Idempotent => "Safe".to_owned(),
        Effect::NonIdempotent => "Unsafe".to_owned(),
        Effect::IdempotencyKey { scope, window } => {
            let group = match scope {
                KeyScope::All => "All",
                KeyScope::Zone => "Zone",
                KeyScope::Cell => "Cell",
            };
            format!("Keyed {{ group: {group}, window: {window} }}")
        }
    }
}

fn state_text(state: WorkerState) -> &'static str {
    match state {
        WorkerState::On => "On",
        WorkerState::Draining => "Draining",
        WorkerState::Gone => "Gone",
    }
}

/// The zone of the controllers whose link to a worker was cut or restored at time `at`, or the index of the worker's
/// address if no such cut is known.
fn link_origin(evidence: &Evidence, worker: &str, address_index: usize, at: Micros) -> String {
    let mut cuts = evidence.cuts.iter();
    let cut = cuts.find(|cut| cut.worker == worker && (cut.interval.from == at || cut.interval.to == at));
    cut.map_or(format!("address {address_index}"), |cut| format!("zone {}", cut.zone))
}

fn controller_lines(evidence: &Evidence) -> Vec<Line> {
    let mut lines = Vec::new();
    let mut add_line = |at, controller: usize, text: String| {
        lines.push(Line { at, observer: format!("controller {controller}"), text, call: None });
    };
    for run in &evidence.controller_runs {
        add_line(run.from, run.controller, format!("listens, zone {}", run.zone));
        if let Some(at) = run.ending {
            add_line(at, run.controller, "gets SIGTERM".to_owned());
        }
        if let Some(at) = run.to {
            add_line(at, run.controller, "has ended".to_owned());
        }
    }
    for stall in &evidence.stalls {
        add_line(stall.interval.from, stall.controller, "is stopped by SIGSTOP".to_owned());
        add_line(stall.interval.to, stall.controller, "is continued by SIGCONT".to_owned());
    }
    lines
}

fn write_line(out: &mut String, line: &Line) {
    let call = line.call.as_ref().map_or(String::new(), |id| format!("call {id}: "));
    let _ = writeln!(out, "{:10.6} s  {:12}  {call}{}", line.at as f64 / 1e6, line.observer, line.text);
}

/// Returns all events of a run as lines in order of time.
pub fn all(evidence: &Evidence) -> String {
    let mut out = String::new();
    for line in lines(evidence) {
        write_line(&mut out, &line);
    }
    out
}

/// Returns the events of the call `id`, and the events of the workers and the controller involved from
/// [`CONTEXT_BEFORE`] the first of these to the last.
pub fn of_call(evidence: &Evidence, id: &str) -> String {
    let lines = lines(evidence);
    let is_of_call = |line: &Line| line.call.as_deref() == Some(id);
    let call_lines = || lines.iter().filter(|line| is_of_call(line));
    let mut involved: Vec<String> = call_lines().map(|line| line.observer.clone()).collect();
    for record in evidence.clients.iter().filter(|record| record.id == id) {
        if let ClientObservation::Sent { controller, .. } = &record.observation {
            involved.push(format!("controller {controller}"));
        }
    }
    let first = call_lines().map(|line| line.at).min().unwrap_or(0);
    let last = call_lines().map(|line| line.at).max().unwrap_or(0);
    // A fault that began before the call may explain what happened to it.
    let interval = first.saturating_sub(CONTEXT_BEFORE)..=last;
    let mut out = String::new();
    for line in &lines {
        let is_context = line.call.is_none()
            && interval.contains(&line.at)
            && involved.contains(&line.observer)
            && !line.text.starts_with("Probe")
            && !line.text.starts_with("Order");
        if is_of_call(line) || is_context {
            out.push_str("    ");
            write_line(&mut out, line);
        }
    }
    out
}
