//! Every order of requests, responses, losses, stalls, a change, a leader that starts again and clocks that run
//! apart, with the real leases and the real membership: nobody acts without a change that was acknowledged as in force.
//! Mutants of the decisions are each found.

use nettleferry_fleet::Millis;
use nettleferry_fleet::lease::{self, Holder, LeasePolicy};
use nettleferry_fleet::membership::{Incarnation, MemberState, Membership, Version};
use stateright::{Checker, HasDiscoveries, Model, Property};

const HOLDERS: usize = 2;
/// Steps of true time, and what one of them is.
const MAX_TICKS: u64 = 4;
const TICK: Millis = 1_000;
const SPAN: Millis = 2 * TICK;
/// Exchanges of each holder at the most.
const MAX_REQUESTS: [u8; HOLDERS] = [2, 1];
const CHANGE: Version = Version { epoch: 1, revision: 2 };
const BEFORE: Version = Version { epoch: 1, revision: 1 };

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// A holder that wakes acts on a check from before it stood still.
    WakesUnchecked,
    /// Acknowledged when it is committed.
    AcknowledgedAtOnce,
    /// A new leader believes that nobody has a lease.
    ForgetsLeases,
    /// A lease is counted from when its response came.
    CountedFromResponse,
    /// Clocks are taken to agree.
    ClocksAgree,
}

