//! Every order of asks, answers, losses, stalls, a change, an administration that starts again and clocks that run
//! apart, with the real leases and the real membership: nobody acts without a change that was acknowledged as in force.
//! Mutants of the decisions are each found.

use nettleferry_fleet::Millis;
use nettleferry_fleet::lease::{self, Holder, LeasePolicy};
use nettleferry_fleet::membership::{Incarnation, MemberState, Membership, Version};
use stateright::{Checker, HasDiscoveries, Model, Property};

const HOLDERS: usize = 2;
/// Steps of true time, and what one of them is.
const MOST_TICKS: u64 = 4;
const TICK: Millis = 1_000;
const SPAN: Millis = 2 * TICK;
/// Exchanges of each holder at the most.
const MOST_ASKS: [u8; HOLDERS] = [2, 1];
const CHANGE: Version = Version { epoch: 1, revision: 2 };
const BEFORE: Version = Version { epoch: 1, revision: 1 };

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// A holder that wakes acts on a check from before it stood still.
    WakesUnchecked,
    /// Acknowledged when it is committed.
    AcknowledgedAtOnce,
    /// A new administration believes that nobody has a lease.
    ForgetsLeases,
    /// A lease is counted from when its answer came.
    CountedFromAnswer,
    /// Clocks are taken to agree.
    ClocksAgree,
}

