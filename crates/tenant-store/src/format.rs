//! The version of the store's format, which the migration and the errors refer to.

/// The format version of stores that this program writes. In version 1, values had no checksums.
pub const FORMAT: u64 = 2;
