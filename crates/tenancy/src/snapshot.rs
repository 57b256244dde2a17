//! All tenants under one revision. A change is judged against the book as it stands and taken whole, or it is
//! refused and nothing has happened. What it did is one [`Entry`]; entries applied in order to an equal book
//! give an equal book, which is how controllers follow.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::audit::{Action, Entry};
use crate::model::{Spec, State, Tenant};
use crate::validation::{self, FieldError};
use crate::{Millis, Revision};

/// Who the program is, in the audit trail.
pub const PROGRAM: &str = "nettleferry";

/// What is to be changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A new tenant; `spec` as JSON.
    Create {
        /// Its name.
        name: String,
        /// What is said of it.
        spec: Value,
    },
    /// A merge patch (RFC 7396) of what is said of a tenant.
    Patch {
        /// Which.
        name: String,
        /// The patch: a member of null goes back to what holds where nothing is said.
        patch: Value,
    },
    /// New calls are turned away.
    Suspend {
        /// Which.
        name: String,
    },
    /// New calls are taken again.
    Resume {
        /// Which.
        name: String,
    },
    /// New calls are turned away, open ones ended after the grace, and then it is gone.
    Remove {
        /// Which.
        name: String,
        /// Milliseconds.
        grace_ms: Millis,
    },
}

impl Change {
    /// The tenant it is about.
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

/// Of which revision the administrator believes the tenant to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Whatever it is.
    Any,
    /// It must be this one.
    Is(Revision),
}

/// Why a change was refused. Nothing has happened.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Denied {
    /// There is no such tenant.
    #[error("there is no tenant {0}")]
    Unknown(String),
    /// There is one already.
    #[error("there is a tenant {0} already")]
    Exists(String),
    /// It was changed meanwhile.
    #[error("tenant {name} is at revision {current}, not {expected}")]
    Stale {
        /// Which.
        name: String,
        /// Its revision.
        current: Revision,
        /// The one told.
        expected: Revision,
    },
    /// It is being removed: nothing of it changes any more.
    #[error("tenant {0} is being removed")]
    Removing(String),
    /// A value is not sound.
    #[error("{0}")]
    Invalid(#[from] FieldError),
    /// There is no room for one more.
    #[error("there are {0} tenants, as many as are kept")]
    Full(usize),
}

/// What a change did.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// The tenant as it is now; none: it is gone.
    pub tenant: Option<Tenant>,
    /// For the audit trail and for those who follow. None: nothing had to be changed.
    pub entry: Option<Entry>,
}

/// An entry that does not follow on the book.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an entry of revision {entry} does not follow on revision {snapshot}")]
pub struct RevisionGap {
    /// The book's.
    pub snapshot: Revision,
    /// The entry's.
    pub entry: Revision,
}

/// All tenants. Serialized, it is a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TenantSnapshot {
    revision: Revision,
    tenants: BTreeMap<String, Tenant>,
}

/// Most tenants of a book.
pub const MAX_TENANTS: usize = 20_000;

impl TenantSnapshot {
    /// Its checksum: CRC-32 of its JSON, in which tenants stand by name.
    pub fn checksum(&self) -> u32 {
        crc32fast::hash(&serde_json::to_vec(self).unwrap_or_default())
    }

    /// A book of what a store holds.
    pub fn from_tenants(revision: Revision, tenants: impl IntoIterator<Item = Tenant>) -> Self {
        Self { revision, tenants: tenants.into_iter().map(|t| (t.name.clone(), t)).collect() }
    }

    /// The last change's revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// A tenant.
    pub fn get(&self, name: &str) -> Option<&Tenant> {
        self.tenants.get(name)
    }

    /// All, by name.
    pub fn tenants(&self) -> impl ExactSizeIterator<Item = &Tenant> {
        self.tenants.values()
    }

    /// At most `most` tenants whose names come after `after`.
    pub fn page(&self, after: &str, most: usize) -> Vec<&Tenant> {
        use std::ops::Bound::{Excluded, Unbounded};
        let range = (if after.is_empty() { Unbounded } else { Excluded(after) }, Unbounded);
        self.tenants.range::<str, _>(range).map(|(_, t)| t).take(most).collect()
    }

    /// What a change would do; the book stays as it is.
    pub fn evaluate(
        &self,
        change: &Change,
        condition: Condition,
        who: &str,
        now: Millis,
    ) -> Result<Applied, Denied> {
        if let Change::Create { name, spec } = change {
            return self.create(name, spec, who, now);
        }
        let name = change.tenant();
        let before = self.tenants.get(name).ok_or_else(|| Denied::Unknown(name.to_owned()))?;
        if let Condition::Is(told) = condition
            && told != before.revision
        {
            return Err(Denied::Stale { name: name.to_owned(), current: before.revision, expected: told });
        }
        let mut after = before.clone();
        let action = match change {
            Change::Create { .. } => Action::Create,
            // A second removal asks for what is under way.
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
        Ok(self.entry(action, who, now, Some(before.clone()), Some(after)))
    }

    fn create(&self, name: &str, spec: &Value, who: &str, now: Millis) -> Result<Applied, Denied> {
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
        Ok(self.entry(Action::Create, who, now, None, Some(tenant)))
    }

    fn entry(
        &self,
        action: Action,
        who: &str,
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
        let entry = Entry { revision, at_ms, actor: who.to_owned(), action, tenant: name, before, after };
        Applied { tenant, entry: Some(entry) }
    }

    /// The next tenant whose grace is over, as an entry to be taken. The clock may step: a grace is never over
    /// before it was told to be by some clock.
    pub fn due_removal(&self, now: Millis) -> Option<Entry> {
        let over = |t: &&Tenant| t.gone_at_ms.is_some_and(|at| at <= now);
        let tenant = self.tenants.values().find(over)?.clone();
        self.entry(Action::Gone, PROGRAM, now, Some(tenant), None).entry
    }

    /// When [`Book::due`] has something next.
    pub fn next_removal(&self) -> Option<Millis> {
        self.tenants.values().filter_map(|t| t.gone_at_ms).min()
    }

    /// Takes an entry: the one that [`Book::judge`] or [`Book::due`] gave, or the next of a book that is followed.
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

/// What is said of a tenant with a merge patch applied.
fn patched(spec: &Spec, patch: &Value) -> Result<Spec, Denied> {
    if !patch.is_object() {
        return Err(FieldError::new("the body", "a merge patch is a JSON object").into());
    }
    let mut document = serde_json::to_value(spec).map_err(|e| FieldError::new("the body", e.to_string()))?;
    json_patch::merge(&mut document, patch);
    Ok(validation::spec(document)?)
}
