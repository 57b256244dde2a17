//! Exit codes of the program. Scripts and service managers rely on them.

/// The command succeeded.
pub(crate) const SUCCESS: u8 = 0;
/// The command ran, and its check failed or its request was refused: a rule was broken, a bound was exceeded, a call
/// was not served, alert rules have findings, an audit log is incomplete, or the administration refused a request.
pub(crate) const FAILED: u8 = 1;
/// The command line is wrong, or the configuration of `node` is unusable.
pub(crate) const USAGE: u8 = 2;
/// A file can't be read, or its content is invalid.
pub(crate) const INVALID_FILE: u8 = 3;
/// The operating system refused a resource such as an address, a thread or a process, or a scenario, soak or scale run
/// failed.
pub(crate) const SYSTEM: u8 = 4;
/// A signal ended the command before its work was complete.
pub(crate) const INTERRUPTED: u8 = 130;

/// Returns the exit code of a command whose result is a check that `passed` or failed.
pub(crate) fn of_check(passed: bool) -> u8 {
    if passed { SUCCESS } else { FAILED }
}
