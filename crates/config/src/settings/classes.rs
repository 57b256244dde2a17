//! The classes of calls, and the tenants that are defined in the settings.

use std::collections::HashMap;

use nettleferry::{Class, Effect, KeyScope, Tenant, TenantId};

use crate::form::{Form, TimeSpan};

/// The maximum number of classes in a file.
pub const MAX_CLASSES: usize = 256;

/// The maximum number of tenants in a file.
pub const MAX_TENANTS: usize = 10_000;

/// The classes in a file, and their names in the same order.
pub(super) struct Classes {
    pub(super) classes: Vec<Class>,
    pub(super) names: Vec<String>,
}

/// Reads all `(class NAME ...)`.
pub(super) fn classes(top: &mut Form) -> Classes {
    let (mut classes, mut names) = (Vec::new(), Vec::<String>::new());
    for mut form in top.lists("class") {
        let name: String = form.required_item("its name").unwrap_or_default();
        if names.contains(&name) {
            form.error(format!("class {name} is defined more than once: names must be unique"));
        }
        let latency_objective = form.required::<TimeSpan>("aim").map_or(1, |span| span.0);
        let deadline = form.required::<TimeSpan>("deadline").map_or(latency_objective, |span| span.0);
        if deadline < latency_objective || latency_objective == 0 {
            form.error(format!("class {name}: the aim is above zero and not longer than the deadline"));
        }
        let late_share = form.value_or("late-share", 0.0);
        if late_share > 1.0 {
            form.error(format!("class {name}: (late-share ...) must be a share from 0 to 1"));
        }
        classes.push(Class {
            latency_objective,
            deadline,
            effect: effect(&mut form).unwrap_or(Effect::NonIdempotent),
            priority_weight: form.value_or("worth", 1.0),
            late_share,
            stream: form.value_or("stream", false),
        });
        names.push(name);
        form.finish();
    }
    if classes.is_empty() {
        top.error("the settings name no (class ...): write at least one, with effect, aim and deadline");
    } else if classes.len() > MAX_CLASSES {
        top.error(format!("{} classes: must be at most {MAX_CLASSES}", classes.len()));
    }
    Classes { classes, names }
}

/// The keyword of an effect in the settings.
#[derive(Clone, Copy)]
enum EffectKind {
    Safe,
    Keyed,
    Unsafe,
}

/// Reads `(effect ...)`: whether a call of the class may be executed more than once.
fn effect(form: &mut Form) -> Option<Effect> {
    let mut form = form.required_list("effect")?;
    let kinds = [("safe", EffectKind::Safe), ("keyed", EffectKind::Keyed), ("unsafe", EffectKind::Unsafe)];
    let effect = match form.keyword("effect", &kinds)? {
        EffectKind::Safe => Effect::Idempotent,
        EffectKind::Keyed => {
            let scopes = [("all", KeyScope::All), ("zone", KeyScope::Zone), ("cell", KeyScope::Cell)];
            let scope = form.keyword("the scope in which repeated calls are dropped", &scopes);
            let window: Option<TimeSpan> =
                form.required_item("the time window in which repeated calls are dropped");
            Effect::IdempotencyKey { scope: scope?, window: window?.0 }
        }
        EffectKind::Unsafe => Effect::NonIdempotent,
    };
    form.finish();
    Some(effect)
}

/// The tenants in a file, and their ids by name.
pub(super) struct Tenants {
    pub(super) tenants: Vec<Tenant>,
    pub(super) ids: HashMap<String, TenantId>,
}

/// Reads all `(tenant NAME ...)`.
pub(super) fn tenants(top: &mut Form) -> Tenants {
    let (mut tenants, mut ids) = (Vec::new(), HashMap::new());
    for mut form in top.lists("tenant") {
        let name: String = form.required_item("its name").unwrap_or_default();
        if ids.insert(name.clone(), TenantId(tenants.len())).is_some() {
            form.error(format!("tenant {name} is defined more than once: names must be unique"));
        }
        tenants.push(Tenant { quota_per_s: form.optional("quota-per-second") });
        form.finish();
    }
    if tenants.len() > MAX_TENANTS {
        top.error(format!("{} tenants: must be at most {MAX_TENANTS}", tenants.len()));
    }
    Tenants { tenants, ids }
}
