//! Collects the audit logs of all controllers, and writes the administration's own log, which records the accepted
//! changes and the changes that were confirmed as in force everywhere.

use std::path::PathBuf;

use nettleferry_admin::api::MAX_BODY_BYTES;
use nettleferry_audit_log::{EntryKind, Recorder, chain};
use nettleferry_fleet::Millis;
use nettleferry_fleet::membership::Version;
use nettleferry_tenancy::Entry;

use crate::audit_log_writer::{SharedEntries, lock};
use crate::collected_logs::{ADMINISTRATION_LOG, CollectedLogs};

/// The collected audit logs and the recorder of the administration's own log.
pub(super) struct AuditCollector {
    logs: CollectedLogs,
    /// The recorder of the administration's own log.
    own: Recorder,
    /// The newest entries of the audit log of the leader's own controller.
    controller_entries: SharedEntries,
    controller: u32,
}

impl AuditCollector {
    /// Opens the collected logs in this folder. `controller` and `incarnation` are those of the leader.
    pub(super) fn open(
        folder: PathBuf,
        controller: u32,
        incarnation: u64,
        controller_entries: SharedEntries,
    ) -> Self {
        let logs = CollectedLogs::open(folder);
        let entries = logs.page(ADMINISTRATION_LOG, 0, usize::MAX).map(|page| page.entries);
        let tail = chain::check(entries.unwrap_or_default()).tail;
        let own = Recorder::new(0, incarnation, controller, env!("CARGO_PKG_VERSION"), tail);
        let mut collector = Self { logs, own, controller_entries, controller };
        collector.collect();
        collector
    }

    /// Records that a change was accepted.
    pub(super) fn change_accepted(&mut self, now: Millis, epoch: u64, entry: &Entry) {
        let action =
            serde_json::to_value(entry.action).ok().and_then(|name| name.as_str().map(str::to_owned));
        let kind = EntryKind::Accepted {
            epoch,
            revision: entry.revision,
            tenant: entry.tenant.clone(),
            action: action.unwrap_or_default(),
            restricts: entry.restricts(),
        };
        self.record(now, kind);
    }

    /// Records that a response has confirmed a change as in force everywhere.
    pub(super) fn change_in_force_everywhere(&mut self, now: Millis, version: Version) {
        self.record(now, EntryKind::InForce { epoch: version.epoch, revision: version.revision });
    }

    fn record(&mut self, now: Millis, kind: EntryKind) {
        self.own.append(now, kind);
        self.collect();
    }

    /// Stores new entries of the administration's own log and of the leader's own controller.
    pub(super) fn collect(&mut self) {
        let texts: Vec<String> = self.own.take(usize::MAX).collect();
        if !texts.is_empty() {
            self.logs.append(ADMINISTRATION_LOG, texts);
        }
        let owner = self.controller.to_string();
        let new = lock(&self.controller_entries).after(self.logs.last_number(&owner), MAX_BODY_BYTES);
        if !new.is_empty() {
            self.logs.append(&owner, new.into_iter().map(|entry| entry.text).collect());
        }
    }

    /// Stores entries that a controller has delivered. Returns the number of the last stored entry of its log.
    pub(super) fn append(&mut self, controller: u32, entries: Vec<String>) -> u64 {
        self.logs.append(&controller.to_string(), entries)
    }

    /// The logs of all controllers and the administration's own, as far as they are collected.
    pub(super) fn logs(&self) -> &CollectedLogs {
        &self.logs
    }
}
