//! Output of the `fleet` subcommands.

use serde_json::Value;

use super::super::console::announce;
use super::super::error::CommandError;

/// Result of a subcommand, as JSON and as text lines.
pub(super) struct Output {
    pub(super) json: Value,
    pub(super) lines: Vec<String>,
}

impl Output {
    /// Prints the JSON if `as_json` is set, else the text lines.
    pub(super) fn print(&self, as_json: bool) -> Result<(), CommandError> {
        announce(&if as_json { self.json.to_string() } else { self.lines.join("\n") })
    }
}
