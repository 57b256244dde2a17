//! The parser of scenario files, which define workers, controllers, traffic and faults on a timeline. `days/` contains
//! one file for each kind of fault.

use nettleferry::Micros;
use nettleferry_config::form::{Errors, Form, TimeSpan};
use nettleferry_test_servers::Spec;

/// A parsed scenario.
#[derive(Clone, Debug)]
pub struct Script {
    /// Name of the scenario.
    pub name: String,
    /// Duration of the traffic.
    pub length: Micros,
    /// Seed of all random number generators.
    pub seed: u64,
    /// Number and zones of the controllers.
    pub controllers: Zoned,
    /// Number and zones of the workers.
    pub workers: Zoned,
    /// Capacity and behaviour of each worker.
    pub spec: Spec,
    /// Whether workers start cold, with a part of their capacity.
    pub start_cold: bool,
    /// Limits of the model store that all workers share.
    pub store: StoreLimits,
    /// Delay after which the start or the crash of a worker appears in the worker list.
    pub list_lag: Micros,
    /// Text of the controllers' settings, to which the run adds the parts that differ between controllers.
    pub settings: String,
    /// Streams of calls; at least one.
    pub traffic: Vec<Traffic>,
    /// Faults, ordered by start time.
    pub faults: Vec<ScriptedFault>,
    /// A remote-write receiver that evaluates alert rules, if the scenario has one.
    pub watch: Option<Watch>,
}

/// Controllers or workers that are distributed over zones.
#[derive(Clone, Debug, PartialEq)]
pub struct Zoned {
    /// Number of controllers or workers.
    pub count: usize,
    /// Zones, which are assigned in turn; at least one.
    pub zones: Vec<String>,
}

impl Zoned {
    /// The zone of the controller or worker with the given index.
    pub fn zone(&self, index: usize) -> &str {
        &self.zones[index % self.zones.len()]
    }
}

/// Limits on the concurrent fetches from the model store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLimits {
    /// Number of fetches up to which each runs at full speed.
    pub full_speed_fetches: u32,
    /// Maximum number of concurrent fetches.
    pub max_fetches: u32,
}

/// A remote-write receiver of the controllers' metrics, and the alerts that are expected to fire there.
#[derive(Clone, Debug, PartialEq)]
pub struct Watch {
    /// Path of the alert rule file. A relative path starts at the folder of the scenario file.
    pub rule_file: String,
    /// Interval at which controllers push their metrics.
    pub push_interval: Micros,
    /// Seconds that pass on the clock of the alert rules in one second of the run.
    pub speed: u32,
    /// Alerts that have to fire. No other alert may fire.
    pub alerts: Vec<ExpectedAlert>,
}

/// An alert that has to fire. Times count from the start of the run.
#[derive(Clone, Debug, PartialEq)]
pub struct ExpectedAlert {
    /// Name of the alert.
    pub alert: String,
    /// Earliest time at which it may fire.
    pub after: Micros,
    /// Length of the interval from `after` in which it has to fire.
    pub within: Micros,
    /// Time by which it has to stop firing.
    pub clear_by: Micros,
}

/// A stream of calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Traffic {
    /// Prefix of the models' names, which are NAME-0, NAME-1, ...
    pub name: String,
    /// Number of models.
    pub models: u32,
    /// Calls per second, over all controllers together.
    pub rate: f64,
    /// Whether calls use ModelStreamInfer rather than ModelInfer.
    pub streamed: bool,
    /// Whether all calls to a controller share one stream.
    pub shared: bool,
    /// Segments of a request to a `climb` model.
    pub segments: i64,
    /// Bytes of the input of a request to an `echo` model.
    pub bytes: usize,
    /// Value of `grpc-timeout`, at most the deadline of the class; `None` uses the class's deadline.
    pub deadline: Option<Micros>,
    /// Share of calls that the client cancels before their deadline, from 0 to 1.
    pub cancel: f64,
    /// Share of streams that the client reads slowly, from 0 to 1.
    pub slow: f64,
    /// Share of calls whose requests have no id, from 0 to 1.
    pub without_id: f64,
}

/// A fault on the timeline of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct ScriptedFault {
    /// Start of the fault, counted from the start of the traffic.
    pub at: Micros,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Names of the affected workers; empty means all.
    pub workers: Vec<String>,
    /// Numbers of the affected controllers; empty means all.
    pub controllers: Vec<usize>,
    /// Duration of the fault; 0 for a momentary fault and for a rolling restart, which lasts one step for each worker.
    pub span: Micros,
}

