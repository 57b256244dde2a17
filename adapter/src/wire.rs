//! The wire's words and the library's, side by side.

use std::collections::BTreeMap;
use std::fmt::Write;

use nettleferry::*;
use serde_json::Value;

/// Names of the wire, as the small numbers that the library uses.
#[derive(Default)]
pub struct Names {
    classes: BTreeMap<String, usize>,
    tenants: BTreeMap<String, usize>,
    zones: BTreeMap<String, u32>,
    kinds: BTreeMap<String, u32>,
    /// Unknown classes are let through: there is no instance to use them.
    pub lenient: bool,
}

fn number(map: &mut BTreeMap<String, u32>, name: &str) -> u32 {
    let next = map.len() as u32;
    *map.entry(name.to_string()).or_insert(next)
}

/// Milliseconds on the wire to whole microseconds.
pub fn micros(value: &Value) -> Option<Micros> {
    let ms = value.as_f64()?;
    (ms.is_finite() && ms < 1e15).then(|| (ms.max(0.0) * 1000.0).round() as Micros)
}

/// The values of one event.
pub struct Fields<'a> {
    /// Its name.
    pub name: &'a str,
    /// The whole array.
    pub parts: &'a [Value],
}

impl Fields<'_> {
    fn bad(&self, what: &str, why: &str) -> String {
        format!("{}: {what} {why}", self.name)
    }
    fn get(&self, at: usize, what: &str) -> Result<&Value, String> {
        self.parts.get(at).ok_or_else(|| self.bad(what, "is missing (the array is too short)"))
    }
    pub fn whole(&self, at: usize, what: &str) -> Result<u64, String> {
        let value = self.get(at, what)?;
        value.as_u64().ok_or_else(|| self.bad(what, "is not a whole number"))
    }
    fn text(&self, at: usize, what: &str) -> Result<&str, String> {
        self.get(at, what)?.as_str().ok_or_else(|| self.bad(what, "is not a text"))
    }
    fn time(&self, at: usize, what: &str) -> Result<Micros, String> {
        micros(self.get(at, what)?).ok_or_else(|| self.bad(what, "is not a time"))
    }
    fn span(&self, at: usize, what: &str) -> Result<Option<Micros>, String> {
        match self.get(at, what)? {
            Value::Null => Ok(None),
            value => micros(value).map(Some).ok_or_else(|| self.bad(what, "is not a time")),
        }
    }
    fn optional(&self, at: usize, what: &str) -> Result<Option<u64>, String> {
        match self.get(at, what)? {
            Value::Null => Ok(None),
            value => value.as_u64().map(Some).ok_or_else(|| self.bad(what, "is not a whole number")),
        }
    }
    fn ticket(&self) -> Result<RequestId, String> {
        let text = self.text(2, "ticket")?;
        let ok = text.len() == 16 && text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
        let id = if ok { u64::from_str_radix(text, 16).ok() } else { None };
        id.map(RequestId).ok_or_else(|| self.bad("ticket", "is not 16 hex digits"))
    }
    fn report(&self, at: usize) -> Result<Option<Report>, String> {
        let map = match self.get(at, "report")? {
            Value::Null => return Ok(None),
            Value::Object(map) => map,
            _ => return Err(self.bad("report", "is not an object")),
        };
        let value = |key: &str| map.get(key).and_then(Value::as_f64);
        Ok(Some(Report {
            inflight: value("rif"),
            queue: value("q"),
            util: value("busy"),
            memory_held: value("x0"),
            loads: value("x1"),
        }))
    }
    fn outcome(&self, at: usize) -> Result<Outcome, String> {
        Ok(match self.whole(at, "verdict")? {
            1 => Outcome::Ok,
            2 => Outcome::Error,
            3 => Outcome::Full,
            4 => Outcome::Timeout,
            5 => Outcome::ConnectFailed,
            6 => Outcome::Reset,
            7 => Outcome::Cancelled,
            8 => Outcome::Moot,
            9 => Outcome::Miss,
            other => return Err(self.bad("verdict", &format!("{other} is unknown"))),
        })
    }
}

