//! Sends requests to the leader, one at a time. The wait for a response ends early when the follower is stopped.

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

/// The follower's HTTP client for the leader.
pub(super) struct LeaderClient {
    /// The connection for watch requests, which the leader holds until there are changes.
    watch_connection: Http1Client,
    /// The connection for all other requests.
    request_connection: Http1Client,
    authorization: String,
    stopped: Arc<AtomicBool>,
}

impl LeaderClient {
    /// Creates a client for the leader at this address.
    ///
    /// # Errors
    /// The system cannot create a poll instance for a connection.
    pub(super) fn new(leader: SocketAddr, token: &str) -> io::Result<Self> {
        Ok(Self {
            watch_connection: Http1Client::new(leader, 1, SNAPSHOT_TIMEOUT)?,
            request_connection: Http1Client::new(leader, 1, SNAPSHOT_TIMEOUT)?,
            authorization: format!("Bearer {token}"),
            stopped: Arc::default(),
        })
    }

    /// The flag that another thread sets to stop the follower. That thread must wake the follower afterwards.
    pub(super) fn stopped(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.stopped)
    }

    /// The waker that interrupts a wait of the follower's thread.
    pub(super) fn waker(&self) -> Arc<mio::Waker> {
        self.watch_connection.waker()
    }

    /// Whether another thread has stopped the follower.
    pub(super) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    /// Waits until the timeout has passed or the follower is woken.
    ///
    /// # Errors
    /// The system's poll failed.
    pub(super) fn wait(&mut self, timeout: Duration) -> io::Result<()> {
        self.watch_connection.poll(Some(timeout), &mut Vec::new())
    }

    /// Requests a snapshot or changes; the request is also a heartbeat. Returns `None` if the follower was stopped
    /// before the response arrived.
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
                (&mut self.request_connection, SNAPSHOT_TIMEOUT, heartbeat.snapshot_target())
            }
            ReplicationRequest::Watch { .. } => {
                (&mut self.watch_connection, timing.timeout, heartbeat.watch_target(timing.wait))
            }
        };
        connection.set_timeout(timeout);
        connection.send(0, "GET", &target, &[("Authorization", &self.authorization)], b"");
        wait_for_response(connection, timeout, &self.stopped)
    }

    /// Sends a JSON body with `POST`. Returns `None` if the exchange failed or the follower was stopped before the
    /// response arrived.
    ///
    /// # Errors
    /// The system's poll failed.
    pub(super) fn post(&mut self, target: &str, body: &[u8]) -> io::Result<Option<Answer>> {
        let headers = [("Authorization", self.authorization.as_str()), ("Content-Type", "application/json")];
        self.request_connection.set_timeout(SNAPSHOT_TIMEOUT);
        self.request_connection.send(0, "POST", target, &headers, body);
        let response = wait_for_response(&mut self.request_connection, SNAPSHOT_TIMEOUT, &self.stopped)?;
        Ok(response.and_then(Result::ok))
    }

    /// Reports to the leader that this incarnation has stopped accepting calls. Waits for the response for at most
    /// [`DEREGISTRATION_TIMEOUT`], also after the follower was stopped.
    ///
    /// # Errors
    /// The system's poll failed.
    pub(super) fn deregister(&mut self, controller: u32, incarnation: u64) -> io::Result<()> {
        let target = deregistration_target(controller, incarnation);
        self.request_connection.set_timeout(DEREGISTRATION_TIMEOUT);
        self.request_connection.send(0, "GET", &target, &[("Authorization", &self.authorization)], b"");
        let (mut responses, deadline) = (Vec::new(), Instant::now() + DEREGISTRATION_TIMEOUT);
        while responses.is_empty() && Instant::now() < deadline {
            self.request_connection.poll(Some(DEREGISTRATION_TIMEOUT), &mut responses)?;
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
