//! All controllers back at once after a loss of power: workers are cold, copies are gone, some books are lost, and the
//! clients are all there. The real gate, the real seeker and its waits; the ration of load orders as the rules have it.
//!
//! What is not decided by the fleet is plain: each controller has its part of the workers, a queue in order, copies
//! that are loaded one after another through one store that slows as it is crowded.

use std::collections::{BTreeMap, VecDeque};

use nettleferry_fleet::bootstrap::{Bootstrap, PeerResponse, Step};
use nettleferry_fleet::gate::{CallInfo, Gate, GateConfig, Verdict};
use nettleferry_fleet::snapshot_version::SnapshotVersion;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::events::Events;
use crate::network::{Meter, Network};
use crate::{Micros, ms};

/// When the administration is back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Back {
    /// Before the controllers.
    First,
    /// Some time after them.
    After(Micros),
    /// Not at all.
    Never,
}

/// What is played.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Plan {
    /// Controllers.
    pub controllers: u32,
    /// The network between them.
    pub network: Network,
    /// When the administration is back.
    pub administration: Back,
    /// Part of the controllers whose kept book is lost.
    pub lost_books: f64,
    /// Tenants, each of about 700 bytes of book.
    pub tenants: u64,
    /// Calls a second at each controller.
    pub calls: f64,
    /// What its workers do a second, warm, in calls; and the part of it that they do as they start.
    pub capacity: f64,
    /// See `capacity`.
    pub cold_part: f64,
    /// For so long.
    pub cold: Micros,
    /// Nothing goes to a cold worker so long after a controller's own start, as the decision module has it.
    pub wait: Micros,
    /// Models in use at each controller; a copy of each has to be loaded again.
    pub models: u32,
    /// A load alone at the store, and how many it bears before each slows all.
    pub load: Micros,
    /// See `load`.
    pub store: u32,
    /// The wanted time and the time after which a client gives up.
    pub aim: Micros,
    /// See `aim`.
    pub deadline: Micros,
    /// The gate judges.
    pub gate: bool,
    /// Length.
    pub length: Micros,
    /// All chance comes from here.
    pub seed: u64,
}

/// What came of it.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// What was played.
    pub plan: Plan,
    /// From the return until nine of ten calls are served in time, from then on; none: not within the length.
    pub ready_ms: Option<u64>,
    /// Calls by what became of them: served in time, served late, refused at once and not again, given up.
    pub in_time: u64,
    /// See `in_time`.
    pub late: u64,
    /// See `in_time`.
    pub refused: u64,
    /// See `in_time`.
    pub given_up: u64,
    /// Refusals in all: a client may be refused more than once.
    pub refusals: u64,
    /// Controllers that have a book, and the last of them had it after this.
    pub with_book: u32,
    /// See `with_book`.
    pub last_book_ms: u64,
    /// Asks and bytes of the worst second at the administration, and at the peer that was asked most.
    pub administration_peak: (u64, u64),
    /// See `administration_peak`.
    pub peer_peak: (u64, u64),
    /// Load orders of the worst second.
    pub orders_peak: u64,
}

/// The ration of load orders, a controller: so many free in a window, and a part of the calls that came in it.
const WINDOW: Micros = 2_000_000;
const FLOOR: f64 = 3.0;
const SHARE: f64 = 0.1;
/// A client that is refused comes back so often.
const MOST_RETURNS: u32 = 4;
/// A client comes back as it was told, or after so long where it waited in vain.
const TENANT_BYTES: u64 = 700;
const EMPTY: u64 = 300;
/// An ask that is not answered by then was not heard.
const PATIENCE: Micros = 1_000_000;
const BIN: Micros = 250_000;

enum Event {
    /// A client calls: when it first did, how often it was refused.
    Call {
        at: usize,
        first: Micros,
        returns: u32,
        model: u32,
    },
    /// The next client of this controller.
    Next(usize),
    /// The call at the head of the queue is served.
    Served(usize),
    Loaded {
        at: usize,
        model: u32,
    },
    Seek(usize),
    Told {
        at: usize,
        peer: Option<usize>,
        has: Option<SnapshotVersion>,
        serial: u64,
    },
    NotTold {
        at: usize,
        peer: Option<usize>,
        serial: u64,
    },
    Tick,
}

