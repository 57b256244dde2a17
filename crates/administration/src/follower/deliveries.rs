//! Requests that a follower with a lease sends to the leader besides its heartbeats: its demands for loans, and the
//! entries of its audit log.

use std::io;
use std::time::{Duration, Instant};

use nettleferry_fleet::lease;

use super::leader_client::LeaderClient;
use super::responses::{DeliveredEntries, GrantedLoans};
use crate::audit_log_writer::{SharedEntries, lock};
use crate::controller_link::ControllerLink;
use crate::messages::AdminEvent;

/// Maximum size of the audit entries in one request, in bytes of text.
const MAX_DELIVERY_BYTES: usize = 256 << 10;

/// Requests loans from the leader for the controller's demands.
pub(super) struct LoanRequester {
    controller: u32,
    incarnation: u64,
    /// Whether loans are requested; cleared when the leader's response shows that it has no endpoint for loans.
    enabled: bool,
}

impl LoanRequester {
    /// Creates a requester. `enabled`: whether limits are divided by loans according to the settings.
    pub(super) fn new(controller: u32, incarnation: u64, enabled: bool) -> Self {
        Self { controller, incarnation, enabled }
    }

    /// Reports the controller's demands to the leader, and sends the granted loans to the controller. Does nothing
    /// without demands, and grants nothing if the leader does not respond.
    ///
    /// # Errors
    /// The system's poll failed.
    pub(super) fn request_loans(
        &mut self,
        client: &mut LeaderClient,
        link: &ControllerLink,
    ) -> io::Result<()> {
        if !self.enabled {
            return Ok(());
        }
        let demands = link.status().recent_demands();
        if demands.is_empty() {
            return Ok(());
        }
        let Ok(body) = serde_json::to_vec(&demands) else { return Ok(()) };
        let target = format!("/v1/fleet/loans?controller={}&life={}", self.controller, self.incarnation);
        // As with a lease, the span is counted from before the request, so that the loans expire here first and at the
        // leader later.
        let requested_at = Instant::now();
        let Some(response) = client.post(&target, &body)? else { return Ok(()) };
        match (response.status, serde_json::from_slice::<GrantedLoans>(&response.body)) {
            (200, Ok(GrantedLoans { span_ms, loans })) => {
                let until = requested_at + Duration::from_millis(lease::expires_at(0, span_ms));
                link.send(AdminEvent::LoansGranted { until, loans });
            }
            (404 | 405, _) => self.enabled = false,
            _ => {}
        }
        Ok(())
    }
}

/// Delivers the entries of the controller's audit log to the leader.
pub(super) struct AuditDelivery {
    controller: u32,
    /// `None` if the controller keeps no audit log, or the leader does not collect audit logs.
    entries: Option<SharedEntries>,
    /// The number of the last entry that the leader has acknowledged.
    delivered: u64,
}

impl AuditDelivery {
    /// Creates a delivery that starts with the oldest entry in memory.
    pub(super) fn new(controller: u32, entries: Option<SharedEntries>) -> Self {
        Self { controller, entries, delivered: 0 }
    }

    /// Delivers the next entries in one request. The response contains the number of the last entry that the leader
    /// has.
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
            // The leader does not collect audit logs: this incarnation sends no further entries.
            (404 | 405 | 409, _) => self.entries = None,
            _ => {}
        }
        Ok(())
    }
}
