//! The audit trail's entries: one for each change, never altered. Storing them is left to the store.

use serde::{Deserialize, Serialize};

use crate::model::{ClassLimits, Limits, State, Tenant};
use crate::{Millis, Revision};

/// What a change did to a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Created it.
    Create,
    /// Changed limits, rights, weight or note.
    Change,
    /// Suspended it.
    Suspend,
    /// Resumed it.
    Resume,
    /// Began its removal.
    Remove,
    /// Removed it, as its grace period was over.
    Gone,
}

/// One change, with the tenant before and after it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The revision that it made.
    pub revision: Revision,
    /// When, by the leader's wall clock: it may step, revisions do not.
    pub at_ms: Millis,
    /// Who made it: the name of the API key; the program itself for [`Action::Gone`].
    #[serde(rename = "who")]
    pub actor: String,
    /// What it did.
    pub action: Action,
    /// The tenant's name.
    pub tenant: String,
    /// The tenant before; `None`: there was none.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub before: Option<Tenant>,
    /// The tenant after; `None`: it is gone.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub after: Option<Tenant>,
}

impl Entry {
    /// Does it take something away, so that it is acknowledged only when nobody acts on the state before? True for a
    /// suspension, a removal, a right withdrawn and a limit lowered.
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

/// Is a limit lowered? `None` is no limit.
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

/// Is a right of before not covered by one of after? `None`: the right to every model.
fn rights_withdrawn(before: Option<&[String]>, after: Option<&[String]>) -> bool {
    let Some(after) = after else { return false };
    let Some(before) = before else { return true };
    let covers = |right: &String, old: &String| match right.strip_suffix('*') {
        Some(prefix) => old.trim_end_matches('*').starts_with(prefix),
        None => right == old,
    };
    before.iter().any(|old| !after.iter().any(|right| covers(right, old)))
}

#[cfg(test)]
mod tests;
