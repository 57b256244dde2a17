//! Parser of the platform's JSON settings into the decision module's [`Settings`], shared by the simulator's adapter
//! and the controller.
//!
//! An absent value gets the default that the platform documents. A value of the wrong type is an error that names its
//! field. The crate uses the decision module's types, and does not depend on sockets or the clock.

#![forbid(unsafe_code)]

mod fields;

use nettleferry::*;
use serde_json::Value;

pub use fields::FieldError;
use fields::Fields;

/// The settings of a controller, and the names that belong to the numeric ids in the decision module's types.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// The decision module's settings. The zone is `None`, because the caller assigns zone ids.
    pub settings: Settings,
    /// Names of the classes, in the order of their ids.
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of their ids.
    pub tenants: Vec<String>,
    /// Name of this controller's zone, if the settings state one.
    pub zone: Option<String>,
    /// Maximum number of attempts in flight on one connection to a worker.
    pub streams: u32,
    /// Time after which an idle connection to a worker is closed, in microseconds. 0 if the settings state none.
    pub idle_timeout: Micros,
    /// Maximum number of open requests of a controller, if the settings state one.
    pub open_calls: Option<u64>,
}

/// Converts a JSON number of milliseconds to microseconds. A negative number counts as 0. Returns `None` if the value
/// is not a number or is too large.
pub fn micros(value: &Value) -> Option<Micros> {
    let ms = value.as_f64()?;
    (ms.is_finite() && ms < MAX_MS).then(|| (ms.max(0.0) * 1000.0).round() as Micros)
}

/// Upper bound of durations in milliseconds, exclusive.
const MAX_MS: f64 = 1e15;

/// Parses the settings from a JSON object, which has the format of the simulator's first message to a controller.
///
/// # Errors
/// Fails at the first field that is missing or invalid.
pub fn read(value: &Value) -> Result<PlatformSettings, FieldError> {
    let fields = Fields::outermost(value)?;
    let classes = classes(&fields)?;
    let tenants = tenants(&fields)?;
    let stats = fields.object("stats")?;
    let limits = fields.object("limits")?;
    let settings = Settings {
        controller_index: fields.integer_u32("me")?.unwrap_or(0),
        controllers: fields.integer_u32("n_instances")?.unwrap_or(1),
        zone: None,
        classes: classes.items,
        tenants: tenants.items,
        over_quota_weight: fields.number("over_share_worth")?.unwrap_or(1.0),
        discovery: fields
            .keyword("discovery", &[("push", Discovery::Push), ("ask", Discovery::Poll)])?
            .unwrap_or(Discovery::Push),
        reports: stats
            .keyword(
                "how",
                &[("none", Reports::None), ("answers", Reports::Answers), ("probe", Reports::Probe)],
            )?
            .unwrap_or(Reports::None),
        weights: fields.keyword("weights", &WEIGHTS)?.unwrap_or(Weights::None),
        loading: loading(&fields.object("family_info")?)?,
        limits: self::limits(&limits)?,
        rules: rules(&fields.object("obligations")?)?,
        event_interval: fields.duration("step_ms")?.unwrap_or(0),
    };
    Ok(PlatformSettings {
        settings,
        classes: classes.names,
        tenants: tenants.names,
        zone: fields.text("zone")?.map(str::to_owned),
        streams: limits.integer_u32("max_streams")?.unwrap_or(1).max(1),
        idle_timeout: limits.duration("conn_idle_ms")?.unwrap_or(0),
        open_calls: limits.integer("max_open")?,
    })
}

/// Keywords of the field `weights`.
const WEIGHTS: [(&str, Weights); 4] = [
    ("none", Weights::None),
    ("nominal", Weights::Nominal),
    ("rough", Weights::Rough),
    ("live", Weights::Live),
];

/// The items of a list and, in the same order, their names.
struct Named<T> {
    names: Vec<String>,
    items: Vec<T>,
}

