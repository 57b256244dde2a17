//! A TCP proxy between two processes that injects partitions (in one direction or both) and delay into open
//! connections.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::time::Duration;

/// How a link treats the bytes sent over it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum LinkMode {
    /// Forwards both directions.
    Forward = 0,
    /// Reads and discards both directions; connections stay open.
    Blackhole = 1,
    /// Forwards requests and discards responses.
    RequestsOnly = 2,
    /// Closes open connections, and new ones as they are accepted.
    Closed = 3,
    /// Forwards responses and discards requests.
    ResponsesOnly = 4,
}

/// A proxy to one target address. New connections are accepted at `address`.
pub(crate) struct Link {
    pub(crate) address: SocketAddr,
    mode: Arc<AtomicU8>,
    delay_ms: Arc<AtomicU64>,
}

impl Link {
    pub(crate) fn to(target: SocketAddr, listen: &str) -> Self {
        let listener = TcpListener::bind(listen).expect("the port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let (mode, delay_ms) = (Arc::new(AtomicU8::new(0)), Arc::new(AtomicU64::new(0)));
        let (shared_mode, shared_delay) = (Arc::clone(&mode), Arc::clone(&delay_ms));
        std::thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                let Ok(server) = TcpStream::connect(target) else { continue };
                if shared_mode.load(Ordering::Acquire) == LinkMode::Closed as u8 {
                    continue;
                }
                let halves =
                    (client.try_clone().expect("socket cloned"), server.try_clone().expect("socket cloned"));
                let (requests, responses) = (
                    (Arc::clone(&shared_mode), Arc::clone(&shared_delay)),
                    (Arc::clone(&shared_mode), Arc::clone(&shared_delay)),
                );
                std::thread::spawn(move || forward(client, server, true, &requests.0, &requests.1));
                std::thread::spawn(move || forward(halves.1, halves.0, false, &responses.0, &responses.1));
            }
        });
        Self { address, mode, delay_ms }
    }

    pub(crate) fn set(&self, mode: LinkMode) {
        self.mode.store(mode as u8, Ordering::Release);
    }

    /// Delays each chunk of forwarded bytes by this time, in both directions.
    pub(crate) fn delay(&self, delay: Duration) {
        self.delay_ms.store(delay.as_millis() as u64, Ordering::Release);
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, requests: bool, mode: &AtomicU8, delay_ms: &AtomicU64) {
    let mut buffer = [0; 4096];
    // Reads time out, so that `LinkMode::Closed` closes idle connections too.
    let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
    loop {
        let read = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(n) => n,
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => 0,
            Err(_) => break,
        };
        let current_mode = mode.load(Ordering::Acquire);
        if current_mode == LinkMode::Closed as u8 {
            break;
        }
        let discarded = current_mode == LinkMode::Blackhole as u8
            || current_mode == LinkMode::RequestsOnly as u8 && !requests
            || current_mode == LinkMode::ResponsesOnly as u8 && requests;
        if read == 0 || discarded {
            continue;
        }
        std::thread::sleep(Duration::from_millis(delay_ms.load(Ordering::Acquire)));
        if to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
