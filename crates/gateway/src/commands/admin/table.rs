//! Formats JSON values as text tables, and differences between them as lines.

use std::collections::BTreeSet;

use comfy_table::{Table, presets};
use serde_json::Value;

/// Formats one value for a table cell; null becomes an empty text.
fn cell(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Object(fields) => {
            fields.iter().map(|(name, value)| format!("{name}={}", cell(value))).collect::<Vec<_>>().join(" ")
        }
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(" "),
        other => other.to_string(),
    }
}

/// Formats a list of objects as a table with these columns and a row for each object.
pub(super) fn rows(objects: &[Value], columns: &[&str]) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING).set_header(columns.iter().map(|column| column.to_uppercase()));
    for object in objects {
        table.add_row(columns.iter().map(|column| cell(&object[*column])));
    }
    table.trim_fmt()
}

/// Formats one object as a table with a line for each field.
pub(super) fn fields(value: &Value) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    for (name, value) in value.as_object().into_iter().flatten() {
        table.add_row([name.clone(), cell(value)]);
    }
    table.trim_fmt()
}

/// Formats the values that differ, a line for each with its path: `-` for the value before, `+` for the value after.
pub(super) fn difference(before: &Value, after: &Value) -> String {
    let mut lines = Vec::new();
    collect_differences("", before, after, &mut lines);
    lines.join("\n")
}

fn collect_differences(path: &str, before: &Value, after: &Value, lines: &mut Vec<String>) {
    if before == after {
        return;
    }
    if let (Value::Object(old), Value::Object(new)) = (before, after) {
        let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
        for name in names {
            let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
            collect_differences(
                &path,
                old.get(name).unwrap_or(&Value::Null),
                new.get(name).unwrap_or(&Value::Null),
                lines,
            );
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
