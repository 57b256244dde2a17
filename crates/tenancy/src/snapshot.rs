//! All tenants at one revision. A change is evaluated against the snapshot and applied completely, or rejected without
//! an effect. What it did is one [`Entry`]; entries applied in order to equal snapshots give equal snapshots, which is
//! how controllers replicate. Storing and sending them is left to the caller.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::audit::{Action, Entry};
use crate::model::{Spec, State, Tenant};
use crate::validation::{self, FieldError};
use crate::{Millis, Revision};

/// The program's own name in the audit trail.
pub const PROGRAM_ACTOR: &str = "nettleferry";

/// A requested change.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Create a tenant.
    Create {
        /// The tenant's name.
        name: String,
        /// What is configured of it, as JSON.
        spec: Value,
    },
    /// Change what is configured of a tenant by a merge patch (RFC 7396).
    Patch {
        /// The tenant's name.
        name: String,
        /// The patch: a member that is null returns to its default.
        patch: Value,
    },
    /// Reject new calls.
    Suspend {
        /// The tenant's name.
        name: String,
    },
    /// Accept new calls again.
    Resume {
        /// The tenant's name.
        name: String,
    },
    /// Reject new calls, end open ones after a grace period, and then remove the tenant.
    Remove {
        /// The tenant's name.
        name: String,
        /// The grace period, milliseconds.
        grace_ms: Millis,
    },
}

impl Change {
    /// The name of the tenant that it is about.
    pub fn tenant(&self) -> &str {
        match self {
            Self::Create { name, .. }
            | Self::Patch { name, .. }
            | Self::Suspend { name }
            | Self::Resume { name }
            | Self::Remove { name, .. } => name,
        }
    }
}

/// Which revision of the tenant a change is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Any.
    Any,
    /// This one: another change must not have come in between.
    AtRevision(Revision),
}

/// Why a change was rejected. It had no effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Denied {
    /// There is no such tenant.
    #[error("there is no tenant {0}")]
    Unknown(String),
    /// There is one of this name already.
    #[error("there is a tenant {0} already")]
    Exists(String),
    /// It was changed in between.
    #[error("tenant {name} is at revision {current}, not {expected}")]
    Stale {
        /// The tenant's name.
        name: String,
        /// The tenant's revision.
        current: Revision,
        /// The one that the change is for.
        expected: Revision,
    },
    /// It is being removed, and can't be changed any more.
    #[error("tenant {0} is being removed")]
    Removing(String),
    /// A value is not valid.
    #[error("{0}")]
    Invalid(#[from] FieldError),
    /// There are as many tenants as there may be.
    #[error("there are {0} tenants, as many as are kept")]
    Full(usize),
}

/// The effect of a change.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// The tenant after it; `None`: it is gone.
    pub tenant: Option<Tenant>,
    /// The entry for the audit trail and the followers; `None`: nothing had to be changed.
    pub entry: Option<Entry>,
}

/// An entry does not follow on the snapshot.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an entry of revision {entry} does not follow on revision {snapshot}")]
pub struct RevisionGap {
    /// The snapshot's revision.
    pub snapshot: Revision,
    /// The entry's revision.
    pub entry: Revision,
}

/// All tenants at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TenantSnapshot {
    revision: Revision,
    tenants: BTreeMap<String, Tenant>,
}

/// Tenants at the most.
pub const MAX_TENANTS: usize = 20_000;

impl TenantSnapshot {
    /// Its checksum: CRC-32 of its JSON, in which tenants are sorted by name.
    pub fn checksum(&self) -> u32 {
        crc32fast::hash(&serde_json::to_vec(self).unwrap_or_default())
    }

    /// The snapshot of these tenants, as a store has them.
    pub fn from_tenants(revision: Revision, tenants: impl IntoIterator<Item = Tenant>) -> Self {
        Self { revision, tenants: tenants.into_iter().map(|t| (t.name.clone(), t)).collect() }
    }

    /// The number of the last change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The tenant of this name.
    pub fn get(&self, name: &str) -> Option<&Tenant> {
        self.tenants.get(name)
    }

    /// All tenants, by name.
    pub fn tenants(&self) -> impl ExactSizeIterator<Item = &Tenant> {
        self.tenants.values()
    }

    /// At most `most` tenants whose names come after `after`.
    pub fn page(&self, after: &str, most: usize) -> Vec<&Tenant> {
        use std::ops::Bound::{Excluded, Unbounded};
        let range = (if after.is_empty() { Unbounded } else { Excluded(after) }, Unbounded);
        self.tenants.range::<str, _>(range).map(|(_, t)| t).take(most).collect()
    }

