//! The state of the running leader that the API asks for or changes, by service.

use std::collections::BTreeSet;
use std::time::Instant;

use nettleferry_fleet::Millis;
use nettleferry_fleet::membership::{Incarnation, Version};

use super::audit_collector::AuditCollector;
use super::membership_service::MembershipService;
use super::recovery::RecoveryService;
use super::report_check::{RefusedReports, ReportLimits};
use crate::controller_link::ControllerLink;
use crate::loan_service::{LoanPeriod, LoanService};
use crate::messages::FleetCounts;

/// Which run of the leader this is, and its clock.
pub(super) struct LeaderIdentity {
    /// The number of its controller.
    pub(super) controller: u32,
    /// A random number, chosen at the start.
    pub(super) incarnation: u64,
    /// When its clock began.
    pub(super) start: Instant,
    /// The number of controllers in the fleet.
    pub(super) controllers: u32,
}

/// The services.
pub(super) struct LeaderContext {
    pub(super) identity: LeaderIdentity,
    pub(super) link: ControllerLink,
    /// Workers that are drained by hand.
    pub(super) drained_workers: BTreeSet<String>,
    pub(super) recovery: RecoveryService,
    /// The version of the snapshot that the API serves.
    pub(super) served: Version,
    pub(super) members: MembershipService,
    pub(super) refused_reports: RefusedReports,
    /// `None`: audit logs are not collected.
    pub(super) audit: Option<AuditCollector>,
    /// `None`: no loans are granted.
    pub(super) loans: Option<LoanService>,
}

impl LeaderContext {
    /// Milliseconds on the leader's clock.
    pub(super) fn now(&self) -> Millis {
        self.identity.start.elapsed().as_millis() as u64
    }

    /// What followers' reports are held against.
    pub(super) fn report_limits(&self) -> ReportLimits {
        let LeaderIdentity { controller, controllers, .. } = self.identity;
        let own_epoch = self.recovery.authority().own().map_or(0, |own| own.epoch);
        ReportLimits { own_controller: controller, controllers, own_epoch }
    }

    /// The leader's own controller, as a borrower.
    pub(super) fn own_incarnation(&self) -> Incarnation {
        Incarnation { controller: self.identity.controller, incarnation: self.identity.incarnation }
    }

    /// The period of loans that are granted now for a lease of this span.
    pub(super) fn loan_period(now: Millis, span: Millis) -> LoanPeriod {
        LoanPeriod { now, until: now + span + nettleferry_fleet::lease::max_clock_difference(span) }
    }

    /// Shows the fleet in numbers to the controller, for its metrics.
    pub(super) fn publish_counts(&self, now: Millis) {
        let revision = self.recovery.authority().own().map_or(0, |own| own.revision);
        let counts = self.members.counts(now, revision);
        self.link.status().fleet = FleetCounts {
            incarnations_behind: counts.behind,
            incarnations_fenced: counts.fenced,
            recovery_pending: !self.recovery.is_serving(),
        };
    }
}