/// The settings object of an instance's first message. What is absent takes its documented meaning.
pub fn settings(info: &Value, names: &mut Names) -> Result<Settings, String> {
    let at = |path: &str| path.split('.').try_fold(info, |v, key| v.get(key)).filter(|v| !v.is_null());
    let span = |path: &str| at(path).and_then(micros).unwrap_or(0);
    let real = |path: &str| at(path).and_then(Value::as_f64).unwrap_or(0.0);
    let yes = |path: &str| at(path).and_then(Value::as_bool).unwrap_or(false);
    let word = |path: &str| at(path).and_then(Value::as_str).unwrap_or("");
    let list = |path: &str| at(path).and_then(Value::as_array).map(Vec::as_slice).unwrap_or(&[]);
    let whole = |path: &str| at(path).and_then(Value::as_u64);
    let mut classes = Vec::new();
    for value in list("classes") {
        let key = |name: &str| value.get(name).filter(|v| !v.is_null());
        let name = key("name").and_then(Value::as_str).ok_or("ENLIST: a class has no name")?;
        let time = |name: &str| key(name).and_then(micros);
        let deadline = time("deadline_ms").ok_or("ENLIST: a class has no deadline_ms")?;
        names.classes.insert(name.to_string(), classes.len());
        let group = match key("key_scope").and_then(Value::as_str) {
            Some("zone") => Group::Zone,
            Some("cell") => Group::Cell,
            _ => Group::All,
        };
        let effect = match key("effect").and_then(Value::as_str) {
            Some("free") => Effect::Safe,
            Some("guarded") => Effect::Keyed { group, window: time("repeat_window_ms").unwrap_or(0) },
            _ => Effect::Unsafe,
        };
        classes.push(Class {
            aim: time("goal_time_ms").unwrap_or(deadline),
            deadline,
            effect,
            worth: key("points").and_then(Value::as_f64).unwrap_or(1.0),
            late_share: key("late_share").and_then(Value::as_f64).unwrap_or(0.0),
            stream: key("stream").and_then(Value::as_bool).unwrap_or(false),
        });
    }
    let mut tenants = Vec::new();
    for value in list("accounts") {
        let name = value.get("name").and_then(Value::as_str).ok_or("ENLIST: a tenant has no name")?;
        names.tenants.insert(name.to_string(), tenants.len());
        tenants.push(Tenant { quota_per_s: value.get("quota_per_s").and_then(Value::as_f64) });
    }
    let small = |value: Option<u64>, none: u32| value.map_or(none, |n| n.min(u64::from(u32::MAX)) as u32);
    Ok(Settings {
        me: small(whole("me"), 0),
        controllers: small(whole("n_instances"), 1),
        zone: at("zone").and_then(Value::as_str).map(|zone| ZoneId(number(&mut names.zones, zone))),
        classes,
        tenants,
        over_quota_worth: at("over_share_worth").and_then(Value::as_f64).unwrap_or(1.0),
        discovery: if word("discovery") == "ask" { Discovery::Ask } else { Discovery::Push },
        reports: match word("stats.how") {
            "answers" => Reports::Answers,
            "probe" => Reports::Probe,
            _ => Reports::None,
        },
        weights: match word("weights") {
            "nominal" => Weights::Nominal,
            "rough" => Weights::Rough,
            "live" => Weights::Live,
            _ => Weights::None,
        },
        loading: Loading {
            when_absent: match word("family_info.when_absent") {
                "miss" => WhenAbsent::Miss,
                _ => WhenAbsent::Load,
            },
            keep_alive: span("family_info.linger_idle_ms"),
            orders: yes("family_info.orders"),
            order_timeout: span("family_info.order_timeout_ms"),
            notes: yes("family_info.warm_notes"),
            crowd: yes("family_info.counts_alike"),
            ration_window: span("family_info.load_period_ms"),
            ration_floor: real("family_info.load_floor"),
            ration_share: real("family_info.load_share"),
            memory_price: real("family_info.memory_price"),
        },
        limits: Limits {
            max_attempts: small(whole("limits.max_attempts"), u32::MAX),
            parallel: yes("limits.parallel_tries"),
            probes: yes("limits.probes"),
            cancel: yes("limits.cancel"),
            retry_after: yes("limits.retry_after").then(|| span("limits.max_retry_after_ms")),
            connect_timeout: span("limits.connect_timeout_ms"),
        },
        rules: Rules {
            answer_grace: span("obligations.grace_to_answer_ms"),
            drain_grace: span("obligations.stop_sending_within_ms"),
            must_ask_in: span("obligations.must_ask_in_ms"),
            start_capacity: at("obligations.start_capacity").and_then(Value::as_f64).unwrap_or(1.0),
            cold: span("obligations.cold_ms"),
            overload_factor: at("obligations.overload_factor").and_then(Value::as_f64).unwrap_or(1.0),
            fall: span("obligations.fall_ms"),
        },
        step: span("step_ms"),
    })
}

