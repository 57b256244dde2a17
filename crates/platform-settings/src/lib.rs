//! The platform's JSON settings, as the module's [`Settings`]: the one reader that the simulator's adapter and the
//! real controller share.
//!
//! May know: the module's types. Must not know: sockets, the clock, decisions. A value that is absent takes its
//! documented meaning; one that is there and is not what it must be is refused by its field's name; nothing here is tuned.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod fields;

use nettleferry::*;
use serde_json::Value;

use fields::Fields;
pub use fields::SettingsFault;

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

/// Milliseconds to whole microseconds; `None`: no time.
pub fn micros(value: &Value) -> Option<Micros> {
    let ms = value.as_f64()?;
    (ms.is_finite() && ms < LONGEST_MS).then(|| (ms.max(0.0) * 1000.0).round() as Micros)
}

/// Times of so many milliseconds or more are none.
const LONGEST_MS: f64 = 1e15;

/// The settings object of an instance's first message. What is absent takes its documented meaning.
pub fn read(info: &Value) -> Result<Site, SettingsFault> {
    let fields = Fields::of(info)?;
    let (class_names, classes) = classes(&fields)?;
    let (tenant_names, tenants) = tenants(&fields)?;
    let stats = fields.object("stats")?;
    let limits = fields.object("limits")?;
    let settings = Settings {
        me: fields.small("me")?.unwrap_or(0),
        controllers: fields.small("n_instances")?.unwrap_or(1),
        zone: None,
        classes,
        tenants,
        over_quota_worth: fields.real("over_share_worth")?.unwrap_or(1.0),
        discovery: fields
            .word("discovery", &[("push", Discovery::Push), ("ask", Discovery::Poll)])?
            .unwrap_or(Discovery::Push),
        reports: stats
            .word(
                "how",
                &[("none", Reports::None), ("answers", Reports::Answers), ("probe", Reports::Probe)],
            )?
            .unwrap_or(Reports::None),
        weights: fields.word("weights", &WEIGHTS)?.unwrap_or(Weights::None),
        loading: loading(&fields.object("family_info")?)?,
        limits: self::limits(&limits)?,
        rules: rules(&fields.object("obligations")?)?,
        step: fields.span("step_ms")?.unwrap_or(0),
    };
    Ok(Site {
        settings,
        classes: class_names,
        tenants: tenant_names,
        zone: fields.text("zone")?.map(str::to_owned),
        streams: limits.small("max_streams")?.unwrap_or(1).max(1),
        idle: limits.span("conn_idle_ms")?.unwrap_or(0),
        open_calls: limits.whole("max_open")?,
    })
}

const WEIGHTS: [(&str, Weights); 4] = [
    ("none", Weights::None),
    ("nominal", Weights::Nominal),
    ("rough", Weights::Rough),
    ("live", Weights::Live),
];

fn classes(fields: &Fields) -> Result<(Vec<String>, Vec<Class>), SettingsFault> {
    let (mut names, mut classes) = (Vec::new(), Vec::new());
    for class in fields.list("classes")? {
        let name = class.text("name")?.ok_or_else(|| class.missing("name"))?;
        if names.iter().any(|known| known == name) {
            return Err(class.fault("name", "stands twice"));
        }
        names.push(name.to_owned());
        let deadline = class.span("deadline_ms")?.ok_or_else(|| class.missing("deadline_ms"))?;
        if deadline == 0 {
            return Err(class.fault("deadline_ms", "is no time"));
        }
        classes.push(Class {
            latency_objective: class.span("goal_time_ms")?.unwrap_or(deadline),
            deadline,
            effect: effect(&class)?,
            priority_weight: class.real("points")?.unwrap_or(1.0),
            late_share: class.real("late_share")?.unwrap_or(0.0),
            stream: class.yes("stream")?,
        });
    }
    Ok((names, classes))
}

/// What a repeat of a class may do; where nothing is told, it may do anything.
fn effect(class: &Fields) -> Result<Effect, SettingsFault> {
    let groups = [("all", KeyScope::All), ("zone", KeyScope::Zone), ("cell", KeyScope::Cell)];
    let group = class.word("key_scope", &groups)?.unwrap_or(KeyScope::All);
    let window = class.span("repeat_window_ms")?.unwrap_or(0);
    let effects = [
        ("free", Effect::Idempotent),
        ("guarded", Effect::IdempotencyKey { scope: group, window }),
        ("single_shot", Effect::NonIdempotent),
    ];
    Ok(class.word("effect", &effects)?.unwrap_or(Effect::NonIdempotent))
}

fn tenants(fields: &Fields) -> Result<(Vec<String>, Vec<Tenant>), SettingsFault> {
    let (mut names, mut tenants) = (Vec::new(), Vec::new());
    for tenant in fields.list("accounts")? {
        let name = tenant.text("name")?.ok_or_else(|| tenant.missing("name"))?;
        names.push(name.to_owned());
        tenants.push(Tenant { quota_per_s: tenant.real("quota_per_s")? });
    }
    Ok((names, tenants))
}

fn loading(family: &Fields) -> Result<Loading, SettingsFault> {
    let absent = [("load", WhenAbsent::Load), ("miss", WhenAbsent::Miss)];
    Ok(Loading {
        when_absent: family.word("when_absent", &absent)?.unwrap_or(WhenAbsent::Load),
        keep_alive: family.span("linger_idle_ms")?.unwrap_or(0),
        orders: family.yes("orders")?,
        order_timeout: family.span("order_timeout_ms")?.unwrap_or(0),
        notes: family.yes("warm_notes")?,
        reports_concurrency: family.yes("counts_alike")?,
        ration_window: family.span("load_period_ms")?.unwrap_or(0),
        ration_floor: family.real("load_floor")?.unwrap_or(0.0),
        ration_share: family.real("load_share")?.unwrap_or(0.0),
        unknown_prior_orders: false,
        memory_price: family.real("memory_price")?.unwrap_or(0.0),
    })
}

fn limits(limits: &Fields) -> Result<Limits, SettingsFault> {
    let retry_after = limits.span("max_retry_after_ms")?.unwrap_or(0);
    Ok(Limits {
        max_attempts: limits.small("max_attempts")?.unwrap_or(u32::MAX),
        parallel: limits.yes("parallel_tries")?,
        probes: limits.yes("probes")?,
        cancel: limits.yes("cancel")?,
        retry_after: limits.yes("retry_after")?.then_some(retry_after),
        connect_timeout: limits.span("connect_timeout_ms")?.unwrap_or(0),
    })
}

fn rules(obligations: &Fields) -> Result<Rules, SettingsFault> {
    Ok(Rules {
        answer_grace: obligations.span("grace_to_answer_ms")?.unwrap_or(0),
        drain_grace: obligations.span("stop_sending_within_ms")?.unwrap_or(0),
        must_poll_within: obligations.span("must_ask_in_ms")?.unwrap_or(0),
        start_capacity: obligations.real("start_capacity")?.unwrap_or(1.0),
        warm_up: obligations.span("cold_ms")?.unwrap_or(0),
        overload_factor: obligations.real("overload_factor")?.unwrap_or(1.0),
        overload_span: obligations.span("fall_ms")?.unwrap_or(0),
    })
}
