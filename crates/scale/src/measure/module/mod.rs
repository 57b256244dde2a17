//! The measure `module`: the cost of calls and of changes of the worker list in the decision module, and the memory of
//! its state for functions, by the number of workers in the list. The module runs inside this process on a simulated
//! clock.

mod driver;
mod metrics;
mod workload;

use std::time::Duration;

use nettleferry::{Class, Controller, Discovery, Effect, Limits, Loading, Micros, Reports, Rules, Settings};
use nettleferry_config::form::Form;

use self::metrics::{LIST_REPLACED, LIST_WHOLE, METRICS, REMEMBERED, STATE};
use self::workload::Workload;
use super::{Measure, MeasureError, Metric, Observations, Sizes};
use crate::capacity::Needs;
use crate::context::Context;
use crate::process::Process;

/// Key of the measure in the plan file.
pub const NAME: &str = "module";

/// Maximum of `functions`.
const MAX_FUNCTIONS: u64 = 1_000_000;
/// Maximum of `calls` and of `again`.
const MAX_CALLS: u64 = 10_000_000;
/// Minimum of `calls-per-second`, in calls per second of simulated time.
const MIN_RATE: f64 = 0.001;
/// Maximum of `calls-per-second`.
const MAX_RATE: f64 = 1_000_000.0;
/// Limit of `answer-after`, exclusive. It keeps the answers well within the timeout of the simulated clients.
const MAX_ANSWER_DELAY: Micros = 1_000_000;

// Upper estimates of the resources that a size needs, to reject sizes that don't fit the machine.

/// Memory of a worker.
const WORKER_BYTES: u64 = 2_000;
/// Memory of a function that was called.
const FUNCTION_BYTES: u64 = 4_000;
/// Time to handle a call, in addition to [`CALL_NANOSECONDS_PER_WORKER`].
const CALL_NANOSECONDS: u64 = 50_000;
/// Time to handle a call for each worker of the list, as in the first call of a function.
const CALL_NANOSECONDS_PER_WORKER: u64 = 20;

/// Parses `(module ...)`.
pub fn read(form: &mut Form) -> Option<Box<dyn Measure>> {
    let sizes = Sizes::read(form, "workers");
    let functions = bounded_integer(form, "functions", 10_000, MAX_FUNCTIONS);
    let rare_calls = bounded_integer(form, "calls", 20_000, MAX_CALLS);
    let recent_calls = bounded_integer(form, "again", 2_000, MAX_CALLS);
    let rate: f64 = form.value_or("calls-per-second", 125.0);
    if !(MIN_RATE..=MAX_RATE).contains(&rate) {
        form.error(format!("(calls-per-second ...): write {MIN_RATE} to {MAX_RATE}"));
    }
    let parameters = Parameters {
        functions,
        rare_calls,
        recent_calls,
        call_interval: (1e6 / rate.clamp(MIN_RATE, MAX_RATE)) as Micros,
        replace_interval: form.micros_or("replace-every", 20_000_000),
        answer_delay: form.micros_or("answer-after", 20_000),
        keep_alive: form.micros_or("keep-alive", 8_000_000),
        probes: form.value_or("probes", true),
    };
    if parameters.answer_delay >= MAX_ANSWER_DELAY {
        form.error("(answer-after ...): write less than 1s");
    }
    Some(Box::new(Module { sizes: sizes?, parameters, kept_controllers: Vec::new() }))
}

/// Reads an optional integer from 1 to `max`. A value out of this range is an error of the form and is clamped.
fn bounded_integer(form: &mut Form, key: &'static str, default: u64, max: u64) -> u64 {
    let value = form.value_or(key, default);
    if !(1..=max).contains(&value) {
        form.error(format!("({key} ...): write 1 to {max}"));
    }
    value.clamp(1, max)
}

