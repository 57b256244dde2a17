//! Classes of calls and the tenants that the settings name.

use std::collections::HashMap;

use nettleferry::{Class, Effect, KeyScope, Tenant, TenantId};

use crate::form::{Form, TimeSpan};

/// Most classes of a file.
pub const MOST_CLASSES: usize = 256;

/// Most tenants of a file.
pub const MOST_TENANTS: usize = 10_000;

/// Reads all `(class NAME ...)`: the classes, and their names in the same order.
pub(super) fn classes(top: &mut Form) -> (Vec<Class>, Vec<String>) {
    let (mut classes, mut names) = (Vec::new(), Vec::<String>::new());
    for mut form in top.all("class") {
        let name: String = form.want("its name").unwrap_or_default();
        if names.contains(&name) {
            form.fault(format!("class {name} stands twice: names are unique"));
        }
        let aim = form.must::<TimeSpan>("aim").map_or(1, |s| s.0);
        let deadline = form.must::<TimeSpan>("deadline").map_or(aim, |s| s.0);
        if deadline < aim || aim == 0 {
            form.fault(format!("class {name}: the aim is above zero and not longer than the deadline"));
        }
        let late_share = form.or("late-share", 0.0);
        if late_share > 1.0 {
            form.fault(format!("class {name}: (late-share ...) is a share, from 0 to 1"));
        }
        classes.push(Class {
            latency_objective: aim,
            deadline,
            effect: effect(&mut form).unwrap_or(Effect::NonIdempotent),
            priority_weight: form.or("worth", 1.0),
            late_share,
            stream: form.or("stream", false),
        });
        names.push(name);
        form.end();
    }
    if classes.is_empty() {
        top.fault("the settings name no (class ...): write at least one, with effect, aim and deadline");
    } else if classes.len() > MOST_CLASSES {
        top.fault(format!("{} classes; at most {MOST_CLASSES} are taken", classes.len()));
    }
    (classes, names)
}

/// Reads `(effect ...)`.
fn effect(form: &mut Form) -> Option<Effect> {
    let mut form = form.need("effect")?;
    let word = form.word("effect", &[("safe", 0), ("keyed", 1), ("unsafe", 2)])?;
    let effect = match word {
        0 => Effect::Idempotent,
        1 => {
            let group = [("all", KeyScope::All), ("zone", KeyScope::Zone), ("cell", KeyScope::Cell)];
            let group = form.word("the group that drops repeats", &group);
            let window: Option<TimeSpan> = form.want("the window in which repeats are dropped");
            Effect::IdempotencyKey { scope: group?, window: window?.0 }
        }
        _ => Effect::NonIdempotent,
    };
    form.end();
    Some(effect)
}

/// Reads all `(tenant NAME ...)`: the tenants, and their places by name.
pub(super) fn tenants(top: &mut Form) -> (Vec<Tenant>, HashMap<String, TenantId>) {
    let (mut tenants, mut names) = (Vec::new(), HashMap::new());
    for mut form in top.all("tenant") {
        let name: String = form.want("its name").unwrap_or_default();
        if names.insert(name.clone(), TenantId(tenants.len())).is_some() {
            form.fault(format!("tenant {name} stands twice: names are unique"));
        }
        tenants.push(Tenant { quota_per_s: form.get("quota-per-second") });
        form.end();
    }
    if tenants.len() > MOST_TENANTS {
        top.fault(format!("{} tenants; at most {MOST_TENANTS} are taken", tenants.len()));
    }
    (tenants, names)
}
