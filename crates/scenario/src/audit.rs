//! Checks the five rules of the platform against the recorded evidence. Each breach names the call or the worker, the
//! time and what was observed.
//!
//! Clients, test workers and the run share one process and one clock. The times that two threads record for the same
//! moment differ only by how long a thread waits for a core; [`Slack`] bounds that difference. Checks that count runs
//! or answers compare no times and do not use it.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use nettleferry::{Effect, KeyScope, Micros, WorkerState};
use nettleferry_test_servers::ObservationKind;

use crate::attempts::{Attempt, Links, attempts};
use crate::evidence::{ClientObservation, ControllerRun, Evidence, FinalStatus, ListChange};

/// The largest difference between the times that two threads record for the same moment. It does not cover the delay
/// of a cut link, for which `attempts.rs` accounts.
#[derive(Clone, Copy, Debug)]
pub struct Slack(pub Micros);

impl Default for Slack {
    fn default() -> Self {
        Self(400_000)
    }
}

/// A violation of one of the five rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Number of the rule, from 1 to 5.
    pub rule: u8,
    /// Time at which the rule was broken, as far as the evidence shows.
    pub at: Micros,
    /// The id of the call concerned; `None` if the breach concerns a worker or a controller only.
    pub call: Option<String>,
    /// Description of what was observed.
    pub description: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rule {} broken at {:.3} s: {}", self.rule, self.at as f64 / 1e6, self.description)
    }
}

/// A final answer and the time at which the client received it.
#[derive(Clone, Copy)]
struct FinalAnswer {
    at: Micros,
    kind: FinalStatus,
}

/// A call as observed by its client.
struct Call {
    controller: usize,
    sent: Micros,
    deadline: Micros,
    effect: Effect,
    slow: bool,
    finals: Vec<FinalAnswer>,
    cancelled: Option<Micros>,
    lost: Option<Micros>,
    last_part: Option<Micros>,
}

/// A load order with its time of arrival and the earliest time at which the controller can have sent it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct LoadOrder {
    arrived: Micros,
    earliest_sent: Micros,
}

/// An attempt or a load order that arrived at a worker.
struct Arrival<'a> {
    worker: &'a str,
    controller: usize,
    at: Micros,
    call: Option<&'a str>,
    description: String,
}

/// Checks all rules and returns the breaches, ordered by rule and then by time.
pub fn audit(evidence: &Evidence, slack: Slack) -> Vec<Breach> {
    let calls = calls(evidence);
    let attempts = attempts(evidence);
    let mut auditor =
        Auditor { evidence, links: Links::new(evidence, slack.0), slack: slack.0, breaches: Vec::new() };
    for (id, call) in &calls {
        let attempts = attempts.get(*id).map_or(&[][..], Vec::as_slice);
        auditor.check_answers(id, call, attempts);
        auditor.check_effects(id, call, attempts);
    }
    auditor.check_drains(&attempts);
    auditor.check_overload();
    auditor.check_load_orders();
    auditor.breaches.sort_by_key(|breach| (breach.rule, breach.at));
    auditor.breaches
}

fn calls(evidence: &Evidence) -> BTreeMap<&str, Call> {
    let mut calls: BTreeMap<&str, Call> = BTreeMap::new();
    for record in &evidence.clients {
        if let ClientObservation::Sent { controller, deadline, effect, has_id, slow, .. } =
            &record.observation
        {
            let call = Call {
                controller: *controller,
                sent: record.at,
                deadline: *deadline,
                effect: judged_effect(*effect, *has_id),
                slow: *slow,
                finals: Vec::new(),
                cancelled: None,
                lost: None,
                last_part: None,
            };
            calls.insert(&record.id, call);
        }
        let Some(call) = calls.get_mut(record.id.as_str()) else { continue };
        match &record.observation {
            ClientObservation::Sent { .. } => {}
            ClientObservation::Part => call.last_part = Some(record.at),
            ClientObservation::Final(kind) => {
                call.finals.push(FinalAnswer { at: record.at, kind: *kind });
            }
            ClientObservation::Cancelled => call.cancelled = Some(record.at),
            ClientObservation::Lost => call.lost = Some(record.at),
        }
    }
    calls
}

