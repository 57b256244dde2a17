//! Files and standard output of commands.

use std::io::Write;
use std::path::Path;

use super::error::CommandError;

/// Reads a text file.
pub(super) fn read_file(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|source| CommandError::Read { path: path.to_owned(), source })
}

/// Prints text and a line break on standard output, and flushes: scripts wait for such lines.
pub(super) fn announce(text: &str) -> Result<(), CommandError> {
    let mut out = std::io::stdout().lock();
    writeln!(out, "{text}").and_then(|()| out.flush()).map_err(CommandError::system("standard output"))
}