struct Waits {
    first: Micros,
    model: u32,
    /// Its number, for the gate.
    call: u64,
}

struct One {
    book: Option<SnapshotVersion>,
    had_book: Micros,
    seeker: Bootstrap,
    serial: u64,
    asked_administration: bool,
    gate: Gate,
    queue: VecDeque<Waits>,
    serving: Option<Waits>,
    loaded: BTreeMap<u32, bool>,
    wanted: VecDeque<u32>,
    orders: VecDeque<Micros>,
    taken: VecDeque<Micros>,
    served: u64,
}

struct Play {
    plan: Plan,
    random: ChaCha8Rng,
    events: Events<Event>,
    ones: Vec<One>,
    loading: u32,
    calls: u64,
    /// By the time of the first call: calls that ended, and those served in time.
    bins: Vec<(u64, u64)>,
    counts: [u64; 4],
    refusals: u64,
    administration: Meter,
    peers: Vec<Meter>,
    orders: Meter,
}

fn book(plan: &Plan) -> SnapshotVersion {
    SnapshotVersion { store: "store".to_owned(), epoch: 1, revision: plan.tenants, checksum: 1 }
}

/// Plays it.
pub fn play(plan: Plan) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut events = Events::default();
    let count = plan.controllers as usize;
    let mut ones = Vec::with_capacity(count);
    for n in 0..count {
        // A machine's start takes its time.
        let start = random.random_range(0..100_000);
        let lost = random.random_bool(plan.lost_books);
        let mut gate = Gate::new(GateConfig::default(), ms(start));
        gate.list_applied(ms(start), 2, true);
        ones.push(One {
            book: (!lost).then(|| book(&plan)),
            had_book: 0,
            seeker: Bootstrap::new(count - 1, random.random()),
            serial: 0,
            asked_administration: false,
            gate,
            queue: VecDeque::new(),
            serving: None,
            loaded: BTreeMap::new(),
            wanted: VecDeque::new(),
            orders: VecDeque::new(),
            taken: VecDeque::new(),
            served: 0,
        });
        events.at(start, Event::Seek(n));
        events.at(start, Event::Next(n));
    }
    events.at(0, Event::Tick);
    let bins = vec![(0, 0); (plan.length / BIN) as usize + 1];
    let mut play = Play {
        plan,
        random,
        events,
        ones,
        loading: 0,
        calls: 0,
        bins,
        counts: [0; 4],
        refusals: 0,
        administration: Meter::default(),
        peers: vec![Meter::default(); count],
        orders: Meter::default(),
    };
    while let Some((now, event)) = play.events.take() {
        if now >= plan.length {
            break;
        }
        play.event(now, event);
    }
    play.outcome()
}

impl Play {
    fn outcome(&self) -> Outcome {
        // Calls of the last deadline have not all ended.
        let last = ((self.plan.length - self.plan.deadline) / BIN) as usize;
        let bins = &self.bins[..last.max(1)];
        let bad = bins.iter().rposition(|(ended, in_time)| (*in_time as f64) < 0.9 * *ended as f64);
        let ready = bad.map_or(0, |at| at + 1);
        let peak = self.peers.iter().map(Meter::peak);
        let peer_peak = peak.fold((0, 0), |a, b| (a.0.max(b.0), a.1.max(b.1)));
        let with_book = self.ones.iter().filter(|one| one.book.is_some());
        Outcome {
            plan: self.plan,
            ready_ms: (ready < bins.len()).then_some(ready as u64 * BIN / 1000),
            in_time: self.counts[0],
            late: self.counts[1],
            refused: self.counts[2],
            given_up: self.counts[3],
            refusals: self.refusals,
            with_book: with_book.clone().count() as u32,
            last_book_ms: with_book.map(|one| ms(one.had_book)).max().unwrap_or(0),
            administration_peak: self.administration.peak(),
            peer_peak,
            orders_peak: self.orders.peak().0,
        }
    }

