//! Controllers that follow one administration while tenants change, over a network that loses: the real leases and
//! the real roll, asks and waits as the program has them.

use hdrhistogram::Histogram;
use nettleferry_fleet::lease::{self, HEARTBEATS_PER_SPAN, Holder, LeasePolicy};
use nettleferry_fleet::membership::{Incarnation, MemberState, Membership, Version};
use nettleferry_tenancy::replication::{MAX_BACKOFF, MIN_BACKOFF};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::events::Events;
use crate::network::{Meter, Network};
use crate::{Micros, ms};

/// A change and its entry, and an ask or an answer without one, bytes.
const ENTRY: u64 = 700;
const EMPTY: u64 = 400;
/// Work of the administration on one ask.
const WORK: Micros = 30;
/// The shares of a lease's patience: as the program has them, see `admin/follow.rs`.
const PATIENCE_PARTS: u64 = 2;

/// What is played.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Plan {
    /// Controllers that follow.
    pub controllers: u32,
    /// The network.
    pub network: Network,
    /// Span of a lease, milliseconds.
    pub lease_ms: u64,
    /// Changes a second; each takes something away.
    pub changes: f64,
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
    /// Changes made, and acknowledged as in force everywhere.
    pub made: u64,
    /// See `made`.
    pub acknowledged: u64,
    /// From a change to its acknowledgement, milliseconds: half of them, ninety-nine of a hundred, all.
    pub p50_ms: f64,
    /// See `p50_ms`.
    pub p99_ms: f64,
    /// See `p50_ms`.
    pub most_ms: f64,
    /// Part of the controllers' time without a lease, though all run and only packets are lost.
    pub shut_out: f64,
    /// Acts without an acknowledged change: never.
    pub wrong: u64,
    /// Asks a second at the administration: the mean, and the most of a second.
    pub asks_mean: f64,
    /// See `asks_mean`.
    pub asks_peak: u64,
    /// Bytes a second that it sends, the most of a second.
    pub bytes_peak: u64,
    /// Part of the time for which its thread works.
    pub busy: f64,
}

enum Event {
    Change,
    Ask(usize),
    Arrives {
        who: usize,
        asked: Micros,
        serial: u64,
        has: u64,
    },
    /// A watch that waits is answered, change or not.
    Due {
        who: usize,
        serial: u64,
    },
    Answered {
        who: usize,
        asked: Micros,
        serial: u64,
        book: u64,
        span: Option<u64>,
    },
    /// An answer that has not come by then is not waited for.
    GivenUp {
        who: usize,
        serial: u64,
    },
    Look,
}

struct One {
    revision: u64,
    holder: Holder,
    serial: u64,
    failures: u32,
    span: Option<u64>,
}

struct Play {
    plan: Plan,
    random: ChaCha8Rng,
    events: Events<Event>,
    roll: Membership,
    book: u64,
    ones: Vec<One>,
    /// Watches that wait at the administration: whose, asked when, under which serial.
    waiting: Vec<Option<(Micros, u64)>>,
    /// Changes that are not acknowledged yet: when each was made.
    open: Vec<(u64, Micros)>,
    acknowledged: u64,
    times: Histogram<u64>,
    meter: Meter,
    /// The administration's thread is busy until then, and was for so long in all.
    until: Micros,
    worked: Micros,
    without: (u64, u64),
    wrong: u64,
}

fn who(n: usize) -> Incarnation {
    Incarnation { controller: n as u32, incarnation: 1 }
}

/// Plays it.
pub fn play(plan: Plan) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut events = Events::default();
    let count = plan.controllers as usize;
    for n in 0..count {
        events.at(random.random_range(0..200_000), Event::Ask(n));
    }
    events.at(1_000_000, Event::Change);
    events.at(0, Event::Look);
    let one = |_| One {
        revision: 0,
        holder: Holder::new(0, LeasePolicy { rejects: true, not_ready_after: None }),
        serial: 0,
        failures: 0,
        span: None,
    };
    let mut play = Play {
        plan,
        random,
        events,
        roll: Membership::new(0, Some(plan.lease_ms), None, 0),
        book: 0,
        ones: (0..count).map(one).collect(),
        waiting: vec![None; count],
        open: Vec::new(),
        acknowledged: 0,
        // Up to a hundred seconds, in tenths of a millisecond and three digits.
        times: Histogram::new_with_bounds(1, 1_000_000, 3)
            .unwrap_or_else(|_| Histogram::new(3).expect("three digits")),
        meter: Meter::default(),
        until: 0,
        worked: 0,
        without: (0, 0),
        wrong: 0,
    };
    while let Some((now, event)) = play.events.take() {
        if now >= plan.length {
            break;
        }
        play.event(now, event);
    }
    let (asks_peak, bytes_peak) = play.meter.peak();
    let seconds = plan.length as f64 / 1e6;
    Outcome {
        plan,
        made: play.book,
        acknowledged: play.acknowledged,
        p50_ms: play.times.value_at_quantile(0.5) as f64 / 10.0,
        p99_ms: play.times.value_at_quantile(0.99) as f64 / 10.0,
        most_ms: play.times.max() as f64 / 10.0,
        shut_out: play.without.0 as f64 / play.without.1.max(1) as f64,
        wrong: play.wrong,
        asks_mean: play.meter.total() as f64 / seconds,
        asks_peak,
        bytes_peak,
        busy: play.worked as f64 / plan.length as f64,
    }
}

