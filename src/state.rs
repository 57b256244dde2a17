//! What a controller remembers, as plain types. Nothing here decides anything: see `choice.rs`.

use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::interface::*;
use crate::rendezvous::{Candidates, Fleet, Homes};

#[derive(Default)]
pub(crate) struct Worker {
    pub(crate) entry: WorkerEntry,
    /// Attempts out: all, and those on copies thought warm (the bound of the design counts these).
    pub(crate) out: u32,
    pub(crate) busy: u32,
    pub(crate) loads: usize,
    /// Failing share, whether a bar stands, till when and how long the next one lasts, trial under way.
    pub(crate) failing: f64,
    pub(crate) barred: bool,
    pub(crate) barred_until: Micros,
    /// Its process died or is silent: probes tell when it is back.
    pub(crate) down: bool,
    pub(crate) bar: Micros,
    pub(crate) trial: bool,
    /// When it last answered anything, and whether a check for its silence is set.
    pub(crate) heard: Micros,
    pub(crate) watched: Option<Micros>,
    pub(crate) probed: Option<Micros>,
    /// A connection to it failed: the probe under way tells whether its process did.
    pub(crate) doubt: bool,
    /// The probe before the one under way was not answered.
    pub(crate) unanswered: bool,
    /// Functions whose orders were lost with their connections.
    pub(crate) lost: BTreeSet<FunctionId>,
    /// Strain told by its last answer, and when.
    pub(crate) strained: (f64, Micros),
    /// Its last report, and when it came.
    pub(crate) told: Option<(Report, Micros)>,
    /// When it came up, as far as known; until when its parts were another life's of ours, and how much will have been
    /// dealt out when the next is ours.
    pub(crate) born: Option<Micros>,
    pub(crate) cold_from: Option<Micros>,
    pub(crate) cold_used: f64,
}

impl Worker {
    /// It came up then; its parts until `from` were another life's of ours.
    pub(crate) fn starts(&mut self, born: Option<Micros>, from: Option<Micros>) {
        (self.born, self.cold_from, self.cold_used) = (born, from, 0.0);
    }
}

#[derive(Default)]
pub(crate) struct Function {
    pub(crate) latencies: VecDeque<f64>,
    pub(crate) arrivals: VecDeque<Micros>,
    pub(crate) lanes: u32,
    pub(crate) load_time: Option<f64>,
    pub(crate) warm: BTreeMap<WorkerId, Micros>,
    pub(crate) loading: BTreeMap<WorkerId, Micros>,
    /// Workers that turned its copy away: left alone until when, and how often in a row.
    pub(crate) shun: BTreeMap<WorkerId, (Micros, u32)>,
    pub(crate) out: BTreeMap<WorkerId, u32>,
    /// When a copy was last ordered: what was found before is not believed after a further miss.
    pub(crate) ordered: Option<Micros>,
    /// Calls of it over its lanes, as last told by each worker and when.
    pub(crate) told: BTreeMap<WorkerId, (f64, Micros)>,
    pub(crate) held: u32,
    pub(crate) last: Micros,
    /// The first workers of its rendezvous order.
    pub(crate) homes: Homes,
    /// The sweep that it last went through, as in `Controller::swept`.
    pub(crate) settled: Micros,
    /// Where it stands in `Controller::resting`.
    pub(crate) rests: Micros,
}

impl Function {
    /// Mean of the latencies kept, microseconds; 0 where there are none.
    pub(crate) fn mean(&self) -> f64 {
        self.latencies.iter().sum::<f64>() / self.latencies.len().max(1) as f64
    }
}

pub(crate) type Priority = (bool, u64, u64);

#[derive(Default)]
pub(crate) struct Call {
    pub(crate) class: usize,
    pub(crate) function: FunctionId,
    pub(crate) arrived: Micros,
    pub(crate) answer_by: Micros,
    /// Late (past hope of its aim), count x mean, order of arrival.
    pub(crate) priority: Priority,
    pub(crate) attempts: u32,
    pub(crate) out: Option<u32>,
    pub(crate) held: bool,
    /// The first attempt that may have run: where and when.
    pub(crate) ran: Option<(WorkerId, Micros)>,
    /// Where the last attempt failed: tried again only when nothing else will do.
    pub(crate) avoid: Option<WorkerId>,
    /// Workers probed for it.
    pub(crate) probes: u32,
    pub(crate) streaming: bool,
}

