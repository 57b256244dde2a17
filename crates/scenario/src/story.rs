//! The evidence as lines for people: all of it for a file, or one call's story.

use std::collections::BTreeMap;
use std::fmt::Write;

use nettleferry::Micros;
use nettleferry_test_servers::Seen;

use crate::evidence::{ClientSaw, Evidence};

/// One record: when, by whom, what, and of which call.
struct Line {
    at: Micros,
    who: String,
    what: String,
    call: Option<String>,
}

fn lines(evidence: &Evidence) -> Vec<Line> {
    let mut lines = Vec::new();
    let mut add = |at, who: String, what: String, call: Option<&str>| {
        lines.push(Line { at, who, what, call: call.map(str::to_owned) });
    };
    for record in &evidence.clients {
        let what = match &record.what {
            ClientSaw::Sent { controller, model, deadline, effect, class, .. } => format!(
                "sent to controller {controller}: {model}, class {class}, {effect:?}, gives up at {:.3}",
                *deadline as f64 / 1e6
            ),
            ClientSaw::Part => "a part of the answer".to_owned(),
            ClientSaw::Final(end) => format!("final answer: {end:?}"),
            ClientSaw::Cancelled => "cancelled by the client".to_owned(),
            ClientSaw::Lost => "the client's connection broke".to_owned(),
        };
        add(record.at, "client".to_owned(), what, Some(&record.id));
    }
    let mut streams: BTreeMap<(&str, u64), &str> = BTreeMap::new();
    for record in &evidence.workers {
        let worker = record.worker.as_str();
        let of = |stream: &u64| streams.get(&(worker, *stream)).copied();
        let (what, call) = match &record.seen {
            Seen::Call { stream, id, model, controller, attempt, .. } => {
                streams.insert((worker, *stream), id);
                let number = attempt.map_or("without a number".to_owned(), |n| n.to_string());
                (format!("attempt {number} comes from controller {controller}: {model}"), Some(id.as_str()))
            }
            Seen::Runs { stream } => ("the attempt runs".to_owned(), of(stream)),
            Seen::Gone { stream } => {
                ("the attempt is withdrawn or its connection gone".to_owned(), of(stream))
            }
            Seen::Answered { stream, served, never_ran } => {
                let how = match (served, never_ran) {
                    (true, _) => "served",
                    (_, true) => "never ran",
                    _ => "failed",
                };
                (format!("the attempt is answered: {how}"), of(stream))
            }
            Seen::Link { door, conn, cut } => {
                let zone = evidence
                    .cuts
                    .iter()
                    .find(|(w, _, span)| w == worker && (span.from == record.at || span.to == record.at));
                let from = zone.map_or(format!("door {door}"), |(_, zone, _)| format!("zone {zone}"));
                let part = if conn.is_some() { "one connection" } else { "the link" };
                (format!("{part} from {from} is {}", if *cut { "cut" } else { "mended" }), None)
            }
            other => (format!("{other:?}"), None),
        };
        add(record.at, worker.to_owned(), what, call);
    }
    for told in &evidence.told {
        add(told.at, "list".to_owned(), format!("{} is {:?}", told.worker, told.state), None);
    }
    for life in &evidence.lives {
        let who = || format!("controller {}", life.controller);
        add(life.from, who(), format!("listens, zone {}", life.zone), None);
        if let Some(at) = life.ending {
            add(at, who(), "is told to end".to_owned(), None);
        }
        if let Some(at) = life.to {
            add(at, who(), "is gone".to_owned(), None);
        }
    }
    for (controller, span) in &evidence.stalls {
        let who = || format!("controller {controller}");
        add(span.from, who(), "stands still".to_owned(), None);
        add(span.to, who(), "goes on".to_owned(), None);
    }
    lines.sort_by_key(|line| line.at);
    lines
}

fn write(out: &mut String, line: &Line) {
    let call = line.call.as_ref().map_or(String::new(), |id| format!("call {id}: "));
    let _ = writeln!(out, "{:10.6} s  {:12}  {call}{}", line.at as f64 / 1e6, line.who, line.what);
}

/// All evidence, a line each, in order of time.
pub fn whole(evidence: &Evidence) -> String {
    let mut out = String::new();
    for line in lines(evidence) {
        write(&mut out, &line);
    }
    out
}

/// A call's records, and between its first and last what befell the workers and the controller it met.
pub fn of_call(evidence: &Evidence, id: &str) -> String {
    let lines = lines(evidence);
    let ours = || lines.iter().filter(|l| l.call.as_deref() == Some(id));
    let mut met: Vec<String> = ours().map(|l| l.who.clone()).collect();
    for record in evidence.clients.iter().filter(|r| r.id == id) {
        if let ClientSaw::Sent { controller, .. } = &record.what {
            met.push(format!("controller {controller}"));
        }
    }
    let (from, to) = (ours().map(|l| l.at).min().unwrap_or(0), ours().map(|l| l.at).max().unwrap_or(0));
    // A cut that began before the call is part of its story.
    let around = from.saturating_sub(BEFORE)..=to;
    let mut out = String::new();
    for line in &lines {
        let fate = line.call.is_none()
            && around.contains(&line.at)
            && met.contains(&line.who)
            && !line.what.starts_with("Probe")
            && !line.what.starts_with("Order");
        if line.call.as_deref() == Some(id) || fate {
            out.push_str("    ");
            write(&mut out, line);
        }
    }
    out
}

/// How long before a call its story looks for what befell those it met.
const BEFORE: Micros = 5_000_000;
