//! The list of invokers as events: each replaces the list, or changes some invokers.

use std::collections::BTreeMap;

use serde::Deserialize;

use super::{Invoker, List, ListError, State};

/// The events that the configuration brings.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct KnownEvents {
    /// The number of the last event.
    #[serde(default, rename = "pos")]
    pub number: u32,
    /// The events, in order.
    #[serde(default)]
    pub entries: Vec<ListEvent>,
}

/// An event.
#[derive(Clone, Debug, Deserialize)]
pub struct ListEvent {
    /// Its number.
    #[serde(rename = "pos")]
    pub number: u32,
    /// What changed.
    pub hosts: HostChange,
}

/// The change of an event.
#[derive(Clone, Debug, Deserialize)]
pub struct HostChange {
    /// Whether it replaces the whole list.
    #[serde(default)]
    pub reset: bool,
    /// All invokers, or those that changed.
    #[serde(default)]
    pub instances: Vec<InstanceChange>,
}

/// An invoker in an event.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct InstanceChange {
    instance_id: String,
    #[serde(default)]
    host_port: Option<String>,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    #[serde(default)]
    cell: serde_json::Value,
    lifecycle: State,
    #[serde(default = "default_weight")]
    weight: f64,
    #[serde(default)]
    started_at_ms: Option<f64>,
}

fn default_weight() -> f64 {
    1.0
}

impl KnownEvents {
    /// The list after all events.
    ///
    /// # Errors
    /// Where an address can't be parsed.
    pub fn list(&self) -> Result<List, ListError> {
        let mut invokers = BTreeMap::new();
        for entry in &self.entries {
            if entry.hosts.reset {
                invokers.clear();
            }
            for instance in &entry.hosts.instances {
                let invoker = instance.invoker()?;
                if invoker.state == State::Removed {
                    invokers.remove(&invoker.id);
                } else {
                    invokers.insert(invoker.id.clone(), invoker);
                }
            }
        }
        Ok(List { serial: self.number, invokers: invokers.into_values().collect() })
    }
}

impl InstanceChange {
    /// The invoker after the event.
    fn invoker(&self) -> Result<Invoker, ListError> {
        let address = match &self.host_port {
            Some(text) => Some(text.parse().map_err(|_| {
                ListError::Record(format!("{}: {text:?} is no address and port", self.instance_id))
            })?),
            None => None,
        };
        Ok(Invoker {
            id: self.instance_id.clone(),
            address,
            zone: self.zone.clone(),
            kind: self.machine_type.clone(),
            cell: match &self.cell {
                serde_json::Value::String(text) => text.clone(),
                other => other.to_string(),
            },
            weight: if self.weight.is_finite() { self.weight } else { 1.0 },
            state: self.lifecycle,
            started_ms: self.started_at_ms.filter(|ms| *ms >= 1.0).map_or(0, |ms| ms as u64),
        })
    }
}
