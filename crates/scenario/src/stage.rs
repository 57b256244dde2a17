//! The environment of a scenario: the program under test and the folders of the run.

use std::path::Path;

/// The environment in which a scenario runs.
pub struct Stage<'a> {
    /// The program that controllers run.
    pub program: &'a Path,
    /// The folder for the files of the run. It is created if it does not exist.
    pub dir: &'a Path,
    /// The folder to which file names in the scenario are relative.
    pub script_folder: &'a Path,
    /// The log filter of the controllers.
    pub log: &'a str,
}
