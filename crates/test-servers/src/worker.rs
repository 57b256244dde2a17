//! The worker model: no I/O, no clock. Running calls share the cores; a cold worker has a part of them, grows
//! warm, and falls over when it is sent too much before that. Equal inputs give equal outputs.

use std::collections::{BTreeMap, VecDeque};

use crate::spec::Spec;
use crate::store::{Micros, Store};

/// A call at this worker.
pub type CallNo = u64;

/// What is told of copies, with the published numbers of the note.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    /// A copy stood loaded.
    Warm = 1,
    /// The call began a load.
    Began = 2,
    /// It waited for one.
    Waited = 3,
}

/// Why a call is turned away unseen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Away {
    /// Queue or memory is full.
    Full,
    /// The model is not loaded, and calls load none here.
    Miss,
    /// The load it waited for failed.
    LoadFailed,
}

/// What the worker does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Done {
    /// A call begins to run: from here on it has an effect.
    Runs(CallNo),
    /// One more share of its work is done; the last one is its end.
    Step(CallNo, u32),
    /// A call is turned away.
    Away(CallNo, Away),
    /// An order is answered: copies that stand, and whether the wanted ones do.
    Order(u64, u32, bool),
    /// It fell over: too much while cold.
    Fell,
}

/// A load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Share of the cores in use.
    pub util: f64,
    /// Calls running.
    pub inflight: usize,
    /// Calls waiting.
    pub queue: usize,
    /// Share of memory that running or loading copies hold.
    pub memory_held: f64,
    /// Loads under way or waiting.
    pub loads: usize,
}

/// A call that comes: `steps` parts, of `work` in all.
#[derive(Clone, Copy, Debug)]
pub struct Asked<'a> {
    /// Its number.
    pub no: CallNo,
    /// Its model.
    pub model: &'a str,
    /// Core time of all parts.
    pub work: Micros,
    /// Parts.
    pub steps: u32,
}

struct Running {
    model: String,
    step: u32,
    steps: u32,
    /// Core time per step, and left of the present one.
    each: f64,
    left: f64,
}

struct Waiting {
    no: CallNo,
    model: String,
    steps: u32,
    work: Micros,
}

#[derive(Default)]
struct Copies {
    standing: u32,
    running: u32,
    /// Ends of loads under way: when the fetch ends (the store is free then) and when the copy stands.
    loading: Vec<(Micros, Micros, bool)>,
    /// Loads that wait for their turn.
    wanted: u32,
    used: Micros,
    memory: u64,
    lanes: u32,
}

/// A worker.
pub struct Worker {
    spec: Spec,
    /// When it started cold; `None`: long ago.
    born: Option<Micros>,
    now: Micros,
    running: BTreeMap<CallNo, Running>,
    waiting: VecDeque<Waiting>,
    copies: BTreeMap<String, Copies>,
    orders: Vec<(u64, String, u32)>,
    /// Work that came while cold: when, and how much.
    came: VecDeque<(Micros, f64)>,
    notes: BTreeMap<CallNo, (Note, u32)>,
    down: bool,
    out: Vec<Done>,
}

/// Most work events remembered for falling over.
const MOST_CAME: usize = 100_000;

impl Worker {
    /// A worker that starts now; `cold`: with a part of its capacity.
    pub fn new(spec: Spec, now: Micros, cold: bool) -> Self {
        let born = cold.then_some(now);
        Self {
            spec,
            born,
            now,
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
            copies: BTreeMap::new(),
            orders: Vec::new(),
            came: VecDeque::new(),
            notes: BTreeMap::new(),
            down: false,
            out: Vec::new(),
        }
    }

