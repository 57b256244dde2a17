//! The platform's JSON settings, as the module's [`Settings`]: the one reader that the simulator's adapter and the
//! real controller share.
//!
//! May know: the module's types. Must not know: sockets, the clock, decisions. A value that is absent takes its
//! documented meaning; nothing here is tuned.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

use nettleferry::*;
use serde_json::Value;

/// Settings, with the names whose places the module's types use.
#[derive(Clone, Debug)]
pub struct Site {
    /// The module's; the zone is left to the reader's own numbers.
    pub settings: Settings,
    /// Names of the classes, in order.
    pub classes: Vec<String>,
    /// Names of the tenants, in order.
    pub tenants: Vec<String>,
    /// This controller's zone.
    pub zone: Option<String>,
    /// Attempts that one connection to a worker carries at once.
    pub streams: u32,
    /// An idle connection to a worker is closed after this span; 0: not told.
    pub idle: Micros,
    /// Requests that a controller may hold open.
    pub open_calls: Option<u64>,
}

/// Settings that can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsFault {
    /// A class lacks a value that it needs.
    #[error("a class has no {0}")]
    Class(&'static str),
    /// A tenant lacks its name.
    #[error("a tenant has no name")]
    Tenant,
}

/// Milliseconds to whole microseconds; `None`: no time.
pub fn micros(value: &Value) -> Option<Micros> {
    let ms = value.as_f64()?;
    (ms.is_finite() && ms < 1e15).then(|| (ms.max(0.0) * 1000.0).round() as Micros)
}

/// The settings object of an instance's first message. What is absent takes its documented meaning.
pub fn read(info: &Value) -> Result<Site, SettingsFault> {
    let at = |path: &str| path.split('.').try_fold(info, |v, key| v.get(key)).filter(|v| !v.is_null());
    let span = |path: &str| at(path).and_then(micros).unwrap_or(0);
    let real = |path: &str| at(path).and_then(Value::as_f64).unwrap_or(0.0);
    let yes = |path: &str| at(path).and_then(Value::as_bool).unwrap_or(false);
    let word = |path: &str| at(path).and_then(Value::as_str).unwrap_or("");
    let list = |path: &str| at(path).and_then(Value::as_array).map(Vec::as_slice).unwrap_or(&[]);
    let whole = |path: &str| at(path).and_then(Value::as_u64);
    let (mut classes, mut class_names) = (Vec::new(), Vec::new());
    for value in list("classes") {
        let key = |name: &str| value.get(name).filter(|v| !v.is_null());
        let name = key("name").and_then(Value::as_str).ok_or(SettingsFault::Class("name"))?;
        let time = |name: &str| key(name).and_then(micros);
        let deadline = time("deadline_ms").ok_or(SettingsFault::Class("deadline_ms"))?;
        class_names.push(name.to_owned());
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
    let (mut tenants, mut tenant_names) = (Vec::new(), Vec::new());
    for value in list("accounts") {
        let name = value.get("name").and_then(Value::as_str).ok_or(SettingsFault::Tenant)?;
        tenant_names.push(name.to_owned());
        tenants.push(Tenant { quota_per_s: value.get("quota_per_s").and_then(Value::as_f64) });
    }
    let small = |value: Option<u64>, none: u32| value.map_or(none, |n| n.min(u64::from(u32::MAX)) as u32);
    let settings = Settings {
        me: small(whole("me"), 0),
        controllers: small(whole("n_instances"), 1),
        zone: None,
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
            spent: false,
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
    };
    Ok(Site {
        settings,
        classes: class_names,
        tenants: tenant_names,
        zone: at("zone").and_then(Value::as_str).map(str::to_owned),
        streams: small(whole("limits.max_streams"), 1).max(1),
        idle: span("limits.conn_idle_ms"),
        open_calls: whole("limits.max_open"),
    })
}
