//! What may run at all: peers on loopback addresses alone, and no more of them than descriptors and memory allow.

use std::net::SocketAddr;

use crate::process::Machine;

/// Descriptors that no peer may take: standard streams, the poll, its waker, listeners, files that are read.
const OWN_DESCRIPTORS: u64 = 64;
/// The part of the available memory that peers may take, as a divisor.
const MEMORY_PART: u64 = 2;
/// Peers of one process at the most, whatever there is.
pub const MAX_PEERS: u64 = 50_000;

/// Why a run is refused before it starts.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// Load goes to no other machine.
    #[error("{0} is no loopback address: hollow peers speak to this machine alone")]
    NotLoopback(SocketAddr),
    /// So many don't fit.
    #[error("{count} peers need {need} {what}, and {have} may be used: {fit} fit")]
    TooMany {
        /// How many were asked for.
        count: u64,
        /// What they would need.
        need: u64,
        /// Of what.
        what: &'static str,
        /// What there is of it.
        have: u64,
        /// How many fit.
        fit: u64,
    },
    /// None were asked for.
    #[error("a run has at least one peer")]
    NoPeers,
    /// A value that is out of its range.
    #[error("{what}: {why}")]
    OutOfRange {
        /// Which.
        what: &'static str,
        /// Its range.
        why: String,
    },
}

/// What one peer needs at the most.
#[derive(Clone, Copy, Debug)]
pub struct PeerResources {
    /// Descriptors.
    pub descriptors: u64,
    /// Bytes of memory.
    pub memory: u64,
}

/// Refuses addresses of other machines.
pub fn check_loopback(address: SocketAddr) -> Result<(), SettingsError> {
    if address.ip().is_loopback() { Ok(()) } else { Err(SettingsError::NotLoopback(address)) }
}

/// Refuses more peers than fit, and says how many would.
pub fn check_count(count: u64, each: PeerResources, machine: Machine) -> Result<(), SettingsError> {
    if count == 0 {
        return Err(SettingsError::NoPeers);
    }
    let descriptors = machine.descriptors.saturating_sub(OWN_DESCRIPTORS);
    let memory = machine.memory / MEMORY_PART;
    let fit = (descriptors / each.descriptors).min(memory / each.memory).min(MAX_PEERS);
    if count <= fit {
        return Ok(());
    }
    let (need, have, what) = if count.saturating_mul(each.descriptors) > descriptors {
        (count.saturating_mul(each.descriptors), descriptors, "descriptors")
    } else if count.saturating_mul(each.memory) > memory {
        (count.saturating_mul(each.memory), memory, "bytes of memory")
    } else {
        (count, MAX_PEERS, "places in a process")
    };
    Err(SettingsError::TooMany { count, need, what, have, fit })
}
