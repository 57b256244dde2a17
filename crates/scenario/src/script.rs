//! A scenario file: workers, controllers, traffic, and faults on a timeline. `days/` has one of each kind.

use nettleferry::Micros;
use nettleferry_config::form::{Errors, Form, TimeSpan};
use nettleferry_test_servers::Spec;

/// A scenario.
#[derive(Clone, Debug)]
pub struct Script {
    /// Its name.
    pub name: String,
    /// How long traffic runs.
    pub length: Micros,
    /// Seed of all random numbers.
    pub seed: u64,
    /// The controllers.
    pub controllers: Zoned,
    /// The workers.
    pub workers: Zoned,
    /// What each worker is.
    pub spec: Spec,
    /// Workers start cold.
    pub cold: bool,
    /// The model store that all workers share.
    pub store: StoreLimits,
    /// After this time a change of a worker is in the list.
    pub list_lag: Micros,
    /// Settings of the controllers, without what the run adds.
    pub settings: String,
    /// Traffic.
    pub traffic: Vec<Traffic>,
    /// Faults, in order of time.
    pub faults: Vec<ScriptedFault>,
    /// A remote-write receiver that evaluates alert rules, where wanted.
    pub watch: Option<Watch>,
}

/// Processes or threads that are spread over zones.
#[derive(Clone, Debug, PartialEq)]
pub struct Zoned {
    /// How many.
    pub count: usize,
    /// Their zones, in turn; at least one.
    pub zones: Vec<String>,
}

impl Zoned {
    /// The zone of one of them, by its index.
    pub fn zone(&self, index: usize) -> &str {
        &self.zones[index % self.zones.len()]
    }
}

/// How many models the store serves at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLimits {
    /// Fetches at full speed.
    pub at_speed: u32,
    /// Fetches at the most.
    pub most: u32,
}

/// A receiver of the controllers' metrics, and the alerts that are expected there.
#[derive(Clone, Debug, PartialEq)]
pub struct Watch {
    /// The rule file; a relative path starts from the scenario file's folder.
    pub rules: String,
    /// How often controllers push.
    pub every: Micros,
    /// Seconds of the rules' clock in one second of the run.
    pub speed: u32,
    /// Alerts that are to fire; no other may.
    pub alerts: Vec<ExpectedAlert>,
}

/// An alert that is to fire. Times are those of the run.
#[derive(Clone, Debug, PartialEq)]
pub struct ExpectedAlert {
    /// Its name.
    pub alert: String,
    /// It fires at this time at the earliest.
    pub after: Micros,
    /// It fires so much later at the latest.
    pub within: Micros,
    /// It has ended at this time.
    pub clear_by: Micros,
}

/// A stream of calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Traffic {
    /// Its models are NAME-0, NAME-1, ...
    pub name: String,
    /// How many models.
    pub models: u32,
    /// Calls a second, over all controllers.
    pub rate: f64,
    /// By ModelStreamInfer.
    pub streamed: bool,
    /// All calls of a controller share one stream.
    pub shared: bool,
    /// Segments of a climb.
    pub segments: i64,
    /// Bytes of an echo.
    pub bytes: usize,
    /// `grpc-timeout`; none: the class's deadline.
    pub deadline: Option<Micros>,
    /// Share of calls that the client cancels on the way.
    pub cancel: f64,
    /// Share of streams that are read slowly.
    pub slow: f64,
}

/// A fault on the timeline.
#[derive(Clone, Debug, PartialEq)]
pub struct ScriptedFault {
    /// When it begins, since the start of the traffic.
    pub at: Micros,
    /// What it is.
    pub kind: FaultKind,
    /// Workers it is for; empty: all.
    pub workers: Vec<String>,
    /// Controllers it is for; empty: all.
    pub controllers: Vec<usize>,
    /// How long it lasts.
    pub span: Micros,
}