/// A clock of a millisecond's resolution that loses or gains five in a thousand.
fn local(true_ms: Millis, fast: bool) -> Millis {
    if fast { true_ms * 1_005 / 1_000 } else { true_ms * 995 / 1_000 }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct One {
    in_force: Version,
    until: Option<Millis>,
    asks: u8,
    /// An ask on its way: when it left, by its own clock, and what it told.
    ask: Option<(Millis, Version)>,
    /// An answer on its way: to an ask of then, with this book.
    answer: Option<(Millis, Version)>,
    stalled: bool,
    /// It had a lease when it was stopped.
    checked: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    ticks: u64,
    /// Whose clocks are fast: the administration's, then the holders'.
    fast: [bool; HOLDERS + 1],
    membership: Membership,
    book: Version,
    holders: Vec<One>,
    /// When the change was made, by the administration's clock.
    changed: Millis,
    acknowledged: bool,
    restarted: bool,
    /// A holder acted without a change that was acknowledged.
    wrong: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Act {
    Tick,
    Change,
    Restart,
    Ask(usize),
    Arrives(usize),
    AskLost(usize),
    Answered(usize),
    AnswerLost(usize),
    Stalls(usize),
    Wakes(usize),
}

struct Fleet(Mutant);

fn who(n: usize) -> Incarnation {
    Incarnation { controller: n as u32, incarnation: 1 }
}

fn holder(one: &One) -> Holder {
    let mut holder = Holder::new(0, LeasePolicy { rejects: true, not_ready_after: None });
    if let Some(until) = one.until {
        holder.renewed(until);
    }
    holder
}

impl State {
    fn now(&self) -> Millis {
        local(self.ticks * TICK, self.fast[0])
    }

    fn clock(&self, n: usize) -> Millis {
        local(self.ticks * TICK, self.fast[n + 1])
    }

    fn acts(&self, n: usize) -> bool {
        !self.holders[n].stalled && holder(&self.holders[n]).stage(self.clock(n)).accepts_calls()
    }

    /// Whoever may act does so in every state: it must have what was acknowledged.
    fn settle(&mut self, mutant: Mutant) {
        if self.book == CHANGE && !self.acknowledged {
            // Without the allowance for clocks, leases are out that much earlier.
            let early = if mutant == Mutant::ClocksAgree { lease::error_of(SPAN) } else { 0 };
            let progress = self.membership.progress(self.now() + early, CHANGE, 0);
            self.acknowledged = mutant == Mutant::AcknowledgedAtOnce || progress.is_in_force();
        }
        let behind = |n: usize| self.holders[n].in_force < CHANGE && self.acts(n);
        self.wrong |= self.acknowledged && (0..HOLDERS).any(behind);
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Act;

    fn init_states(&self) -> Vec<State> {
        let span = |now| Membership::new(now, Some(SPAN), None, 0);
        // The administration's clock, and those of the holders.
        (0..4u32)
            .map(|bits| State {
                ticks: 0,
                fast: std::array::from_fn(|n| bits >> n.min(1) & 1 == 1),
                membership: span(0),
                book: BEFORE,
                holders: vec![
                    One {
                        in_force: BEFORE,
                        until: None,
                        asks: 0,
                        ask: None,
                        answer: None,
                        stalled: false,
                        checked: false
                    };
                    HOLDERS
                ],
                changed: 0,
                acknowledged: false,
                restarted: false,
                wrong: false,
            })
            .collect()
    }

    fn actions(&self, state: &State, out: &mut Vec<Act>) {
        if state.wrong {
            // What follows on a wrong act shows nothing more.
            return;
        }
        if state.ticks < MOST_TICKS {
            out.push(Act::Tick);
        }
        if state.book == BEFORE {
            out.push(Act::Change);
        }
        if !state.restarted && state.ticks > 0 {
            out.push(Act::Restart);
        }
        for (n, one) in state.holders.iter().enumerate() {
            if one.asks < MOST_ASKS[n] && one.ask.is_none() && one.answer.is_none() && !one.stalled {
                out.push(Act::Ask(n));
            }
            if one.ask.is_some() {
                out.push(Act::Arrives(n));
            }
            if one.answer.is_some() && !one.stalled {
                out.push(Act::Answered(n));
            }
            // One of them stands still, and loses what it could ask again for; what others lose just never comes.
            if n == 0 {
                if one.ask.is_some() {
                    out.push(Act::AskLost(n));
                }
                if one.answer.is_some() {
                    out.push(Act::AnswerLost(n));
                }
                out.push(if one.stalled { Act::Wakes(n) } else { Act::Stalls(n) });
            }
        }
    }

    fn next_state(&self, state: &State, act: Act) -> Option<State> {
        let mut next = state.clone();
        let now = state.now();
        match act {
            Act::Tick => next.ticks += 1,
            Act::Change => {
                next.book = CHANGE;
                next.changed = now;
            }
            Act::Restart => {
                next.restarted = true;
                let before = (self.0 != Mutant::ForgetsLeases).then_some(SPAN);
                next.membership = Membership::new(now, Some(SPAN), before, 0);
            }
            Act::Ask(n) => {
                let clock = state.clock(n);
                let one = &mut next.holders[n];
                one.asks += 1;
                one.ask = Some((clock, one.in_force));
            }
            Act::Arrives(n) => {
                let (asked, in_force) = next.holders[n].ask.take()?;
                next.membership.heartbeat(
                    now,
                    who(n),
                    MemberState { in_force, persisted: in_force, requires_lease: true },
                );
                next.membership.grant(now, who(n), state.book).ok()?;
                next.holders[n].answer = Some((asked, state.book));
            }
            Act::AskLost(n) => next.holders[n].ask = None,
            Act::Answered(n) => {
                let clock = state.clock(n);
                let one = &mut next.holders[n];
                let (asked, book) = one.answer.take()?;
                let asked = if self.0 == Mutant::CountedFromAnswer { clock } else { asked };
                let until = match self.0 {
                    Mutant::ClocksAgree => asked + SPAN,
                    _ => lease::ends(asked, SPAN),
                };
                one.in_force = book;
                one.until = one.until.max(Some(until));
            }
            Act::AnswerLost(n) => next.holders[n].answer = None,
            Act::Stalls(n) => {
                next.holders[n].checked = state.acts(n);
                next.holders[n].stalled = true;
            }
            Act::Wakes(n) => {
                next.holders[n].stalled = false;
                let unchecked = self.0 == Mutant::WakesUnchecked && next.holders[n].checked;
                next.wrong |= unchecked && next.acknowledged && next.holders[n].in_force < CHANGE;
                next.holders[n].checked = false;
            }
        }
        next.settle(self.0);
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nobody acts without what was acknowledged", |_, s: &State| !s.wrong),
            Property::always("a change is acknowledged within a span, whatever is lost", |_, s: &State| {
                let bound =
                    (s.changed + SPAN + lease::error_of(SPAN)).max(s.membership.earlier_leases_over());
                s.acknowledged || s.book == BEFORE || s.now() < bound
            }),
            Property::sometimes("one that never heard of it is waited out", |_, s: &State| {
                s.acknowledged && s.holders.iter().any(|h| h.until.is_some() && h.in_force == BEFORE)
            }),
        ]
    }
}

#[test]
fn nobody_acts_without_an_acknowledged_change() {
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    let checked = Fleet(Mutant::None).checker().threads(threads).spawn_bfs().join();
    println!("{} states, {} unique", checked.state_count(), checked.unique_state_count());
    assert!(checked.unique_state_count() > 10_000);
    checked.assert_properties();
}

#[test]
fn each_mutant_is_found() {
    for mutant in [
        Mutant::WakesUnchecked,
        Mutant::AcknowledgedAtOnce,
        Mutant::ForgetsLeases,
        Mutant::CountedFromAnswer,
        Mutant::ClocksAgree,
    ] {
        let checked = Fleet(mutant).checker().finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
        let found = checked.discoveries();
        assert!(found.contains_key("nobody acts without what was acknowledged"), "{mutant:?} was not found");
    }
}
