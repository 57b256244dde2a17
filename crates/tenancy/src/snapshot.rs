//! All tenants at one revision. A change is evaluated against the snapshot and either applied completely or
//! rejected without effect. An applied change is described by one [`Entry`]. Applying the same entries in
//! order to equal snapshots yields equal snapshots, so controllers replicate a snapshot by its entries. The
//! caller stores and sends the entries.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::audit::{Action, Entry};
use crate::model::{Spec, State, Tenant};
use crate::validation::{self, FieldError};
use crate::{Millis, Revision};

/// The actor of changes that the program itself makes, as it appears in the audit trail.
pub const PROGRAM_ACTOR: &str = "nettleferry";

/// A change requested by an administrator.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Creates a tenant.
    Create {
        /// Name of the tenant.
        name: String,
        /// A [`Spec`] as JSON.
        spec: Value,
    },
    /// Changes the [`Spec`] of a tenant by a JSON merge patch (RFC 7396).
    Patch {
        /// Name of the tenant.
        name: String,
        /// The merge patch. A member that is null resets the field to its default.
        patch: Value,
    },
    /// Suspends a tenant: its new calls are rejected.
    Suspend {
        /// Name of the tenant.
        name: String,
    },
    /// Resumes a suspended tenant.
    Resume {
        /// Name of the tenant.
        name: String,
    },
    /// Rejects new calls of a tenant, ends its open calls after a grace period, and then removes the tenant.
    Remove {
        /// Name of the tenant.
        name: String,
        /// Length of the grace period in milliseconds.
        grace_ms: Millis,
    },
}

impl Change {
    /// Returns the name of the tenant that is changed.
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

/// A precondition on the revision of the tenant that is changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The change applies to any revision.
    Any,
    /// The change applies only if the tenant's last change has this revision.
    AtRevision(Revision),
}

/// Why a change was rejected. A rejected change has no effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Denied {
    /// No tenant of this name exists.
    #[error("there is no tenant {0}")]
    Unknown(String),
    /// A tenant of this name exists already.
    #[error("there is a tenant {0} already")]
    Exists(String),
    /// The tenant is not at the revision that [`Condition::AtRevision`] requires.
    #[error("tenant {name} is at revision {current}, not {expected}")]
    Stale {
        /// Name of the tenant.
        name: String,
        /// Current revision of the tenant.
        current: Revision,
        /// Revision that the request requires.
        expected: Revision,
    },
    /// The tenant is being removed and can't be changed any more.
    #[error("tenant {0} is being removed")]
    Removing(String),
    /// A value of the configuration is invalid.
    #[error("{0}")]
    Invalid(#[from] FieldError),
    /// The maximum number of tenants, [`MAX_TENANTS`], is reached.
    #[error("there are {0} tenants, as many as are kept")]
    Full(usize),
}

/// The outcome of a change that was not rejected.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// The tenant after the change; `None` if it was removed.
    pub tenant: Option<Tenant>,
    /// The entry for the audit trail and the followers; `None` if the change made no difference.
    pub entry: Option<Entry>,
}

/// An entry can't be applied because its revision is not the next one of the snapshot.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an entry of revision {entry} does not follow on revision {snapshot}")]
pub struct RevisionGap {
    /// Revision of the snapshot.
    pub snapshot: Revision,
    /// Revision of the entry.
    pub entry: Revision,
}

/// All tenants at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TenantSnapshot {
    revision: Revision,
    tenants: BTreeMap<String, Tenant>,
}

/// Maximum number of tenants, including those that are being removed.
pub const MAX_TENANTS: usize = 20_000;

impl TenantSnapshot {
    /// Returns the CRC-32 of the snapshot's JSON. As the JSON has the tenants sorted by name, equal snapshots
    /// have equal checksums.
    pub fn checksum(&self) -> u32 {
        crc32fast::hash(&serde_json::to_vec(self).unwrap_or_default())
    }

    /// Creates the snapshot of these tenants at this revision, as they were read from the tenant store.
    pub fn from_tenants(revision: Revision, tenants: impl IntoIterator<Item = Tenant>) -> Self {
        Self { revision, tenants: tenants.into_iter().map(|t| (t.name.clone(), t)).collect() }
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the tenant of this name.
    pub fn get(&self, name: &str) -> Option<&Tenant> {
        self.tenants.get(name)
    }

    /// Returns all tenants, sorted by name.
    pub fn tenants(&self) -> impl ExactSizeIterator<Item = &Tenant> {
        self.tenants.values()
    }

    /// Returns up to `limit` tenants, sorted by name, whose names sort after `after`. An empty `after` starts at the
    /// first tenant.
    pub fn page(&self, after: &str, limit: usize) -> Vec<&Tenant> {
        use std::ops::Bound::{Excluded, Unbounded};
        let range = (if after.is_empty() { Unbounded } else { Excluded(after) }, Unbounded);
        self.tenants.range::<str, _>(range).map(|(_, t)| t).take(limit).collect()
    }

    /// Determines the effect of a change without changing the snapshot. `actor` is the name of the API key that
    /// requests the change. The caller persists the returned entry and then passes it to [`TenantSnapshot::apply`].
    ///
    /// # Errors
    /// Returns the reason if the change is rejected.
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
            // A repeated removal makes no difference: the first one's grace period stays.
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
        validation::validate_name(name)?;
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
            spec: validation::parse_spec(spec.clone())?,
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

    /// Returns the entry that removes a tenant whose grace period has ended, or `None` if there is no such
    /// tenant. The caller stores and applies the entry. `now` may step: a grace period ends once `now` is at
    /// or past its end.
    pub fn due_removal(&self, now: Millis) -> Option<Entry> {
        let grace_period_ended = |t: &&Tenant| t.gone_at_ms.is_some_and(|at| at <= now);
        let tenant = self.tenants.values().find(grace_period_ended)?.clone();
        self.entry(Action::Gone, PROGRAM_ACTOR, now, Some(tenant), None).entry
    }

    /// Returns the time at which the next grace period ends; `None` if no tenant is being removed.
    pub fn next_removal(&self) -> Option<Millis> {
        self.tenants.values().filter_map(|t| t.gone_at_ms).min()
    }

    /// Applies an entry that [`TenantSnapshot::evaluate`] or [`TenantSnapshot::due_removal`] returned, or the next
    /// entry of a replicated snapshot.
    ///
    /// # Errors
    /// Returns an error and changes nothing if the entry's revision is not the next one.
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

/// Applies a merge patch to the configuration of a tenant and validates the result.
fn patched(spec: &Spec, patch: &Value) -> Result<Spec, Denied> {
    if !patch.is_object() {
        return Err(FieldError::new("the body", "a merge patch is a JSON object").into());
    }
    let mut document = serde_json::to_value(spec).map_err(|e| FieldError::new("the body", e.to_string()))?;
    json_patch::merge(&mut document, patch);
    Ok(validation::parse_spec(document)?)
}
