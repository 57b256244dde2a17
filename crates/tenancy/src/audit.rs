//! Entries of the audit trail: one for each change, immutable once written. The tenant store persists them.

use serde::{Deserialize, Serialize};

use crate::model::{ClassLimits, Limits, State, Tenant};
use crate::{Millis, Revision};

/// The kind of a change to a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// The tenant was created.
    Create,
    /// Limits, rights, weight or note of the tenant were changed.
    Change,
    /// The tenant was suspended.
    Suspend,
    /// The tenant was resumed.
    Resume,
    /// The removal of the tenant was requested, and its grace period began.
    Remove,
    /// The tenant was removed at the end of its grace period.
    Gone,
}

/// One change, with the tenant before and after it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Revision of the tenant snapshot after the change.
    pub revision: Revision,
    /// Time of the change by the leader's wall clock, which may step. Only revisions order the entries.
    pub at_ms: Millis,
    /// Name of the API key that requested the change, or [`crate::snapshot::PROGRAM_ACTOR`] for [`Action::Gone`].
    #[serde(rename = "who")]
    pub actor: String,
    /// Kind of the change.
    pub action: Action,
    /// Name of the tenant.
    pub tenant: String,
    /// The tenant before the change; `None` if it was created.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub before: Option<Tenant>,
    /// The tenant after the change; `None` if it was removed.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub after: Option<Tenant>,
}

impl Entry {
    /// Returns whether the change restricts the tenant: a suspension, a removal, a withdrawn right or a lowered limit.
    /// Such a change is acknowledged only when no controller acts on the previous state any more.
    pub fn restricts(&self) -> bool {
        let Some(before) = &self.before else { return false };
        let Some(after) = &self.after else { return true };
        let class = |t: &Tenant, name: &str| t.spec.classes.get(name).cloned().unwrap_or_default();
        let classes = before.spec.classes.keys().chain(after.spec.classes.keys());
        (before.state == State::Active && after.state != State::Active)
            || (before.state != State::Removing && after.state == State::Removing)
            || rights_withdrawn(before.spec.models.as_deref(), after.spec.models.as_deref())
            || limits_lowered(&before.spec.limits, &after.spec.limits)
            || classes.into_iter().any(|name| class_limits_lowered(&class(before, name), &class(after, name)))
    }
}

/// Returns whether a limit was lowered or introduced. `None` stands for no limit.
fn lowered<T: PartialOrd>(before: Option<T>, after: Option<T>) -> bool {
    after.is_some_and(|after| before.is_none_or(|before| after < before))
}

fn limits_lowered(before: &Limits, after: &Limits) -> bool {
    lowered(before.rate_per_second, after.rate_per_second)
        || lowered(before.burst, after.burst)
        || lowered(before.open_calls, after.open_calls)
        || lowered(before.held_calls, after.held_calls)
        || lowered(before.loaded_memory_bytes, after.loaded_memory_bytes)
        || lowered(before.fleet_share, after.fleet_share)
}

fn class_limits_lowered(before: &ClassLimits, after: &ClassLimits) -> bool {
    lowered(before.rate_per_second, after.rate_per_second)
        || lowered(before.burst, after.burst)
        || lowered(before.open_calls, after.open_calls)
}

/// Returns whether a right in `before` is not covered by a right in `after`. `None` stands for the right to all models.
fn rights_withdrawn(before: Option<&[String]>, after: Option<&[String]>) -> bool {
    let Some(after) = after else { return false };
    let Some(before) = before else { return true };
    let covers = |new: &String, old: &String| match new.strip_suffix('*') {
        Some(prefix) => old.trim_end_matches('*').starts_with(prefix),
        None => new == old,
    };
    before.iter().any(|old| !after.iter().any(|new| covers(new, old)))
}

#[cfg(test)]
mod tests;
