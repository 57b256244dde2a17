//! Prints responses of the administration API, as tables or as JSON.

use serde_json::{Value, json};

use super::super::console::announce;
use super::super::error::CommandError;
use super::table;

/// Prints responses in the selected format.
#[derive(Clone, Copy)]
pub(super) struct Printer {
    /// JSON instead of tables.
    pub(super) json: bool,
}

impl Printer {
    /// Prints a list, with these columns if it is a table.
    pub(super) fn rows(self, rows: &[Value], columns: &[&str]) -> Result<(), CommandError> {
        announce(&if self.json { format!("{:#}", json!(rows)) } else { table::rows(rows, columns) })
    }

    /// Prints one object.
    pub(super) fn object(self, object: &Value) -> Result<(), CommandError> {
        announce(&if self.json { format!("{object:#}") } else { table::fields(object) })
    }

    /// Prints the effect that a change would have: the values that differ, or both objects as JSON.
    pub(super) fn difference(self, before: &Value, after: &Value) -> Result<(), CommandError> {
        if self.json {
            return self.object(&json!({ "before": before, "after": after, "dry_run": true }));
        }
        let lines = table::difference(before, after);
        announce(if lines.is_empty() { "nothing would change" } else { &lines })
    }
}
