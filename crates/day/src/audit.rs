//! The five rules, judged from the evidence alone. Each finding names the call or the worker, the time, and
//! what was seen.
//!
//! Clocks: clients, stand-ins and the day share one process and one clock. Two observers of one moment can
//! differ by how long a thread waits for a core; [`Slack`] is that, and no more. It is never given to what
//! needs no clock: runs are counted, answers are counted.

use std::collections::BTreeMap;
use std::fmt;

use nettleferry::{Effect, Group, Micros, WorkerState};
use nettleferry_standin::Seen;

use crate::evidence::{ClientSaw, Evidence, Final, Life};

/// How far two observers of one moment may differ.
#[derive(Clone, Copy, Debug)]
pub struct Slack(pub Micros);

impl Default for Slack {
    fn default() -> Self {
        Self(400_000)
    }
}

/// A rule that broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Which, 1 to 5.
    pub rule: u8,
    /// When.
    pub at: Micros,
    /// What was seen.
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rule {} broken at {:.3} s: {}", self.rule, self.at as f64 / 1e6, self.what)
    }
}

/// An attempt as a worker saw it.
#[derive(Clone, Debug)]
struct Attempt {
    worker: String,
    controller: usize,
    came: Micros,
    ran: bool,
    /// It ended then, with or without proof that it never ran.
    over: Option<(Micros, bool)>,
}

/// A call as its client saw it.
struct Call<'a> {
    controller: usize,
    sent: Micros,
    deadline: Micros,
    effect: &'a Effect,
    slow: bool,
    finals: Vec<(Micros, Final)>,
    cancelled: Option<Micros>,
    lost: Option<Micros>,
    last_part: Option<Micros>,
}

/// Judges the evidence.
pub fn audit(evidence: &Evidence, slack: Slack) -> Vec<Breach> {
    let calls = calls(evidence);
    let attempts = attempts(evidence);
    let mut found = Vec::new();
    for (id, call) in &calls {
        let none = Vec::new();
        let tries = attempts.get(*id).unwrap_or(&none);
        answers(evidence, id, call, tries, slack, &mut found);
        effects(evidence, id, call, tries, slack, &mut found);
    }
    drains(evidence, &attempts, slack, &mut found);
    cold(evidence, &mut found);
    ration(evidence, slack, &mut found);
    found.sort_by_key(|b| (b.rule, b.at));
    found
}

fn calls(evidence: &Evidence) -> BTreeMap<&str, Call<'_>> {
    let mut calls: BTreeMap<&str, Call<'_>> = BTreeMap::new();
    for record in &evidence.clients {
        if let ClientSaw::Sent { controller, deadline, effect, slow, .. } = &record.what {
            calls.insert(
                &record.id,
                Call {
                    controller: *controller,
                    sent: record.at,
                    deadline: *deadline,
                    effect,
                    slow: *slow,
                    finals: Vec::new(),
                    cancelled: None,
                    lost: None,
                    last_part: None,
                },
            );
        }
        let Some(call) = calls.get_mut(record.id.as_str()) else { continue };
        match &record.what {
            ClientSaw::Sent { .. } => {}
            ClientSaw::Part => call.last_part = Some(record.at),
            ClientSaw::Final(end) => call.finals.push((record.at, *end)),
            ClientSaw::Cancelled => call.cancelled = Some(record.at),
            ClientSaw::Lost => call.lost = Some(record.at),
        }
    }
    calls
}

/// Attempts by call, in order of arrival. A worker's death ends what it had.
fn attempts(evidence: &Evidence) -> BTreeMap<String, Vec<Attempt>> {
    let mut records: Vec<_> = evidence.workers.iter().collect();
    records.sort_by_key(|r| r.at);
    let mut all: Vec<(String, Attempt)> = Vec::new();
    let mut open: BTreeMap<(&str, u64), usize> = BTreeMap::new();
    for record in records {
        let worker = record.worker.as_str();
        match &record.seen {
            Seen::Call { stream, id, controller, .. } => {
                open.insert((worker, *stream), all.len());
                let controller = controller.parse().unwrap_or(usize::MAX);
                let attempt = Attempt {
                    worker: worker.to_owned(),
                    controller,
                    came: record.at,
                    ran: false,
                    over: None,
                };
                all.push((id.clone(), attempt));
            }
            Seen::Runs { stream } => {
                if let Some(at) = open.get(&(worker, *stream)) {
                    all[*at].1.ran = true;
                }
            }
            Seen::Gone { stream } => {
                if let Some(at) = open.remove(&(worker, *stream)) {
                    all[at].1.over = Some((record.at, false));
                }
            }
            Seen::Answered { stream, never_ran, .. } => {
                if let Some(at) = open.remove(&(worker, *stream)) {
                    all[at].1.over = Some((record.at, *never_ran));
                }
            }
            Seen::Down | Seen::Fell => {
                let gone: Vec<_> = open.keys().filter(|(w, _)| *w == worker).copied().collect();
                for key in gone {
                    if let Some(at) = open.remove(&key) {
                        all[at].1.over = Some((record.at, false));
                    }
                }
            }
            Seen::Up { .. } | Seen::Order { .. } | Seen::Probe => {}
        }
    }
    let mut by_call: BTreeMap<String, Vec<Attempt>> = BTreeMap::new();
    for (id, attempt) in all {
        by_call.entry(id).or_default().push(attempt);
    }
    by_call
}

