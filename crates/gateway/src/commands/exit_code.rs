//! Exit codes of the program. Scripts and service managers rely on them.

/// The command did what it was asked to do.
pub(crate) const SUCCESS: u8 = 0;
/// The command ran, and what it checked or asked for did not hold: a rule or a bound broke, a call was not served,
/// rules have findings, the administration refused.
pub(crate) const FAILED: u8 = 1;
/// The command line is wrong.
pub(crate) const USAGE: u8 = 2;
/// A file can't be read, or its content is not valid.
pub(crate) const INVALID_FILE: u8 = 3;
/// The operating system refused something: an address, a thread, a process.
pub(crate) const SYSTEM: u8 = 4;
/// Stopped by a signal before all was done.
pub(crate) const INTERRUPTED: u8 = 130;

/// The code of a command that checked something.
pub(crate) fn of_check(passed: bool) -> u8 {
    if passed { SUCCESS } else { FAILED }
}