    /// Its description.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    fn share(&self) -> f64 {
        let Some(born) = self.born else { return 1.0 };
        let age = self.now.saturating_sub(born) as f64;
        if self.spec.cold == 0 || age >= self.spec.cold as f64 {
            return 1.0;
        }
        self.spec.start_capacity + (1.0 - self.spec.start_capacity) * age / self.spec.cold as f64
    }

    /// Core time that a running call gets per microsecond.
    fn speed(&self) -> f64 {
        let cores = self.spec.cores * self.share();
        (cores / self.running.len().max(1) as f64).min(1.0)
    }

    /// When [`Worker::pass`] is wanted next.
    pub fn next(&self) -> Option<Micros> {
        let speed = self.speed();
        let steps = self.running.values().map(|r| self.now + (r.left / speed).ceil().max(1.0) as Micros);
        let loads = self
            .copies
            .values()
            .flat_map(|c| &c.loading)
            .map(|(fetch, stand, fetched)| if *fetched { *stand } else { (*fetch).min(*stand) });
        let idle = self.copies.values().filter(|c| c.standing > 0 && c.running == 0);
        let idle = idle.map(|c| c.used + self.spec.keep_alive);
        steps.chain(loads).chain(idle).min().map(|at| at.max(self.now + 1))
    }

    /// Lets time pass.
    pub fn pass(&mut self, now: Micros, store: &mut Store, out: &mut Vec<Done>) {
        while let Some(at) = self.next().filter(|at| *at <= now) {
            self.advance(at);
            self.loads_end(store);
            self.idle_go();
            self.start(store);
        }
        self.advance(now);
        out.append(&mut self.out);
    }

    fn advance(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.now) as f64 * self.speed();
        self.now = now.max(self.now);
        let mut over = Vec::new();
        for (no, run) in &mut self.running {
            run.left -= passed;
            while run.left <= 0.5 && run.step < run.steps {
                self.out.push(Done::Step(*no, run.step));
                run.step += 1;
                run.left += run.each;
            }
            if run.step == run.steps {
                over.push(*no);
            }
        }
        for no in over {
            self.stop(no);
        }
    }

    fn stop(&mut self, no: CallNo) {
        if let Some(run) = self.running.remove(&no)
            && let Some(copies) = self.copies.get_mut(&run.model)
        {
            copies.running = copies.running.saturating_sub(1);
            copies.used = self.now;
        }
    }

    /// A call comes.
    pub fn call(&mut self, now: Micros, asked: Asked, store: &mut Store, out: &mut Vec<Done>) {
        let Asked { no, model, work, steps } = asked;
        self.pass(now, store, out);
        self.pressed(work as f64);
        if self.down {
            out.append(&mut self.out);
            return;
        }
        let crowd = self.held(model);
        let stands = self.copies.get(model).is_some_and(|c| c.standing > 0);
        let loads = self.copies.get(model).is_some_and(|c| !c.loading.is_empty() || c.wanted > 0);
        let note = match (stands, loads) {
            (true, _) => Note::Warm,
            (false, true) => Note::Waited,
            (false, false) => Note::Began,
        };
        self.notes.insert(no, (note, crowd));
        let away = if self.waiting.len() >= self.spec.queue {
            Some(Away::Full)
        } else if note == Note::Began && !self.spec.load_when_absent {
            Some(Away::Miss)
        } else if note == Note::Began && !self.want(model, 1) {
            Some(Away::Full)
        } else {
            None
        };
        if let Some(away) = away {
            self.out.push(Done::Away(no, away));
        } else {
            let model = model.to_owned();
            self.waiting.push_back(Waiting { no, model, steps: steps.max(1), work });
            self.start(store);
        }
        out.append(&mut self.out);
    }

    /// What the answer to a call tells of copies: taken once.
    pub fn note(&mut self, no: CallNo) -> Option<(Note, u32)> {
        self.notes.remove(&no)
    }

    /// Work that comes presses a cold worker, also what it turns away.
    fn pressed(&mut self, work: f64) {
        if self.share() >= 1.0 {
            self.came.clear();
            return;
        }
        self.came.push_back((self.now, work));
        if self.came.len() > MOST_CAME {
            self.came.pop_front();
        }
        let span = self.spec.fall;
        while self.came.front().is_some_and(|(at, _)| at + span < self.now) {
            self.came.pop_front();
        }
        let sent: f64 = self.came.iter().map(|(_, work)| work).sum();
        let can = self.spec.cores * self.share() * span as f64;
        // A little slack for chance: one call is never too much.
        if sent > self.spec.overload_factor * can + work {
            self.down = true;
            self.out.push(Done::Fell);
        }
    }

    fn held(&self, model: &str) -> u32 {
        let running = self.copies.get(model).map_or(0, |c| c.running);
        running + self.waiting.iter().filter(|w| w.model == model).count() as u32
    }

    /// The caller lost interest: a call that waits is dropped, a running one goes on to its end.
    pub fn cancel(&mut self, now: Micros, no: CallNo, store: &mut Store, out: &mut Vec<Done>) {
        self.pass(now, store, out);
        self.waiting.retain(|w| w.no != no);
        self.notes.remove(&no);
    }

    /// An order to hold at least `copies`; 0 asks.
    pub fn order(
        &mut self,
        now: Micros,
        no: u64,
        model: &str,
        copies: u32,
        store: &mut Store,
        out: &mut Vec<Done>,
    ) {
        self.pass(now, store, out);
        let have = self.copies.get(model).map_or(0, |c| c.standing + c.loading.len() as u32 + c.wanted);
        let stands = self.copies.get(model).map_or(0, |c| c.standing);
        if let Some(c) = self.copies.get_mut(model) {
            c.used = self.now;
        }
        if copies <= stands {
            self.out.push(Done::Order(no, stands, true));
        } else if copies > have && !self.want(model, copies - have) {
            self.out.push(Done::Order(no, stands, false));
        } else {
            self.orders.push((no, model.to_owned(), copies));
            self.start(store);
        }
        out.append(&mut self.out);
    }

    /// Unloads the idle copies of a model.
    pub fn unload(&mut self, model: &str) {
        if let Some(c) = self.copies.get_mut(model) {
            c.standing = c.running.div_ceil(c.lanes.max(1));
        }
    }

    /// Its load now.
    pub fn load(&self) -> Load {
        let busy = self.running.len() as f64 / (self.spec.cores * self.share());
        let loading: usize = self.copies.values().map(|c| c.loading.len() + c.wanted as usize).sum();
        let held = self.copies.values().map(|c| {
            let work = u64::from(c.running.div_ceil(c.lanes.max(1)));
            (work + c.loading.len() as u64) * c.memory
        });
        Load {
            util: busy.min(1.0),
            inflight: self.running.len(),
            queue: self.waiting.len(),
            memory_held: held.sum::<u64>() as f64 / self.spec.memory.max(1) as f64,
            loads: loading,
        }
    }

    /// Copies of a model that stand.
    pub fn standing(&self, model: &str) -> u32 {
        self.copies.get(model).map_or(0, |c| c.standing)
    }

    /// All copies of models that begin so go void: they were released anew.
    pub fn void(&mut self, prefix: &str) {
        for (_, c) in self.copies.iter_mut().filter(|(model, _)| model.starts_with(prefix)) {
            c.standing = c.running.div_ceil(c.lanes.max(1));
        }
    }

    /// Gives back what it holds of the store, when it dies.
    pub fn let_go(&mut self, store: &mut Store) {
        for copies in self.copies.values_mut() {
            for (_, _, fetched) in copies.loading.drain(..) {
                if !fetched {
                    store.end();
                }
            }
        }
    }

    // ---- loads ----

    /// Makes room for `count` copies more and queues their loads. False: there is no room.
    fn want(&mut self, model: &str, count: u32) -> bool {
        let told = self.spec.model(model);
        let need = told.memory * u64::from(count);
        let held = |c: &Copies| (u64::from(c.standing + c.wanted) + c.loading.len() as u64) * c.memory;
        let mut free = self.spec.memory.saturating_sub(self.copies.values().map(held).sum());
        while free < need {
            // Idle copies of other models give way, the longest unused first.
            let idle = self.copies.iter_mut().filter(|(name, c)| {
                name.as_str() != model && c.standing > c.running.div_ceil(c.lanes.max(1))
            });
            let Some((_, oldest)) = idle.min_by_key(|(_, c)| c.used) else { return false };
            oldest.standing -= 1;
            free += oldest.memory;
        }
        let copies = self.copies.entry(model.to_owned()).or_default();
        (copies.memory, copies.lanes, copies.used) = (told.memory, told.lanes, self.now);
        copies.wanted += count;
        true
    }

    fn begin_loads(&mut self, store: &mut Store) {
        let mut loading: usize = self.copies.values().map(|c| c.loading.len()).sum();
        let models: Vec<String> =
            self.copies.iter().filter(|(_, c)| c.wanted > 0).map(|(name, _)| name.clone()).collect();
        for model in models {
            while loading < self.spec.loads_at_once && self.copies[&model].wanted > 0 {
                let told = self.spec.model(&model);
                let alone = (told.load_time as f64 * told.fetch_share) as Micros;
                let start = told.load_time - alone;
                let fetch = store.begin(alone);
                let Some(copies) = self.copies.get_mut(&model) else { break };
                copies.wanted -= 1;
                match fetch {
                    Some(span) => {
                        copies.loading.push((self.now + span, self.now + span + start, false));
                        loading += 1;
                    }
                    None => self.load_failed(&model),
                }
            }
        }
    }

    fn load_failed(&mut self, model: &str) {
        let Some(c) = self.copies.get(model) else { return };
        if c.standing > 0 || !c.loading.is_empty() || c.wanted > 0 {
            return;
        }
        let gone: Vec<CallNo> = self.waiting.iter().filter(|w| w.model == model).map(|w| w.no).collect();
        self.waiting.retain(|w| w.model != model);
        self.out.extend(gone.into_iter().map(|no| Done::Away(no, Away::LoadFailed)));
        let orders: Vec<u64> = self.orders.iter().filter(|o| o.1 == model).map(|o| o.0).collect();
        self.orders.retain(|o| o.1 != model);
        self.out.extend(orders.into_iter().map(|no| Done::Order(no, 0, false)));
    }

    fn loads_end(&mut self, store: &mut Store) {
        for c in self.copies.values_mut() {
            for (fetch, _, fetched) in &mut c.loading {
                if !*fetched && *fetch <= self.now {
                    *fetched = true;
                    store.end();
                }
            }
            let before = c.loading.len();
            c.loading.retain(|(_, stand, _)| *stand > self.now);
            let stood = (before - c.loading.len()) as u32;
            if stood > 0 {
                c.standing += stood;
                c.used = self.now;
            }
        }
        let copies = &self.copies;
        let out = &mut self.out;
        self.orders.retain(|(no, model, wanted)| {
            let stands = copies.get(model).map_or(0, |c| c.standing);
            if stands >= *wanted {
                out.push(Done::Order(*no, stands, true));
            }
            stands < *wanted
        });
    }

    fn idle_go(&mut self) {
        let keep = self.spec.keep_alive;
        for c in self.copies.values_mut() {
            if c.running == 0 && c.used + keep <= self.now {
                c.standing = 0;
            }
        }
        let waiting = &self.waiting;
        self.copies.retain(|name, c| {
            let wanted = c.standing > 0 || c.wanted > 0 || !c.loading.is_empty() || c.running > 0;
            wanted || waiting.iter().any(|w| w.model == *name)
        });
    }

    /// Calls that have a lane begin, in order of arrival; loads begin as there is room.
    fn start(&mut self, store: &mut Store) {
        let mut crowded: Vec<String> = Vec::new();
        let mut kept = VecDeque::new();
        while let Some(w) = self.waiting.pop_front() {
            let room = self.copies.get(&w.model).is_some_and(|c| c.running < c.standing * c.lanes);
            if room && let Some(c) = self.copies.get_mut(&w.model) {
                c.running += 1;
                c.used = self.now;
                let each = (w.work as f64 / f64::from(w.steps)).max(1.0);
                let run = Running { model: w.model, step: 0, steps: w.steps, each, left: each };
                self.running.insert(w.no, run);
                self.out.push(Done::Runs(w.no));
            } else {
                if !crowded.contains(&w.model) {
                    crowded.push(w.model.clone());
                }
                kept.push_back(w);
            }
        }
        self.waiting = kept;
        for model in crowded {
            let quiet = self.copies.get(&model).is_none_or(|c| c.loading.is_empty() && c.wanted == 0);
            let gone = self.copies.get(&model).is_none_or(|c| c.standing == 0);
            // The last copy may have been unloaded while its calls waited: it is brought back.
            if quiet && (gone || self.spec.own_copies) {
                let room = self.want(&model, 1);
                if gone && !room {
                    self.load_failed(&model);
                }
            }
        }
        self.begin_loads(store);
    }
}

#[cfg(test)]
mod tests;