fn life(evidence: &Evidence, controller: usize, at: Micros) -> Option<&Life> {
    evidence
        .lives
        .iter()
        .find(|l| l.controller == controller && l.from <= at && l.to.is_none_or(|to| at < to))
}

fn stalled(evidence: &Evidence, controller: usize, from: Micros, to: Micros) -> bool {
    evidence.stalls.iter().any(|(c, span)| *c == controller && span.meets(from, to))
}

/// Was the link between an attempt's controller and its worker cut in a span? What was sent before arrives
/// after it.
fn cut(evidence: &Evidence, attempt: &Attempt, from: Micros, to: Micros) -> bool {
    let zone = life(evidence, attempt.controller, from).map(|l| l.zone.as_str());
    let ours = |worker: &str, door: &str| *worker == attempt.worker && Some(door) == zone;
    evidence.cuts.iter().any(|(worker, door, span)| ours(worker, door) && span.meets(from, to))
}

/// Rule 1: exactly one final answer before the deadline, nothing after it.
fn answers(
    evidence: &Evidence,
    id: &str,
    call: &Call<'_>,
    tries: &[Attempt],
    slack: Slack,
    found: &mut Vec<Breach>,
) {
    let mut breach =
        |at, what: String| found.push(Breach { rule: 1, at, what: format!("call {id}: {what}") });
    if call.finals.len() > 1 {
        breach(call.finals[1].0, format!("{} final answers", call.finals.len()));
    }
    if let (Some(last), Some((at, _))) = (call.last_part, call.finals.first())
        && last > *at
    {
        breach(last, "a part after the final answer".to_owned());
    }
    // A controller that was killed owes nothing; one that was told to end owes what it had taken by then.
    let lived = life(evidence, call.controller, call.sent).is_some_and(|l| match l.ending {
        Some(ending) => call.sent + slack.0 <= ending,
        None => l.to.is_none_or(|to| to > call.deadline.min(evidence.until)),
    });
    let stood = !stalled(evidence, call.controller, call.sent, call.deadline);
    let over = call.cancelled.is_some();
    match call.finals.first() {
        None if lived && stood && !over => {
            let lost = if call.lost.is_some() { " (its connection broke)" } else { "" };
            breach(call.deadline, format!("no final answer{lost}"));
        }
        Some((at, _)) if stood && !call.slow && *at > call.deadline => {
            breach(*at, format!("answered {} ms after its deadline", (at - call.deadline) / 1000));
        }
        _ => {}
    }
    let ended = call.finals.first().map(|f| f.0).or(call.cancelled);
    for attempt in tries {
        // What was on its way when the answer was given is not new.
        let after = ended.filter(|at| attempt.came > at + slack.0 && stood);
        if after.is_some_and(|at| !cut(evidence, attempt, at, attempt.came)) {
            breach(attempt.came, format!("an attempt reached {} after the call had ended", attempt.worker));
        }
    }
}

/// Rule 2: no effect twice, no overlap, no refusal of what has run.
fn effects(
    evidence: &Evidence,
    id: &str,
    call: &Call<'_>,
    tries: &[Attempt],
    slack: Slack,
    found: &mut Vec<Breach>,
) {
    let mut breach =
        |at, what: String| found.push(Breach { rule: 2, at, what: format!("call {id}: {what}") });
    let runs: Vec<&Attempt> = tries.iter().filter(|a| a.ran).collect();
    if *call.effect == Effect::Unsafe && runs.len() > 1 {
        breach(runs[1].came, format!("unsafe, and ran at {} and at {}", runs[0].worker, runs[1].worker));
    }
    let harmless = matches!(call.effect, Effect::Safe | Effect::Keyed { group: Group::All, .. });
    if let Some((at, Final::Refused)) = call.finals.first()
        && !harmless
        && let Some(ran) = runs.first()
    {
        breach(*at, format!("refused, and ran at {}", ran.worker));
    }
    // The first attempt that may have run binds a keyed call to its group and window.
    let maybe = tries.iter().position(|a| a.ran || !matches!(a.over, Some((_, true))));
    if let (Effect::Keyed { group, window }, Some(first)) = (call.effect, maybe) {
        let place = |worker: &str| evidence.places.get(worker).cloned().unwrap_or_default();
        let home = place(&tries[first].worker);
        for later in &tries[first + 1..] {
            let there = place(&later.worker);
            let within = match group {
                Group::All => true,
                Group::Zone => there.zone == home.zone,
                Group::Cell => there.cell == home.cell,
            };
            if !within {
                breach(
                    later.came,
                    format!(
                        "keyed, repeated at {} outside the group of {}",
                        later.worker, tries[first].worker
                    ),
                );
            }
            if later.came > tries[first].came + window + slack.0 {
                breach(later.came, "keyed, repeated after its window".to_owned());
            }
        }
    }
    for pair in tries.windows(2) {
        let (one, two) = (&pair[0], &pair[1]);
        let ended = one.over.map_or(evidence.until, |(at, _)| at);
        // Behind a cut link a worker can't see that it was left.
        let blind = cut(evidence, one, one.came, two.came);
        if ended > two.came + slack.0 && !blind {
            breach(
                two.came,
                format!("an attempt at {} began while one at {} was open", two.worker, one.worker),
            );
        }
    }
}

