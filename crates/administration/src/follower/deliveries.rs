//! What a follower with a lease sends to the leader besides its heartbeats: its demands for loans, and the entries of its
//! audit log.

use std::io;
use std::time::{Duration, Instant};

use nettleferry_fleet::lease;

use super::leader_client::LeaderClient;
use super::responses::{DeliveredEntries, GrantedLoans};
use crate::audit_log_writer::{SharedEntries, lock};
use crate::controller_link::ControllerLink;
use crate::messages::AdminEvent;

/// Bytes of audit entries in one request.
const MAX_DELIVERY_BYTES: usize = 256 << 10;

/// The follower's demands.
pub(super) struct Borrowing {
    controller: u32,
    incarnation: u64,
    /// Whether the leader grants loans, as far as it is known.
    enabled: bool,
}

impl Borrowing {
    /// `enabled`: whether the settings divide limits by loans.
    pub(super) fn new(controller: u32, incarnation: u64, enabled: bool) -> Self {
        Self { controller, incarnation, enabled }
    }

    /// Reports what calls could use of limits, and sends the controller what they may use.
    ///
    /// # Errors
    /// The system's poll failed.
    pub(super) fn borrow(&mut self, client: &mut LeaderClient, link: &ControllerLink) -> io::Result<()> {
        if !self.enabled {
            return Ok(());
        }
        let demands = link.status().recent_demands();
        if demands.is_empty() {
            return Ok(());
        }
        let Ok(body) = serde_json::to_vec(&demands) else { return Ok(()) };
        let target = format!("/v1/fleet/loans?controller={}&life={}", self.controller, self.incarnation);
        // Counted from before the request, like the lease.
        let asked = Instant::now();
        let Some(response) = client.post(&target, &body)? else { return Ok(()) };
        match (response.status, serde_json::from_slice::<GrantedLoans>(&response.body)) {
            (200, Ok(GrantedLoans { span_ms, loans })) => {
                let until = asked + Duration::from_millis(lease::expires_at(0, span_ms));
                link.send(AdminEvent::LoansGranted { until, loans });
            }
            (404 | 405, _) => self.enabled = false,
            _ => {}
        }
        Ok(())
    }
}

/// The delivery of the audit log.
pub(super) struct AuditDelivery {
    controller: u32,
    /// `None`: there is no audit log, or the leader collects none.
    entries: Option<SharedEntries>,
    /// The number of the last entry that the leader has.
    delivered: u64,
}

impl AuditDelivery {
    /// Nothing was delivered yet.
    pub(super) fn new(controller: u32, entries: Option<SharedEntries>) -> Self {
        Self { controller, entries, delivered: 0 }
    }

    /// Delivers the next entries, one request's worth; the response says up to which one the leader has them.
    ///
    /// # Errors
    /// The system's poll failed.
    pub(super) fn deliver(&mut self, client: &mut LeaderClient) -> io::Result<()> {
        let Some(entries) = &self.entries else { return Ok(()) };
        let entries = lock(entries).after(self.delivered, MAX_DELIVERY_BYTES);
        if entries.is_empty() {
            return Ok(());
        }
        let texts: Vec<&String> = entries.iter().map(|entry| &entry.text).collect();
        let Ok(body) = serde_json::to_vec(&texts) else { return Ok(()) };
        let target = format!("/v1/fleet/records?controller={}", self.controller);
        let Some(response) = client.post(&target, &body)? else { return Ok(()) };
        match (response.status, serde_json::from_slice::<DeliveredEntries>(&response.body)) {
            (200, Ok(delivered)) => self.delivered = delivered.last_number,
            // The leader collects none: it is not asked again by this incarnation.
            (404 | 405 | 409, _) => self.entries = None,
            _ => {}
        }
        Ok(())
    }
}