/// Kinds of faults.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// Workers die and start again, with a part of their capacity.
    Crash,
    /// Workers read and answer nothing, then die and start again.
    Unresponsive,
    /// Workers fail this share of their calls at once, after they have run.
    FastErrors(f64),
    /// Calls take this many times as long.
    Slow(f64),
    /// Load reports are this old.
    StaleReports(Micros),
    /// A zone is cut off from the others.
    Cut(String),
    /// Every worker in turn drains, dies and starts again; the time between two.
    RollingRestart(Micros),
    /// The list is not written.
    StaleList,
    /// Controllers are killed and start again with their persisted list.
    Kill,
    /// Controllers get SIGTERM and start again.
    Stop,
    /// Controllers are stopped (SIGSTOP) and continued.
    Stall,
    /// The store is slower by this factor.
    SlowStore(f64),
    /// Models with this prefix get a new release: all their replicas become invalid.
    Release(String),
    /// Calls for models that are wanted once; calls a second.
    OneOff(f64),
    /// Calls of models with this prefix are never answered.
    Hang(String),
    /// Nothing is sent on new connections for this time.
    SlowHandshakes(Micros),
    /// Workers refuse every stream.
    Refuse,
    /// Workers send GOAWAY in the middle.
    GoAway,
    /// Workers break a connection after so many messages.
    CutAfter(u32),
    /// Workers break off inside a frame.
    HalfFrame,
}

/// Longest run.
pub const MAX_LENGTH: Micros = 600_000_000;
/// Workers of a scenario, at the most.
pub const MAX_WORKERS: u64 = 64;
/// Controllers of a scenario, at the most.
pub const MAX_CONTROLLERS: u64 = 16;
/// Calls a second of one stream of traffic, at the most.
pub const MAX_RATE: f64 = 5_000.0;
const DEFAULT_LIST_LAG: Micros = 200_000;

/// The first form of a scenario file.
struct Header {
    name: String,
    length: Micros,
    seed: u64,
}

/// What each worker is.
struct WorkerOptions {
    spec: Spec,
    cold: bool,
}

/// Reads a scenario file; all that is wrong with it is reported together.
///
/// # Errors
/// The text is not a valid scenario.
pub fn read(file: &str, text: &str) -> Result<Script, Errors> {
    let (source, mut top) = Form::parse(file, text);
    let script = script(&mut top);
    top.finish();
    source.into_result(script)
}

fn script(top: &mut Form) -> Option<Script> {
    let header = top.required_list("day").map(header);
    let controllers = zoned(top, "controllers", MAX_CONTROLLERS, |_| ());
    let mut options = None;
    let workers = zoned(top, "workers", MAX_WORKERS, |form| {
        options = Some(WorkerOptions { spec: Spec::read(form), cold: form.value_or("start-cold", false) });
    });
    let store = store_limits(top);
    let list_lag = top.micros_or("list-lag", DEFAULT_LIST_LAG);
    let settings = top.required_list("settings").map(|form| {
        let text = form.text().to_owned();
        form.discard();
        text
    });
    let traffic: Vec<Traffic> = top.lists("traffic").into_iter().map(traffic).collect();
    if traffic.is_empty() {
        top.error("the day has no (traffic ...)");
    }
    let count = |zoned: &Option<Zoned>| zoned.as_ref().map_or(0, |zoned| zoned.count);
    let faults = faults(top, count(&workers), count(&controllers));
    let watch = top.optional_list("receiver").map(watch);
    let Header { name, length, seed } = header?;
    let WorkerOptions { spec, cold } = options?;
    Some(Script {
        name,
        length,
        seed,
        controllers: controllers?,
        workers: workers?,
        spec,
        cold,
        store,
        list_lag,
        settings: settings?,
        traffic,
        faults,
        watch,
    })
}

fn header(mut form: Form) -> Header {
    let name = form.name_argument();
    let length = form.required::<TimeSpan>("length").map_or(1, |span| span.0);
    if length == 0 || length > MAX_LENGTH {
        form.error(format!("(length ...): more than 0, at most {}s", MAX_LENGTH / 1_000_000));
    }
    let seed = form.value_or("seed", 1u64);
    form.finish();
    Header { name, length: length.clamp(1, MAX_LENGTH), seed }
}

