//! The measure `module`: the cost of calls, of changes of the worker list and of the state for functions in the
//! decision module, by the number of workers in the list. The module runs inside this process on a simulated clock.

mod driver;
mod metrics;
mod play;

use std::time::Duration;

use nettleferry::{Class, Controller, Discovery, Effect, Limits, Loading, Micros, Reports, Rules, Settings};
use nettleferry_config::form::Form;

use self::metrics::{LIST_REPLACED, LIST_WHOLE, METRICS, REMEMBERED, STATE};
use self::play::Playback;
use super::{Measure, MeasureError, Metric, Observations, Sizes};
use crate::capacity::Needs;
use crate::context::Context;
use crate::process::Process;

/// Key of the measure in the plan file.
pub const NAME: &str = "module";

/// Maximum number of functions.
const MOST_FUNCTIONS: u64 = 1_000_000;
/// Maximum of `calls` and of `again`.
const MOST_CALLS: u64 = 10_000_000;
/// Maximum number of calls per second of simulated time.
const MOST_RATE: f64 = 1_000_000.0;
/// Upper estimates that are used to reject sizes that don't fit the machine: memory of a worker and of a function, time
/// of a call, and time for each worker in the first call of a function.
const WORKER_BYTES: u64 = 2_000;
const FUNCTION_BYTES: u64 = 4_000;
const CALL_NANOSECONDS: u64 = 50_000;
const CALL_WORKER_NANOSECONDS: u64 = 20;

/// Parses `(module ...)`.
pub fn read(form: &mut Form) -> Option<Box<dyn Measure>> {
    let sizes = Sizes::read(form, "workers");
    let functions = integer(form, "functions", 10_000, MOST_FUNCTIONS);
    let calls = integer(form, "calls", 20_000, MOST_CALLS);
    let again = integer(form, "again", 2_000, MOST_CALLS);
    let rate: f64 = form.value_or("calls-per-second", 125.0);
    if !(0.001..=MOST_RATE).contains(&rate) {
        form.error(format!("(calls-per-second ...): write 0.001 to {MOST_RATE}"));
    }
    let script = Script {
        functions,
        calls,
        again,
        call_every: (1e6 / rate.clamp(0.001, MOST_RATE)) as Micros,
        replace_every: form.micros_or("replace-every", 20_000_000),
        answer_after: form.micros_or("answer-after", 20_000),
        keep_alive: form.micros_or("keep-alive", 8_000_000),
        probes: form.value_or("probes", true),
    };
    if script.answer_after >= 1_000_000 {
        form.error("(answer-after ...): write less than 1s");
    }
    Some(Box::new(Module { sizes: sizes?, script, kept_controllers: Vec::new() }))
}

fn integer(form: &mut Form, key: &'static str, usual: u64, most: u64) -> u64 {
    let value = form.value_or(key, usual);
    if !(1..=most).contains(&value) {
        form.error(format!("({key} ...): write 1 to {most}"));
    }
    value.clamp(1, most)
}

/// The steps of the measurement at each size.
struct Script {
    functions: u64,
    calls: u64,
    again: u64,
    call_every: Micros,
    replace_every: Micros,
    answer_after: Micros,
    keep_alive: Micros,
    probes: bool,
}

impl Script {
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
    script: Script,
    /// Controllers of the sizes that are done. Their memory is not freed, because reusing it would hide the growth of
    /// the next controller.
    kept_controllers: Vec<Controller>,
}

impl Module {
    fn bytes(&self, workers: u64) -> u64 {
        let functions = self.script.functions.min(self.script.calls);
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
        let before = self.sizes.values.iter().filter(|smaller| **smaller < size);
        let memory = before.map(|smaller| self.bytes(*smaller)).fold(self.bytes(size), u64::saturating_add);
        let call = CALL_NANOSECONDS.saturating_add(size.saturating_mul(CALL_WORKER_NANOSECONDS));
        let calls = self.script.calls + self.script.again;
        Needs { memory, time: Duration::from_nanos(calls.saturating_mul(call)), ..Needs::default() }
    }

    fn run_at(&mut self, size: u64, context: &mut Context<'_>) -> Result<Observations, MeasureError> {
        let mut play = Playback::new(&self.script, size, context)?;
        let mut observations = Observations { in_process: true, ..Observations::default() };
        observations.add(&LIST_WHOLE, play.first_list());
        let before = resident()?;
        play.rare_calls(context)?;
        let after = resident()?;
        observations.add(&STATE, after.saturating_sub(before) as f64);
        observations.add(&REMEMBERED, play.remembered() as f64);
        play.recent_calls(context)?;
        observations.add(&LIST_REPLACED, play.replace_all());
        play.observe(&mut observations)?;
        self.kept_controllers.push(play.into_controller());
        Ok(observations)
    }
}

fn resident() -> Result<u64, MeasureError> {
    Process::own().resident().map_err(MeasureError::system("can't read the rig's own memory"))
}
