//! The version of the file format of the store.

/// The format version of stores that this program writes. In version 1, values had no checksums.
pub const FORMAT: u64 = 2;