/// One event of the wire as the library's.
pub fn event(f: &Fields, names: &mut Names) -> Result<Event, String> {
    Ok(match f.name {
        "TOPOLOGY" => {
            let form = match f.text(2, "form")? {
                "diff" => ListForm::Changes,
                "snapshot" => ListForm::Complete,
                "disk" => ListForm::Restored,
                "error" => ListForm::Failed,
                _ => return Err(f.bad("form", "is unknown")),
            };
            let items = match f.get(4, "items")? {
                Value::Array(items) => items.as_slice(),
                Value::Null => &[],
                _ => return Err(f.bad("items", "is not an array")),
            };
            let entries = items.iter().map(|item| entry(item, names)).collect::<Result<_, _>>();
            Event::Workers { form, entries: entries.map_err(|what| f.bad("items", &what))? }
        }
        "INBOUND" => {
            let class = f.text(3, "kind")?;
            let class = match names.classes.get(class) {
                Some(&n) => n,
                None if names.lenient => 0,
                None => return Err(f.bad("kind", "names no class")),
            };
            let tenant = match f.get(4, "user_group")? {
                Value::String(name) => names.tenants.get(name).copied().map(TenantId),
                _ => None,
            };
            let flags = f.optional(11, "flags")?.unwrap_or(0);
            Event::Request(Request {
                id: f.ticket()?,
                class: ClassId(class),
                tenant,
                function: FunctionId(f.whole(5, "fn")?),
                left: f.time(6, "left_ms")?,
                work_hint: f.span(7, "size_hint_ms")?.filter(|_| flags & 1 != 0),
                lanes: f.optional(9, "concurrency")?.unwrap_or(1).clamp(1, 1 << 20) as u32,
                load_time: f.span(10, "start_ms")?,
                repeat: flags & 2 != 0,
            })
        }
        "VERDICT" => {
            let detail = f.optional(5, "detail")?.unwrap_or(0);
            let outcome = f.outcome(7)?;
            Event::Outcome {
                request: f.ticket()?,
                finished: f.get(3, "over")?.as_bool().ok_or_else(|| f.bad("over", "is not true or false"))?,
                worker: WorkerId(f.whole(4, "invoker")?),
                attempt: f.whole(6, "leg")? as u32,
                outcome,
                elapsed: f.time(8, "rtt_ms")?,
                note: match detail % 8 {
                    1 => Some(LoadNote::Warm),
                    2 => Some(LoadNote::Began),
                    3 => Some(LoadNote::Waited),
                    4 => Some(LoadNote::Failed),
                    _ => None,
                },
                crowd: matches!(outcome, Outcome::Ok | Outcome::Full).then_some((detail / 8).min(30) as u32),
                report: f.report(9)?,
            }
        }
        "FIRST" => Event::Started { request: f.ticket()?, attempt: f.whole(4, "leg")? as u32 },
        "BROUGHT_UP" => Event::Loaded {
            worker: WorkerId(f.whole(2, "invoker")?),
            outcome: f.outcome(3)?,
            elapsed: f.time(4, "rtt_ms")?,
            function: FunctionId(f.whole(5, "fn")?),
            copies: f.optional(6, "number")?.unwrap_or(0).min(1 << 20) as u32,
        },
        "CHECK_RESULT" => Event::Probed {
            worker: WorkerId(f.whole(2, "invoker")?),
            outcome: f.outcome(3)?,
            report: f.report(5)?,
        },
        "WAKE" => Event::Timer { tag: f.whole(2, "tag")? },
        "TIMED_OUT_CLIENT" => Event::ClientGone { request: f.ticket()? },
        "FROM_PEER" => {
            let text = f.text(3, "content")?;
            let pairs = text.as_bytes().chunks(2).map(|pair| {
                std::str::from_utf8(pair)
                    .ok()
                    .filter(|p| p.len() == 2)
                    .and_then(|p| u8::from_str_radix(p, 16).ok())
            });
            let bytes = pairs.collect::<Option<Vec<u8>>>().ok_or_else(|| f.bad("content", "is not hex"))?;
            Event::Message { from: PeerId(f.whole(2, "origin_peer")?), bytes }
        }
        other => return Err(format!("{other}: no such event")),
    })
}

