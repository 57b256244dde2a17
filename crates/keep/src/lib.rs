//! Small records that survive a loss of power: each whole under a version and a checksum, the good one before
//! held beside, and read back as sound, older, unsealed, damaged or absent. What is in them is the owner's.
//!
//! [`Keep`] writes and waits for the disk; [`Keeper`] is the thread that does so for those who may not wait.

mod files;
mod keep;
mod keeper;
mod memory;
mod record;

pub use files::{Files, Folder};
pub use keep::{Found, Keep};
pub use keeper::{Counters, Keeper};
pub use memory::{Loss, Memory};
pub use record::{Flaw, MOST_BYTES, Record, seal, unseal};
