//! The evidence as lines for people: all of it for a file, or what concerns one call.

use std::collections::BTreeMap;
use std::fmt::Write;

use nettleferry::{Effect, KeyScope, Micros, WorkerState};
use nettleferry_test_servers::ObservationKind;

use crate::evidence::{ClientObservation, Evidence};

/// How long before a call the lines about it look for what happened to the workers and the controller that it met.
const BEFORE: Micros = 5_000_000;

/// One event: when, seen by whom, and of which call.
struct Line {
    at: Micros,
    observer: String,
    what: String,
    call: Option<String>,
}

fn lines(evidence: &Evidence) -> Vec<Line> {
    let mut lines = client_lines(evidence);
    lines.extend(worker_lines(evidence));
    lines.extend(evidence.list_changes.iter().map(|change| Line {
        at: change.at,
        observer: "list".to_owned(),
        what: format!("{} is {}", change.worker, state_text(change.state)),
        call: None,
    }));
    lines.extend(controller_lines(evidence));
    lines.sort_by_key(|line| line.at);
    lines
}

fn client_lines(evidence: &Evidence) -> Vec<Line> {
    let records = evidence.clients.iter();
    let lines = records.map(|record| {
        let what = match &record.what {
            ClientObservation::Sent { controller, model, deadline, effect, class, .. } => format!(
                "sent to controller {controller}: {model}, class {class}, {}, gives up at {:.3}",
                effect_text(*effect),
                *deadline as f64 / 1e6
            ),
            ClientObservation::Part => "a part of the answer".to_owned(),
            ClientObservation::Final(end) => format!("final answer: {end:?}"),
            ClientObservation::Cancelled => "cancelled by the client".to_owned(),
            ClientObservation::Lost => "the client's connection broke".to_owned(),
        };
        Line { at: record.at, observer: "client".to_owned(), what, call: Some(record.id.clone()) }
    });
    lines.collect()
}

fn worker_lines(evidence: &Evidence) -> Vec<Line> {
    let mut lines = Vec::new();
    let mut streams: BTreeMap<(&str, u64), &str> = BTreeMap::new();
    for record in &evidence.workers {
        let worker = record.worker.as_str();
        let call_of = |stream: &u64| streams.get(&(worker, *stream)).copied();
        let (what, call) = match &record.seen {
            ObservationKind::Call { stream, id, model, controller, attempt, .. } => {
                streams.insert((worker, *stream), id);
                let number = attempt.map_or("without a number".to_owned(), |number| number.to_string());
                (format!("attempt {number} comes from controller {controller}: {model}"), Some(id.as_str()))
            }
            ObservationKind::Runs { stream } => ("the attempt runs".to_owned(), call_of(stream)),
            ObservationKind::Gone { stream } => {
                ("the attempt is withdrawn or its connection gone".to_owned(), call_of(stream))
            }
            ObservationKind::Answered { stream, served, never_ran } => {
                let outcome = match (served, never_ran) {
                    (true, _) => "served",
                    (_, true) => "never ran",
                    _ => "failed",
                };
                (format!("the attempt is answered: {outcome}"), call_of(stream))
            }
            ObservationKind::Link { door, conn, cut } => {
                let from = link_origin(evidence, worker, *door, record.at);
                let part = if conn.is_some() { "one connection" } else { "the link" };
                (format!("{part} from {from} is {}", if *cut { "cut" } else { "mended" }), None)
            }
            other => (format!("{other:?}"), None),
        };
        let call = call.map(str::to_owned);
        lines.push(Line { at: record.at, observer: worker.to_owned(), what, call });
    }
    lines
}

/// What a retry of a call may do. The spelling is that of earlier evidence files.
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

/// The zone from which a link comes that was cut or mended at a time.
fn link_origin(evidence: &Evidence, worker: &str, door: usize, at: Micros) -> String {
    let mut cuts = evidence.cuts.iter();
    let cut = cuts.find(|cut| cut.worker == worker && (cut.interval.from == at || cut.interval.to == at));
    cut.map_or(format!("door {door}"), |cut| format!("zone {}", cut.zone))
}

fn controller_lines(evidence: &Evidence) -> Vec<Line> {
    let mut lines = Vec::new();
    let mut add = |at, controller: usize, what: String| {
        lines.push(Line { at, observer: format!("controller {controller}"), what, call: None });
    };
    for run in &evidence.controller_runs {
        add(run.from, run.controller, format!("listens, zone {}", run.zone));
        if let Some(at) = run.ending {
            add(at, run.controller, "is told to end".to_owned());
        }
        if let Some(at) = run.to {
            add(at, run.controller, "is gone".to_owned());
        }
    }
    for stall in &evidence.stalls {
        add(stall.interval.from, stall.controller, "stands still".to_owned());
        add(stall.interval.to, stall.controller, "goes on".to_owned());
    }
    lines
}

fn write(out: &mut String, line: &Line) {
    let call = line.call.as_ref().map_or(String::new(), |id| format!("call {id}: "));
    let _ = writeln!(out, "{:10.6} s  {:12}  {call}{}", line.at as f64 / 1e6, line.observer, line.what);
}

/// All evidence, a line for each event, in order of time.
pub fn all(evidence: &Evidence) -> String {
    let mut out = String::new();
    for line in lines(evidence) {
        write(&mut out, &line);
    }
    out
}

/// All lines of a call, and what happened meanwhile to the workers and the controller that it met.
pub fn of_call(evidence: &Evidence, id: &str) -> String {
    let lines = lines(evidence);
    let of_this_call = |line: &Line| line.call.as_deref() == Some(id);
    let own = || lines.iter().filter(|line| of_this_call(line));
    let mut met: Vec<String> = own().map(|line| line.observer.clone()).collect();
    for record in evidence.clients.iter().filter(|record| record.id == id) {
        if let ClientObservation::Sent { controller, .. } = &record.what {
            met.push(format!("controller {controller}"));
        }
    }
    let from = own().map(|line| line.at).min().unwrap_or(0);
    let to = own().map(|line| line.at).max().unwrap_or(0);
    // A cut that began before the call may explain what it met.
    let interval = from.saturating_sub(BEFORE)..=to;
    let mut out = String::new();
    for line in &lines {
        let concerns = line.call.is_none()
            && interval.contains(&line.at)
            && met.contains(&line.observer)
            && !line.what.starts_with("Probe")
            && !line.what.starts_with("Order");
        if of_this_call(line) || concerns {
            out.push_str("    ");
            write(&mut out, line);
        }
    }
    out
}
