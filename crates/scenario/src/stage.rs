//! Where a scenario runs: the program under test and the folders of the run.

use std::path::Path;

/// Where a scenario runs.
pub struct Stage<'a> {
    /// The controllers' program.
    pub program: &'a Path,
    /// The folder of the run's files.
    pub dir: &'a Path,
    /// The folder from which files that the scenario names are found.
    pub script_folder: &'a Path,
    /// What the controllers log.
    pub log: &'a str,
}