    fn event(&mut self, now: Micros, event: Event) {
        match event {
            Event::Next(at) => {
                let model = self.random.random_range(0..self.plan.models);
                self.call(now, at, now, 0, model);
                let gap = -(1.0 - self.random.random::<f64>()).ln() / self.plan.calls;
                self.events.at(now + (gap * 1e6) as Micros, Event::Next(at));
            }
            Event::Call { at, first, returns, model } => self.call(now, at, first, returns, model),
            Event::Served(at) => self.served(now, at),
            Event::Loaded { at, model } => {
                self.loading -= 1;
                self.ones[at].loaded.insert(model, true);
                self.serve(now, at);
            }
            Event::Seek(at) => self.seek(now, at),
            Event::Told { at, peer, has, serial } => self.told(now, at, peer, has, serial),
            Event::NotTold { at, peer, serial } => self.told(now, at, peer, None, serial),
            Event::Tick => {
                for at in 0..self.ones.len() {
                    self.order(now, at);
                    let one = &mut self.ones[at];
                    one.gate.advance(ms(now), one.served);
                    self.serve(now, at);
                }
                self.events.at(now + 50_000, Event::Tick);
            }
        }
    }

    // ---- calls ----

    fn end(&mut self, first: Micros, how: usize) {
        self.counts[how] += 1;
        if let Some(bin) = self.bins.get_mut((first / BIN) as usize) {
            bin.0 += 1;
            bin.1 += u64::from(how == 0);
        }
    }

    fn call(&mut self, now: Micros, at: usize, first: Micros, returns: u32, model: u32) {
        let (plan, chance) = (self.plan, self.random.random());
        let one = &mut self.ones[at];
        let left = (first + plan.deadline).saturating_sub(now);
        let verdict = if one.book.is_none() {
            // Who may call is not known.
            Verdict::Reject(500)
        } else if plan.gate {
            let (left, aim, model) = (ms(left), ms(plan.aim), u64::from(model));
            one.gate.admit(
                ms(now),
                &CallInfo {
                    remaining: left,
                    latency_objective: aim,
                    priority_weight: 1.0,
                    non_idempotent: false,
                    model,
                },
                chance,
            )
        } else {
            Verdict::Admit
        };
        match verdict {
            Verdict::Admit => {
                one.taken.push_back(now);
                if !one.loaded.contains_key(&model) && !one.wanted.contains(&model) {
                    one.wanted.push_back(model);
                }
                self.calls += 1;
                one.gate.waiting(ms(now), self.calls, u64::from(model));
                one.queue.push_back(Waits { first, model, call: self.calls });
                self.order(now, at);
                self.serve(now, at);
            }
            Verdict::Reject(wait) => {
                self.refusals += 1;
                let again = now + wait * 1000;
                if returns >= MOST_RETURNS || again >= first + plan.deadline {
                    self.end(first, 2);
                } else {
                    self.events.at(again, Event::Call { at, first, returns: returns + 1, model });
                }
            }
        }
    }

    /// Load orders within the ration; what an earlier life gave in the window counts as the free part.
    fn order(&mut self, now: Micros, at: usize) {
        let one = &mut self.ones[at];
        while one.orders.front().is_some_and(|t| t + WINDOW <= now) {
            one.orders.pop_front();
        }
        while one.taken.front().is_some_and(|t| t + WINDOW <= now) {
            one.taken.pop_front();
        }
        let floor = if now < WINDOW { 0.0 } else { FLOOR };
        while let Some(model) = one.wanted.front().copied() {
            if (one.orders.len() + 1) as f64 > floor + SHARE * one.taken.len() as f64 {
                return;
            }
            one.wanted.pop_front();
            one.orders.push_back(now);
            one.loaded.insert(model, false);
            self.loading += 1;
            self.orders.count(now, 1);
            // The store's crowd as it is when the load begins.
            let crowd = f64::from(self.loading) / f64::from(self.plan.store);
            let takes = self.plan.load as f64 * crowd.max(1.0);
            self.events.at(now + takes as Micros, Event::Loaded { at, model });
        }
    }

