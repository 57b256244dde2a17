//! How copies and functions are remembered and forgotten, in steps that stay short however many there are.
//!
//! Copies are found by worker, so that a worker that goes costs what it held. Functions are swept: every
//! sweep has a time (`Controller::swept`), and what it forgets is set by the function's state at that time
//! alone. Only functions with calls or loads are swept at once; the others go through the sweep when they are
//! next called, or when a step of the queue `resting` comes to them. As nothing touches them in between, no
//! decision can tell the difference.

use std::collections::{BTreeMap, BTreeSet};

use crate::choice::{COUNT_SPAN, FORGET_SPANS};
use crate::interface::{FunctionId, Micros, WorkerId};
use crate::rendezvous::Homes;
use crate::state::{Controller, Function};

/// Functions that rest are looked at in groups of this span.
const REST_BUCKET: Micros = COUNT_SPAN;
/// How many of them are looked at for one event.
const REST_STEP: usize = 32;
/// Beyond this many functions, those that rest keep no homes: a further call makes them anew.
const HOMES_KEPT: usize = 65_536;

impl Function {
    /// Takes the function through the sweep of time `swept`; `kept` is how long functions are remembered.
    /// False: it is forgotten.
    fn settle(&mut self, swept: Micros, kept: Micros) -> bool {
        if self.settled == swept {
            return true;
        }
        self.settled = swept;
        self.shun.retain(|_, (until, _)| *until + COUNT_SPAN > swept);
        self.told.retain(|_, told| told.1 + COUNT_SPAN > swept);
        self.last + kept > swept || self.held > 0 || !self.out.is_empty() || !self.loading.is_empty()
    }

    /// Gives back the room of what is empty or counts no more: a map that was emptied keeps a node.
    fn compact(&mut self, swept: Micros) {
        fn release<K: Ord, V>(map: &mut BTreeMap<K, V>) {
            if map.is_empty() {
                *map = BTreeMap::new();
            }
        }
        release(&mut self.shun);
        release(&mut self.told);
        release(&mut self.out);
        release(&mut self.loading);
        // The next call drops these in any case.
        self.arrivals.retain(|at| at + COUNT_SPAN >= swept);
        self.arrivals.shrink_to_fit();
        self.latencies.shrink_to_fit();
    }
}

impl Controller {
    fn kept(&self) -> Micros {
        FORGET_SPANS * COUNT_SPAN.max(self.settings.loading.keep_alive)
    }

    /// The function's memory, as the last sweep left it, begun where there is none.
    pub(crate) fn remember(&mut self, id: FunctionId) -> &mut Function {
        self.settle(id);
        if !self.functions.contains_key(&id) {
            self.functions.insert(id, Function { settled: self.swept, ..Function::default() });
            self.rest(id, self.now + FORGET_SPANS * COUNT_SPAN);
        }
        self.functions.entry(id).or_default()
    }

    /// Takes one function through the last sweep.
    pub(crate) fn settle(&mut self, id: FunctionId) {
        let kept = self.kept();
        if self.functions.get_mut(&id).is_some_and(|f| !f.settle(self.swept, kept))
            && let Some(function) = self.functions.remove(&id)
        {
            for worker in function.warm.keys() {
                self.copies.remove(&(*worker, id));
            }
        }
    }

    /// A sweep at this time, for all functions with calls or loads.
    pub(crate) fn sweep(&mut self) {
        self.swept = self.now;
        let mut busy: BTreeSet<FunctionId> = self.loads.clone();
        busy.extend(self.calls.values().map(|call| call.function));
        busy.extend(self.flights.values().map(|flight| flight.function));
        for id in busy {
            self.settle(id);
        }
    }

