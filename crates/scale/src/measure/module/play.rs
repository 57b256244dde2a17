//! The sequence of events at one size: the first worker list, calls of rare functions and then of recently called ones
//! while workers are replaced, and a list that shares no worker with the previous one.

use nettleferry::{
    CellId, Controller, Event, FunctionId, KindId, ListForm, Micros, WorkerEntry, WorkerId, WorkerState,
    ZoneId,
};
use rand::{Rng, RngExt};

use super::Script;
use super::driver::{Cost, Driver};
use super::metrics::*;
use crate::context::Context;
use crate::measure::{MeasureError, Observations};

/// Start time of the simulated clock.
const START: Micros = 100_000_000;
/// Number of last called functions among which [`Playback::recent_calls`] chooses.
const RECENT_FUNCTIONS: usize = 500;
/// Number of calls between two checks of the limits of the run.
const CALLS_PER_CHECK: u64 = 64;
/// Number of zones over which the workers are distributed.
const ZONES: u64 = 15;
const WORKERS_IN_CELL: u64 = 50;

/// The measurement of one size in progress.
pub struct Playback<'script> {
    script: &'script Script,
    driver: Driver,
    workers: Vec<WorkerEntry>,
    functions: Vec<FunctionId>,
    calls: u64,
    workers_made: u64,
    next_change: Micros,
    first: Option<Cost>,
    returning: Option<Cost>,
    recent: Option<Cost>,
    /// Time to handle each change of the list, in nanoseconds.
    changes: Vec<u64>,
}

impl<'script> Playback<'script> {
    /// Creates a controller without state, `size` workers and the functions of the script.
    pub fn new(script: &'script Script, size: u64, context: &mut Context<'_>) -> Result<Self, MeasureError> {
        let controller = Controller::new(script.settings(), context.random.next_u64())
            .map_err(|error| MeasureError::Unexpected(error.to_string()))?;
        let functions = (0..script.functions).map(|_| FunctionId(context.random.next_u64())).collect();
        let mut play = Self {
            script,
            driver: Driver::new(controller, START, script.answer_after)?,
            workers: Vec::new(),
            functions,
            calls: 0,
            workers_made: 0,
            next_change: START.saturating_add(script.replace_every),
            first: None,
            returning: None,
            recent: None,
            changes: Vec::new(),
        };
        play.workers = (0..size).map(|_| play.new_worker(None)).collect();
        Ok(play)
    }

    fn new_worker(&mut self, started_at: Option<Micros>) -> WorkerEntry {
        self.workers_made += 1;
        let number = self.workers_made;
        WorkerEntry {
            worker: WorkerId(number),
            zone: ZoneId((number % ZONES) as u32),
            kind: KindId(0),
            weight: 1.0,
            cell: CellId(number / WORKERS_IN_CELL),
            state: WorkerState::On,
            started_at,
        }
    }

    /// Delivers the complete worker list and returns the time to handle it in microseconds.
    pub fn first_list(&mut self) -> f64 {
        let event = Event::Workers { form: ListForm::Complete, entries: self.workers.clone() };
        microseconds(self.driver.change_list(event))
    }

    /// Calls all functions in turn, in rounds, and records first calls separately from later ones.
    pub fn rare_calls(&mut self, context: &mut Context<'_>) -> Result<(), MeasureError> {
        let firsts = self.script.calls.min(self.script.functions);
        self.round(firsts, context)?;
        self.first = Some(self.driver.take_cost()?);
        self.round(self.script.calls - firsts, context)?;
        self.returning = Some(self.driver.take_cost()?);
        Ok(())
    }

    fn round(&mut self, calls: u64, context: &mut Context<'_>) -> Result<(), MeasureError> {
        for _ in 0..calls {
            let at = (self.calls % self.script.functions) as usize;
            self.call(self.functions[at], context)?;
        }
        self.finish_calls();
        Ok(())
    }

    /// Calls functions chosen at random among the [`RECENT_FUNCTIONS`] called last.
    pub fn recent_calls(&mut self, context: &mut Context<'_>) -> Result<(), MeasureError> {
        let count = self.functions.len() as u64;
        let seen = count.min(self.calls).min(RECENT_FUNCTIONS as u64);
        let recent: Vec<FunctionId> =
            (1..=seen).map(|back| self.functions[((self.calls - back) % count) as usize]).collect();
        for _ in 0..self.script.again {
            let at = context.random.random_range(0..recent.len());
            self.call(recent[at], context)?;
        }
        self.finish_calls();
        self.recent = Some(self.driver.take_cost()?);
        Ok(())
    }

