//! Checks before a run: peers connect to loopback addresses only, and their number is limited by file descriptors and
//! memory.

use std::net::SocketAddr;

use crate::process::Machine;

/// Descriptors reserved for the process itself: standard streams, the poll, its waker, listeners and open files.
const RESERVED_DESCRIPTORS: u64 = 64;
/// Peers may use the available memory divided by this number.
const MEMORY_DIVISOR: u64 = 2;
/// Maximum number of peers in one process, regardless of its resources.
pub const MAX_PEERS: u64 = 50_000;

/// Settings that a run can't start with.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The target address is not a loopback address. Hollow peers must not put load on other machines.
    #[error("{0} is no loopback address: hollow peers connect only to this machine")]
    NotLoopback(SocketAddr),
    /// More peers were requested than the resources allow.
    #[error("{count} peers need {needed} {resource}, and {available} may be used: {max_count} fit")]
    TooMany {
        /// Requested number of peers.
        count: u64,
        /// Amount of the scarce resource that this number of peers needs.
        needed: u64,
        /// Name of the scarce resource, as shown in the message.
        resource: &'static str,
        /// Amount of the scarce resource that peers may use.
        available: u64,
        /// Largest number of peers that would be accepted.
        max_count: u64,
    },
    /// The requested number of peers is 0.
    #[error("0 peers were requested: a run has at least one peer")]
    NoPeers,
    /// An option's value has the wrong form or is out of its range.
    #[error("{option}: {requirement}")]
    OutOfRange {
        /// Name of the command-line option.
        option: &'static str,
        /// Permitted range or form of the value; for most options also the value that was given.
        requirement: String,
    },
}

/// Upper bound on the resources of one peer.
#[derive(Clone, Copy, Debug)]
pub struct PeerResources {
    /// Open file descriptors.
    pub descriptors: u64,
    /// Memory in bytes.
    pub memory: u64,
}

/// Returns [`SettingsError::NotLoopback`] for an address that is not a loopback address.
pub fn check_loopback(address: SocketAddr) -> Result<(), SettingsError> {
    if address.ip().is_loopback() { Ok(()) } else { Err(SettingsError::NotLoopback(address)) }
}

/// Checks that `count` peers, which use up to `each` per peer, fit the resources of `machine`.
///
/// Fails for 0 peers, and for too many with the scarce resource and the number of peers that would fit.
pub fn check_count(count: u64, each: PeerResources, machine: Machine) -> Result<(), SettingsError> {
    if count == 0 {
        return Err(SettingsError::NoPeers);
    }
    let descriptors = machine.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
    let memory = machine.memory / MEMORY_DIVISOR;
    let max_count = (descriptors / each.descriptors).min(memory / each.memory).min(MAX_PEERS);
    if count <= max_count {
        return Ok(());
    }
    let (needed, available, resource) = if count.saturating_mul(each.descriptors) > descriptors {
        (count.saturating_mul(each.descriptors), descriptors, "descriptors")
    } else if count.saturating_mul(each.memory) > memory {
        (count.saturating_mul(each.memory), memory, "bytes of memory")
    } else {
        (count, MAX_PEERS, "peer slots of a process")
    };
    Err(SettingsError::TooMany { count, needed, resource, available, max_count })
}
