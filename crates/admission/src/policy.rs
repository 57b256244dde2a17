//! What a tenant may do at this controller.

use std::collections::BTreeMap;

/// A rate and its burst.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Calls a second; 0: none.
    pub per_second: f64,
    /// Calls at once beyond the rate; 0 counts as 1.
    pub burst: u32,
}

/// Limits of a tenant, or of one class of its calls; `None`: no limit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    /// Rate of new calls.
    pub rate: Option<RateLimit>,
    /// Open calls.
    pub open: Option<u32>,
}

/// The limits and the weight of a tenant; `None`: no limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Whether new calls are accepted at all.
    pub active: bool,
    /// Over all classes.
    pub limits: Limits,
    /// By class.
    pub classes: BTreeMap<usize, Limits>,
    /// Calls waiting for a worker.
    pub held: Option<u32>,
    /// Bytes of models in use.
    pub memory: Option<u64>,
    /// Its greatest part of the running calls while calls of others wait, from 0 to 1.
    pub share: Option<f64>,
    /// Its weight against other tenants in a full queue.
    pub weight: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            active: true,
            limits: Limits::default(),
            classes: BTreeMap::new(),
            held: None,
            memory: None,
            share: None,
            weight: 1.0,
        }
    }
}
