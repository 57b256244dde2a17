//! What fails for a moment while a process starts is tried again.

use std::io;

use nettleferry_net::patience::Patience;
use tracing::warn;

/// A step of the start, tried again while the system refuses it for a moment: for want of a descriptor or of memory. An
/// address that is taken or not ours does not pass by itself.
pub fn patiently<T>(step: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    use io::ErrorKind::{AddrInUse, AddrNotAvailable, InvalidInput, PermissionDenied};
    let lasting = |error: &io::Error| {
        matches!(error.kind(), AddrInUse | AddrNotAvailable | InvalidInput | PermissionDenied)
    };
    let held_up = |error: &io::Error| warn!(%error, "the start is held up: tried again");
    Patience::START.until(step, |error| !lasting(error), held_up)
}
