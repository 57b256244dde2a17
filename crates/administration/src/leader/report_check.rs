//! Whether what a follower reports can be. A report that can't be comes of a wrong address, a wrong clock or a broken
//! program: it is refused and counted, and decides nothing.

use nettleferry_admin::Problem;
use nettleferry_admin::api::ControllerState;
use nettleferry_fleet::Millis;
use nettleferry_tenancy::Revision;
use tracing::warn;

/// Epochs are wall-clock milliseconds of restores: one that lies further ahead than this is from no clock of this fleet.
pub(super) const MAX_EPOCH_LEAD: Millis = 24 * 60 * 60_000;
/// The highest revision: JSON numbers are exact up to it.
pub(super) const MAX_REVISION: Revision = 1 << 53;

/// What is wrong with a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum ReportFault {
    /// There is no controller of this number.
    #[error("the fleet has controllers 0 to {last}, by this administration's settings")]
    NoSuchController {
        /// The highest number.
        last: u32,
    },
    /// The number is that of the leader's own controller.
    #[error("this is the number of the administration's own controller")]
    OwnNumber,
    /// The epoch is from the future.
    #[error("this epoch is from the future: the latest is {latest}")]
    FutureEpoch {
        /// The latest that can be.
        latest: u64,
    },
    /// The revision is higher than any can be.
    #[error("there are no revisions above {MAX_REVISION}")]
    RevisionTooHigh,
    /// It has more in force than it has.
    #[error("more is in force than the snapshot has, which ends with {revision}")]
    InForceAhead {
        /// The snapshot's revision.
        revision: Revision,
    },
    /// It has more on its disk than it has.
    #[error("more is kept than the snapshot has, which ends with {revision}")]
    PersistedAhead {
        /// The snapshot's revision.
        revision: Revision,
    },
    /// The snapshot is of another store.
    #[error("the snapshot is of another store")]
    Foreign,
}

impl ReportFault {
    /// The parameter of the request that is wrong.
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

    /// As the API says it.
    pub(super) fn problem(self) -> Problem {
        Problem::field(self.parameter(), self.to_string())
    }
}

/// What reports are held against.
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
    /// Checks a report at this wall-clock time, in milliseconds.
    ///
    /// # Errors
    /// What is wrong with it.
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

    /// Settings that name no fleet have one controller, of number 0: they tell nothing of the numbers of followers.
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

    /// The latest epoch that can be. `None`: the clock here is behind the store's own epoch, so that it tells nothing.
    fn latest_epoch(&self, wall: Millis) -> Option<u64> {
        (self.own_epoch <= wall).then(|| wall.saturating_add(MAX_EPOCH_LEAD))
    }
}

/// Reports that were refused, or that decide nothing.
#[derive(Debug, Default)]
pub(super) struct RefusedReports(u64);

impl RefusedReports {
    /// Counts one. Logs the first, and then ever fewer of them.
    pub(super) fn count(&mut self, controller: u32, fault: &ReportFault) {
        self.0 += 1;
        if self.0.is_power_of_two() {
            let (parameter, total) = (fault.parameter(), self.0);
            warn!(controller, parameter, %fault, total, "report of a controller refused, it decides nothing");
        }
    }

    /// How many there were.
    pub(super) fn total(&self) -> u64 {
        self.0
    }
}

#[cfg(test)]
mod tests;
