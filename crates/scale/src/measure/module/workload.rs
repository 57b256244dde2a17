//! The workload at one size: the first worker list, calls of rare functions and then of recently called ones while
//! workers are replaced, and a list that shares no worker with the previous one.

use nettleferry::{
    CellId, Controller, Event, FunctionId, KindId, ListForm, Micros, WorkerEntry, WorkerId, WorkerState,
    ZoneId,
};
use rand::{Rng, RngExt};

use super::Parameters;
use super::driver::{Cost, Driver};
use super::metrics::*;
use crate::context::Context;
use crate::measure::{MeasureError, Observations};

/// Time at which the simulated clock starts.
const CLOCK_START: Micros = 100_000_000;
/// Number of most recently called functions from which [`Workload::recent_calls`] chooses.
const RECENT_FUNCTIONS: usize = 500;
/// Number of calls between two checks of the limits of the run.
const CALLS_PER_CHECK: u64 = 64;
/// Number of zones over which the workers are distributed.
const ZONES: u64 = 15;
/// Number of workers in a cell.
const WORKERS_PER_CELL: u64 = 50;

/// The state of the workload, and the costs measured so far.
pub struct Workload<'parameters> {
    parameters: &'parameters Parameters,
    driver: Driver,
    workers: Vec<WorkerEntry>,
    functions: Vec<FunctionId>,
    /// Number of calls so far.
    calls: u64,
    /// Number of workers created so far, which numbers the next one.
    workers_created: u64,
    /// Time at which the next worker is replaced.
    next_replacement: Micros,
    /// Cost of the first call of each function.
    first: Option<Cost>,
    /// Cost of the later calls of rare functions.
    returning: Option<Cost>,
    /// Cost of the calls of recently called functions.
    recent: Option<Cost>,
    /// Time to handle each change of the list, in nanoseconds.
    changes: Vec<u64>,
}

impl<'parameters> Workload<'parameters> {
    /// Creates a controller without state, a list of `size` workers, and functions with random ids.
    pub fn new(
        parameters: &'parameters Parameters,
        size: u64,
        context: &mut Context<'_>,
    ) -> Result<Self, MeasureError> {
        let controller = Controller::new(parameters.settings(), context.random.next_u64())
            .map_err(|error| MeasureError::Unexpected(format!("can't create the controller: {error}")))?;
        let functions = (0..parameters.functions).map(|_| FunctionId(context.random.next_u64())).collect();
        let mut workload = Self {
            parameters,
            driver: Driver::new(controller, CLOCK_START, parameters.answer_delay)?,
            workers: Vec::new(),
            functions,
            calls: 0,
            workers_created: 0,
            next_replacement: CLOCK_START.saturating_add(parameters.replace_interval),
            first: None,
            returning: None,
            recent: None,
            changes: Vec::new(),
        };
        workload.workers = (0..size).map(|_| workload.new_worker(None)).collect();
        Ok(workload)
    }

    fn new_worker(&mut self, started_at: Option<Micros>) -> WorkerEntry {
        self.workers_created += 1;
        let number = self.workers_created;
        WorkerEntry {
            worker: WorkerId(number),
            zone: ZoneId((number % ZONES) as u32),
            kind: KindId(0),
            weight: 1.0,
            cell: CellId(number / WORKERS_PER_CELL),
            state: WorkerState::On,
            started_at,
        }
    }

    /// Delivers the current workers as a complete list and returns the time to handle it in microseconds.
    pub fn deliver_list(&mut self) -> f64 {
        let event = Event::Workers { form: ListForm::Complete, entries: self.workers.clone() };
        microseconds(self.driver.change_list(event))
    }

    /// Calls all functions in turn, in rounds, and records first calls separately from later ones.
    pub fn rare_calls(&mut self, context: &mut Context<'_>) -> Result<(), MeasureError> {
        let first_calls = self.parameters.rare_calls.min(self.parameters.functions);
        self.call_in_turn(first_calls, context)?;
        self.first = Some(self.driver.take_cost()?);
        self.call_in_turn(self.parameters.rare_calls - first_calls, context)?;
        self.returning = Some(self.driver.take_cost()?);
        Ok(())
    }

