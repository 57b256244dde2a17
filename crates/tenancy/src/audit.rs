//! The audit trail's entries: appended with each change, never changed.

use serde::{Deserialize, Serialize};

use crate::model::{ClassLimits, Limits, State, Tenant};
use crate::{Millis, Revision};

/// What was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Created.
    Create,
    /// Limits, rights, weight or note changed.
    Change,
    /// Suspended.
    Suspend,
    /// Resumed.
    Resume,
    /// Its removal began.
    Remove,
    /// Its grace was over.
    Gone,
}

/// One change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The revision it made.
    pub revision: Revision,
    /// When, by the administrator's clock: it may step, revisions do not.
    pub at_ms: Millis,
    /// Who: the name of the key that was shown; the program itself for [`Action::Gone`].
    #[serde(rename = "who")]
    pub actor: String,
    /// What.
    pub action: Action,
    /// Which tenant.
    pub tenant: String,
    /// As it was.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub before: Option<Tenant>,
    /// As it is; none: it is gone.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub after: Option<Tenant>,
}

impl Entry {
    /// Does it take something away, so that it counts only when nobody acts on what was before? A suspension, a
    /// removal, a right withdrawn, a limit lowered.
    pub fn restricts(&self) -> bool {
        let Some(before) = &self.before else { return false };
        let Some(after) = &self.after else { return true };
        let class = |t: &Tenant, name: &str| t.spec.classes.get(name).cloned().unwrap_or_default();
        let classes = before.spec.classes.keys().chain(after.spec.classes.keys());
        (before.state == State::Active && after.state != State::Active)
            || (before.state != State::Removing && after.state == State::Removing)
            || narrower(before.spec.models.as_deref(), after.spec.models.as_deref())
            || lower(&before.spec.limits, &after.spec.limits)
            || classes.into_iter().any(|name| class_lower(&class(before, name), &class(after, name)))
    }
}

/// What is not there is no limit.
fn less<T: PartialOrd>(before: Option<T>, after: Option<T>) -> bool {
    after.is_some_and(|after| before.is_none_or(|before| after < before))
}

fn lower(before: &Limits, after: &Limits) -> bool {
    less(before.rate_per_second, after.rate_per_second)
        || less(before.burst, after.burst)
        || less(before.open_calls, after.open_calls)
        || less(before.held_calls, after.held_calls)
        || less(before.loaded_memory_bytes, after.loaded_memory_bytes)
        || less(before.fleet_share, after.fleet_share)
}

fn class_lower(before: &ClassLimits, after: &ClassLimits) -> bool {
    less(before.rate_per_second, after.rate_per_second)
        || less(before.burst, after.burst)
        || less(before.open_calls, after.open_calls)
}

/// Is some right of before not covered by one of after? None told: all of them.
fn narrower(before: Option<&[String]>, after: Option<&[String]>) -> bool {
    let Some(after) = after else { return false };
    let Some(before) = before else { return true };
    let covers = |right: &String, old: &String| match right.strip_suffix('*') {
        Some(beginning) => old.trim_end_matches('*').starts_with(beginning),
        None => right == old,
    };
    before.iter().any(|old| !after.iter().any(|right| covers(right, old)))
}

#[cfg(test)]
mod tests;
