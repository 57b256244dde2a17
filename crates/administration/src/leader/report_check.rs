//! Validates the reports of followers. An impossible report is caused by a wrong address in the settings, a wrong clock
//! or a defective program. It is rejected and counted, and has no effect on recovery.

use nettleferry_admin::Problem;
use nettleferry_admin::api::ControllerState;
use nettleferry_fleet::Millis;
use nettleferry_tenancy::Revision;
use tracing::warn;

/// Maximum time by which an epoch may be in the future, in milliseconds. Epochs are wall-clock times of restores, and
/// the clocks of a fleet differ by less than this.
pub(super) const MAX_EPOCH_LEAD: Millis = 24 * 60 * 60_000;
/// The highest valid revision, up to which JSON numbers are exact.
pub(super) const MAX_REVISION: Revision = 1 << 53;

/// Why a report of a follower is rejected or ignored. The texts are part of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum ReportFault {
    /// The fleet has no controller with this number.
    #[error("the fleet has controllers 0 to {last}, by this administration's settings")]
    NoSuchController {
        /// The highest controller number.
        last: u32,
    },
    /// The number is that of the leader's own controller.
    #[error("this is the number of the administration's own controller")]
    OwnNumber,
    /// The epoch is too far in the future.
    #[error("this epoch is from the future: the latest is {latest}")]
    FutureEpoch {
        /// The latest valid epoch.
        latest: u64,
    },
    /// The revision is above [`MAX_REVISION`].
    #[error("there are no revisions above {MAX_REVISION}")]
    RevisionTooHigh,
    /// The revision in force is later than that of the snapshot.
    #[error("more is in force than the snapshot has, which ends with {revision}")]
    InForceAhead {
        /// The revision of the reported snapshot.
        revision: Revision,
    },
    /// The persisted revision is later than that of the snapshot.
    #[error("more is kept than the snapshot has, which ends with {revision}")]
    PersistedAhead {
        /// The revision of the reported snapshot.
        revision: Revision,
    },
    /// The snapshot belongs to another store. The request is still served, but the report has no effect on recovery.
    #[error("the snapshot is of another store")]
    Foreign,
}

impl ReportFault {
    /// The name of the request parameter with the invalid value.
    fn parameter(self) -> &'static str {
        match self {
            Self::NoSuchController { .. } | Self::OwnNumber => "controller",
            Self::FutureEpoch { .. } => "epoch",
            Self::RevisionTooHigh => "after",
            Self::InForceAhead { .. } => "in_force",
            Self::PersistedAhead { .. } => "kept",
            Self::Foreign => "store",
        }
    }

    /// The API's response to a request with this fault.
    pub(super) fn problem(self) -> Problem {
        Problem::field(self.parameter(), self.to_string())
    }
}

/// The limits that reports are checked against.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportLimits {
    /// The number of the leader's own controller.
    pub(super) own_controller: u32,
    /// The number of controllers in the fleet.
    pub(super) controllers: u32,
    /// The epoch of the leader's own store.
    pub(super) own_epoch: u64,
}

impl ReportLimits {
    /// Checks a report. `wall` is the wall-clock time in milliseconds.
    ///
    /// # Errors
    /// The first fault that was found.
    pub(super) fn check(
        &self,
        controller: u32,
        state: &ControllerState,
        wall: Millis,
    ) -> Result<(), ReportFault> {
        self.check_number(controller)?;
        if let Some(latest) = self.latest_epoch(wall).filter(|latest| state.epoch > *latest) {
            return Err(ReportFault::FutureEpoch { latest });
        }
        let revision = state.revision;
        if revision > MAX_REVISION {
            return Err(ReportFault::RevisionTooHigh);
        }
        if state.in_force > revision {
            return Err(ReportFault::InForceAhead { revision });
        }
        if state.persisted > revision {
            return Err(ReportFault::PersistedAhead { revision });
        }
        Ok(())
    }

    /// Checks the controller's number. Settings without a fleet have a single controller with number 0, in which case
    /// any number is accepted.
    fn check_number(&self, controller: u32) -> Result<(), ReportFault> {
        if self.controllers <= 1 {
            return Ok(());
        }
        if controller >= self.controllers {
            return Err(ReportFault::NoSuchController { last: self.controllers - 1 });
        }
        if controller == self.own_controller {
            return Err(ReportFault::OwnNumber);
        }
        Ok(())
    }

    /// The latest valid epoch. `None` if the local clock is behind the epoch of the leader's own store: it is wrong
    /// then, and cannot be used for the check.
    fn latest_epoch(&self, wall: Millis) -> Option<u64> {
        (self.own_epoch <= wall).then(|| wall.saturating_add(MAX_EPOCH_LEAD))
    }
}

/// The number of reports that were rejected or ignored.
#[derive(Debug, Default)]
pub(super) struct RefusedReports(u64);

impl RefusedReports {
    /// Counts a report. The 1st, 2nd, 4th, 8th and so on is logged, so that frequent faults do not flood the log.
    pub(super) fn count(&mut self, controller: u32, fault: &ReportFault) {
        self.0 += 1;
        if self.0.is_power_of_two() {
            let (parameter, total) = (fault.parameter(), self.0);
            warn!(controller, parameter, %fault, total, "controller report is not used for recovery");
        }
    }

    /// The number of reports counted since the start.
    pub(super) fn total(&self) -> u64 {
        self.0
    }
}

#[cfg(test)]
mod tests;
