//! The ledger's invariants under random events: each call gets exactly one final answer before its deadline, and a call
//! that must not run twice is not retried after an attempt that may have run.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{EngineHarness, MS, attempt_ended, member, part};
use nettleferry::{ListForm, Micros, WorkerState};
use nettleferry_engine::*;
use proptest::prelude::*;

/// One step of a random run: an action of a worker connection or a client, a new worker list, or the passage of time.
#[derive(Clone, Debug)]
enum Step {
    Open(usize, bool),
    Part(usize, bool),
    End(usize, u8),
    ClientGone(usize),
    /// An event of an attempt that was cancelled or has ended arrives late.
    Late(usize, bool),
    List(u8),
    /// Time passes, in microseconds.
    Advance(u32),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3usize, any::<bool>()).prop_map(|(c, s)| Step::Open(c, s)),
        3 => (any::<usize>(), any::<bool>()).prop_map(|(a, l)| Step::Part(a, l)),
        5 => (any::<usize>(), 0..9u8).prop_map(|(a, h)| Step::End(a, h)),
        1 => any::<usize>().prop_map(Step::ClientGone),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(a, p)| Step::Late(a, p)),
        1 => (0..4u8).prop_map(Step::List),
        3 => (0..900_000u32).prop_map(Step::Advance),
    ]
}

/// Tracks calls and attempts from the engine's input and output alone, and checks the invariants at each command.
#[derive(Default)]
struct Audit {
    /// Class and deadline of each open call.
    open: BTreeMap<CallId, (usize, Micros)>,
    ended: BTreeSet<CallId>,
    in_flight: BTreeSet<AttemptId>,
    may_have_run: BTreeSet<CallId>,
    /// Attempts that have ended or were cancelled.
    past: Vec<AttemptId>,
}

impl Audit {
    fn check(&mut self, now: Micros, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start { attempt, .. } => {
                    let (class, due) = self.open[&attempt.call];
                    assert!(now <= due, "sent after the deadline");
                    assert!(self.in_flight.iter().all(|a| a.call != attempt.call), "attempts overlap");
                    assert!(
                        class != 1 || !self.may_have_run.contains(&attempt.call),
                        "a call that must not run twice was retried"
                    );
                    self.in_flight.insert(*attempt);
                }
                Command::Cancel { attempt } => {
                    self.in_flight.remove(attempt);
                    self.past.push(*attempt);
                    self.may_have_run.insert(attempt.call);
                }
                Command::ResponsePart { call, .. } => {
                    assert!(self.open.contains_key(call), "a part after the final answer")
                }
                Command::Answer { call, answer: end, .. } => {
                    let (class, due) = self.open.remove(call).expect("one final answer per call");
                    assert!(now <= due, "answered {} us late", now - due);
                    assert!(self.ended.insert(*call));
                    let ran =
                        self.may_have_run.contains(call) || self.in_flight.iter().any(|a| a.call == *call);
                    assert!(
                        class == 0 || !matches!(end, FinalAnswer::Refused { .. }) || !ran,
                        "a call that may have run was refused"
                    );
                }
                _ => {}
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]
    #[test]
    fn every_call_has_exactly_one_final_answer_in_time(steps in prop::collection::vec(step(), 1..80)) {
        let mut harness = EngineHarness::new(&["w1", "w2", "w3"], EngineLimits::default());
        let mut audit = Audit::default();
        for step in steps {
            let in_flight: Vec<AttemptId> = audit.in_flight.iter().copied().collect();
            match step {
                Step::Open(class, streamed) => {
                    // The audit must know the call before it checks the first commands.
                    let (call, commands) = harness.open(class, streamed);
                    audit.open.insert(call, (class, harness.now + 4_000 * MS));
                    audit.check(harness.now, &commands);
                }
                Step::Part(at, last) if !in_flight.is_empty() => {
                    let attempt = in_flight[at % in_flight.len()];
                    let commands = harness.handle(part(attempt, last));
                    audit.check(harness.now, &commands);
                }
                Step::End(at, kind) if !in_flight.is_empty() => {
                    let attempt = in_flight[at % in_flight.len()];
                    let end = match kind {
                        0..3 => AttemptEnd::Served,
                        3 => AttemptEnd::Broken,
                        4 => AttemptEnd::MarkedFull,
                        5 => AttemptEnd::MarkedMiss,
                        6 => AttemptEnd::NotConnected,
                        7 => AttemptEnd::Rejected("shape".into()),
                        _ => AttemptEnd::Status { message: "INTERNAL".into() },
                    };
                    audit.in_flight.remove(&attempt);
                    audit.past.push(attempt);
                    if !end.never_ran() {
                        audit.may_have_run.insert(attempt.call);
                    }
                    let commands = harness.handle(attempt_ended(attempt, end));
                    audit.check(harness.now, &commands);
                }
                Step::ClientGone(at) if !audit.open.is_empty() => {
                    let call = *audit.open.keys().nth(at % audit.open.len()).expect("an open call");
                    audit.open.remove(&call);
                    let commands = harness.handle(Event::ClientDisconnected { call });
                    audit.check(harness.now, &commands);
                    prop_assert!(audit.in_flight.iter().all(|a| a.call != call), "cancelled when its client disconnects");
                }
                Step::Late(at, as_part) if !audit.past.is_empty() => {
                    let attempt = audit.past[at % audit.past.len()];
                    let event = if as_part { part(attempt, false) } else { attempt_ended(attempt, AttemptEnd::Served) };
                    let commands = harness.handle(event);
                    prop_assert!(commands.is_empty(), "a late event has an effect: {commands:?}");
                }
                Step::List(keep) => {
                    let members = (1..=keep).map(|n| member(&format!("w{n}"), WorkerState::On)).collect();
                    let commands = harness.handle(Event::Workers { form: ListForm::Complete, members });
                    audit.check(harness.now, &commands);
                }
                Step::Advance(span) => {
                    let until = harness.now + Micros::from(span);
                    while let Some(at) = harness.engine.next_timer().filter(|at| *at <= until) {
                        harness.now = harness.now.max(at);
                        let commands = harness.handle(Event::Tick);
                        audit.check(harness.now, &commands);
                    }
                    harness.now = until;
                }
                _ => {}
            }
        }
        for _ in 0..10_000 {
            let Some(at) = harness.engine.next_timer() else { break };
            if audit.open.is_empty() { break }
            harness.now = harness.now.max(at);
            let commands = harness.handle(Event::Tick);
            audit.check(harness.now, &commands);
        }
        prop_assert!(audit.open.is_empty(), "calls without a final answer: {:?}", audit.open);
        prop_assert_eq!(harness.engine.open_calls(), 0);
        prop_assert_eq!(harness.engine.counters().backstop, 0);
    }
}
