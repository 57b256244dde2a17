//! What may run at all: peers on loopback addresses alone, and no more of them than descriptors and memory allow.

use std::net::SocketAddr;

use crate::process::Machine;

/// Descriptors that no peer may take: standard streams, the poll, its waker, listeners, files that are read.
const OWN_DESCRIPTORS: u64 = 64;
/// The part of the available memory that peers may take, as a divisor.
const MEMORY_PART: u64 = 2;
/// Peers of one process at the most, whatever there is.
pub const MOST_PEERS: u64 = 50_000;

/// Why a run is refused before it starts.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
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
    None,
    /// A value that is out of its range.
    #[error("{what}: {why}")]
    Value {
        /// Which.
        what: &'static str,
        /// Its range.
        why: String,
    },
}

/// What one peer needs at the most.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// Descriptors.
    pub descriptors: u64,
    /// Bytes of memory.
    pub memory: u64,
}

/// Refuses addresses of other machines.
pub fn loopback(address: SocketAddr) -> Result<(), Refused> {
    if address.ip().is_loopback() { Ok(()) } else { Err(Refused::NotLoopback(address)) }
}

/// Refuses more peers than fit, and says how many would.
pub fn fits(count: u64, each: Need, machine: Machine) -> Result<(), Refused> {
    if count == 0 {
        return Err(Refused::None);
    }
    let descriptors = machine.descriptors.saturating_sub(OWN_DESCRIPTORS);
    let memory = machine.memory / MEMORY_PART;
    let fit = (descriptors / each.descriptors).min(memory / each.memory).min(MOST_PEERS);
    if count <= fit {
        return Ok(());
    }
    let (need, have, what) = if count.saturating_mul(each.descriptors) > descriptors {
        (count.saturating_mul(each.descriptors), descriptors, "descriptors")
    } else if count.saturating_mul(each.memory) > memory {
        (count.saturating_mul(each.memory), memory, "bytes of memory")
    } else {
        (count, MOST_PEERS, "places in a process")
    };
    Err(Refused::TooMany { count, need, what, have, fit })
}
