//! Loopback addresses of controllers. Each process that executes runs reserves a block of addresses, so that no two
//! processes on a machine use the same one.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU16, Ordering};

/// First port of controllers. It lies below the system's ephemeral ports, so that no outgoing connection takes the port
/// while a controller restarts.
const FIRST_PORT: u16 = 20_000;

/// Second octets of the loopback addresses of runs, one for each block of addresses.
const BLOCK_OCTETS: std::ops::Range<u8> = 20..220;
/// Port that serves as the lock of a block: the process that is bound to it at the block's last address owns the block.
const BLOCK_PORT: u16 = FIRST_PORT - 1;

/// A block of loopback addresses that no other process uses for a run.
struct Block {
    second_octet: u8,
    /// Bound to [`BLOCK_PORT`] for as long as this process runs.
    _lock: TcpListener,
}

/// Returns the block of this process: the first free one, searched from an index derived from the process id. Without
/// the lock, clients of two processes with the same index would reach each other's controllers.
fn block() -> io::Result<&'static Block> {
    static BLOCK: OnceLock<Option<Block>> = OnceLock::new();
    let free = || {
        let first = std::process::id() as usize % BLOCK_OCTETS.len();
        let octets = BLOCK_OCTETS.cycle().skip(first).take(BLOCK_OCTETS.len());
        octets
            .filter_map(|second_octet| {
                let lock =
                    TcpListener::bind(SocketAddr::from(([127, second_octet, 255, 254], BLOCK_PORT))).ok()?;
                Some(Block { second_octet, _lock: lock })
            })
            .next()
    };
    BLOCK.get_or_init(free).as_ref().ok_or_else(|| io::ErrorKind::AddrInUse.into())
}

/// Returns an address for a controller that no other run on this machine uses.
pub(super) fn own_address(number: usize) -> io::Result<SocketAddr> {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
    let port = FIRST_PORT + NEXT_PORT.fetch_add(1, Ordering::AcqRel) % 10_000;
    Ok(SocketAddr::from(([127, block()?.second_octet, (number % 250) as u8, 1], port)))
}
