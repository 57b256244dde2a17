//! Requests to the leader, one at a time. A request ends early when the follower is stopped.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use nettleferry_fleet::follower_requests::{
    DEREGISTRATION_TIMEOUT, Heartbeat, SNAPSHOT_TIMEOUT, Timing, deregistration_target,
};
use nettleferry_net::http1_client::{Answer, Http1Client, Http1Error};
use nettleferry_tenancy::replication::ReplicationRequest;

/// The client.
pub(super) struct LeaderClient {
    /// The connection for requests that wait for changes.
    watches: Http1Client,
    /// The connection for all other requests.
    snapshots: Http1Client,
    authorization: String,
    stopped: Arc<AtomicBool>,
}

impl LeaderClient {
    /// A client of the leader at this address.
    ///
    /// # Errors
    /// The system gives no poll for a connection.
    pub(super) fn new(leader: SocketAddr, token: &str) -> io::Result<Self> {
        Ok(Self {
            watches: Http1Client::new(leader, 1, SNAPSHOT_TIMEOUT)?,
            snapshots: Http1Client::new(leader, 1, SNAPSHOT_TIMEOUT)?,
            authorization: format!("Bearer {token}"),
            stopped: Arc::default(),
        })
    }

    /// Set by another thread to stop the follower, which it then has to wake.
    pub(super) fn stopped(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.stopped)
    }

    /// Wakes the follower from a wait.
    pub(super) fn waker(&self) -> Arc<mio::Waker> {
        self.watches.waker()
    }

    /// Whether the follower is to stop.
    pub(super) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    /// Waits for at most this long, or until the follower is woken.
    ///
    /// # Errors
    /// The system's poll failed.
    pub(super) fn wait(&mut self, timeout: Duration) -> io::Result<()> {
        self.watches.poll(Some(timeout), &mut Vec::new())
    }

    /// Asks for what is to be replicated, with a heartbeat. `None`: the follower was stopped first.
    ///
    /// # Errors
    /// The system's poll failed.
    pub(super) fn replicate(
        &mut self,
        request: &ReplicationRequest,
        heartbeat: &Heartbeat,
        timing: Timing,
    ) -> io::Result<Option<Result<Answer, Http1Error>>> {
        let (connection, timeout, target) = match request {
            ReplicationRequest::Snapshot => {
                (&mut self.snapshots, SNAPSHOT_TIMEOUT, heartbeat.snapshot_target())
            }
            ReplicationRequest::Watch { .. } => {
                (&mut self.watches, timing.timeout, heartbeat.watch_target(timing.wait))
            }
        };
        connection.set_timeout(timeout);
        connection.send(0, "GET", &target, &[("Authorization", &self.authorization)], b"");
        wait_for_response(connection, timeout, &self.stopped)
    }

    /// Posts JSON. `None`: no response came, or the follower was stopped first.
    ///
    /// # Errors
    /// The system's poll failed.
    pub(super) fn post(&mut self, target: &str, body: &[u8]) -> io::Result<Option<Answer>> {
        let headers = [("Authorization", self.authorization.as_str()), ("Content-Type", "application/json")];
        self.snapshots.set_timeout(SNAPSHOT_TIMEOUT);
        self.snapshots.send(0, "POST", target, &headers, body);
        let response = wait_for_response(&mut self.snapshots, SNAPSHOT_TIMEOUT, &self.stopped)?;
        Ok(response.and_then(Result::ok))
    }

    /// Tells the leader that this incarnation accepts no calls any more; waits for a response for a moment only.
    ///
    /// # Errors
    /// The system's poll failed.
    pub(super) fn deregister(&mut self, controller: u32, incarnation: u64) -> io::Result<()> {
        let target = deregistration_target(controller, incarnation);
        self.snapshots.set_timeout(DEREGISTRATION_TIMEOUT);
        self.snapshots.send(0, "GET", &target, &[("Authorization", &self.authorization)], b"");
        let (mut responses, deadline) = (Vec::new(), Instant::now() + DEREGISTRATION_TIMEOUT);
        while responses.is_empty() && Instant::now() < deadline {
            self.snapshots.poll(Some(DEREGISTRATION_TIMEOUT), &mut responses)?;
        }
        Ok(())
    }
}

fn wait_for_response(
    connection: &mut Http1Client,
    timeout: Duration,
    stopped: &AtomicBool,
) -> io::Result<Option<Result<Answer, Http1Error>>> {
    let mut responses = Vec::new();
    while responses.is_empty() && !stopped.load(Ordering::Acquire) {
        connection.poll(Some(timeout), &mut responses)?;
    }
    Ok(responses.pop().map(|(_, response)| response))
}