/// A kind of fault, with its parameter.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// Workers crash and start again, with a part of their capacity at first.
    Crash,
    /// Workers answer nothing, then crash and start again.
    Unresponsive,
    /// Workers return an error for this share of their calls immediately after having run them.
    FastErrors(f64),
    /// Calls take this many times as much CPU time.
    Slow(f64),
    /// Workers' load reports are delayed by this time.
    StaleReports(Micros),
    /// All links between this zone and the other zones are cut.
    Cut(String),
    /// The workers drain, stop and start again, one after the other. The value is the time from one worker to the next.
    RollingRestart(Micros),
    /// Changes are not written to the worker list.
    StaleList,
    /// Controllers are killed (SIGKILL) and start again with their persisted worker list.
    Kill,
    /// Controllers are terminated (SIGTERM) and start again.
    Stop,
    /// Controllers are stopped (SIGSTOP) and continued.
    Stall,
    /// Fetches from the model store take this many times as long.
    SlowStore(f64),
    /// A new release of the models with this prefix invalidates all their replicas.
    Release(String),
    /// Clients send additional calls, each for a model that is used only once. The value is in calls per second.
    OneOff(f64),
    /// Workers never answer calls for models with this prefix.
    Hang(String),
    /// Workers read nothing from a new connection for this time.
    SlowHandshakes(Micros),
    /// Workers refuse every stream.
    Refuse,
    /// Workers send GOAWAY and break the streams that they have begun to process.
    GoAway,
    /// Workers break the connection of a response after this number of messages.
    CutAfter(u32),
    /// Workers break the connection of their next response in the middle of a frame.
    HalfFrame,
}

/// Maximum length of a scenario's traffic.
pub const MAX_LENGTH: Micros = 600_000_000;
/// Maximum number of workers of a scenario.
pub const MAX_WORKERS: u64 = 64;
/// Maximum number of controllers of a scenario.
pub const MAX_CONTROLLERS: u64 = 16;
/// Maximum number of calls per second of one stream of traffic.
pub const MAX_RATE: f64 = 5_000.0;
/// Maximum ratio of the clock of the alert rules to that of the run.
const MAX_SPEED: u32 = 100;
const DEFAULT_PUSH_INTERVAL: Micros = 1_000_000;
const MIN_PUSH_INTERVAL: Micros = 10_000;
const MAX_SEGMENTS: i64 = 1_000;
const MAX_INPUT_BYTES: u64 = 16 << 20;
const DEFAULT_LIST_LAG: Micros = 200_000;

/// The form `(day NAME ...)` of a scenario file.
struct Header {
    name: String,
    length: Micros,
    seed: u64,
}

/// The options of the form `(workers ...)` other than number and zones.
struct WorkerOptions {
    spec: Spec,
    start_cold: bool,
}

/// Parses the text of a scenario file. `file` is its name in error messages.
///
/// # Errors
/// The text is not a valid scenario. All errors found are reported together.
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
        options =
            Some(WorkerOptions { spec: Spec::read(form), start_cold: form.value_or("start-cold", false) });
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
        top.error("the scenario has no (traffic ...)");
    }
    let count = |zoned: &Option<Zoned>| zoned.as_ref().map_or(0, |zoned| zoned.count);
    let faults = faults(top, count(&workers), count(&controllers));
    let watch = top.optional_list("receiver").map(watch);
    let Header { name, length, seed } = header?;
    let WorkerOptions { spec, start_cold } = options?;
    Some(Script {
        name,
        length,
        seed,
        controllers: controllers?,
        workers: workers?,
        spec,
        start_cold,
        store,
        list_lag,
        settings: settings?,
        traffic,
        faults,
        watch,
    })
}

