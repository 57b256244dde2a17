//! A small HTTP/1.1 listener on its own thread, for requests that are answered from memory without waiting.

use std::io;
use std::net::SocketAddr;
use std::thread::JoinHandle;

use nettleferry_net::http1::{Http1Limits, Http1Server, Reply, Request, Stop};
use tracing::warn;

/// A running HTTP listener. Dropping this stops and joins its thread.
pub struct Endpoint {
    /// The local address of the listener, with the actual port.
    pub local: SocketAddr,
    stop: Stop,
    thread: Option<JoinHandle<()>>,
}

impl Endpoint {
    /// Binds `listen` and answers each request with `answer`. A request with a body longer than `body_bytes` is
    /// rejected. `name` is the name of the thread, and of the endpoint in log messages.
    ///
    /// # Errors
    /// The address cannot be bound, or the thread cannot be started.
    pub fn start(
        listen: SocketAddr,
        body_bytes: usize,
        name: &'static str,
        answer: impl FnMut(&Request<'_>) -> Reply + Send + 'static,
    ) -> io::Result<Self> {
        let mut server = Http1Server::bind(listen, Http1Limits { body_bytes, ..Http1Limits::default() })?;
        let (local, stop) = (server.local_addr()?, server.stop());
        let thread = std::thread::Builder::new().name(name.to_owned()).spawn(move || {
            if let Err(error) = server.run(answer) {
                warn!(name, %error, "HTTP endpoint failed");
            }
        })?;
        Ok(Self { local, stop, thread: Some(thread) })
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.stop.stop();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
