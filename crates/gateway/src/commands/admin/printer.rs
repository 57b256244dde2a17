//! Responses of the administration, as tables for people or as JSON for programs.

use serde_json::{Value, json};

use super::super::console::announce;
use super::super::error::CommandError;
use super::table;

/// How responses are printed.
#[derive(Clone, Copy)]
pub(super) struct Printer {
    pub(super) json: bool,
}

impl Printer {
    /// A list, with these columns.
    pub(super) fn rows(self, rows: &[Value], columns: &[&str]) -> Result<(), CommandError> {
        announce(&if self.json { format!("{:#}", json!(rows)) } else { table::rows(rows, columns) })
    }

    /// One object.
    pub(super) fn object(self, object: &Value) -> Result<(), CommandError> {
        announce(&if self.json { format!("{object:#}") } else { table::fields(object) })
    }

    /// What a change would do.
    pub(super) fn difference(self, before: &Value, after: &Value) -> Result<(), CommandError> {
        if self.json {
            return self.object(&json!({ "before": before, "after": after, "dry_run": true }));
        }
        let lines = table::difference(before, after);
        announce(if lines.is_empty() { "nothing would change" } else { &lines })
    }
}