/// The parameters of the measurement, which are the same at each size. Times are on the simulated clock.
struct Parameters {
    /// Number of functions that are called in turn.
    functions: u64,
    /// Number of calls of rare functions: all functions in turn, in rounds.
    rare_calls: u64,
    /// Number of calls of recently called functions, after the calls of rare ones.
    recent_calls: u64,
    /// Interval between two calls.
    call_interval: Micros,
    /// Interval at which one worker of the list is replaced; 0 replaces none.
    replace_interval: Micros,
    /// Time from sending an attempt to its answer.
    answer_delay: Micros,
    /// Keep-alive of loaded functions, as in the settings of a controller.
    keep_alive: Micros,
    /// Whether the module may probe workers.
    probes: bool,
}

impl Parameters {
    /// Settings of the decision module.
    fn settings(&self) -> Settings {
        let class = Class {
            latency_objective: 600_000,
            deadline: 4_000_000,
            effect: Effect::Idempotent,
            priority_weight: 1.0,
            late_share: 0.3,
            stream: false,
        };
        Settings {
            controllers: 1,
            classes: vec![class],
            over_quota_weight: 1.0,
            discovery: Discovery::Push,
            reports: Reports::Answers,
            loading: Loading { keep_alive: self.keep_alive, notes: true, ..Loading::default() },
            limits: Limits { max_attempts: 3, probes: self.probes, ..Limits::default() },
            rules: Rules { start_capacity: 1.0, overload_factor: 1.0, ..Rules::default() },
            event_interval: 1_000,
            ..Settings::default()
        }
    }
}

struct Module {
    sizes: Sizes,
    parameters: Parameters,
    /// Controllers of the sizes that are done. Their memory is not freed, because reusing it would hide the growth of
    /// the next controller.
    kept_controllers: Vec<Controller>,
}

impl Module {
    /// Upper estimate of the memory of a controller with this number of workers, in bytes.
    fn controller_bytes(&self, workers: u64) -> u64 {
        let functions = self.parameters.functions.min(self.parameters.rare_calls);
        functions.saturating_mul(FUNCTION_BYTES).saturating_add(workers.saturating_mul(WORKER_BYTES))
    }
}

impl Measure for Module {
    fn name(&self) -> &'static str {
        NAME
    }

    fn sizes(&self) -> &Sizes {
        &self.sizes
    }

    fn metrics(&self) -> &'static [&'static Metric] {
        METRICS
    }

    fn needs(&self, size: u64) -> Needs {
        let smaller_sizes = self.sizes.values.iter().filter(|smaller| **smaller < size);
        let memory = smaller_sizes
            .map(|smaller| self.controller_bytes(*smaller))
            .fold(self.controller_bytes(size), u64::saturating_add);
        let call_nanoseconds =
            CALL_NANOSECONDS.saturating_add(size.saturating_mul(CALL_NANOSECONDS_PER_WORKER));
        let calls = self.parameters.rare_calls + self.parameters.recent_calls;
        Needs {
            memory,
            time: Duration::from_nanos(calls.saturating_mul(call_nanoseconds)),
            ..Needs::default()
        }
    }

    fn run_at(&mut self, size: u64, context: &mut Context<'_>) -> Result<Observations, MeasureError> {
        let mut workload = Workload::new(&self.parameters, size, context)?;
        let mut observations = Observations { in_process: true, ..Observations::default() };
        observations.add(&LIST_WHOLE, workload.deliver_list());
        let before = own_memory()?;
        workload.rare_calls(context)?;
        let after = own_memory()?;
        observations.add(&STATE, after.saturating_sub(before) as f64);
        observations.add(&REMEMBERED, workload.state_entries() as f64);
        workload.recent_calls(context)?;
        observations.add(&LIST_REPLACED, workload.replace_all());
        workload.observe(&mut observations)?;
        self.kept_controllers.push(workload.into_controller());
        Ok(observations)
    }
}

fn own_memory() -> Result<u64, MeasureError> {
    Process::own().resident().map_err(MeasureError::system("can't read the rig's own memory"))
}
