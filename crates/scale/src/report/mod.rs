//! What a run says: lines of JSON for programs, a table for people, plots.

pub mod lines;
pub mod plots;
pub mod table;
