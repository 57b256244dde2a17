//! A day file: workers, controllers, traffic, and troubles on a timeline. See `days/` for one of each kind.

use nettleferry::Micros;
use nettleferry_config::form::{Errors, Form, TimeSpan};
use nettleferry_test_servers::Spec;

/// A scripted day.
#[derive(Clone, Debug)]
pub struct Script {
    /// Its name.
    pub name: String,
    /// How long traffic runs.
    pub length: Micros,
    /// For all chance of the day.
    pub seed: u64,
    /// How many controllers, and their zones in turn.
    pub controllers: (usize, Vec<String>),
    /// How many workers, and their zones in turn.
    pub workers: (usize, Vec<String>),
    /// What each worker is.
    pub spec: Spec,
    /// Workers start cold.
    pub cold: bool,
    /// The shared store: fetches at full speed, and at most.
    pub store: (u32, u32),
    /// A change reaches the list after this span.
    pub list_lag: Micros,
    /// Settings of the controllers, but for what the day fills in.
    pub settings: String,
    /// Traffic.
    pub traffic: Vec<Traffic>,
    /// Troubles, by time.
    pub troubles: Vec<(Micros, Trouble)>,
    /// A remote-write receiver that evaluates alert rules, where wanted.
    pub watch: Option<Watch>,
}

/// A receiver of the controllers' figures, and what its rules are expected to do.
#[derive(Clone, Debug, PartialEq)]
pub struct Watch {
    /// The rule file, seen from the day file's folder.
    pub rules: String,
    /// How often controllers push.
    pub every: Micros,
    /// A second of the day is so many of the rules': their minutes pass sooner.
    pub speed: u32,
    /// Alerts that are to fire; no other may.
    pub fires: Vec<Fires>,
}

