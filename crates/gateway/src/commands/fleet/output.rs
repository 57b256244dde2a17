//! What a `fleet` command prints.

use serde_json::Value;

use super::super::console::announce;
use super::super::error::CommandError;

/// A result, for programs and for people.
pub(super) struct Output {
    pub(super) json: Value,
    pub(super) lines: Vec<String>,
}

impl Output {
    /// Prints one of both.
    pub(super) fn print(&self, as_json: bool) -> Result<(), CommandError> {
        announce(&if as_json { self.json.to_string() } else { self.lines.join("\n") })
    }
}
