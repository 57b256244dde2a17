//! The environment of a run, which the caller chooses independently of the scenario file.

use std::path::Path;

/// The program that a scenario runs, and the folders that it uses.
pub struct Environment<'a> {
    /// Path of the program that runs as a controller.
    pub program: &'a Path,
    /// The folder for the files of the run. It is created if it does not exist.
    pub dir: &'a Path,
    /// The folder to which file names in the scenario are relative.
    pub script_folder: &'a Path,
    /// The log filter of the controllers.
    pub log_filter: &'a str,
}