impl Play {
    fn event(&mut self, now: Micros, event: Event) {
        match event {
            Event::Change => {
                self.book += 1;
                self.open.push((self.book, now));
                for n in 0..self.waiting.len() {
                    if let Some((asked, serial)) = self.waiting[n].take() {
                        self.answer(now, n, asked, serial);
                    }
                }
                let gap = -(1.0 - self.random.random::<f64>()).ln() / self.plan.changes;
                self.events.at(now + (gap * 1e6) as Micros, Event::Change);
            }
            Event::Ask(n) => self.ask(now, n),
            Event::Arrives { who: n, asked, serial, has } => self.arrives(now, n, asked, serial, has),
            Event::Due { who, serial } => {
                if let Some((asked, _)) = self.waiting[who].take_if(|(_, s)| *s == serial) {
                    self.answer(now, who, asked, serial);
                }
            }
            Event::Answered { who, asked, serial, book, span } => {
                let one = &mut self.ones[who];
                if one.serial != serial {
                    return;
                }
                one.serial += 1;
                (one.failures, one.span) = (0, span.or(one.span));
                one.revision = one.revision.max(book);
                if let Some(span) = span {
                    one.holder.renewed(lease::ends(ms(asked), span));
                }
                self.ask(now, who);
            }
            Event::GivenUp { who, serial } => {
                let one = &mut self.ones[who];
                if one.serial != serial {
                    return;
                }
                one.serial += 1;
                one.failures += 1;
                let most = (MIN_BACKOFF << (one.failures - 1).min(16)).min(MAX_BACKOFF);
                let wait = self.random.random_range(most / 2..=most);
                self.events.at(now + wait * 1000, Event::Ask(who));
            }
            Event::Look => self.look(now),
        }
    }

    fn ask(&mut self, now: Micros, n: usize) {
        let one = &self.ones[n];
        let (serial, has) = (one.serial, one.revision);
        let patience = one.span.map_or(2_000, |span| span / HEARTBEATS_PER_SPAN * PATIENCE_PARTS);
        self.events.at(now + patience * 1000, Event::GivenUp { who: n, serial });
        if let Some(takes) = self.plan.network.takes(&mut self.random, EMPTY) {
            self.events.at(now + takes, Event::Arrives { who: n, asked: now, serial, has });
        }
    }

    /// The administration's thread takes one thing after the other; when it has done this one.
    fn work(&mut self, now: Micros) -> Micros {
        self.until = self.until.max(now) + WORK;
        self.worked += WORK;
        self.until
    }

    fn arrives(&mut self, now: Micros, n: usize, asked: Micros, serial: u64, has: u64) {
        self.meter.count(now, EMPTY);
        let done = self.work(now);
        let at = Version { epoch: 1, revision: has };
        self.roll.heartbeat(
            ms(done),
            who(n),
            MemberState { in_force: at, persisted: at, requires_lease: true },
        );
        self.acknowledge(done);
        let first = self.ones[n].span.is_none();
        if has < self.book || first {
            return self.answer(done, n, asked, serial);
        }
        self.waiting[n] = Some((asked, serial));
        let wait = self.plan.lease_ms / HEARTBEATS_PER_SPAN;
        self.events.at(done + wait * 1000, Event::Due { who: n, serial });
    }

    fn answer(&mut self, now: Micros, n: usize, asked: Micros, serial: u64) {
        let done = self.work(now);
        let book = Version { epoch: 1, revision: self.book };
        let Ok(span) = self.roll.grant(ms(done), who(n), book) else { return };
        let behind = self.book - self.ones[n].revision.min(self.book);
        let bytes = EMPTY + ENTRY * behind;
        self.meter.count(done, bytes);
        if let Some(takes) = self.plan.network.takes(&mut self.random, bytes) {
            let answered = Event::Answered { who: n, asked, serial, book: self.book, span };
            self.events.at(done + takes, answered);
        }
    }

    fn acknowledge(&mut self, now: Micros) {
        while let Some(&(revision, made)) = self.open.first() {
            if !self.roll.progress(ms(now), Version { epoch: 1, revision }, 0).is_in_force() {
                return;
            }
            self.open.remove(0);
            self.acknowledged = revision;
            let _ = self.times.record(((now - made) / 100).max(1));
            // Whoever may act now has it in force.
            let behind = |one: &&One| one.revision < revision && one.holder.stage(ms(now)).accepts_calls();
            self.wrong += self.ones.iter().filter(behind).count() as u64;
        }
    }

    fn look(&mut self, now: Micros) {
        self.acknowledge(now);
        // The first span belongs to the start.
        if ms(now) > self.plan.lease_ms {
            for one in &self.ones {
                self.without.1 += 1;
                self.without.0 += u64::from(!one.holder.stage(ms(now)).accepts_calls());
            }
        }
        self.events.at(now + 20_000, Event::Look);
    }
}
