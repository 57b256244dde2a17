//! What attempts must know of their call's class.

use std::sync::Arc;
use std::time::Duration;

use nettleferry::{Class, Effect};

/// What attempts must know of their call's class.
#[derive(Clone)]
pub(crate) struct ClassInfo {
    pub(crate) name: Arc<str>,
    pub(crate) effect: Effect,
    /// For how long invokers drop duplicates, where calls carry an idempotency key.
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
