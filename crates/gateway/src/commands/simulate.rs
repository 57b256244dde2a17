//! `fleet simulate`: fleets of up to a thousand controllers in made-up time, by the decisions that the program runs.
//! One file, one outcome: a JSON line a play, and plots.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use nettleferry_config::form::{Bytes, Errors, Form, TimeSpan};
use nettleferry_simulation::network::Network;
use nettleferry_simulation::{follow, power};
use plotters::prelude::*;
use serde_json::{Value, json};

use super::{CommandError, announce, read};

/// Controllers of a play, plays of a file, and seeds, at the most.
const MOST_CONTROLLERS: u32 = 1_000;
const MOST_PLAYS: usize = 10_000;
/// A play's length at the most.
const MOST_LENGTH: u64 = 3_600_000_000;

/// Play fleets in made-up time: followers of changes, and the return from a loss of power
#[derive(Args)]
pub struct Simulate {
    /// What is played: docs/recovery.md has the keys
    file: PathBuf,
    /// Write plots (SVG) into this folder
    #[arg(long, value_name = "FOLDER")]
    plots: Option<PathBuf>,
    /// Plays at once; all cores where not told
    #[arg(long)]
    threads: Option<usize>,
}

enum Play {
    Follow(follow::Plan),
    Power(power::Plan),
}

/// Values of `(key VALUE ...)`.
fn numbers<T: std::str::FromStr>(form: &mut Form, key: &'static str, usual: &[&str]) -> Vec<T> {
    let mut texts: Vec<String> = Vec::new();
    if let Some(mut list) = form.optional_list(key) {
        while let Some(text) = list.next_item::<String>() {
            texts.push(text);
        }
        list.finish();
    }
    if texts.is_empty() {
        texts = usual.iter().map(|text| (*text).to_owned()).collect();
    }
    let mut all = Vec::new();
    for text in texts {
        match text.parse() {
            Ok(value) => all.push(value),
            Err(_) => form.error(format!("({key} {text}): numbers are wanted")),
        }
    }
    all
}

fn sizes(form: &mut Form) -> Vec<u32> {
    let sizes = numbers(form, "controllers", &["3", "30", "300"]);
    if sizes.iter().any(|n| !(2..=MOST_CONTROLLERS).contains(n)) {
        form.error(format!("(controllers ...): 2 to {MOST_CONTROLLERS}"));
    }
    sizes
}

fn losses(form: &mut Form) -> Vec<f64> {
    let losses: Vec<f64> = numbers(form, "loss", &["0"]);
    if losses.iter().any(|l| !(0.0..=0.5).contains(l)) {
        form.error("(loss ...): parts of the packets, 0 to 0.5");
    }
    losses
}

fn network(form: &mut Form) -> impl Fn(f64) -> Network + use<> {
    let delay = form.micros_or("delay", 2_000).max(2);
    let bandwidth = form.optional::<Bytes>("bandwidth").map_or(100 << 20, |b| b.0).max(1) as f64;
    move |loss| Network { loss, delay, bandwidth }
}

fn length(form: &mut Form) -> u64 {
    let length = form.micros_or("length", 30_000_000);
    if !(1_000_000..=MOST_LENGTH).contains(&length) {
        form.error("(length ...): 1s to 1h");
    }
    length.clamp(1_000_000, MOST_LENGTH)
}

fn plays(file: &str, text: &str) -> Result<Vec<Play>, Errors> {
    let (source, mut top) = Form::parse(file, text);
    let seeds: Vec<u64> = numbers(&mut top, "seeds", &["1"]);
    let mut all = Vec::new();
    for mut form in top.lists("follow") {
        let (sizes, losses, network) = (sizes(&mut form), losses(&mut form), network(&mut form));
        let lease_ms = form.micros_or("lease", 6_000_000) / 1000;
        if !(200..=60_000).contains(&lease_ms) {
            form.error("(lease ...): 200ms to 60s");
        }
        let changes: f64 = form.value_or("changes-per-second", 0.5);
        if !(0.001..=1_000.0).contains(&changes) {
            form.error("(changes-per-second ...): 0.001 to 1000");
        }
        let length = length(&mut form);
        form.finish();
        for (controllers, loss, seed) in grid(&sizes, &losses, &seeds) {
            let network = network(loss);
            all.push(Play::Follow(follow::Plan { controllers, network, lease_ms, changes, length, seed }));
        }
    }
    for mut form in top.lists("power") {
        let (sizes, losses, network) = (sizes(&mut form), losses(&mut form), network(&mut form));
        let back = form.optional::<TimeSpan>("administration-after").map(|span| span.0);
        let administration = match (form.value_or("administration", true), back) {
            (false, _) => power::Back::Never,
            (true, Some(after)) => power::Back::After(after),
            (true, None) => power::Back::First,
        };
        let plan = power::Plan {
            controllers: 0,
            network: network(0.0),
            administration,
            lost_books: form.value_or("lost-books", 0.1f64).clamp(0.0, 1.0),
            tenants: form.value_or("tenants", 500u64).min(20_000),
            calls: form.value_or("calls-per-second", 70.0f64).clamp(0.1, 10_000.0),
            capacity: form.value_or("capacity", 131.0f64).clamp(0.1, 100_000.0),
            cold_part: form.value_or("cold-part", 0.25f64).clamp(0.01, 1.0),
            cold: form.micros_or("cold", 4_000_000),
            wait: form.micros_or("wait", 1_000_000),
            models: form.value_or("models", 26u32).clamp(1, 10_000),
            load: form.micros_or("load-time", 300_000).max(1),
            store: form.value_or("store", 64u32).max(1),
            aim: form.micros_or("aim", 600_000),
            deadline: form.micros_or("deadline", 3_000_000),
            gate: true,
            length: length(&mut form),
            seed: 0,
        };
        if plan.deadline >= plan.length {
            form.error("(deadline ...): shorter than the length");
        }
        form.finish();
        for (controllers, loss, seed) in grid(&sizes, &losses, &seeds) {
            for gate in [false, true] {
                let network = network(loss);
                all.push(Play::Power(power::Plan { controllers, network, gate, seed, ..plan }));
            }
        }
    }
    if all.is_empty() {
        top.error("nothing is played: write (follow ...) or (power ...)");
    } else if all.len() > MOST_PLAYS {
        top.error(format!("{} plays: at most {MOST_PLAYS}", all.len()));
    }
    top.finish();
    source.into_result(Some(all))
}