    /// The first call of the queue whose copy stands is served, by what the workers do now.
    fn serve(&mut self, now: Micros, at: usize) {
        let plan = self.plan;
        let one = &mut self.ones[at];
        while one.queue.front().is_some_and(|c| c.first + plan.deadline <= now) {
            if let Some(call) = one.queue.pop_front() {
                one.gate.ended(call.call);
                self.counts[3] += 1;
                if let Some(bin) = self.bins.get_mut((call.first / BIN) as usize) {
                    bin.0 += 1;
                }
            }
        }
        if one.serving.is_some() || now < plan.wait {
            return;
        }
        let stands = |c: &Waits| one.loaded.get(&c.model) == Some(&true) && c.first + plan.deadline > now;
        let Some(place) = one.queue.iter().position(stands) else { return };
        one.serving = one.queue.remove(place);
        if let Some(call) = &one.serving {
            one.gate.ended(call.call);
        }
        let part = (now as f64 / plan.cold.max(1) as f64).min(1.0);
        let speed = plan.capacity * (plan.cold_part + (1.0 - plan.cold_part) * part);
        self.events.at(now + (1e6 / speed) as Micros, Event::Served(at));
    }

    fn served(&mut self, now: Micros, at: usize) {
        let one = &mut self.ones[at];
        if let Some(call) = one.serving.take() {
            one.served += 1;
            let took = now - call.first;
            let how = if took <= self.plan.aim {
                0
            } else if took <= self.plan.deadline {
                1
            } else {
                3
            };
            self.end(call.first, how);
        }
        self.serve(now, at);
    }

    // ---- books ----

    fn is_back(&self, now: Micros) -> bool {
        match self.plan.administration {
            Back::First => true,
            Back::After(at) => now >= at,
            Back::Never => false,
        }
    }

    fn ask(&mut self, now: Micros, at: usize, peer: Option<usize>) {
        let one = &mut self.ones[at];
        one.serial += 1;
        let serial = one.serial;
        self.events.at(now + PATIENCE, Event::NotTold { at, peer, serial });
        let Some(there) = self.plan.network.takes(&mut self.random, EMPTY) else { return };
        // Peers are numbered without oneself.
        let has = match peer {
            None => self.is_back(now + there).then(|| book(&self.plan)),
            Some(peer) => self.ones[if peer >= at { peer + 1 } else { peer }].book.clone(),
        };
        if peer.is_none() && has.is_none() {
            return;
        }
        let bytes = EMPTY + has.as_ref().map_or(0, |_| self.plan.tenants * TENANT_BYTES);
        match peer {
            None => self.administration.count(now + there, bytes),
            Some(peer) => self.peers[if peer >= at { peer + 1 } else { peer }].count(now + there, bytes),
        }
        if let Some(back) = self.plan.network.takes(&mut self.random, bytes) {
            self.events.at(now + there + back, Event::Told { at, peer, has, serial });
        }
    }

    fn seek(&mut self, now: Micros, at: usize) {
        if self.ones[at].book.is_some() {
            return;
        }
        if !std::mem::replace(&mut self.ones[at].asked_administration, true) {
            return self.ask(now, at, None);
        }
        match self.ones[at].seeker.next(ms(now)) {
            Step::Wait(until) => {
                // Meanwhile the administration may be back.
                self.ones[at].asked_administration = false;
                let until = until.saturating_mul(1000).clamp(now + 100_000, now + 10_000_000);
                self.events.at(until, Event::Seek(at));
            }
            Step::Request(peer) => self.ask(now, at, Some(peer)),
            Step::Install(_) => {
                let held = book(&self.plan);
                let one = &mut self.ones[at];
                (one.book, one.had_book) = (Some(held), now);
            }
            Step::Forked => self.events.at(now + 100_000, Event::Seek(at)),
        }
    }

    fn told(
        &mut self,
        now: Micros,
        at: usize,
        peer: Option<usize>,
        has: Option<SnapshotVersion>,
        serial: u64,
    ) {
        let one = &mut self.ones[at];
        if one.serial != serial || one.book.is_some() {
            return;
        }
        one.serial += 1;
        match (peer, has) {
            (None, Some(book)) => (one.book, one.had_book) = (Some(book), now),
            (None, None) => {}
            (Some(peer), Some(book)) => one.seeker.peer_responded(peer, PeerResponse::Snapshot(book)),
            (Some(peer), None) => one.seeker.peer_responded(peer, PeerResponse::NoSnapshot),
        }
        self.events.at(now, Event::Seek(at));
    }
}