    /// What a change would do; the snapshot stays as it is. `actor`: who requests it.
    ///
    /// # Errors
    /// Why the change is rejected.
    pub fn evaluate(
        &self,
        change: &Change,
        condition: Condition,
        actor: &str,
        now: Millis,
    ) -> Result<Applied, Denied> {
        if let Change::Create { name, spec } = change {
            return self.create(name, spec, actor, now);
        }
        let name = change.tenant();
        let before = self.tenants.get(name).ok_or_else(|| Denied::Unknown(name.to_owned()))?;
        if let Condition::AtRevision(expected) = condition
            && expected != before.revision
        {
            return Err(Denied::Stale { name: name.to_owned(), current: before.revision, expected });
        }
        let mut after = before.clone();
        let action = match change {
            Change::Create { .. } => Action::Create,
            // A second removal requests what is under way already.
            Change::Remove { .. } if before.state == State::Removing => Action::Remove,
            _ if before.state == State::Removing => return Err(Denied::Removing(name.to_owned())),
            Change::Patch { patch, .. } => {
                after.spec = patched(&before.spec, patch)?;
                Action::Change
            }
            Change::Suspend { .. } => {
                after.state = State::Suspended;
                Action::Suspend
            }
            Change::Resume { .. } => {
                after.state = State::Active;
                Action::Resume
            }
            Change::Remove { grace_ms, .. } => {
                after.state = State::Removing;
                after.gone_at_ms = Some(now.saturating_add(*grace_ms));
                Action::Remove
            }
        };
        if after == *before {
            return Ok(Applied { tenant: Some(after), entry: None });
        }
        Ok(self.entry(action, actor, now, Some(before.clone()), Some(after)))
    }

    fn create(&self, name: &str, spec: &Value, actor: &str, now: Millis) -> Result<Applied, Denied> {
        validation::name(name)?;
        if self.tenants.contains_key(name) {
            return Err(Denied::Exists(name.to_owned()));
        }
        if self.tenants.len() >= MAX_TENANTS {
            return Err(Denied::Full(MAX_TENANTS));
        }
        let revision = self.revision + 1;
        let tenant = Tenant {
            name: name.to_owned(),
            uid: revision,
            revision,
            state: State::Active,
            gone_at_ms: None,
            created_ms: now,
            spec: validation::spec(spec.clone())?,
        };
        Ok(self.entry(Action::Create, actor, now, None, Some(tenant)))
    }

    fn entry(
        &self,
        action: Action,
        actor: &str,
        at_ms: Millis,
        before: Option<Tenant>,
        mut after: Option<Tenant>,
    ) -> Applied {
        let revision = self.revision + 1;
        if let Some(after) = &mut after {
            after.revision = revision;
        }
        let name = after.as_ref().or(before.as_ref()).map(|t| t.name.clone()).unwrap_or_default();
        let tenant = after.clone();
        let entry = Entry { revision, at_ms, actor: actor.to_owned(), action, tenant: name, before, after };
        Applied { tenant, entry: Some(entry) }
    }

    /// The entry that removes the next tenant whose grace period is over, to be applied by the caller. The clock may
    /// step: a grace period never ends before the clock has read its end.
    pub fn due_removal(&self, now: Millis) -> Option<Entry> {
        let over = |t: &&Tenant| t.gone_at_ms.is_some_and(|at| at <= now);
        let tenant = self.tenants.values().find(over)?.clone();
        self.entry(Action::Gone, PROGRAM_ACTOR, now, Some(tenant), None).entry
    }

    /// When the next grace period is over; `None`: no tenant is being removed.
    pub fn next_removal(&self) -> Option<Millis> {
        self.tenants.values().filter_map(|t| t.gone_at_ms).min()
    }

    /// Applies an entry: the one of [`TenantSnapshot::evaluate`] or [`TenantSnapshot::due_removal`], or the next one of
    /// a snapshot that is followed.
    ///
    /// # Errors
    /// Where its revision is not the next one; nothing is changed then.
    pub fn apply(&mut self, entry: &Entry) -> Result<(), RevisionGap> {
        if entry.revision != self.revision + 1 {
            return Err(RevisionGap { snapshot: self.revision, entry: entry.revision });
        }
        match &entry.after {
            Some(tenant) => _ = self.tenants.insert(entry.tenant.clone(), tenant.clone()),
            None => _ = self.tenants.remove(&entry.tenant),
        }
        self.revision = entry.revision;
        Ok(())
    }
}

/// What is configured of a tenant, with a merge patch applied.
fn patched(spec: &Spec, patch: &Value) -> Result<Spec, Denied> {
    if !patch.is_object() {
        return Err(FieldError::new("the body", "a merge patch is a JSON object").into());
    }
    let mut document = serde_json::to_value(spec).map_err(|e| FieldError::new("the body", e.to_string()))?;
    json_patch::merge(&mut document, patch);
    Ok(validation::spec(document)?)
}
