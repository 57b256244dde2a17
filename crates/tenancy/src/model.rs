//! A tenant as it is stored, sent to followers and returned by the API: JSON with these field names. The bounds of the
//! values are in [`crate::validation`].

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Millis, Revision};

/// The part of a tenant that an administrator configures. A limit that is `None` is not enforced.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Spec {
    /// Limits of all calls of the tenant together.
    pub limits: Limits,
    /// Additional limits by class name. A call must satisfy these and `limits`.
    pub classes: BTreeMap<String, ClassLimits>,
    /// Weight of the tenant when a full queue of held calls is divided among tenants. `None` stands for 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<f64>,
    /// Models that the tenant may call: names, or prefixes followed by `*`. `None` allows all models.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub models: Option<Vec<String>>,
    /// Free text for administrators.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub note: String,
}

/// Limits of a tenant over all classes, for the whole installation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum rate of accepted calls, per second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rate_per_second: Option<f64>,
    /// Maximum number of calls that are accepted at the same time. The default is the number of calls that
    /// the rate allows in a tenth of a second, but at least 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub burst: Option<u32>,
    /// Maximum number of open calls: accepted calls without a final response.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub open_calls: Option<u32>,
    /// Maximum number of held calls: open calls that wait for a worker.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub held_calls: Option<u32>,
    /// Maximum memory in bytes of the models in use: those with an open call or one that ended within the
    /// last minute.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub loaded_memory_bytes: Option<u64>,
    /// Maximum share of the fleet's running calls while calls of other tenants are held, above 0 and at most 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fleet_share: Option<f64>,
}

/// Limits of a tenant's calls of one class, for the whole installation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClassLimits {
    /// Maximum rate of accepted calls, per second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rate_per_second: Option<f64>,
    /// Maximum number of calls that are accepted at the same time, with the same default as
    /// [`Limits::burst`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub burst: Option<u32>,
    /// Maximum number of open calls: accepted calls without a final response.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub open_calls: Option<u32>,
}

/// The state of a tenant, which decides whether its calls are accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// New calls are accepted.
    Active,
    /// New calls are rejected. Open calls continue.
    Suspended,
    /// New calls are rejected. When the grace period ends, open calls are ended and the tenant is removed.
    Removing,
}

/// A tenant: its configuration and its state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Name, unique among the existing tenants.
    pub name: String,
    /// Revision that created the tenant. It distinguishes the tenant from a removed one of the same name.
    pub uid: Revision,
    /// Revision of the last change to the tenant.
    pub revision: Revision,
    /// Whether calls are accepted, and whether the tenant is being removed.
    pub state: State,
    /// End of the grace period. Set only while the tenant is being removed.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub gone_at_ms: Option<Millis>,
    /// Time at which the tenant was created.
    pub created_ms: Millis,
    /// The configuration: limits, rights, weight and note.
    #[serde(flatten)]
    pub spec: Spec,
}

impl Spec {
    /// Returns whether the tenant has the right to call this model.
    pub fn may_call(&self, model: &str) -> bool {
        let matches = |pattern: &String| match pattern.strip_suffix('*') {
            Some(prefix) => model.starts_with(prefix),
            None => pattern == model,
        };
        self.models.as_ref().is_none_or(|patterns| patterns.iter().any(matches))
    }
}