fn entry(item: &Value, names: &mut Names) -> Result<WorkerEntry, String> {
    let parts = item.as_array().ok_or("hold an entry that is not an array")?;
    let f = Fields { name: "entry", parts };
    let zone = f.text(0, "failure_domain")?;
    let kind = f.text(2, "kind")?;
    Ok(WorkerEntry {
        zone: ZoneId(number(&mut names.zones, zone)),
        worker: WorkerId(f.whole(1, "invoker")?),
        kind: KindId(number(&mut names.kinds, kind)),
        weight: f.get(3, "weight")?.as_f64().unwrap_or(1.0),
        cell: CellId(f.optional(4, "pod")?.unwrap_or(0)),
        state: match f.text(5, "state")? {
            "on" => WorkerState::On,
            "fading" => WorkerState::Draining,
            "off" => WorkerState::Gone,
            _ => return Err(f.bad("state", "is unknown")),
        },
        born: f.span(6, "born_ms")?.filter(|&born| born > 0),
    })
}

/// Appends one action to the reply.
pub fn action(id: u64, action: &Action, out: &mut String) {
    if !out.is_empty() {
        out.push(',');
    }
    let ms = |span: Micros| span as f64 / 1000.0;
    let advice = |span: &Option<Micros>| span.map_or("null".to_string(), |s| ms(s).to_string());
    let done = match action {
        Action::Send { request, worker, timeout } => {
            write!(out, "[\"ATTEMPT\",{id},\"{:016x}\",{},{}]", request.0, worker.0, advice(timeout))
        }
        Action::Cancel { request, attempt } => {
            write!(out, "[\"RETRACT\",{id},\"{:016x}\",{attempt}]", request.0)
        }
        Action::Refuse { request, retry_after } => {
            write!(out, "[\"OVERLOAD_REPLY\",{id},\"{:016x}\",{}]", request.0, advice(retry_after))
        }
        Action::Fail { request } => write!(out, "[\"REPORT_FAILURE\",{id},\"{:016x}\"]", request.0),
        Action::Load { worker, function, count } => {
            write!(out, "[\"PRELOAD\",{id},{},{count},{}]", worker.0, function.0)
        }
        Action::Unload { worker, function } => {
            write!(out, "[\"RELEASE_IDLE\",{id},{},{}]", function.0, worker.0)
        }
        Action::Probe { worker } => write!(out, "[\"SOUND_OUT\",{id},{}]", worker.0),
        Action::SetTimer { after, tag } => write!(out, "[\"AFTER\",{id},{},{tag}]", ms(*after)),
        Action::Watch => write!(out, "[\"KEEP_INFORMED\",{id},true]"),
        Action::Fetch => write!(out, "[\"RELOAD\",{id}]"),
        Action::Log(text) => write!(out, "[\"DEBUG\",{id},{}]", Value::from(text.as_str())),
    };
    done.expect("writing to a string");
}