    /// Makes this number of calls, to the functions in turn, and waits until all have ended.
    fn call_in_turn(&mut self, calls: u64, context: &mut Context<'_>) -> Result<(), MeasureError> {
        for _ in 0..calls {
            let index = (self.calls % self.parameters.functions) as usize;
            self.call(self.functions[index], context)?;
        }
        self.finish_calls();
        Ok(())
    }

    /// Calls functions chosen at random among the [`RECENT_FUNCTIONS`] called last.
    pub fn recent_calls(&mut self, context: &mut Context<'_>) -> Result<(), MeasureError> {
        let count = self.functions.len() as u64;
        let recent_count = count.min(self.calls).min(RECENT_FUNCTIONS as u64);
        let recent: Vec<FunctionId> =
            (1..=recent_count).map(|back| self.functions[((self.calls - back) % count) as usize]).collect();
        for _ in 0..self.parameters.recent_calls {
            let index = context.random.random_range(0..recent.len());
            self.call(recent[index], context)?;
        }
        self.finish_calls();
        self.recent = Some(self.driver.take_cost()?);
        Ok(())
    }

    /// Advances the clock by the interval between calls, replaces a worker if that is due, and makes a call.
    fn call(&mut self, function: FunctionId, context: &mut Context<'_>) -> Result<(), MeasureError> {
        if self.calls.is_multiple_of(CALLS_PER_CHECK) {
            context.check()?;
        }
        self.calls += 1;
        self.driver.run_until(self.driver.now() + self.parameters.call_interval);
        if self.parameters.replace_interval > 0 && self.driver.now() >= self.next_replacement {
            self.next_replacement += self.parameters.replace_interval;
            self.replace_one(context);
        }
        self.driver.call(function);
        Ok(())
    }

    /// Advances the clock by twice the answer time, so that open calls end.
    fn finish_calls(&mut self) {
        self.driver.run_until(self.driver.now() + self.parameters.answer_delay * 2);
    }

    fn replace_one(&mut self, context: &mut Context<'_>) {
        let index = context.random.random_range(0..self.workers.len());
        let added = self.new_worker(Some(self.driver.now()));
        let mut removed = std::mem::replace(&mut self.workers[index], added.clone());
        removed.state = WorkerState::Gone;
        let event = Event::Workers { form: ListForm::Changes, entries: vec![removed, added] };
        let nanoseconds = self.driver.change_list(event);
        self.changes.push(nanoseconds);
    }

    /// Delivers a list that shares no worker with the previous one and returns the time to handle it in microseconds.
    pub fn replace_all(&mut self) -> f64 {
        self.workers = (0..self.workers.len()).map(|_| self.new_worker(None)).collect();
        self.deliver_list()
    }

    /// Number of state entries of the module.
    pub fn state_entries(&self) -> usize {
        self.driver.state_entries()
    }

    /// Returns the controller with its state.
    pub fn into_controller(self) -> Controller {
        self.driver.into_controller()
    }

    /// Records the metrics of all calls and changes. Fails if [`Workload::rare_calls`] or [`Workload::recent_calls`]
    /// has not run.
    pub fn observe(&mut self, observations: &mut Observations) -> Result<(), MeasureError> {
        let costs = (self.first.take(), self.returning.take(), self.recent.take());
        let (Some(mut rare), Some(returning), Some(recent)) = costs else {
            return Err(MeasureError::Unexpected(
                "the metrics were read before the calls were made".to_owned(),
            ));
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
    observations.add(&PROBES, cost.probes as f64 / cost.started as f64);
}

/// Time of all `handle` calls divided by the number of calls, in microseconds; NaN without calls.
fn mean(cost: &Cost) -> f64 {
    microseconds(cost.total) / cost.started as f64
}

fn microseconds(nanoseconds: u64) -> f64 {
    nanoseconds as f64 / 1e3
}
