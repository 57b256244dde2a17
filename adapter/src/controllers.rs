//! The controllers of a simulation, by the id that the simulator assigned.
//!
//! [`crate::wire`] parses events and formats actions.

use std::collections::BTreeMap;

use nettleferry::{Action, Controller, Micros};
use serde_json::Value;

use crate::wire::{self, EventError, Fields, Names, WireError};

/// A controller with the name tables of its settings and events.
struct Instance {
    controller: Controller,
    names: Names,
}

/// All controllers that the simulator has started.
#[derive(Default)]
pub(crate) struct Controllers {
    instances: BTreeMap<u64, Instance>,
}

impl Controllers {
    /// Handles one line of input, a batch of events, and returns the reply line. A malformed line is an error;
    /// its events up to the malformed one have then been handled.
    pub(crate) fn handle_batch(&mut self, text: &str) -> Result<String, WireError> {
        let line: Value = serde_json::from_str(text).map_err(WireError::NotJson)?;
        let time = line.get("t_ms").ok_or(WireError::Batch("t_ms is missing"))?;
        let now = wire::micros(time).ok_or(WireError::Batch("t_ms is not a time"))?;
        let turn = line
            .get("turn")
            .filter(|v| v.is_u64())
            .ok_or(WireError::Batch("turn is missing or not a whole number"))?;
        let input = line
            .get("input")
            .and_then(Value::as_array)
            .ok_or(WireError::Batch("input is missing or not an array"))?;
        let mut outbox = String::new();
        for (index, event) in input.iter().enumerate() {
            self.handle(now, event, &mut outbox)
                .map_err(|error| WireError::Event { number: index + 1, error })?;
        }
        Ok(format!("{{\"turn\":{turn},\"outbox\":[{outbox}]}}\n"))
    }

    fn handle(&mut self, now: Micros, event: &Value, outbox: &mut String) -> Result<(), EventError> {
        let parts = event.as_array().ok_or(EventError::NotAnArray)?;
        let name = parts.first().and_then(Value::as_str).ok_or(EventError::NoName)?;
        let fields = Fields { name, parts };
        let id = fields.integer(1, "controller_id")?;
        match name {
            "ENLIST" => self.start_controller(id, &fields)?,
            "DESTROY" => _ = self.instances.remove(&id),
            _ => self.forward_event(id, now, &fields, outbox)?,
        }
        Ok(())
    }

    /// Creates a controller from the settings in the event.
    fn start_controller(&mut self, id: u64, fields: &Fields) -> Result<(), EventError> {
        let seed = fields.integer(2, "salt")?;
        let info = fields.parts.get(3).filter(|v| v.is_object()).ok_or(EventError::NoInfo)?;
        let mut names = Names::default();
        let settings = names.settings(info)?;
        let controller = Controller::new(settings, seed)?;
        self.instances.insert(id, Instance { controller, names });
        Ok(())
    }

    /// Passes an event to its controller and appends the resulting actions to the outbox.
    fn forward_event(
        &mut self,
        id: u64,
        now: Micros,
        fields: &Fields,
        outbox: &mut String,
    ) -> Result<(), EventError> {
        let Some(instance) = self.instances.get_mut(&id) else {
            // Events for a removed controller are parsed too, so that malformed input is always reported.
            let mut names = Names::lenient();
            return wire::read_event(fields, &mut names).map(|_| ());
        };
        let event = wire::read_event(fields, &mut instance.names)?;
        let mut actions: Vec<Action> = Vec::new();
        instance.controller.handle(now, event, &mut actions);
        for action in &actions {
            wire::write_action(id, action, outbox);
        }
        Ok(())
    }
}
