//! The version of the store's format: read by the schema's migration, named by errors.

/// The format that is written. Format 1 had values without checksums.
pub const FORMAT: u64 = 2;
