//! Output of a run: JSON lines for programs, tables for people, and plots.

pub mod lines;
pub mod plots;
pub mod table;
