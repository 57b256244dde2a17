//! The file with the token by which a controller authenticates itself to others.

use std::io;
use std::path::Path;

/// Reads the token.
///
/// # Errors
/// The file cannot be read.
pub(crate) fn read_token(file: &Path) -> io::Result<String> {
    Ok(std::fs::read_to_string(file)?.trim().to_owned())
}