fn store_limits(top: &mut Form) -> StoreLimits {
    let mut form = top.list_or_empty("store");
    let limits =
        StoreLimits { at_speed: form.value_or("at-speed", 8u32), most: form.value_or("most", 32u32) };
    form.finish();
    limits
}

fn faults(top: &mut Form, workers: usize, controllers: usize) -> Vec<ScriptedFault> {
    let mut faults = Vec::new();
    for mut form in top.lists("at") {
        let at = form.required_item::<TimeSpan>("when it begins").map_or(0, |span| span.0);
        let listed = form.remaining_lists().into_iter();
        faults.extend(listed.filter_map(|fault| scripted_fault(at, fault, workers, controllers)));
        form.finish();
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}

fn watch(mut form: Form) -> Watch {
    let span = |form: &mut Form, key| form.required::<TimeSpan>(key).map_or(0, |s| s.0);
    let rules = form.required("rules").unwrap_or_default();
    let every = form.micros_or("every", 1_000_000).max(10_000);
    let speed = form.value_or("speed", 1u32);
    if speed == 0 || speed > 100 {
        form.error(format!("(speed {speed}): from 1 to 100"));
    }
    let mut alerts = Vec::new();
    for mut one in form.lists("fires") {
        let alert = one.name_argument();
        let (after, within) = (span(&mut one, "after"), span(&mut one, "within"));
        alerts.push(ExpectedAlert { alert, after, within, clear_by: span(&mut one, "clear-by") });
        one.finish();
    }
    form.finish();
    Watch { rules, every, speed, alerts }
}

trait ParseByName {
    fn name_argument(&mut self) -> String;
}

impl ParseByName for Form {
    fn name_argument(&mut self) -> String {
        self.required_item::<String>("its name").unwrap_or_default()
    }
}

/// Reads `(key COUNT (zones ...) ...)`; `read` takes what else is in it.
fn zoned(top: &mut Form, key: &'static str, most: u64, read: impl FnOnce(&mut Form)) -> Option<Zoned> {
    let mut form = top.required_list(key)?;
    let count = form.required_item::<u64>("how many")?;
    if count == 0 || count > most {
        form.error(format!("({key} {count}): from 1 to {most}"));
    }
    let zones = words(&mut form, "zones");
    let zones = if zones.is_empty() { vec!["a".to_owned()] } else { zones };
    read(&mut form);
    form.finish();
    Some(Zoned { count: count.clamp(1, most) as usize, zones })
}

fn words(form: &mut Form, key: &'static str) -> Vec<String> {
    let Some(mut list) = form.optional_list(key) else { return Vec::new() };
    let mut all = Vec::new();
    while let Some(word) = list.next_item() {
        all.push(word);
    }
    list.finish();
    all
}

fn share(form: &mut Form, key: &'static str) -> f64 {
    let share = form.value_or(key, 0.0);
    if share > 1.0 {
        form.error(format!("({key} ...) is a share, from 0 to 1"));
    }
    share.min(1.0)
}

fn traffic(mut form: Form) -> Traffic {
    let name = form.name_argument();
    if !nettleferry_test_servers::models::exists(&name) {
        form.error(format!("traffic {name}: the stand-ins' models are echo, echo-*, climb and climb-*"));
    }
    let rate = form.required("rate").unwrap_or(1.0);
    if rate > MAX_RATE {
        form.error(format!("(rate {rate}): at most {MAX_RATE}"));
    }
    let traffic = Traffic {
        name,
        models: form.value_or("models", 1u32).max(1),
        rate: rate.min(MAX_RATE),
        streamed: form.value_or("streamed", false),
        shared: form.value_or("shared", false),
        segments: form.value_or("segments", 1i64).clamp(1, 1000),
        bytes: form.value_or("bytes", 64u64).min(16 << 20) as usize,
        deadline: form.optional::<TimeSpan>("deadline").map(|s| s.0),
        cancel: share(&mut form, "cancel"),
        slow: share(&mut form, "slow"),
    };
    if traffic.shared && !traffic.streamed {
        form.error("(shared yes) goes with (streamed yes)");
    }
    form.finish();
    traffic
}

/// Names of all kinds of faults, for suggestions.
const FAULT_NAMES: [&str; 20] = [
    "crash",
    "silence",
    "fast-errors",
    "slow",
    "late-reports",
    "cut",
    "roll",
    "stale-list",
    "kill",
    "stop",
    "stall",
    "slow-store",
    "release",
    "one-off",
    "hang",
    "slow-handshakes",
    "refuse",
    "goaway",
    "cut-after",
    "half-frame",
];

fn scripted_fault(at: Micros, mut form: Form, workers: usize, controllers: usize) -> Option<ScriptedFault> {
    let kind = fault_kind(&mut form)?;
    let momentary = matches!(
        kind,
        FaultKind::Release(_)
            | FaultKind::GoAway
            | FaultKind::CutAfter(_)
            | FaultKind::HalfFrame
            | FaultKind::RollingRestart(_)
    );
    let span = if momentary { 0 } else { form.required::<TimeSpan>("for")?.0 };
    let workers = worker_names(&mut form, workers);
    let controllers = controller_numbers(&mut form, controllers);
    form.finish();
    Some(ScriptedFault { at, kind, workers, controllers, span })
}

fn fault_kind(form: &mut Form) -> Option<FaultKind> {
    let span = |form: &mut Form, key| form.required::<TimeSpan>(key).map(|span| span.0);
    Some(match form.name() {
        "crash" => FaultKind::Crash,
        "silence" => FaultKind::Unresponsive,
        "fast-errors" => FaultKind::FastErrors(form.required::<f64>("share")?.min(1.0)),
        "slow" => FaultKind::Slow(form.required::<f64>("factor")?.clamp(0.01, 1e4)),
        "late-reports" => FaultKind::StaleReports(span(form, "late")?),
        "cut" => FaultKind::Cut(form.required("zone")?),
        "roll" => FaultKind::RollingRestart(span(form, "each")?),
        "stale-list" => FaultKind::StaleList,
        "kill" => FaultKind::Kill,
        "stop" => FaultKind::Stop,
        "stall" => FaultKind::Stall,
        "slow-store" => FaultKind::SlowStore(form.required::<f64>("factor")?.max(0.01)),
        "release" => FaultKind::Release(form.required("models")?),
        "one-off" => FaultKind::OneOff(form.required::<f64>("rate")?.min(MAX_RATE)),
        "hang" => FaultKind::Hang(form.required("models")?),
        "slow-handshakes" => FaultKind::SlowHandshakes(span(form, "delay")?),
        "refuse" => FaultKind::Refuse,
        "goaway" => FaultKind::GoAway,
        "cut-after" => FaultKind::CutAfter(form.required("messages")?),
        "half-frame" => FaultKind::HalfFrame,
        other => {
            let hint = nettleferry_config::form::nearest(other, FAULT_NAMES.into_iter());
            form.error(format!("there is no trouble {other}{hint}"));
            return None;
        }
    })
}

fn worker_names(form: &mut Form, workers: usize) -> Vec<String> {
    let names = words(form, "workers");
    for name in &names {
        let number = name.strip_prefix('w').and_then(|number| number.parse::<usize>().ok());
        if !number.is_some_and(|number| (1..=workers).contains(&number)) {
            form.error(format!("there is no worker {name}: they are w1 to w{workers}"));
        }
    }
    names
}

fn controller_numbers(form: &mut Form, controllers: usize) -> Vec<usize> {
    let mut numbers = Vec::new();
    for text in words(form, "controllers") {
        match text.parse::<usize>().ok().filter(|number| *number < controllers) {
            Some(number) => numbers.push(number),
            None => {
                form.error(format!(
                    "there is no controller {text}: they are 0 to {}",
                    controllers.max(1) - 1
                ));
            }
        }
    }
    numbers
}

#[cfg(test)]
mod tests;