pub(crate) struct Flight {
    pub(crate) worker: WorkerId,
    pub(crate) function: FunctionId,
    pub(crate) class: usize,
    pub(crate) sent: Micros,
    pub(crate) loading: bool,
    pub(crate) trial: bool,
    /// A probe was sent because it is late.
    pub(crate) asked: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Due {
    Answer(RequestId),
    Late(RequestId),
    Silence(WorkerId),
    Tick,
    Ask,
}

pub(crate) fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

pub(crate) fn blend(mean: &mut Option<f64>, seen: f64, weight: f64) {
    *mean = Some(mean.map_or(seen, |m| m + (seen - m) * weight));
}

/// One controller's decisions.
#[derive(Default)]
pub struct Controller {
    pub(crate) settings: Settings,
    pub(crate) random: u64,
    /// The time of the event in hand, and what has been decided on it so far.
    pub(crate) now: Micros,
    pub(crate) out: Vec<Action>,
    pub(crate) started: Option<Micros>,
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    /// The workers in service, as the rendezvous orders need them, and those that are gone and still known.
    pub(crate) fleet: Fleet,
    pub(crate) gone: BTreeSet<WorkerId>,
    /// Per class, the workers that are open to its calls, where this event asked for them.
    pub(crate) open: Vec<OnceCell<Candidates>>,
    pub(crate) functions: BTreeMap<FunctionId, Function>,
    /// What `warm` and `loading` of all functions hold, by worker, and the functions with loads under way.
    pub(crate) copies: BTreeSet<(WorkerId, FunctionId)>,
    pub(crate) loads: BTreeSet<FunctionId>,
    /// When each function is looked at next by a sweep, in spans of `REST_BUCKET`.
    pub(crate) resting: BTreeMap<Micros, Vec<FunctionId>>,
    pub(crate) calls: BTreeMap<RequestId, Call>,
    pub(crate) held: BTreeMap<Priority, RequestId>,
    pub(crate) flights: BTreeMap<(RequestId, u32), Flight>,
    pub(crate) due: BTreeSet<(Micros, Due)>,
    pub(crate) armed: Option<Micros>,
    pub(crate) ticking: bool,
    pub(crate) sequence: u64,
    /// Mean latency per class at workers where we had nothing else out: near the work itself.
    pub(crate) class_work: Vec<Option<f64>>,
    pub(crate) load_mean: Option<f64>,
    pub(crate) orders: VecDeque<Micros>,
    pub(crate) taken: VecDeque<Micros>,
    pub(crate) tenant_taken: BTreeMap<TenantId, VecDeque<Micros>>,
    pub(crate) ask_wait: Micros,
    pub(crate) swept: Micros,
}

/// Book-keeping that keeps the counts in step; no choice is made here.
impl Controller {
    /// Health of the listed workers, as the events so far show it: for figures.
    pub fn health(&self) -> impl Iterator<Item = Health> + '_ {
        self.workers.iter().filter(|(_, w)| w.entry.state != WorkerState::Gone).map(|(id, w)| Health {
            worker: *id,
            state: w.entry.state,
            ejected: w.barred,
            down: w.down,
        })
    }

    /// Rendezvous hashes computed so far: the work that grows with the number of workers, for figures.
    pub fn hashes(&self) -> u64 {
        self.fleet.hashes()
    }

