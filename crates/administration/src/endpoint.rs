//! A small HTTP/1.1 listener on a thread of its own, for what is answered from memory at once.

use std::io;
use std::net::SocketAddr;
use std::thread::JoinHandle;

use nettleferry_net::http1::{Http1, Http1Limits, Reply, Request, Stop};

/// The listener; it ends when this is dropped.
pub struct Endpoint {
    /// Where it listens.
    pub local: SocketAddr,
    stop: Stop,
    thread: Option<JoinHandle<()>>,
}

impl Endpoint {
    /// Listens; requests with a longer body are refused. `name`: the thread's, and the log's.
    pub fn start(
        listen: SocketAddr,
        body_bytes: usize,
        name: &'static str,
        answer: impl FnMut(&Request<'_>) -> Reply + Send + 'static,
    ) -> io::Result<Self> {
        let mut server = Http1::bind(listen, Http1Limits { body_bytes, ..Http1Limits::default() })?;
        let (local, stop) = (server.local()?, server.stop());
        let thread = std::thread::Builder::new().name(name.to_owned()).spawn(move || {
            if let Err(error) = server.run(answer) {
                tracing::warn!(%error, "the {name} endpoint has ended");
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
