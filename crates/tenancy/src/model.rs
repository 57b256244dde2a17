//! A tenant as it is stored, sent and shown: JSON with these names. Which values are valid: [`crate::validation`].

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Millis, Revision};

/// What an administrator configures of a tenant. A limit that is `None` is no limit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Spec {
    /// Limits over all classes.
    pub limits: Limits,
    /// Further limits by class; a call has to keep within both.
    pub classes: BTreeMap<String, ClassLimits>,
    /// Weight against other tenants when calls have to wait; 1 by default.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<f64>,
    /// Models that it may call: names, or prefixes followed by `*`. `None`: all models.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub models: Option<Vec<String>>,
    /// A note for people.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub note: String,
}

/// Limits of a tenant, for the whole installation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Calls a second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rate_per_second: Option<f64>,
    /// Calls that may come at once beyond the rate; by default a tenth of a second's calls, at least 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub burst: Option<u32>,
    /// Calls without a final answer at one time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub open_calls: Option<u32>,
    /// Open calls that no worker has.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub held_calls: Option<u32>,
    /// Bytes of the models in use: those with an open call, or called within the last minute.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub loaded_memory_bytes: Option<u64>,
    /// Share of the fleet's running calls that may be this tenant's while others wait, from 0 to 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fleet_share: Option<f64>,
}

/// Limits of a tenant in one class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClassLimits {
    /// Calls a second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rate_per_second: Option<f64>,
    /// Calls that may come at once beyond the rate.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub burst: Option<u32>,
    /// Calls without a final answer at one time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub open_calls: Option<u32>,
}

/// What a tenant may do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It may call.
    Active,
    /// New calls are rejected; open ones go on.
    Suspended,
    /// New calls are rejected; open ones are ended when its grace period is over, and then it is gone.
    Removing,
}

/// A tenant with its state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name; unique among the tenants that exist.
    pub name: String,
    /// The revision that created it: another tenant of the same name has another.
    pub uid: Revision,
    /// The last revision that changed it.
    pub revision: Revision,
    /// What it may do now.
    pub state: State,
    /// When its grace period is over, while it is being removed.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub gone_at_ms: Option<Millis>,
    /// When it was created.
    pub created_ms: Millis,
    /// What its administrator configured.
    #[serde(flatten)]
    pub spec: Spec,
}

impl Spec {
    /// May it call this model?
    pub fn may_call(&self, model: &str) -> bool {
        let matches = |right: &String| match right.strip_suffix('*') {
            Some(prefix) => model.starts_with(prefix),
            None => right == model,
        };
        self.models.as_ref().is_none_or(|all| all.iter().any(matches))
    }
}