/// A clock of a millisecond's resolution that loses or gains five in a thousand.
fn local(true_ms: Millis, fast: bool) -> Millis {
    if fast { true_ms * 1_005 / 1_000 } else { true_ms * 995 / 1_000 }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct HolderState {
    in_force: Version,
    until: Option<Millis>,
    requests: u8,
    /// A request on its way: when it left, by its own clock, and what it reported.
    request: Option<(Millis, Version)>,
    /// A response on its way: to a request of then, with this snapshot.
    response: Option<(Millis, Version)>,
    stalled: bool,
    /// It had a lease when it was stopped.
    checked: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    ticks: u64,
    /// Whose clocks are fast: the leader's, then the holders'.
    fast: [bool; HOLDERS + 1],
    membership: Membership,
    snapshot: Version,
    holders: Vec<HolderState>,
    /// When the change was made, by the leader's clock.
    changed: Millis,
    acknowledged: bool,
    restarted: bool,
    /// A holder acted without a change that was acknowledged.
    violated: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Tick,
    Change,
    Restart,
    Request(usize),
    Arrives(usize),
    RequestLost(usize),
    Responded(usize),
    ResponseLost(usize),
    Stalls(usize),
    Wakes(usize),
}

struct Fleet(Mutant);

fn who(n: usize) -> Incarnation {
    Incarnation { controller: n as u32, incarnation: 1 }
}

fn holder(one: &HolderState) -> Holder {
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
        if self.snapshot == CHANGE && !self.acknowledged {
            // Without the allowance for clocks, leases are out that much earlier.
            let early = if mutant == Mutant::ClocksAgree { lease::max_clock_difference(SPAN) } else { 0 };
            let progress = self.membership.progress(self.now() + early, CHANGE, 0);
            self.acknowledged = mutant == Mutant::AcknowledgedAtOnce || progress.is_in_force();
        }
        let behind = |n: usize| self.holders[n].in_force < CHANGE && self.acts(n);
        self.violated |= self.acknowledged && (0..HOLDERS).any(behind);
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let span = |now| Membership::new(now, Some(SPAN), None, 0);
        // The leader's clock, and those of the holders.
        (0..4u32)
            .map(|bits| State {
                ticks: 0,
                fast: std::array::from_fn(|n| bits >> n.min(1) & 1 == 1),
                membership: span(0),
                snapshot: BEFORE,
                holders: vec![
                    HolderState {
                        in_force: BEFORE,
                        until: None,
                        requests: 0,
                        request: None,
                        response: None,
                        stalled: false,
                        checked: false
                    };
                    HOLDERS
                ],
                changed: 0,
                acknowledged: false,
                restarted: false,
                violated: false,
            })
            .collect()
    }

    fn actions(&self, state: &State, out: &mut Vec<Step>) {
        if state.violated {
            // What follows on a violation shows nothing more.
            return;
        }
        if state.ticks < MAX_TICKS {
            out.push(Step::Tick);
        }
        if state.snapshot == BEFORE {
            out.push(Step::Change);
        }
        if !state.restarted && state.ticks > 0 {
            out.push(Step::Restart);
        }
        for (n, one) in state.holders.iter().enumerate() {
            if one.requests < MAX_REQUESTS[n]
                && one.request.is_none()
                && one.response.is_none()
                && !one.stalled
            {
                out.push(Step::Request(n));
            }
            if one.request.is_some() {
                out.push(Step::Arrives(n));
            }
            if one.response.is_some() && !one.stalled {
                out.push(Step::Responded(n));
            }
            // One of them stalls and loses messages for which it can send another request; what others lose just never comes.
            if n == 0 {
                if one.request.is_some() {
                    out.push(Step::RequestLost(n));
                }
                if one.response.is_some() {
                    out.push(Step::ResponseLost(n));
                }
                out.push(if one.stalled { Step::Wakes(n) } else { Step::Stalls(n) });
            }
        }
    }

    fn next_state(&self, state: &State, act: Step) -> Option<State> {
        let mut next = state.clone();
        let now = state.now();
        match act {
            Step::Tick => next.ticks += 1,
            Step::Change => {
                next.snapshot = CHANGE;
                next.changed = now;
            }
            Step::Restart => {
                next.restarted = true;
                let before = (self.0 != Mutant::ForgetsLeases).then_some(SPAN);
                next.membership = Membership::new(now, Some(SPAN), before, 0);
            }
            Step::Request(n) => {
                let clock = state.clock(n);
                let one = &mut next.holders[n];
                one.requests += 1;
                one.request = Some((clock, one.in_force));
            }
            Step::Arrives(n) => {
                let (asked, in_force) = next.holders[n].request.take()?;
                next.membership.heartbeat(
                    now,
                    who(n),
                    MemberState { in_force, persisted: in_force, requires_lease: true },
                );
                next.membership.grant(now, who(n), state.snapshot).ok()?;
                next.holders[n].response = Some((asked, state.snapshot));
            }
            Step::RequestLost(n) => next.holders[n].request = None,
            Step::Responded(n) => {
                let clock = state.clock(n);
                let one = &mut next.holders[n];
                let (asked, snapshot) = one.response.take()?;
                let asked = if self.0 == Mutant::CountedFromResponse { clock } else { asked };
                let until = match self.0 {
                    Mutant::ClocksAgree => asked + SPAN,
                    _ => lease::expires_at(asked, SPAN),
                };
                one.in_force = snapshot;
                one.until = one.until.max(Some(until));
            }
            Step::ResponseLost(n) => next.holders[n].response = None,
            Step::Stalls(n) => {
                next.holders[n].checked = state.acts(n);
                next.holders[n].stalled = true;
            }
            Step::Wakes(n) => {
                next.holders[n].stalled = false;
                let unchecked = self.0 == Mutant::WakesUnchecked && next.holders[n].checked;
                next.violated |= unchecked && next.acknowledged && next.holders[n].in_force < CHANGE;
                next.holders[n].checked = false;
            }
        }
        next.settle(self.0);
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nobody acts without what was acknowledged", |_, s: &State| !s.violated),
            Property::always("a change is acknowledged within a span, whatever is lost", |_, s: &State| {
                let bound = (s.changed + SPAN + lease::max_clock_difference(SPAN))
                    .max(s.membership.earlier_leases_expire_at());
                s.acknowledged || s.snapshot == BEFORE || s.now() < bound
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
        Mutant::CountedFromResponse,
        Mutant::ClocksAgree,
    ] {
        let checked = Fleet(mutant).checker().finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
        let found = checked.discoveries();
        assert!(found.contains_key("nobody acts without what was acknowledged"), "{mutant:?} was not found");
    }
}