fn grid<'a>(
    sizes: &'a [u32],
    losses: &'a [f64],
    seeds: &'a [u64],
) -> impl Iterator<Item = (u32, f64, u64)> + 'a {
    let pairs = sizes.iter().flat_map(|n| losses.iter().map(move |l| (*n, *l)));
    pairs.flat_map(|(n, l)| seeds.iter().map(move |s| (n, l, *s)))
}

fn outcome(play: &Play) -> Value {
    let (kind, value) = match play {
        Play::Follow(plan) => ("follow", serde_json::to_value(follow::play(*plan))),
        Play::Power(plan) => ("power", serde_json::to_value(power::play(*plan))),
    };
    json!({ "play": kind, "outcome": value.unwrap_or_default() })
}

impl Simulate {
    pub fn run(self) -> Result<u8, CommandError> {
        let text = read(&self.file)?;
        let plays = plays(&self.file.display().to_string(), &text).map_err(CommandError::Unsound)?;
        let bar = ProgressBar::new(plays.len() as u64);
        if let Ok(style) =
            ProgressStyle::with_template("{bar:40} {pos}/{len} plays, {elapsed} of about {duration}")
        {
            bar.set_style(style);
        }
        let threads =
            self.threads.unwrap_or_else(|| std::thread::available_parallelism().map_or(1, usize::from));
        let (next, done) = (AtomicUsize::new(0), Mutex::new(BTreeMap::new()));
        // Plays are told in the order of the file, whichever thread had them.
        std::thread::scope(|scope| {
            for _ in 0..threads.clamp(1, 64) {
                scope.spawn(|| {
                    while let Some(at) =
                        Some(next.fetch_add(1, Ordering::Relaxed)).filter(|at| *at < plays.len())
                    {
                        let told = outcome(&plays[at]);
                        done.lock().unwrap_or_else(std::sync::PoisonError::into_inner).insert(at, told);
                        bar.inc(1);
                    }
                });
            }
        });
        bar.finish_and_clear();
        let done = done.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
        let lines: Vec<String> = done.values().map(Value::to_string).collect();
        announce(&lines.join("\n"))?;
        if let Some(folder) = &self.plots {
            std::fs::create_dir_all(folder).map_err(CommandError::system("can't make the folder"))?;
            let done: Vec<&Value> = done.values().collect();
            plot(
                &done,
                "follow",
                "p99_ms",
                "milliseconds to in force everywhere, 99 of 100",
                &folder.join("follow.svg"),
            )?;
            plot(
                &done,
                "follow",
                "shut_out",
                "part of the time without a lease",
                &folder.join("shut-out.svg"),
            )?;
            plot(
                &done,
                "power",
                "ready_ms",
                "milliseconds to nine of ten in time",
                &folder.join("power.svg"),
            )?;
        }
        Ok(0)
    }
}

/// A figure against the number of controllers, a line for each loss (and gate); means over seeds.
fn plot(done: &[&Value], kind: &str, figure: &str, what: &str, file: &Path) -> Result<(), CommandError> {
    let mut lines: BTreeMap<String, BTreeMap<u64, (f64, u32)>> = BTreeMap::new();
    for told in done.iter().filter(|told| told["play"] == kind) {
        let (outcome, plan) = (&told["outcome"], &told["outcome"]["plan"]);
        let gate = plan["gate"].as_bool().map_or("", |gate| if gate { ", gate" } else { ", no gate" });
        let name = format!("loss {}{gate}", plan["network"]["loss"]);
        let Some(value) = outcome[figure].as_f64() else { continue };
        let point = lines
            .entry(name)
            .or_default()
            .entry(plan["controllers"].as_u64().unwrap_or(1))
            .or_insert((0.0, 0));
        *point = (point.0 + value, point.1 + 1);
    }
    if lines.is_empty() {
        return Ok(());
    }
    let mean = |(sum, count): &(f64, u32)| sum / f64::from(*count);
    let values = lines.values().flat_map(|line| line.values().map(mean));
    let highest = values.fold(f64::MIN_POSITIVE, f64::max) * 1.1;
    let draw = || -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::new(file, (800, 480)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(what, ("sans-serif", 16))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d((2f64..1_100f64).log_scale(), 0.0..highest)?;
        chart.configure_mesh().x_desc("controllers").draw()?;
        for (place, (name, line)) in lines.iter().enumerate() {
            let colour = Palette99::pick(place).to_rgba();
            let points: Vec<(f64, f64)> = line.iter().map(|(n, v)| (*n as f64, mean(v))).collect();
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
                .label(name.clone())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
        area.present()?;
        Ok(())
    };
    draw().map_err(|why| CommandError::File(format!("{}: {why}", file.display())))
}
