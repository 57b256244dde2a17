//! Reads the file of `fleet simulate` into runs: one for each combination of fleet size, loss and seed, and for a power
//! failure two, without and with admission.

use nettleferry_config::form::{Bytes, Errors, Form, TimeSpan};
use nettleferry_simulation::network::Network;
use nettleferry_simulation::{follow, power};

/// Maximum number of controllers in a run.
const MAX_CONTROLLERS: u32 = 1_000;
/// Maximum number of runs in a file.
const MAX_RUNS: usize = 10_000;
/// Bounds and default of a run's virtual time, in microseconds.
const MIN_LENGTH_US: u64 = 1_000_000;
const MAX_LENGTH_US: u64 = 3_600_000_000;
const DEFAULT_LENGTH_US: u64 = 30_000_000;
/// Range of the duration of a lease, in milliseconds.
const LEASE_RANGE_MS: std::ops::RangeInclusive<u64> = 200..=60_000;

/// The plan of one run.
pub(super) enum Run {
    /// Controllers that follow a stream of changes.
    Follow(follow::Plan),
    /// The restart of a fleet after a power failure.
    Power(power::Plan),
}

/// One combination of the values that vary between runs.
struct Combination {
    controllers: u32,
    loss: f64,
    seed: u64,
}

/// The lists of values that a form varies, apart from the seeds.
struct Variations {
    controllers: Vec<u32>,
    losses: Vec<f64>,
}

impl Variations {
    fn read(form: &mut Form) -> Self {
        let controllers: Vec<u32> = numbers(form, "controllers", &["3", "30", "300"]);
        if controllers.iter().any(|n| !(2..=MAX_CONTROLLERS).contains(n)) {
            form.error(format!("(controllers ...): must be from 2 to {MAX_CONTROLLERS}"));
        }
        let losses: Vec<f64> = numbers(form, "loss", &["0"]);
        if losses.iter().any(|loss| !(0.0..=0.5).contains(loss)) {
            form.error("(loss ...): must be a fraction of the packets, from 0 to 0.5");
        }
        Self { controllers, losses }
    }

    /// Returns all combinations, ordered by fleet size, then by loss, then by seed as listed.
    fn combinations(&self, seeds: &[u64]) -> Vec<Combination> {
        let mut all = Vec::new();
        for &controllers in &self.controllers {
            for &loss in &self.losses {
                all.extend(seeds.iter().map(|&seed| Combination { controllers, loss, seed }));
            }
        }
        all
    }
}

/// Reads the runs from the text of a file. Returns all errors in it together.
pub(super) fn read(file: &str, text: &str) -> Result<Vec<Run>, Errors> {
    let (source, mut top) = Form::parse(file, text);
    let seeds: Vec<u64> = numbers(&mut top, "seeds", &["1"]);
    let mut runs = Vec::new();
    for form in top.lists("follow") {
        runs.extend(follow_runs(form, &seeds));
    }
    for form in top.lists("power") {
        runs.extend(power_runs(form, &seeds));
    }
    if runs.is_empty() {
        top.error("nothing to simulate: write (follow ...) or (power ...)");
    } else if runs.len() > MAX_RUNS {
        top.error(format!("{} runs: at most {MAX_RUNS}", runs.len()));
    }
    top.finish();
    source.into_result(Some(runs))
}

fn follow_runs(mut form: Form, seeds: &[u64]) -> Vec<Run> {
    let variations = Variations::read(&mut form);
    let network = network(&mut form);
    let lease_ms = form.micros_or("lease", 6_000_000) / 1000;
    if !LEASE_RANGE_MS.contains(&lease_ms) {
        form.error("(lease ...): must be from 200ms to 60s");
    }
    let changes_per_second: f64 = form.value_or("changes-per-second", 0.5);
    if !(0.001..=1_000.0).contains(&changes_per_second) {
        form.error("(changes-per-second ...): must be from 0.001 to 1000");
    }
    let length = length(&mut form);
    form.finish();
    let plan = |Combination { controllers, loss, seed }| {
        let network = Network { loss, ..network };
        Run::Follow(follow::Plan {
            controllers,
            network,
            lease_ms,
            changes: changes_per_second,
            length,
            seed,
        })
    };
    variations.combinations(seeds).into_iter().map(plan).collect()
}

