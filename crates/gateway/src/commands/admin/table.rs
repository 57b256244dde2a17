//! JSON as tables for people.

use std::collections::BTreeSet;

use comfy_table::{Table, presets};
use serde_json::Value;

fn cell(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Object(fields) => {
            fields.iter().map(|(name, v)| format!("{name}={}", cell(v))).collect::<Vec<_>>().join(" ")
        }
        Value::Array(all) => all.iter().map(cell).collect::<Vec<_>>().join(" "),
        other => other.to_string(),
    }
}

/// Rows by these columns.
pub fn rows(all: &[Value], columns: &[&str]) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING).set_header(columns.iter().map(|c| c.to_uppercase()));
    for row in all {
        table.add_row(columns.iter().map(|c| cell(&row[*c])));
    }
    table.trim_fmt()
}

/// One object, a line a field.
pub fn fields(value: &Value) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    for (name, value) in value.as_object().into_iter().flatten() {
        table.add_row([name.clone(), cell(value)]);
    }
    table.trim_fmt()
}

/// What differs, a line each, by path.
pub fn difference(before: &Value, after: &Value) -> String {
    let mut lines = Vec::new();
    differ("", before, after, &mut lines);
    lines.join("\n")
}

fn differ(path: &str, before: &Value, after: &Value, lines: &mut Vec<String>) {
    if before == after {
        return;
    }
    if let (Value::Object(a), Value::Object(b)) = (before, after) {
        let names: BTreeSet<&String> = a.keys().chain(b.keys()).collect();
        for name in names {
            let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
            differ(&path, a.get(name).unwrap_or(&Value::Null), b.get(name).unwrap_or(&Value::Null), lines);
        }
        return;
    }
    if !before.is_null() {
        lines.push(format!("- {path}: {}", cell(before)));
    }
    if !after.is_null() {
        lines.push(format!("+ {path}: {}", cell(after)));
    }
}

#[cfg(test)]
mod tests;