    /// Things remembered in all, so that an owner can show that they stay bounded.
    pub fn remembered(&self) -> usize {
        let of = |f: &Function| {
            let maps = f.warm.len() + f.loading.len() + f.shun.len() + f.out.len() + f.told.len();
            1 + maps + f.arrivals.len() + f.latencies.len() + f.homes.workers().len()
        };
        let functions: usize = self.functions.values().map(of).sum();
        let workers: usize = self.workers.values().map(|w| 1 + w.lost.len()).sum();
        let calls = self.calls.len() + self.held.len() + self.flights.len() + self.due.len();
        let tenants: usize = self.tenant_taken.values().map(VecDeque::len).sum();
        let resting: usize = self.resting.values().map(Vec::len).sum();
        let copies = self.copies.len() + self.loads.len() + self.gone.len();
        functions + workers + calls + tenants + resting + copies + self.orders.len() + self.taken.len()
    }

    /// Sets a worker's one check for silence, in place of one that is set.
    pub(crate) fn check_at(&mut self, id: WorkerId, at: Micros) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        if let Some(set) = worker.watched.replace(at) {
            self.due.remove(&(set, Due::Silence(id)));
        }
        self.due.insert((at, Due::Silence(id)));
    }

    /// Keeps a worker's report; what is no number counts as not told.
    pub(crate) fn news(&mut self, at: WorkerId, report: Report) {
        let sane = |x: Option<f64>| x.filter(|x| x.is_finite() && *x >= 0.0);
        let report = Report { inflight: sane(report.inflight), util: sane(report.util), ..report };
        if let Some(worker) = self.workers.get_mut(&at) {
            worker.told = Some((report, self.now));
        }
    }

    pub(crate) fn strained(&mut self, at: WorkerId, strain: f64) {
        if let Some(worker) = self.workers.get_mut(&at) {
            worker.strained = (strain, self.now);
        }
    }

    /// The number of a call's newest attempt that is out, as counted here.
    pub fn last_attempt(&self, request: RequestId) -> Option<u32> {
        let all = (request, 0)..=(request, u32::MAX);
        self.flights.range(all).next_back().map(|((_, number), _)| *number)
    }

    pub(crate) fn take_back(&mut self, flight: &Flight) {
        if let Some(worker) = self.workers.get_mut(&flight.worker) {
            worker.out = worker.out.saturating_sub(1);
            if !flight.loading {
                worker.busy = worker.busy.saturating_sub(1);
            }
            if flight.trial {
                worker.trial = false;
            }
        }
        if let Some(function) = self.functions.get_mut(&flight.function)
            && let Some(out) = function.out.get_mut(&flight.worker)
        {
            *out = out.saturating_sub(1);
            if *out == 0 {
                function.out.remove(&flight.worker);
            }
        }
    }

    /// Has any worker served this function, as far as is remembered?
    pub(crate) fn served_before(&self, id: FunctionId) -> bool {
        self.functions.get(&id).is_some_and(|f| !f.latencies.is_empty() || !f.warm.is_empty())
    }

    /// Was a copy found there no longer ago than it stays at least?
    pub(crate) fn warm_at(&self, function: &Function, worker: WorkerId) -> bool {
        function.warm.get(&worker).is_some_and(|&at| at + self.settings.loading.keep_alive > self.now)
    }

    /// Did it start no longer ago than it takes to be warm?
    pub(crate) fn cold(&self, worker: &Worker) -> bool {
        worker.born.is_some_and(|born| self.now < born + self.settings.rules.warm_up)
    }

    pub(crate) fn unhold(&mut self, id: RequestId) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if call.held {
            call.held = false;
            self.held.remove(&call.priority);
            if let Some(function) = self.functions.get_mut(&call.function) {
                function.held = function.held.saturating_sub(1);
            }
        }
    }

    pub(crate) fn finish(&mut self, id: RequestId) {
        self.unhold(id);
        if let Some(call) = self.calls.remove(&id) {
            self.due.remove(&(call.answer_by, Due::Answer(id)));
        }
    }

    pub(crate) fn arm(&mut self) {
        if self.armed.is_some_and(|t| t <= self.now) {
            self.armed = None;
        }
        if let Some(&(at, _)) = self.due.first()
            && self.armed.is_none_or(|t| at < t)
        {
            self.armed = Some(at);
            self.out.push(Action::SetTimer { after: at.saturating_sub(self.now), tag: TAG });
        }
    }
}

/// The module sets its timers under one tag.
const TAG: u64 = 1;