/// The effect by which a call is judged. Workers drop a repeat by the id of the request, so a repeat without one has its
/// effect again.
fn judged_effect(class_effect: Effect, has_id: bool) -> Effect {
    let is_keyed = matches!(class_effect, Effect::IdempotencyKey { .. });
    if is_keyed && !has_id { Effect::NonIdempotent } else { class_effect }
}

struct Auditor<'a> {
    evidence: &'a Evidence,
    links: Links<'a>,
    slack: Micros,
    breaches: Vec<Breach>,
}

impl Auditor<'_> {
    fn add_call_breach(&mut self, rule: u8, at: Micros, id: &str, description: &str) {
        let description = format!("call {id}: {description}");
        self.breaches.push(Breach { rule, at, call: Some(id.to_owned()), description });
    }

    /// The incarnation of a controller that was running at a given time.
    fn controller_run(&self, controller: usize, at: Micros) -> Option<&ControllerRun> {
        self.evidence
            .controller_runs
            .iter()
            .find(|run| run.controller == controller && run.from <= at && run.to.is_none_or(|to| at < to))
    }

    /// Whether a controller was stopped by SIGSTOP during any part of an interval.
    fn stalled(&self, controller: usize, from: Micros, to: Micros) -> bool {
        let mut stalls = self.evidence.stalls.iter();
        stalls.any(|stall| stall.controller == controller && stall.interval.overlaps(from, to))
    }

    /// Whether the controller to which a call was sent has to answer it. A controller that is killed before the
    /// deadline does not; after SIGTERM it has to answer the calls that it had accepted before.
    fn must_answer(&self, call: &Call) -> bool {
        self.controller_run(call.controller, call.sent).is_some_and(|run| match run.ending {
            Some(ending) => call.sent + self.slack <= ending,
            None => run.to.is_none_or(|to| to > call.deadline.min(self.evidence.until)),
        })
    }

    /// Rule 1: a call gets exactly one final answer before its deadline, and nothing after that answer.
    fn check_answers(&mut self, id: &str, call: &Call, attempts: &[Attempt]) {
        let first = call.finals.first().copied();
        if call.finals.len() > 1 {
            let description = format!("{} final answers", call.finals.len());
            self.add_call_breach(1, call.finals[1].at, id, &description);
        }
        if let (Some(part), Some(answer)) = (call.last_part, first)
            && part > answer.at
        {
            self.add_call_breach(1, part, id, "a part after the final answer");
        }
        if self.stalled(call.controller, call.sent, call.deadline) {
            return;
        }
        match first {
            None if self.must_answer(call) && call.cancelled.is_none() => {
                let cause = if call.lost.is_some() { " (its connection broke)" } else { "" };
                self.add_call_breach(1, call.deadline, id, &format!("no final answer{cause}"));
            }
            Some(answer) if !call.slow && answer.at > call.deadline => {
                let late_ms = (answer.at - call.deadline) / 1000;
                self.add_call_breach(1, answer.at, id, &format!("answered {late_ms} ms after its deadline"));
            }
            _ => {}
        }
        let Some(ended) = first.map(|answer| answer.at).or(call.cancelled) else { return };
        for attempt in attempts {
            // An attempt that was already on its way when the call ended is permitted.
            if self.links.attempt_earliest_sent(attempt) > ended {
                let description = format!("an attempt reached {} after the call had ended", attempt.worker);
                self.add_call_breach(1, attempt.arrived, id, &description);
            }
        }
    }

    /// Rule 2: no repeated effects, no overlapping attempts, and no refusal of a call that may have had an effect.
    fn check_effects(&mut self, id: &str, call: &Call, attempts: &[Attempt]) {
        let runs: Vec<&Attempt> = attempts.iter().filter(|attempt| attempt.ran).collect();
        if call.effect == Effect::NonIdempotent && runs.len() > 1 {
            let description = format!("unsafe, and ran at {} and at {}", runs[0].worker, runs[1].worker);
            self.add_call_breach(2, runs[1].arrived, id, &description);
        }
        if let Some(FinalAnswer { at, kind: FinalStatus::Refused }) = call.finals.first()
            && let Some(run) = runs.first()
            && !self.may_refuse(call, *at, run)
        {
            self.add_call_breach(2, *at, id, &format!("refused, and ran at {}", run.worker));
        }
        self.check_attempt_numbers(id, attempts);
        if let Effect::IdempotencyKey { scope, window } = call.effect {
            self.check_keyed(id, scope, window, attempts);
        }
        for (index, later) in attempts.iter().enumerate() {
            for earlier in &attempts[..index] {
                if self.links.attempt_earliest_end(earlier) > later.arrived {
                    let description = format!(
                        "an attempt at {} began while one at {} was open",
                        later.worker, earlier.worker
                    );
                    self.add_call_breach(2, later.arrived, id, &description);
                }
            }
        }
    }

    /// Whether a call that ran may be refused at `at`, which tells its client that a retry is harmless: any worker has to
    /// drop the retry.
    fn may_refuse(&self, call: &Call, at: Micros, first_run: &Attempt) -> bool {
        match call.effect {
            Effect::Idempotent => true,
            Effect::IdempotencyKey { scope: KeyScope::All, window } => {
                // A slow reader records the refusal long after it was sent.
                call.slow || at <= first_run.arrived + window + self.slack
            }
            _ => false,
        }
    }

    fn check_attempt_numbers(&mut self, id: &str, attempts: &[Attempt]) {
        for (index, attempt) in attempts.iter().enumerate() {
            let repeated = index > 0 && attempt.number == attempts[index - 1].number;
            if attempt.number.is_none() || repeated {
                let number =
                    attempt.number.map_or("no number".to_owned(), |number| format!("number {number} again"));
                let description = format!("an attempt at {} with {number}", attempt.worker);
                self.add_call_breach(2, attempt.arrived, id, &description);
            }
        }
    }

    /// A call with an idempotency key may only be retried in the key's scope and window, which start with the first
    /// attempt that may have run.
    fn check_keyed(&mut self, id: &str, scope: KeyScope, window: Micros, attempts: &[Attempt]) {
        let Some(first) = attempts.iter().position(Attempt::may_have_run) else { return };
        let location = |worker: &str| self.evidence.locations.get(worker).cloned().unwrap_or_default();
        let first_worker = &attempts[first].worker;
        let first_location = location(first_worker);
        // The first attempt was sent before any later attempt arrived, even if it arrived after them itself.
        let latest_sent = attempts[first..].iter().map(|attempt| attempt.arrived).min().unwrap_or(0);
        let mut found = Vec::new();
        for later in &attempts[first + 1..] {
            let later_location = location(&later.worker);
            let in_scope = match scope {
                KeyScope::All => true,
                KeyScope::Zone => later_location.zone == first_location.zone,
                KeyScope::Cell => later_location.cell == first_location.cell,
            };
            if !in_scope {
                let description =
                    format!("keyed, repeated at {} outside the group of {first_worker}", later.worker);
                found.push((later.arrived, description));
            }
            if self.links.attempt_earliest_sent(later) > latest_sent + window {
                found.push((later.arrived, "keyed, repeated after its window".to_owned()));
            }
        }
        for (at, description) in found {
            self.add_call_breach(2, at, id, &description);
        }
    }

    /// Rule 3: no new attempt or load order reaches a worker after its drain grace.
    fn check_drains(&mut self, attempts: &BTreeMap<String, Vec<Attempt>>) {
        for (id, attempts) in attempts {
            for attempt in attempts {
                self.check_drained(Arrival {
                    worker: &attempt.worker,
                    controller: attempt.controller,
                    at: attempt.arrived,
                    call: Some(id),
                    description: format!("call {id}"),
                });
            }
        }
        for record in &self.evidence.workers {
            if let ObservationKind::Order { controller, model, .. } = &record.kind {
                self.check_drained(Arrival {
                    worker: &record.worker,
                    controller: controller.parse().unwrap_or(usize::MAX),
                    at: record.at,
                    call: None,
                    description: format!("an order to load {model}"),
                });
            }
        }
    }

    fn check_drained(&mut self, arrival: Arrival) {
        let Arrival { worker, controller, at, call, description } = arrival;
        let grace = self.evidence.parameters.drain_grace + self.evidence.parameters.list_check;
        // The attempt or load order may have been sent at any time from `earliest_sent` until it arrived.
        let earliest_sent = self.links.earliest_sent(worker, controller, at);
        let Some(listed) = self.last_listed(worker, earliest_sent) else { return };
        let turned_on_in_transit = |change: &ListChange| {
            change.worker == worker
                && change.state == WorkerState::On
                && change.at > earliest_sent
                && change.at <= at
        };
        if listed.state == WorkerState::On
            || earliest_sent <= listed.written + grace
            || self.evidence.list_changes.iter().any(turned_on_in_transit)
        {
            return;
        }
        // A controller that was stopped or not running learns of the drain when it next reads the list.
        let started = self.controller_run(controller, at).map_or(at, |run| run.from);
        if self.stalled(controller, listed.at, at) || started + grace + self.slack > at {
            return;
        }
        let late_ms = (at - listed.at) / 1000;
        let description = format!("{description} reached {worker} {late_ms} ms after its drain was listed");
        self.breaches.push(Breach { rule: 3, at, call: call.map(str::to_owned), description });
    }

    /// The last change of a worker's list entry that was made no later than `at`.
    fn last_listed(&self, worker: &str, at: Micros) -> Option<&ListChange> {
        let changes = self.evidence.list_changes.iter();
        changes.filter(|change| change.worker == worker && change.at <= at).max_by_key(|change| change.at)
    }

    /// Rule 4: no worker is overloaded while it is warming up.
    fn check_overload(&mut self) {
        for record in self.evidence.workers.iter().filter(|record| record.kind == ObservationKind::Overloaded)
        {
            let description = format!("{} was overloaded while warming up", record.worker);
            self.breaches.push(Breach { rule: 4, at: record.at, call: None, description });
        }
    }

    /// Rule 5: load orders stay within their limit, counted over all incarnations of a controller, so that a restart
    /// does not grant a second allowance.
    fn check_load_orders(&mut self) {
        if self.evidence.parameters.ration_window == 0 {
            return;
        }
        let controllers: BTreeSet<usize> =
            self.evidence.controller_runs.iter().map(|run| run.controller).collect();
        for controller in controllers {
            self.check_controller_orders(controller);
        }
    }

    fn check_controller_orders(&mut self, controller: usize) {
        let parameters = &self.evidence.parameters;
        let orders = self.load_orders(controller);
        let calls = self.calls_sent(controller);
        let mut found = Vec::new();
        for (index, order) in orders.iter().enumerate() {
            // Times of sending are only known within bounds. In the controller's favour, an order counts only if it
            // must have been sent within the window, and a call if it may have been.
            let from = order.arrived.saturating_sub(parameters.ration_window);
            let count = orders[..index].iter().filter(|earlier| earlier.earliest_sent > from).count() + 1;
            let since = order.earliest_sent.saturating_sub(parameters.ration_window);
            let accepted = calls.iter().filter(|sent| **sent >= since && **sent <= order.arrived).count();
            let permitted = parameters.ration_floor + parameters.ration_share * accepted as f64;
            if count as f64 > permitted {
                let description = format!(
                    "controller {controller}: {count} load orders in the window, {permitted:.1} permitted by {accepted} calls"
                );
                found.push(Breach { rule: 5, at: order.arrived, call: None, description });
            }
        }
        self.breaches.extend(found);
    }

    /// Whether a controller's process was running at a given time.
    fn was_running(&self, controller: usize, at: Micros) -> bool {
        let mut runs = self.evidence.controller_runs.iter().filter(|run| run.controller == controller);
        runs.any(|run| at >= run.from && run.to.is_none_or(|to| at < to))
    }

    /// The load orders that a controller sent while its process was running, ordered by arrival.
    fn load_orders(&self, number: usize) -> Vec<LoadOrder> {
        let mut orders = Vec::new();
        for record in &self.evidence.workers {
            if let ObservationKind::Order { controller, .. } = &record.kind
                && controller.parse() == Ok(number)
            {
                let earliest_sent = self.links.earliest_sent(&record.worker, number, record.at);
                if self.was_running(number, record.at) && self.was_running(number, earliest_sent + self.slack)
                {
                    orders.push(LoadOrder { arrived: record.at, earliest_sent });
                }
            }
        }
        orders.sort_unstable();
        orders
    }

    /// The times at which clients sent calls to a running controller, in ascending order.
    fn calls_sent(&self, number: usize) -> Vec<Micros> {
        let mut calls = Vec::new();
        for record in &self.evidence.clients {
            if let ClientObservation::Sent { controller, .. } = record.observation
                && controller == number
                && self.was_running(number, record.at)
            {
                calls.push(record.at);
            }
        }
        calls.sort_unstable();
        calls
    }
}
