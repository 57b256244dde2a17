//! The five rules, judged from the evidence alone. Each finding names the call or the worker, the time, and
//! what was seen.
//!
//! Clocks: clients, stand-ins and the day share one process and one clock. Two observers of one moment can
//! differ by how long a thread waits for a core; [`Slack`] is that, and no more. It is never given to what
//! needs no clock: runs are counted, answers are counted.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use nettleferry::{Effect, KeyScope, Micros, WorkerState};
use nettleferry_test_servers::Seen;

use crate::attempts::{Attempt, Links, attempts};
use crate::evidence::{ClientSaw, Evidence, Final, Life, Told};

/// How far two observers of one moment may differ. What a cut link adds is not in it: see `attempts.rs`.
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
    /// Of which call, where it is of one: its records tell the story.
    pub call: Option<String>,
    /// What was seen.
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rule {} broken at {:.3} s: {}", self.rule, self.at as f64 / 1e6, self.what)
    }
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
    let links = Links::new(evidence, slack.0);
    let mut found = Vec::new();
    for (id, call) in &calls {
        let none = Vec::new();
        let tries = attempts.get(*id).unwrap_or(&none);
        answers(evidence, &links, id, call, tries, slack, &mut found);
        effects(evidence, &links, id, call, tries, &mut found);
    }
    drains(evidence, &links, &attempts, slack, &mut found);
    cold(evidence, &mut found);
    ration(evidence, &links, slack, &mut found);
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

fn of_call(rule: u8, at: Micros, id: &str, what: &str) -> Breach {
    Breach { rule, at, call: Some(id.to_owned()), what: format!("call {id}: {what}") }
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

/// Rule 1: exactly one final answer before the deadline, nothing after it.
fn answers(
    evidence: &Evidence,
    links: &Links<'_>,
    id: &str,
    call: &Call<'_>,
    tries: &[Attempt],
    slack: Slack,
    found: &mut Vec<Breach>,
) {
    let mut breach = |at, what: String| found.push(of_call(1, at, id, &what));
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
        if stood && ended.is_some_and(|at| links.sent(attempt) > at) {
            breach(attempt.came, format!("an attempt reached {} after the call had ended", attempt.worker));
        }
    }
}

/// Rule 2: no effect twice, no overlap, no refusal of what has run.
fn effects(
    evidence: &Evidence,
    links: &Links<'_>,
    id: &str,
    call: &Call<'_>,
    tries: &[Attempt],
    found: &mut Vec<Breach>,
) {
    let mut breach = |at, what: String| found.push(of_call(2, at, id, &what));
    let runs: Vec<&Attempt> = tries.iter().filter(|a| a.ran).collect();
    if *call.effect == Effect::NonIdempotent && runs.len() > 1 {
        breach(runs[1].came, format!("unsafe, and ran at {} and at {}", runs[0].worker, runs[1].worker));
    }
    let harmless =
        matches!(call.effect, Effect::Idempotent | Effect::IdempotencyKey { scope: KeyScope::All, .. });
    if let Some((at, Final::Refused)) = call.finals.first()
        && !harmless
        && let Some(ran) = runs.first()
    {
        breach(*at, format!("refused, and ran at {}", ran.worker));
    }
    for (n, attempt) in tries.iter().enumerate() {
        let twice = n > 0 && attempt.number == tries[n - 1].number;
        if attempt.number.is_none() || twice {
            let told = attempt.number.map_or("no number".to_owned(), |n| format!("number {n} again"));
            breach(attempt.came, format!("an attempt at {} with {told}", attempt.worker));
        }
    }
    // The first attempt that may have run binds a keyed call to its group and window.
    let maybe = tries.iter().position(Attempt::may_have_run);
    if let (Effect::IdempotencyKey { scope: group, window }, Some(first)) = (call.effect, maybe) {
        let place = |worker: &str| evidence.places.get(worker).cloned().unwrap_or_default();
        let (bound, home) = (&tries[first].worker, place(&tries[first].worker));
        // It had left when the next one came, however late it arrived itself.
        let left = tries[first..].iter().map(|a| a.came).min().unwrap_or(0);
        for later in &tries[first + 1..] {
            let there = place(&later.worker);
            let within = match group {
                KeyScope::All => true,
                KeyScope::Zone => there.zone == home.zone,
                KeyScope::Cell => there.cell == home.cell,
            };
            if !within {
                let what = format!("keyed, repeated at {} outside the group of {bound}", later.worker);
                breach(later.came, what);
            }
            if links.sent(later) > left + window {
                breach(later.came, "keyed, repeated after its window".to_owned());
            }
        }
    }
    for (n, two) in tries.iter().enumerate() {
        for one in &tries[..n] {
            if links.ended(one) > two.came {
                breach(
                    two.came,
                    format!("an attempt at {} began while one at {} was open", two.worker, one.worker),
                );
            }
        }
    }
}

