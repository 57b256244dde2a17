//! The file with the bearer token that a controller sends to the leader and to its peers.

use std::io;
use std::path::Path;

/// Reads the token, without leading and trailing white space.
///
/// # Errors
/// The file cannot be read.
pub(crate) fn read_token(file: &Path) -> io::Result<String> {
    Ok(std::fs::read_to_string(file)?.trim().to_owned())
}