    fn call(&mut self, function: FunctionId, context: &mut Context<'_>) -> Result<(), MeasureError> {
        if self.calls.is_multiple_of(CALLS_PER_CHECK) {
            context.check()?;
        }
        self.calls += 1;
        self.driver.run_until(self.driver.now() + self.script.call_every);
        if self.script.replace_every > 0 && self.driver.now() >= self.next_change {
            self.next_change += self.script.replace_every;
            self.replace_one(context);
        }
        self.driver.call(function);
        Ok(())
    }

    /// Advances the clock by twice the answer time, so that open calls end.
    fn finish_calls(&mut self) {
        self.driver.run_until(self.driver.now() + self.script.answer_after * 2);
    }

    fn replace_one(&mut self, context: &mut Context<'_>) {
        let at = context.random.random_range(0..self.workers.len());
        let fresh = self.new_worker(Some(self.driver.now()));
        let mut leaving = std::mem::replace(&mut self.workers[at], fresh.clone());
        leaving.state = WorkerState::Gone;
        let event = Event::Workers { form: ListForm::Changes, entries: vec![leaving, fresh] };
        let nanoseconds = self.driver.change_list(event);
        self.changes.push(nanoseconds);
    }

    /// Delivers a list that shares no worker with the previous one and returns the time to handle it in microseconds.
    pub fn replace_all(&mut self) -> f64 {
        self.workers = (0..self.workers.len()).map(|_| self.new_worker(None)).collect();
        self.first_list()
    }

    /// Number of state entries of the module.
    pub fn remembered(&self) -> usize {
        self.driver.remembered()
    }

    /// Returns the controller.
    pub fn into_controller(self) -> Controller {
        self.driver.into_controller()
    }

    /// Records the metrics of all calls and changes; fails if the calls were not made before.
    pub fn observe(&mut self, observations: &mut Observations) -> Result<(), MeasureError> {
        let costs = (self.first.take(), self.returning.take(), self.recent.take());
        let (Some(mut rare), Some(returning), Some(recent)) = costs else {
            return Err(MeasureError::Unexpected("the calls of this size were not made".to_owned()));
        };
        observations.add(&FIRST_MEAN, mean(&rare));
        observations.add(&FIRST_P50, microseconds(rare.calls.value_at_quantile(0.5)));
        observations.add(&RETURNING_MEAN, mean(&returning));
        rare.merge(&returning)?;
        observe_rare(&rare, observations);
        observations.add(&RECENT_MEAN, mean(&recent));
        observations.add(&RECENT_P50, microseconds(recent.calls.value_at_quantile(0.5)));
        observations.add(&RECENT_MAX, microseconds(recent.calls.max()));
        observations.add(&NOT_SERVED, (rare.not_served + recent.not_served) as f64);
        if let Some(longest) = self.changes.iter().max() {
            let all: u64 = self.changes.iter().sum();
            observations.add(&CHANGE_MEAN, microseconds(all) / self.changes.len() as f64);
            observations.add(&CHANGE_MAX, microseconds(*longest));
        }
        Ok(())
    }
}

fn observe_rare(cost: &Cost, observations: &mut Observations) {
    observations.add(&CALL_MEAN, mean(cost));
    observations.add(&CALL_P50, microseconds(cost.calls.value_at_quantile(0.5)));
    observations.add(&CALL_P99, microseconds(cost.calls.value_at_quantile(0.99)));
    observations.add(&CALL_MAX, microseconds(cost.calls.max()));
    observations.add(&HANDLE_MEAN, cost.handles.mean() / 1e3);
    observations.add(&HANDLE_P50, microseconds(cost.handles.value_at_quantile(0.5)));
    observations.add(&HANDLE_P99, microseconds(cost.handles.value_at_quantile(0.99)));
    observations.add(&HANDLE_MAX, microseconds(cost.handles.max()));
    observations.add(&PROBES, cost.probes as f64 / cost.begun as f64);
}

/// Mean time of a call in microseconds; not a number without calls.
fn mean(cost: &Cost) -> f64 {
    microseconds(cost.total) / cost.begun as f64
}

fn microseconds(nanoseconds: u64) -> f64 {
    nanoseconds as f64 / 1e3
}
