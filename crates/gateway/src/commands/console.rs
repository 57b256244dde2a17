//! Reads text files and writes to standard output, for all commands.

use std::io::Write;
use std::path::Path;

use super::error::CommandError;

/// Reads a UTF-8 text file; the error names its path.
pub(super) fn read_file(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|source| CommandError::Read { path: path.to_owned(), source })
}

/// Prints a line to standard output and flushes it, because scripts wait for lines such as the listening address.
pub(super) fn announce(text: &str) -> Result<(), CommandError> {
    let mut out = std::io::stdout().lock();
    writeln!(out, "{text}")
        .and_then(|()| out.flush())
        .map_err(CommandError::system("can't write to standard output"))
}