fn power_runs(mut form: Form, seeds: &[u64]) -> Vec<Run> {
    let variations = Variations::read(&mut form);
    let network = network(&mut form);
    let base = power_plan(&mut form, network);
    form.finish();
    let mut runs = Vec::new();
    for Combination { controllers, loss, seed } in variations.combinations(seeds) {
        for admission in [false, true] {
            let network = Network { loss, ..network };
            runs.push(Run::Power(power::Plan { controllers, network, admission, seed, ..base }));
        }
    }
    runs
}

/// Reads the plan of a power failure with placeholders for the values that vary: controllers, admission and seed.
fn power_plan(form: &mut Form, network: Network) -> power::Plan {
    let after = form.optional::<TimeSpan>("administration-after").map(|span| span.0);
    let leader_return = match (form.value_or("administration", true), after) {
        (false, _) => power::LeaderReturn::Never,
        (true, Some(after)) => power::LeaderReturn::After(after),
        (true, None) => power::LeaderReturn::First,
    };
    let plan = power::Plan {
        controllers: 0,
        network,
        leader_return,
        lost_snapshots: form.value_or("lost-books", 0.1f64).clamp(0.0, 1.0),
        tenants: form.value_or("tenants", 500u64).min(20_000),
        calls_per_second: form.value_or("calls-per-second", 70.0f64).clamp(0.1, 10_000.0),
        capacity: form.value_or("capacity", 131.0f64).clamp(0.1, 100_000.0),
        initial_capacity: form.value_or("cold-part", 0.25f64).clamp(0.01, 1.0),
        warm_up: form.micros_or("cold", 4_000_000),
        warm_up_wait: form.micros_or("wait", 1_000_000),
        models: form.value_or("models", 26u32).clamp(1, 10_000),
        load_time: form.micros_or("load-time", 300_000).max(1),
        store_capacity: form.value_or("store", 64u32).max(1),
        latency_objective: form.micros_or("aim", 600_000),
        deadline: form.micros_or("deadline", 3_000_000),
        admission: true,
        length: length(form),
        seed: 0,
    };
    if plan.deadline >= plan.length {
        form.error("(deadline ...): must be shorter than the length");
    }
    plan
}

/// Reads the network with a loss of 0 as placeholder, because the loss varies.
fn network(form: &mut Form) -> Network {
    let delay = form.micros_or("delay", 2_000).max(2);
    let bandwidth = form.optional::<Bytes>("bandwidth").map_or(100 << 20, |bytes| bytes.0).max(1) as f64;
    Network { loss: 0.0, delay, bandwidth }
}

/// Reads the virtual time of a run, in microseconds.
fn length(form: &mut Form) -> u64 {
    let length = form.micros_or("length", DEFAULT_LENGTH_US);
    if !(MIN_LENGTH_US..=MAX_LENGTH_US).contains(&length) {
        form.error("(length ...): must be from 1s to 1h");
    }
    length.clamp(MIN_LENGTH_US, MAX_LENGTH_US)
}

/// Reads the values of `(key VALUE ...)`, or returns the defaults if there are none. A value that can't be parsed is
/// reported as an error and left out.
fn numbers<T: std::str::FromStr>(form: &mut Form, key: &'static str, defaults: &[&str]) -> Vec<T> {
    let mut texts: Vec<String> = Vec::new();
    if let Some(mut list) = form.optional_list(key) {
        while let Some(text) = list.next_item::<String>() {
            texts.push(text);
        }
        list.finish();
    }
    if texts.is_empty() {
        texts = defaults.iter().map(|text| (*text).to_owned()).collect();
    }
    let mut values = Vec::new();
    for text in texts {
        match text.parse() {
            Ok(value) => values.push(value),
            Err(_) => form.error(format!("({key} {text}): must be a number")),
        }
    }
    values
}
