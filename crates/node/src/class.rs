//! The properties of a class that are needed to start attempts.

use std::sync::Arc;
use std::time::Duration;

use nettleferry::{Class, Effect};

/// The properties of a class that are needed to start an attempt of one of its calls.
#[derive(Clone)]
pub(crate) struct ClassInfo {
    pub(crate) name: Arc<str>,
    pub(crate) effect: Effect,
    /// Time for which invokers drop duplicates of a call; `None` if calls of this class carry no idempotency
    /// key.
    pub(crate) window: Option<Duration>,
}

impl ClassInfo {
    pub(crate) fn new(name: &str, class: &Class) -> Self {
        let window = match class.effect {
            Effect::IdempotencyKey { window, .. } => Some(Duration::from_micros(window)),
            _ => None,
        };
        Self { name: Arc::from(name), effect: class.effect, window }
    }
}