    /// Takes some of the functions that rest through the last sweep.
    pub(crate) fn sweep_resting(&mut self) {
        for _ in 0..REST_STEP {
            let Some(mut bucket) = self.resting.first_entry() else { return };
            if bucket.key() * REST_BUCKET > self.swept {
                return;
            }
            let until = *bucket.key();
            match bucket.get_mut().pop() {
                Some(id) => self.look_at_resting(id, until),
                None => _ = bucket.remove(),
            }
        }
    }

    fn look_at_resting(&mut self, id: FunctionId, until: Micros) {
        if self.functions.get(&id).is_none_or(|f| f.rests != until) {
            // Forgotten meanwhile, and perhaps begun anew: that one has its own place in the queue.
            return;
        }
        self.settle(id);
        let (crowded, swept, kept) = (self.functions.len() > HOMES_KEPT, self.swept, self.kept());
        let Some(function) = self.functions.get_mut(&id) else { return };
        let rests = function.last + FORGET_SPANS * COUNT_SPAN;
        if rests > swept {
            return self.rest(id, rests);
        }
        if crowded {
            function.homes = Homes::default();
        }
        function.compact(swept);
        let forgotten = function.last + kept;
        self.rest(id, forgotten.max(swept + REST_BUCKET));
    }

    fn rest(&mut self, id: FunctionId, until: Micros) {
        let bucket = until.div_ceil(REST_BUCKET);
        if let Some(function) = self.functions.get_mut(&id) {
            function.rests = bucket;
            self.resting.entry(bucket).or_default().push(id);
        }
    }

    /// A copy was found there.
    pub(crate) fn found(&mut self, id: FunctionId, at: WorkerId) {
        let now = self.now;
        if let Some(function) = self.functions.get_mut(&id)
            && function.warm.insert(at, now).is_none()
        {
            self.copies.insert((at, id));
        }
    }

    /// A load of ours begins there.
    pub(crate) fn load_begins(&mut self, id: FunctionId, at: WorkerId) {
        let now = self.now;
        let Some(function) = self.functions.get_mut(&id) else { return };
        function.loading.insert(at, now);
        self.copies.insert((at, id));
        self.loads.insert(id);
        if let Some(worker) = self.workers.get_mut(&at) {
            worker.loads += 1;
        }
    }

    /// The load there is over, however it ended.
    pub(crate) fn load_over(&mut self, id: FunctionId, at: WorkerId) {
        let Some(function) = self.functions.get_mut(&id) else { return };
        if function.loading.remove(&at).is_none() {
            return;
        }
        if function.loading.is_empty() {
            self.loads.remove(&id);
        }
        if !function.warm.contains_key(&at) {
            self.copies.remove(&(at, id));
        }
        if let Some(worker) = self.workers.get_mut(&at) {
            worker.loads = worker.loads.saturating_sub(1);
        }
    }

    /// No copy stands there any more, nor any that was found before `since`, or just then.
    pub(crate) fn missed(&mut self, id: FunctionId, at: WorkerId, since: Option<Micros>) {
        let Some(function) = self.functions.get_mut(&id) else { return };
        let loading = &function.loading;
        function.warm.retain(|worker, found| {
            let stands = *worker != at && since.is_none_or(|since| *found > since);
            if !stands && !loading.contains_key(worker) {
                self.copies.remove(&(*worker, id));
            }
            stands
        });
    }

    /// Forgets all copies and loads at a worker.
    pub(crate) fn forget_copies(&mut self, at: WorkerId) {
        let all = (at, FunctionId(0))..=(at, FunctionId(u64::MAX));
        let there: Vec<_> = self.copies.range(all).map(|(_, function)| *function).collect();
        for id in there {
            self.copies.remove(&(at, id));
            let Some(function) = self.functions.get_mut(&id) else { continue };
            function.warm.remove(&at);
            if function.loading.remove(&at).is_some() && function.loading.is_empty() {
                self.loads.remove(&id);
            }
        }
        if let Some(worker) = self.workers.get_mut(&at) {
            worker.loads = 0;
            worker.lost.clear();
        }
    }
}
