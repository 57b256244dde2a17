//! The list of invokers as a sequence of events. Each event replaces the whole list or changes some invokers.

use std::collections::BTreeMap;

use serde::Deserialize;

use super::{Invoker, List, ListError, State};

/// The directory's events that the configuration contains. Together they describe the list at the start of the
/// controller.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct KnownEvents {
    /// Number of the last event that the list includes.
    #[serde(default, rename = "pos")]
    pub number: u32,
    /// The events, in the order in which they apply.
    #[serde(default)]
    pub entries: Vec<ListEvent>,
}

/// An event of the directory.
#[derive(Clone, Debug, Deserialize)]
pub struct ListEvent {
    /// Number of the event in the directory's sequence.
    #[serde(rename = "pos")]
    pub number: u32,
    /// The change that the event makes to the list.
    pub hosts: HostChange,
}

/// The change of the invoker list by an event.
#[derive(Clone, Debug, Deserialize)]
pub struct HostChange {
    /// Whether the event replaces the whole list.
    #[serde(default)]
    pub reset: bool,
    /// All invokers if the event replaces the list, otherwise those that changed.
    #[serde(default)]
    pub instances: Vec<InstanceChange>,
}

/// The new state of an invoker in an event.
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
    /// Applies all events in order and returns the resulting list.
    ///
    /// # Errors
    /// Fails if an address can't be parsed.
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
    /// Converts the change to the invoker's state after the event.
    fn invoker(&self) -> Result<Invoker, ListError> {
        let address = match &self.host_port {
            Some(text) => Some(text.parse().map_err(|_| {
                ListError::Record(format!("{}: {text:?} is not an address and port", self.instance_id))
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
