//! Model checking of leases and membership. Property: no holder acts without a change that was acknowledged as in
//! force.
//!
//! The model runs the production code for leases and membership through every order of requests, responses, message
//! losses, stalls, a change and a restart of the leader, with clocks that drift apart. The checker must also detect
//! each of a number of faulty variants (mutants).

use nettleferry_fleet::Millis;
use nettleferry_fleet::lease::{self, Holder, LeasePolicy};
use nettleferry_fleet::membership::{Incarnation, MemberState, Membership, Version};
use stateright::{Checker, HasDiscoveries, Model, Property};

const HOLDERS: usize = 2;
/// Maximum number of steps of true time.
const MAX_TICKS: u64 = 4;
/// Length of a step of true time in milliseconds.
const TICK: Millis = 1_000;
const SPAN: Millis = 2 * TICK;
/// Maximum number of requests of each holder.
const MAX_REQUESTS: [u8; HOLDERS] = [2, 1];
const CHANGE: Version = Version { epoch: 1, revision: 2 };
const BEFORE: Version = Version { epoch: 1, revision: 1 };

/// A fault that the checker must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// After a stall a holder acts on a lease check from before the stall.
    WakesUnchecked,
    /// A change is acknowledged as soon as it is committed.
    AcknowledgedAtOnce,
    /// A restarted leader assumes that no leases are running.
    ForgetsLeases,
    /// The span of a lease is measured from the receipt of the response.
    CountedFromResponse,
    /// No allowance is made for clock drift.
    ClocksAgree,
}

/// Reads a clock of millisecond resolution that is fast or slow by five in a thousand.
fn local(true_ms: Millis, fast: bool) -> Millis {
    if fast { true_ms * 1_005 / 1_000 } else { true_ms * 995 / 1_000 }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct HolderState {
    in_force: Version,
    until: Option<Millis>,
    requests: u8,
    /// A request in transit: when it was sent by the holder's clock, and the version that it reports.
    request: Option<(Millis, Version)>,
    /// A response in transit: when its request was sent by the holder's clock, and the version of its snapshot.
    response: Option<(Millis, Version)>,
    stalled: bool,
    /// Whether the holder had a lease when it stalled.
    checked: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    ticks: u64,
    /// Whether each clock is fast: the leader's, then the holders'.
    fast: [bool; HOLDERS + 1],
    membership: Membership,
    snapshot: Version,
    holders: Vec<HolderState>,
    /// When the change was made by the leader's clock.
    changed: Millis,
    acknowledged: bool,
    restarted: bool,
    /// Whether a holder acted without a change that was acknowledged.
    violated: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Tick,
    Change,
    Restart,
    Request(usize),
    RequestReceived(usize),
    RequestLost(usize),
    ResponseReceived(usize),
    ResponseLost(usize),
    Stalls(usize),
    Wakes(usize),
}

struct Fleet(Mutant);

fn who(n: usize) -> Incarnation {
    Incarnation { controller: n as u32, incarnation: 1 }
}

fn lease_holder(state: &HolderState) -> Holder {
    let mut holder = Holder::new(0, LeasePolicy { rejects: true, not_ready_after: None });
    if let Some(until) = state.until {
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
        !self.holders[n].stalled && lease_holder(&self.holders[n]).stage(self.clock(n)).accepts_calls()
    }

    /// Updates whether the change is acknowledged, and whether a holder that may act now lacks the acknowledged change.
    fn update_acknowledgement(&mut self, mutant: Mutant) {
        if self.snapshot == CHANGE && !self.acknowledged {
            // Without the allowance for clock drift, leases expire earlier for the leader.
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
        let membership = |now| Membership::new(now, Some(SPAN), None, 0);
        // One bit for the leader's clock, and one for those of all holders.
        (0..4u32)
            .map(|bits| State {
                ticks: 0,
                fast: std::array::from_fn(|n| bits >> n.min(1) & 1 == 1),
                membership: membership(0),
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
            // States after a violation need not be explored.
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
        for (n, holder) in state.holders.iter().enumerate() {
            if holder.requests < MAX_REQUESTS[n]
                && holder.request.is_none()
                && holder.response.is_none()
                && !holder.stalled
            {
                out.push(Step::Request(n));
            }
            if holder.request.is_some() {
                out.push(Step::RequestReceived(n));
            }
            if holder.response.is_some() && !holder.stalled {
                out.push(Step::ResponseReceived(n));
            }
            // Only the first holder stalls and loses messages, since it can send a second request. For the others the
            // loss of a message is covered by states in which it is never received.
            if n == 0 {
                if holder.request.is_some() {
                    out.push(Step::RequestLost(n));
                }
                if holder.response.is_some() {
                    out.push(Step::ResponseLost(n));
                }
                out.push(if holder.stalled { Step::Wakes(n) } else { Step::Stalls(n) });
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
                let holder = &mut next.holders[n];
                holder.requests += 1;
                holder.request = Some((clock, holder.in_force));
            }
            Step::RequestReceived(n) => {
                let (sent_at, in_force) = next.holders[n].request.take()?;
                next.membership.heartbeat(
                    now,
                    who(n),
                    MemberState { in_force, persisted: in_force, requires_lease: true },
                );
                next.membership.grant(now, who(n), state.snapshot).ok()?;
                next.holders[n].response = Some((sent_at, state.snapshot));
            }
            Step::RequestLost(n) => next.holders[n].request = None,
            Step::ResponseReceived(n) => {
                let clock = state.clock(n);
                let holder = &mut next.holders[n];
                let (sent_at, snapshot) = holder.response.take()?;
                let sent_at = if self.0 == Mutant::CountedFromResponse { clock } else { sent_at };
                let until = match self.0 {
                    Mutant::ClocksAgree => sent_at + SPAN,
                    _ => lease::expires_at(sent_at, SPAN),
                };
                holder.in_force = snapshot;
                holder.until = holder.until.max(Some(until));
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
        next.update_acknowledgement(self.0);
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no holder acts without an acknowledged change", |_, s: &State| !s.violated),
            Property::always("a change is acknowledged within a span, whatever is lost", |_, s: &State| {
                let bound = (s.changed + SPAN + lease::max_clock_difference(SPAN))
                    .max(s.membership.earlier_leases_expire_at());
                s.acknowledged || s.snapshot == BEFORE || s.now() < bound
            }),
            Property::sometimes("the lease of a holder without the change is waited out", |_, s: &State| {
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
        assert!(
            found.contains_key("no holder acts without an acknowledged change"),
            "{mutant:?} was not found"
        );
    }
}
