//! The state of the running leader that the API reads or changes, by service.

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

/// The identity of this incarnation of the leader, and its clock.
pub(super) struct LeaderIdentity {
    /// The number of the leader's own controller.
    pub(super) controller: u32,
    /// A random number that is chosen at the start.
    pub(super) incarnation: u64,
    /// The zero point of the leader's clock.
    pub(super) start: Instant,
    /// The number of controllers in the fleet.
    pub(super) controllers: u32,
}

/// The services of the running leader that the API uses.
pub(super) struct LeaderContext {
    pub(super) identity: LeaderIdentity,
    pub(super) link: ControllerLink,
    /// The names of the workers that an operator is draining.
    pub(super) drained_workers: BTreeSet<String>,
    pub(super) recovery: RecoveryService,
    /// The epoch and revision of the snapshot that the API serves.
    pub(super) served: Version,
    pub(super) members: MembershipService,
    pub(super) refused_reports: RefusedReports,
    /// `None` if audit logs are not collected.
    pub(super) audit: Option<AuditCollector>,
    /// `None` if limits are not divided by loans.
    pub(super) loans: Option<LoanService>,
}

impl LeaderContext {
    /// The current time, in milliseconds on the leader's clock.
    pub(super) fn now(&self) -> Millis {
        self.identity.start.elapsed().as_millis() as u64
    }

    /// The limits that the reports of followers are checked against.
    pub(super) fn report_limits(&self) -> ReportLimits {
        let LeaderIdentity { controller, controllers, .. } = self.identity;
        let own_epoch = self.recovery.authority().own().map_or(0, |own| own.epoch);
        ReportLimits { own_controller: controller, controllers, own_epoch }
    }

    /// The incarnation under which the leader's own controller is granted loans.
    pub(super) fn own_incarnation(&self) -> Incarnation {
        Incarnation { controller: self.identity.controller, incarnation: self.identity.incarnation }
    }

    /// The period of loans that are granted now with the span of a lease. It ends when the span has passed on every
    /// clock, clock error included.
    pub(super) fn loan_period(now: Millis, span: Millis) -> LoanPeriod {
        LoanPeriod { now, until: now + span + nettleferry_fleet::lease::max_clock_difference(span) }
    }

    /// Writes the counts of the fleet to the controller's status, for its metrics.
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