/// An alert that is to fire. Times are the day's.
#[derive(Clone, Debug, PartialEq)]
pub struct Fires {
    /// Its name.
    pub alert: String,
    /// Not before.
    pub after: Micros,
    /// So long after that at the latest.
    pub within: Micros,
    /// It is over by then.
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

/// A trouble.
#[derive(Clone, Debug, PartialEq)]
pub struct Trouble {
    /// What it is.
    pub kind: Kind,
    /// Workers it is for; empty: all.
    pub workers: Vec<String>,
    /// Controllers it is for; empty: all.
    pub controllers: Vec<usize>,
    /// How long it lasts.
    pub span: Micros,
}

/// Kinds of trouble.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// Workers die and come back cold.
    Crash,
    /// Workers read and answer nothing, then die and come back cold.
    Silence,
    /// Workers run a share of their calls and fail them at once.
    FastErrors(f64),
    /// Calls take this many times their work.
    Slow(f64),
    /// Load reports are this old.
    LateReports(Micros),
    /// A zone is cut off from the others.
    Cut(String),
    /// Every worker in turn drains, dies, and is replaced by a cold one; the step between two.
    Roll(Micros),
    /// The list is not written.
    StaleList,
    /// Controllers are killed and come back with their kept list.
    Kill,
    /// Controllers are told to end (SIGTERM) and come back.
    Stop,
    /// Controllers stand still.
    Stall,
    /// The store is slower by this factor.
    SlowStore(f64),
    /// Models that begin so are released anew: all copies go void.
    Release(String),
    /// Calls for models that are wanted once, so many a second.
    OneOff(f64),
    /// Calls of models that begin so are never answered.
    Hang(String),
    /// New connections say nothing for so long.
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

/// Longest day.
pub const MOST_LENGTH: Micros = 600_000_000;
/// Most workers and controllers of a day.
pub const MOST_WORKERS: u64 = 64;
/// See [`MOST_WORKERS`].
pub const MOST_CONTROLLERS: u64 = 16;
/// Most calls a second of one stream of traffic.
pub const MOST_RATE: f64 = 5_000.0;

/// Reads a day file.
pub fn read(file: &str, text: &str) -> Result<Script, Errors> {
    let (source, mut top) = Form::parse(file, text);
    let head = top.required_list("day").map(|mut form| {
        let name = form.or_name();
        let length = form.required::<TimeSpan>("length").map_or(1, |s| s.0);
        if length == 0 || length > MOST_LENGTH {
            form.error(format!("(length ...): more than 0, at most {}s", MOST_LENGTH / 1_000_000));
        }
        let seed = form.value_or("seed", 1u64);
        form.finish();
        (name, length.clamp(1, MOST_LENGTH), seed)
    });
    let controllers = many(&mut top, "controllers", MOST_CONTROLLERS, |_| ());
    let workers = many(&mut top, "workers", MOST_WORKERS, |form| {
        (Spec::read(form), form.value_or("start-cold", false))
    });
    let mut store = top.list_or_empty("store");
    let at_speed = store.value_or("at-speed", 8u32);
    let most = store.value_or("most", 32u32);
    store.finish();
    let list_lag = top.micros_or("list-lag", 200_000);
    let settings = top.required_list("settings").map(|form| {
        let text = form.text().to_owned();
        form.discard();
        text
    });
    let traffic: Vec<Traffic> = top.lists("traffic").into_iter().map(traffic).collect();
    if traffic.is_empty() {
        top.error("the day has no (traffic ...)");
    }
    let mut troubles = Vec::new();
    for mut at in top.lists("at") {
        let when = at.required_item::<TimeSpan>("when it begins").map_or(0, |s| s.0);
        for form in at.remaining_lists() {
            let count = workers.as_ref().map_or(0, |w| w.0);
            if let Some(found) = trouble(form, count, controllers.as_ref().map_or(0, |c| c.0)) {
                troubles.push((when, found));
            }
        }
        at.finish();
    }
    troubles.sort_by_key(|t| t.0);
    let watch = top.optional_list("receiver").map(watch);
    top.finish();
    let value = (|| {
        let (name, length, seed) = head?;
        let (count, zones, (spec, cold)) = workers?;
        let (controllers, controller_zones, ()) = controllers?;
        Some(Script {
            name,
            length,
            seed,
            controllers: (controllers, controller_zones),
            workers: (count, zones),
            spec,
            cold,
            store: (at_speed, most),
            list_lag,
            settings: settings?,
            traffic,
            troubles,
            watch,
        })
    })();
    source.into_result(value)
}

fn watch(mut form: Form) -> Watch {
    let span = |form: &mut Form, key| form.required::<TimeSpan>(key).map_or(0, |s| s.0);
    let rules = form.required("rules").unwrap_or_default();
    let every = form.micros_or("every", 1_000_000).max(10_000);
    let speed = form.value_or("speed", 1u32);
    if speed == 0 || speed > 100 {
        form.error(format!("(speed {speed}): from 1 to 100"));
    }
    let mut fires = Vec::new();
    for mut one in form.lists("fires") {
        let alert = one.or_name();
        let (after, within) = (span(&mut one, "after"), span(&mut one, "within"));
        fires.push(Fires { alert, after, within, clear_by: span(&mut one, "clear-by") });
        one.finish();
    }
    form.finish();
    Watch { rules, every, speed, fires }
}

trait OrName {
    fn or_name(&mut self) -> String;
}

impl OrName for Form {
    fn or_name(&mut self) -> String {
        self.required_item::<String>("its name").unwrap_or_default()
    }
}

fn many<T>(
    top: &mut Form,
    key: &'static str,
    most: u64,
    read: impl FnOnce(&mut Form) -> T,
) -> Option<(usize, Vec<String>, T)> {
    let mut form = top.required_list(key)?;
    let count = form.required_item::<u64>("how many")?;
    if count == 0 || count > most {
        form.error(format!("({key} {count}): from 1 to {most}"));
    }
    let zones = words(&mut form, "zones");
    let zones = if zones.is_empty() { vec!["a".to_owned()] } else { zones };
    let rest = read(&mut form);
    form.finish();
    Some((count.clamp(1, most) as usize, zones, rest))
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
    let name = form.or_name();
    if !nettleferry_test_servers::models::exists(&name) {
        form.error(format!("traffic {name}: the stand-ins' models are echo, echo-*, climb and climb-*"));
    }
    let rate = form.required("rate").unwrap_or(1.0);
    if rate > MOST_RATE {
        form.error(format!("(rate {rate}): at most {MOST_RATE}"));
    }
    let traffic = Traffic {
        name,
        models: form.value_or("models", 1u32).max(1),
        rate: rate.min(MOST_RATE),
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

fn trouble(mut form: Form, workers: usize, controllers: usize) -> Option<Trouble> {
    let span = |form: &mut Form, key| form.required::<TimeSpan>(key).map(|s| s.0);
    let kind = match form.name() {
        "crash" => Kind::Crash,
        "silence" => Kind::Silence,
        "fast-errors" => Kind::FastErrors(form.required::<f64>("share")?.min(1.0)),
        "slow" => Kind::Slow(form.required::<f64>("factor")?.clamp(0.01, 1e4)),
        "late-reports" => Kind::LateReports(span(&mut form, "late")?),
        "cut" => Kind::Cut(form.required("zone")?),
        "roll" => Kind::Roll(span(&mut form, "each")?),
        "stale-list" => Kind::StaleList,
        "kill" => Kind::Kill,
        "stop" => Kind::Stop,
        "stall" => Kind::Stall,
        "slow-store" => Kind::SlowStore(form.required::<f64>("factor")?.max(0.01)),
        "release" => Kind::Release(form.required("models")?),
        "one-off" => Kind::OneOff(form.required::<f64>("rate")?.min(MOST_RATE)),
        "hang" => Kind::Hang(form.required("models")?),
        "slow-handshakes" => Kind::SlowHandshakes(span(&mut form, "delay")?),
        "refuse" => Kind::Refuse,
        "goaway" => Kind::GoAway,
        "cut-after" => Kind::CutAfter(form.required("messages")?),
        "half-frame" => Kind::HalfFrame,
        other => {
            let known = [
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
            let hint = nettleferry_config::form::nearest(other, known.into_iter());
            form.error(format!("there is no trouble {other}{hint}"));
            return None;
        }
    };
    let lasts = !matches!(
        kind,
        Kind::Release(_) | Kind::GoAway | Kind::CutAfter(_) | Kind::HalfFrame | Kind::Roll(_)
    );
    let length = if lasts { span(&mut form, "for")? } else { 0 };
    let names = words(&mut form, "workers");
    for name in &names {
        let known = name.strip_prefix('w').and_then(|n| n.parse::<usize>().ok());
        if !known.is_some_and(|n| (1..=workers).contains(&n)) {
            form.error(format!("there is no worker {name}: they are w1 to w{workers}"));
        }
    }
    let mut numbers = Vec::new();
    for word in words(&mut form, "controllers") {
        match word.parse::<usize>().ok().filter(|n| *n < controllers) {
            Some(n) => numbers.push(n),
            None => {
                form.error(format!("there is no controller {word}: they are 0 to {}", controllers.max(1) - 1))
            }
        }
    }
    form.finish();
    Some(Trouble { kind, workers: names, controllers: numbers, span: length })
}

#[cfg(test)]
mod tests;