/// Rule 3: nothing new after the drain grace.
fn drains(
    evidence: &Evidence,
    attempts: &BTreeMap<String, Vec<Attempt>>,
    slack: Slack,
    found: &mut Vec<Breach>,
) {
    let grace = evidence.figures.drain_grace + evidence.figures.list_check + slack.0;
    // The last word of the list on a worker before a time.
    let told = |worker: &str, at: Micros| {
        evidence.told.iter().filter(|t| t.worker == worker && t.at <= at).max_by_key(|t| t.at)
    };
    let mut judge = |worker: &str, controller: usize, at: Micros, what: &str| {
        let Some(word) = told(worker, at) else { return };
        if word.state == WorkerState::On || at <= word.at + grace {
            return;
        }
        // A controller that stood still, or was not there, is told when it looks again.
        let since = life(evidence, controller, at).map_or(at, |l| l.from);
        if stalled(evidence, controller, word.at, at) || since + grace > at {
            return;
        }
        let late = (at - word.at) / 1000;
        found.push(Breach {
            rule: 3,
            at,
            what: format!("{what} reached {worker} {late} ms after word of its drain"),
        });
    };
    for (id, tries) in attempts {
        for attempt in tries {
            let word = told(&attempt.worker, attempt.came).map_or(0, |t| t.at);
            if !cut(evidence, attempt, word, attempt.came) {
                judge(&attempt.worker, attempt.controller, attempt.came, &format!("call {id}"));
            }
        }
    }
    for record in &evidence.workers {
        if let Seen::Order { controller, model, .. } = &record.seen {
            let controller = controller.parse().unwrap_or(usize::MAX);
            judge(&record.worker, controller, record.at, &format!("an order to load {model}"));
        }
    }
}

/// Rule 4: no cold worker is pushed over.
fn cold(evidence: &Evidence, found: &mut Vec<Breach>) {
    for record in evidence.workers.iter().filter(|r| r.seen == Seen::Fell) {
        let what = format!("{} was pushed over while cold", record.worker);
        found.push(Breach { rule: 4, at: record.at, what });
    }
}

/// Rule 5: load orders within the ration, life by life.
fn ration(evidence: &Evidence, slack: Slack, found: &mut Vec<Breach>) {
    let figures = &evidence.figures;
    if figures.ration_window == 0 {
        return;
    }
    for life in &evidence.lives {
        let lived = |at: Micros| at >= life.from && life.to.is_none_or(|to| at < to);
        let mut orders: Vec<Micros> = Vec::new();
        for record in &evidence.workers {
            if let Seen::Order { controller, .. } = &record.seen
                && controller.parse() == Ok(life.controller)
                && lived(record.at)
            {
                orders.push(record.at);
            }
        }
        orders.sort_unstable();
        let mut calls: Vec<Micros> = Vec::new();
        for record in &evidence.clients {
            if let ClientSaw::Sent { controller, .. } = record.what
                && controller == life.controller
                && lived(record.at)
            {
                calls.push(record.at);
            }
        }
        calls.sort_unstable();
        for (n, at) in orders.iter().enumerate() {
            // Orders that came nearer together than they left count in our disfavour, calls sent a little
            // earlier in our favour.
            let from = at.saturating_sub(figures.ration_window.saturating_sub(slack.0));
            let window = orders[..=n].iter().filter(|o| **o > from).count();
            let since = at.saturating_sub(figures.ration_window + slack.0);
            let taken = calls.iter().filter(|c| **c >= since && **c <= *at).count();
            let most = figures.ration_floor + figures.ration_share * taken as f64;
            if window as f64 > most {
                let what = format!(
                    "controller {}: {window} load orders in the window, {most:.1} permitted by {taken} calls",
                    life.controller
                );
                found.push(Breach { rule: 5, at: *at, what });
            }
        }
    }
}
