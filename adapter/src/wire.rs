//! The wire's words and the library's, side by side.

use std::collections::BTreeMap;
use std::fmt::Write;

use nettleferry::*;
pub use nettleferry_platform_settings::micros;
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

impl Names {
    /// Takes in a controller's settings; its zone is numbered among the list's.
    pub fn settings(&mut self, info: &Value) -> Result<Settings, String> {
        let site = nettleferry_platform_settings::read(info).map_err(|e| format!("ENLIST: {e}"))?;
        let places =
            |names: Vec<String>| names.into_iter().enumerate().map(|(at, name)| (name, at)).collect();
        (self.classes, self.tenants) = (places(site.classes), places(site.tenants));
        let zone = site.zone.map(|zone| ZoneId(number(&mut self.zones, &zone)));
        Ok(Settings { zone, ..site.settings })
    }
}

fn number(map: &mut BTreeMap<String, u32>, name: &str) -> u32 {
    let next = map.len() as u32;
    *map.entry(name.to_string()).or_insert(next)
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
            3 => Outcome::Rejected,
            4 => Outcome::Timeout,
            5 => Outcome::ConnectFailed,
            6 => Outcome::Reset,
            7 => Outcome::Cancelled,
            8 => Outcome::NeverSent,
            9 => Outcome::NotLoaded,
            other => return Err(self.bad("verdict", &format!("{other} is unknown"))),
        })
    }
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
                cpu_time_hint: f.span(7, "size_hint_ms")?.filter(|_| flags & 1 != 0),
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
                concurrent_calls: matches!(outcome, Outcome::Ok | Outcome::Rejected)
                    .then_some((detail / 8).min(30) as u32),
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
        started_at: f.span(6, "born_ms")?.filter(|&born| born > 0),
    })
}

/// Appends one action to the reply.
pub fn action(id: u64, action: &Action, out: &mut String) {
    // The simulator carries an order in the moment in which it is given: it has left.
    if matches!(action, Action::CancelLoad { .. }) {
        return;
    }
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
        Action::CancelLoad { .. } => return,
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
