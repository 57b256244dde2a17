//! Holds what was seen against the invariants. Slack: the platform's own, and how late the test itself ran.

use std::fmt;
use std::time::Duration;

use crate::audit::{Attempt, Call, Class, End, Moment, Record};
use crate::controller::{COLD, DRAIN_GRACE, FALL, OVERLOAD, START_CAPACITY};

/// An invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each call that was taken gets one whole answer, as a worker gave it.
    OneAnswer,
    /// What may run once runs once, and is refused only if it did not run.
    EffectOnce,
    /// Attempts of a call do not overlap.
    NoOverlap,
    /// Nothing new goes to a draining or removed worker after its grace.
    Drain,
    /// No attempt begins 0.1 s after the client has gone.
    ClientGone,
    /// A worker is told no more time than the client has left.
    Deadline,
    /// A cold worker is not pushed over.
    SlowStart,
    /// Only what clients asked for is sent.
    Stranger,
    /// A process starts, ends when asked, and does not crash.
    Process,
    /// A guard inside a process saw an invariant broken.
    Guard,
}

/// A broken invariant.
#[derive(Clone, Debug)]
pub struct Finding {
    /// Which.
    pub rule: Rule,
    /// By whom and how.
    pub what: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{:?}: {}", self.rule, self.what)
    }
}

/// The platform's slack on each time.
const SLACK: Duration = Duration::from_millis(50);
/// An attempt may begin so long after its client has gone.
const GONE_SLACK: Duration = Duration::from_millis(100);
/// The time that a worker is told may exceed what the client has left by so much.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// Core time of a call at a worker: the middle of what it takes.
const MEAN_WORK: f64 = 0.016;
/// From so many calls in the window on, the wider of the two bounds on a cold worker holds.
const SMALL_BUDGET: f64 = 30.0;
/// The test's own lateness counts where it was seen within this span of a moment.
const NEAR: Duration = Duration::from_millis(1_500);

/// All that the record breaks, in the order of its ids.
pub fn judge(record: &Record) -> Vec<Finding> {
    let mut found = Vec::new();
    for (id, call) in &record.calls {
        judge_call(record, *id, call, &mut found);
    }
    for (id, worker) in &record.strangers {
        let what = format!("{id:016x} came to worker {worker}, and no client had sent it");
        found.push(Finding { rule: Rule::Stranger, what });
    }
    judge_slow_start(record, &mut found);
    found
}

/// How late the test itself ran near a moment.
fn lag(record: &Record, at: Moment) -> Duration {
    let near = record.lag.iter().filter(|(seen, _)| seen.abs_diff(at) < NEAR);
    near.map(|(_, lag)| *lag).max().unwrap_or_default()
}

fn judge_call(record: &Record, id: u64, call: &Call, found: &mut Vec<Finding>) {
    let mut broken = |rule, what: String| {
        let what = format!("call {id:016x} ({:?}) of controller {}: {what}", call.class, call.controller);
        found.push(Finding { rule, what });
    };
    let end = call.end.map(|(end, _)| end);
    if call.answers > 1 {
        broken(Rule::OneAnswer, format!("{} final answers", call.answers));
    }
    if let Some((end @ (End::Altered | End::Lost | End::Unanswered), at)) = call.end {
        broken(
            Rule::OneAnswer,
            format!("{end:?} at {at:?}, sent at {:?}, attempts {:?}", call.sent.1, call.attempts),
        );
    }
    let runs = call.attempts.iter().filter(|attempt| attempt.ran).count();
    if call.class == Class::Once && runs > 1 {
        broken(Rule::EffectOnce, format!("ran {runs} times: {:?}", call.attempts));
    }
    if call.class == Class::Once && runs > 0 && end == Some(End::Refused) {
        broken(Rule::EffectOnce, format!("refused though it ran: {:?}", call.attempts));
    }
    for two in call.attempts.windows(2) {
        let slack = SLACK + lag(record, two[1].came);
        if two[0].over.is_none_or(|over| over > two[1].came + slack) {
            broken(Rule::NoOverlap, format!("{:?} while {:?}", two[1], two[0]));
        }
    }
    for attempt in &call.attempts {
        judge_attempt(record, call, attempt, &mut broken);
    }
}

fn judge_attempt(record: &Record, call: &Call, attempt: &Attempt, broken: &mut impl FnMut(Rule, String)) {
    let lag = lag(record, attempt.came);
    if let Some(left) = call.left.filter(|left| attempt.came > *left + GONE_SLACK + lag) {
        let after = attempt.came - left;
        broken(
            Rule::ClientGone,
            format!("sent to worker {} {after:?} after its client left", attempt.worker),
        );
    }
    let left = (call.ttl + call.sent.1).saturating_sub(attempt.came);
    if Duration::from_millis(attempt.patience) > left + DEADLINE_SLACK + lag {
        let told = attempt.patience;
        broken(Rule::Deadline, format!("worker {} was told {told} ms, left were {left:?}", attempt.worker));
    }
    if let Some(since) = out_of_service(record, call.controller, attempt)
        && attempt.came > since + DRAIN_GRACE + SLACK + lag
    {
        let after = attempt.came - since;
        broken(Rule::Drain, format!("sent to worker {} {after:?} after its drain was told", attempt.worker));
    }
}

/// Since when a controller had been told that a worker takes nothing new, where that stood at an attempt.
fn out_of_service(record: &Record, controller: usize, attempt: &Attempt) -> Option<Moment> {
    let told = |serial: u32| {
        let answers = record.told.iter().filter(|(who, what, _)| *who == controller && *what >= serial);
        answers.map(|(.., at)| *at).min().filter(|at| *at <= attempt.came)
    };
    let events = record.events.iter().filter(|event| event.worker == attempt.worker);
    let newest = events.filter_map(|event| Some((event, told(event.serial)?))).max_by_key(|(e, _)| e.serial);
    newest.filter(|(event, _)| !event.in_service).map(|(_, at)| at)
}

/// What a cold worker bears in the window that ends at `age`, in calls of mean work, with the platform's allowance.
fn budget(age: Duration) -> f64 {
    let part = (age.as_secs_f64() / COLD.as_secs_f64()).min(1.0);
    let capacity = START_CAPACITY + (1.0 - START_CAPACITY) * part;
    let calls = OVERLOAD * capacity * FALL.as_secs_f64() / MEAN_WORK;
    if calls < SMALL_BUDGET { calls + 3.0 * calls.sqrt() + 3.0 } else { calls + 2.0 * calls.sqrt() + 2.0 }
}

fn judge_slow_start(record: &Record, found: &mut Vec<Finding>) {
    for (worker, started) in &record.starts {
        let arrivals: Vec<Moment> = record
            .arrivals
            .iter()
            .filter(|(to, at)| to == worker && at >= started)
            .map(|(_, at)| *at)
            .collect();
        for (index, at) in arrivals.iter().enumerate() {
            let age = *at - *started;
            let from = arrivals[..=index].partition_point(|other| *other + FALL < *at);
            let count = index + 1 - from;
            if age < COLD && count as f64 > budget(age) {
                let what = format!(
                    "worker {worker} got {count} calls in {FALL:?} at an age of {age:?}, {:.0} allowed",
                    budget(age)
                );
                found.push(Finding { rule: Rule::SlowStart, what });
                break;
            }
        }
    }
}