fn header(mut form: Form) -> Header {
    let name = name_argument(&mut form);
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
    let limits = StoreLimits {
        full_speed_fetches: form.value_or("at-speed", 8u32),
        max_fetches: form.value_or("most", 32u32),
    };
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

/// Reads `(receiver (rules ...) (every ...) (speed ...) (fires NAME ...) ...)`.
fn watch(mut form: Form) -> Watch {
    let span = |form: &mut Form, key| form.required::<TimeSpan>(key).map_or(0, |s| s.0);
    let rule_file = form.required("rules").unwrap_or_default();
    let push_interval = form.micros_or("every", DEFAULT_PUSH_INTERVAL).max(MIN_PUSH_INTERVAL);
    let speed = form.value_or("speed", 1u32);
    if speed == 0 || speed > MAX_SPEED {
        form.error(format!("(speed {speed}): from 1 to {MAX_SPEED}"));
    }
    let mut alerts = Vec::new();
    for mut fires in form.lists("fires") {
        let alert = name_argument(&mut fires);
        let (after, within) = (span(&mut fires, "after"), span(&mut fires, "within"));
        alerts.push(ExpectedAlert { alert, after, within, clear_by: span(&mut fires, "clear-by") });
        fires.finish();
    }
    form.finish();
    Watch { rule_file, push_interval, speed, alerts }
}

/// Reads the next item of a form as its name; empty if it is missing.
fn name_argument(form: &mut Form) -> String {
    form.required_item::<String>("its name").unwrap_or_default()
}

/// Reads `(key COUNT (zones ...) ...)`, with a count of at most `max_count`. `read_options` reads the other options of
/// the form.
fn zoned(
    top: &mut Form,
    key: &'static str,
    max_count: u64,
    read_options: impl FnOnce(&mut Form),
) -> Option<Zoned> {
    let mut form = top.required_list(key)?;
    let count = form.required_item::<u64>("how many")?;
    if count == 0 || count > max_count {
        form.error(format!("({key} {count}): from 1 to {max_count}"));
    }
    let zones = words(&mut form, "zones");
    let zones = if zones.is_empty() { vec!["a".to_owned()] } else { zones };
    read_options(&mut form);
    form.finish();
    Some(Zoned { count: count.clamp(1, max_count) as usize, zones })
}

/// Reads the words of the optional list `(key WORD ...)`.
fn words(form: &mut Form, key: &'static str) -> Vec<String> {
    let Some(mut list) = form.optional_list(key) else { return Vec::new() };
    let mut all = Vec::new();
    while let Some(word) = list.next_item() {
        all.push(word);
    }
    list.finish();
    all
}

/// Reads an optional share, which is 0 by default.
fn share(form: &mut Form, key: &'static str) -> f64 {
    let share = form.value_or(key, 0.0);
    if share > 1.0 {
        form.error(format!("({key} ...) is a share, from 0 to 1"));
    }
    share.min(1.0)
}

fn traffic(mut form: Form) -> Traffic {
    let name = name_argument(&mut form);
    if !nettleferry_test_servers::models::exists(&name) {
        form.error(format!(
            "traffic {name}: the models of the test workers are echo, echo-*, climb and climb-*"
        ));
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
        segments: form.value_or("segments", 1i64).clamp(1, MAX_SEGMENTS),
        bytes: form.value_or("bytes", 64u64).min(MAX_INPUT_BYTES) as usize,
        deadline: form.optional::<TimeSpan>("deadline").map(|s| s.0),
        cancel: share(&mut form, "cancel"),
        slow: share(&mut form, "slow"),
        without_id: share(&mut form, "without-id"),
    };
    if traffic.shared && !traffic.streamed {
        form.error("(shared yes) requires (streamed yes)");
    }
    if traffic.shared && traffic.without_id > 0.0 {
        form.error("(shared yes) excludes (without-id ...): clients assign the answers of a shared stream by their ids");
    }
    form.finish();
    traffic
}

/// Names of all kinds of faults, for suggestions in error messages.
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
    let has_no_duration = matches!(
        kind,
        FaultKind::Release(_)
            | FaultKind::GoAway
            | FaultKind::CutAfter(_)
            | FaultKind::HalfFrame
            | FaultKind::RollingRestart(_)
    );
    let span = if has_no_duration { 0 } else { form.required::<TimeSpan>("for")?.0 };
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
            let hint = nettleferry_config::form::suggestion(other, FAULT_NAMES.into_iter());
            form.error(format!("there is no fault {other}{hint}"));
            return None;
        }
    })
}

fn worker_names(form: &mut Form, workers: usize) -> Vec<String> {
    let names = words(form, "workers");
    for name in &names {
        let number = name.strip_prefix('w').and_then(|number| number.parse::<usize>().ok());
        if !number.is_some_and(|number| (1..=workers).contains(&number)) {
            form.error(format!("there is no worker {name}: the workers are w1 to w{workers}"));
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
                    "there is no controller {text}: the controllers are 0 to {}",
                    controllers.max(1) - 1
                ));
            }
        }
    }
    numbers
}

#[cfg(test)]
mod tests;
