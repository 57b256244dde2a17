//! Speaks the simulator's wire: turns its lines into the library's events and actions back into lines.
//! No judgement lives here.

mod wire;

use std::collections::BTreeMap;
use std::io::{BufRead, Write};

use nettleferry::{Action, Controller};
use serde_json::Value;

fn main() {
    let input = std::io::stdin().lock();
    let mut output = std::io::BufWriter::new(std::io::stdout().lock());
    let mut instances = BTreeMap::new();
    for (number, line) in input.lines().enumerate() {
        let done = line.map_err(|e| e.to_string()).and_then(|text| {
            if text.trim().is_empty() {
                return Ok(());
            }
            let reply = batch(&mut instances, &text)?;
            output.write_all(reply.as_bytes()).and_then(|()| output.flush()).map_err(|e| e.to_string())
        });
        if let Err(what) = done {
            eprintln!("nettleferry-adapter: line {}: {what}", number + 1);
            std::process::exit(1);
        }
    }
}

struct Instance {
    controller: Controller,
    names: wire::Names,
}

/// One batch in, one reply line out.
fn batch(instances: &mut BTreeMap<u64, Instance>, text: &str) -> Result<String, String> {
    let line: Value = serde_json::from_str(text).map_err(|e| format!("not JSON: {e}"))?;
    let now = wire::micros(line.get("t_ms").ok_or("no t_ms")?).ok_or("t_ms is not a time")?;
    let turn = line.get("turn").filter(|v| v.is_u64()).ok_or("no whole number in turn")?;
    let input = line.get("input").and_then(Value::as_array).ok_or("no array in input")?;
    let mut outbox = String::new();
    let mut actions: Vec<Action> = Vec::new();
    for (place, event) in input.iter().enumerate() {
        one(instances, now, event, &mut actions, &mut outbox)
            .map_err(|what| format!("event {}: {what}", place + 1))?;
    }
    Ok(format!("{{\"turn\":{turn},\"outbox\":[{outbox}]}}\n"))
}

fn one(
    instances: &mut BTreeMap<u64, Instance>,
    now: u64,
    event: &Value,
    actions: &mut Vec<Action>,
    outbox: &mut String,
) -> Result<(), String> {
    let parts = event.as_array().ok_or("not an array")?;
    let name = parts.first().and_then(Value::as_str).ok_or("no name")?;
    let fields = wire::Fields { name, parts };
    let id = fields.whole(1, "controller_id")?;
    match name {
        "ENLIST" => {
            let seed = fields.whole(2, "salt")?;
            let info = parts.get(3).filter(|v| v.is_object()).ok_or("ENLIST: no object in info")?;
            let mut names = wire::Names::default();
            let settings = names.settings(info)?;
            let controller = Controller::new(settings, seed).map_err(|e| format!("ENLIST: {e}"))?;
            instances.insert(id, Instance { controller, names });
        }
        "DESTROY" => {
            instances.remove(&id);
        }
        _ => {
            // The event is read even for an instance that has gone, so that what is malformed always shows.
            let mut nobody = wire::Names::default();
            let Some(instance) = instances.get_mut(&id) else {
                nobody.lenient = true;
                return wire::event(&fields, &mut nobody).map(|_| ());
            };
            let event = wire::event(&fields, &mut instance.names)?;
            instance.controller.handle(now, event, actions);
            for action in actions.drain(..) {
                wire::action(id, &action, outbox);
            }
        }
    }
    Ok(())
}