fn classes(fields: &Fields) -> Result<Named<Class>, FieldError> {
    let (mut names, mut classes) = (Vec::new(), Vec::new());
    for class in fields.list("classes")? {
        let name = class.text("name")?.ok_or_else(|| class.missing("name"))?;
        if names.iter().any(|known| known == name) {
            return Err(class.error("name", "is the name of more than one class"));
        }
        names.push(name.to_owned());
        let deadline = class.duration("deadline_ms")?.ok_or_else(|| class.missing("deadline_ms"))?;
        if deadline == 0 {
            return Err(class.error("deadline_ms", "must be greater than 0"));
        }
        classes.push(Class {
            latency_objective: class.duration("goal_time_ms")?.unwrap_or(deadline),
            deadline,
            effect: effect(&class)?,
            priority_weight: class.number("points")?.unwrap_or(1.0),
            late_share: class.number("late_share")?.unwrap_or(0.0),
            stream: class.boolean("stream")?,
        });
    }
    Ok(Named { names, items: classes })
}

/// Returns the effect of repeating a call of a class. By default a call must not run twice.
fn effect(class: &Fields) -> Result<Effect, FieldError> {
    let scopes = [("all", KeyScope::All), ("zone", KeyScope::Zone), ("cell", KeyScope::Cell)];
    let scope = class.keyword("key_scope", &scopes)?.unwrap_or(KeyScope::All);
    let window = class.duration("repeat_window_ms")?.unwrap_or(0);
    let effects = [
        ("free", Effect::Idempotent),
        ("guarded", Effect::IdempotencyKey { scope, window }),
        ("single_shot", Effect::NonIdempotent),
    ];
    Ok(class.keyword("effect", &effects)?.unwrap_or(Effect::NonIdempotent))
}

fn tenants(fields: &Fields) -> Result<Named<Tenant>, FieldError> {
    let (mut names, mut tenants) = (Vec::new(), Vec::new());
    for tenant in fields.list("accounts")? {
        let name = tenant.text("name")?.ok_or_else(|| tenant.missing("name"))?;
        names.push(name.to_owned());
        tenants.push(Tenant { quota_per_s: tenant.number("quota_per_s")? });
    }
    Ok(Named { names, items: tenants })
}

fn loading(family: &Fields) -> Result<Loading, FieldError> {
    let when_absent = [("load", WhenAbsent::Load), ("miss", WhenAbsent::Miss)];
    Ok(Loading {
        when_absent: family.keyword("when_absent", &when_absent)?.unwrap_or(WhenAbsent::Load),
        keep_alive: family.duration("linger_idle_ms")?.unwrap_or(0),
        orders: family.boolean("orders")?,
        order_timeout: family.duration("order_timeout_ms")?.unwrap_or(0),
        notes: family.boolean("warm_notes")?,
        reports_concurrency: family.boolean("counts_alike")?,
        ration_window: family.duration("load_period_ms")?.unwrap_or(0),
        ration_floor: family.number("load_floor")?.unwrap_or(0.0),
        ration_share: family.number("load_share")?.unwrap_or(0.0),
        unknown_prior_orders: false,
        memory_price: family.number("memory_price")?.unwrap_or(0.0),
    })
}

fn limits(limits: &Fields) -> Result<Limits, FieldError> {
    let retry_after = limits.duration("max_retry_after_ms")?.unwrap_or(0);
    Ok(Limits {
        max_attempts: limits.integer_u32("max_attempts")?.unwrap_or(u32::MAX),
        parallel_attempts: limits.boolean("parallel_tries")?,
        probes: limits.boolean("probes")?,
        cancel: limits.boolean("cancel")?,
        retry_after: limits.boolean("retry_after")?.then_some(retry_after),
        connect_timeout: limits.duration("connect_timeout_ms")?.unwrap_or(0),
    })
}

fn rules(obligations: &Fields) -> Result<Rules, FieldError> {
    Ok(Rules {
        answer_grace: obligations.duration("grace_to_answer_ms")?.unwrap_or(0),
        drain_grace: obligations.duration("stop_sending_within_ms")?.unwrap_or(0),
        must_poll_within: obligations.duration("must_ask_in_ms")?.unwrap_or(0),
        start_capacity: obligations.number("start_capacity")?.unwrap_or(1.0),
        warm_up: obligations.duration("cold_ms")?.unwrap_or(0),
        overload_factor: obligations.number("overload_factor")?.unwrap_or(1.0),
        overload_span: obligations.duration("fall_ms")?.unwrap_or(0),
    })
}