/// Rule 3: nothing new after the drain grace.
fn drains(
    evidence: &Evidence,
    links: &Links<'_>,
    attempts: &BTreeMap<String, Vec<Attempt>>,
    slack: Slack,
    found: &mut Vec<Breach>,
) {
    let grace = evidence.figures.drain_grace + evidence.figures.list_check;
    // The last word of the list on a worker before a time.
    let told = |worker: &str, at: Micros| {
        evidence.told.iter().filter(|t| t.worker == worker && t.at <= at).max_by_key(|t| t.at)
    };
    let mut judge = |worker: &str, controller: usize, came: Micros, call: Option<&str>, what: &str| {
        // It may have left at any moment between these two.
        let at = links.left_by(worker, controller, came);
        let on = |t: &Told| t.worker == worker && t.state == WorkerState::On && t.at > at && t.at <= came;
        let Some(word) = told(worker, at) else { return };
        if word.state == WorkerState::On || at <= word.at + grace || evidence.told.iter().any(on) {
            return;
        }
        // A controller that stood still, or was not there, is told when it looks again.
        let since = life(evidence, controller, came).map_or(came, |l| l.from);
        if stalled(evidence, controller, word.at, came) || since + grace + slack.0 > came {
            return;
        }
        let (at, late) = (came, (came - word.at) / 1000);
        found.push(Breach {
            rule: 3,
            at,
            call: call.map(str::to_owned),
            what: format!("{what} reached {worker} {late} ms after word of its drain"),
        });
    };
    for (id, tries) in attempts {
        for attempt in tries {
            judge(&attempt.worker, attempt.controller, attempt.came, Some(id), &format!("call {id}"));
        }
    }
    for record in &evidence.workers {
        if let Seen::Order { controller, model, .. } = &record.seen {
            let controller = controller.parse().unwrap_or(usize::MAX);
            judge(&record.worker, controller, record.at, None, &format!("an order to load {model}"));
        }
    }
}

/// Rule 4: no cold worker is pushed over.
fn cold(evidence: &Evidence, found: &mut Vec<Breach>) {
    for record in evidence.workers.iter().filter(|r| r.seen == Seen::Fell) {
        let what = format!("{} was pushed over while cold", record.worker);
        found.push(Breach { rule: 4, at: record.at, call: None, what });
    }
}

/// Rule 5: load orders within the ration, over all lives of a controller: a restart gives no second one.
fn ration(evidence: &Evidence, links: &Links<'_>, slack: Slack, found: &mut Vec<Breach>) {
    let figures = &evidence.figures;
    if figures.ration_window == 0 {
        return;
    }
    let numbers: BTreeSet<usize> = evidence.lives.iter().map(|life| life.controller).collect();
    for number in numbers {
        let lives = || evidence.lives.iter().filter(|life| life.controller == number);
        let lived = |at: Micros| lives().any(|life| at >= life.from && life.to.is_none_or(|to| at < to));
        // When each came, and when it left at the earliest.
        let mut orders: Vec<(Micros, Micros)> = Vec::new();
        for record in &evidence.workers {
            if let Seen::Order { controller, .. } = &record.seen
                && controller.parse() == Ok(number)
            {
                let left = links.left_by(&record.worker, number, record.at);
                if lived(record.at) && lived(left + slack.0) {
                    orders.push((record.at, left));
                }
            }
        }
        orders.sort_unstable();
        let mut calls: Vec<Micros> = Vec::new();
        for record in &evidence.clients {
            if let ClientSaw::Sent { controller, .. } = record.what
                && controller == number
                && lived(record.at)
            {
                calls.push(record.at);
            }
        }
        calls.sort_unstable();
        for (n, (at, left)) in orders.iter().enumerate() {
            // Only orders that must have left within a window count; calls sent a little earlier do as well.
            let from = at.saturating_sub(figures.ration_window);
            let window = orders[..n].iter().filter(|(_, left)| *left > from).count() + 1;
            let since = left.saturating_sub(figures.ration_window);
            let taken = calls.iter().filter(|c| **c >= since && **c <= *at).count();
            let most = figures.ration_floor + figures.ration_share * taken as f64;
            if window as f64 > most {
                let what = format!(
                    "controller {}: {window} load orders in the window, {most:.1} permitted by {taken} calls",
                    number
                );
                found.push(Breach { rule: 5, at: *at, call: None, what });
            }
        }
    }
}
