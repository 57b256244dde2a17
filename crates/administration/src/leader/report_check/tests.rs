//! Unit tests of `report_check`.

use super::*;

const WALL: Millis = 1_800_000_000_000;
const LIMITS: ReportLimits = ReportLimits { own_controller: 0, controllers: 4, own_epoch: 1 };

fn state() -> ControllerState {
    ControllerState {
        store: "s".to_owned(),
        epoch: 1,
        revision: 7,
        checksum: 3,
        incarnation: 11,
        in_force: 7,
        persisted: 6,
        requires_lease: true,
        stopped: false,
    }
}

fn check(change: impl FnOnce(&mut ControllerState)) -> Result<(), ReportFault> {
    let mut state = state();
    change(&mut state);
    LIMITS.check(1, &state, WALL)
}

#[test]
fn impossible_reports_are_rejected_and_the_invalid_parameter_is_named() {
    assert_eq!(check(|_| ()), Ok(()));
    assert_eq!(LIMITS.check(4, &state(), WALL), Err(ReportFault::NoSuchController { last: 3 }));
    assert_eq!(LIMITS.check(0, &state(), WALL), Err(ReportFault::OwnNumber));
    let without_fleet = ReportLimits { controllers: 1, ..LIMITS };
    assert_eq!(without_fleet.check(4, &state(), WALL), Ok(()), "the settings name no fleet");
    let latest = WALL + MAX_EPOCH_LEAD;
    assert_eq!(check(|state| state.epoch = latest), Ok(()));
    assert_eq!(check(|state| state.epoch = latest + 1), Err(ReportFault::FutureEpoch { latest }));
    assert_eq!(check(|state| state.revision = MAX_REVISION + 1), Err(ReportFault::RevisionTooHigh));
    assert_eq!(check(|state| state.in_force = 8), Err(ReportFault::InForceAhead { revision: 7 }));
    assert_eq!(check(|state| state.persisted = 8), Err(ReportFault::PersistedAhead { revision: 7 }));
    let problem = ReportFault::FutureEpoch { latest }.problem();
    assert_eq!((problem.status, problem.field.as_deref()), (422, Some("epoch")));
}

#[test]
fn epochs_are_not_checked_while_the_local_clock_is_behind_the_own_epoch() {
    let limits = ReportLimits { own_epoch: WALL, ..LIMITS };
    let restored = ControllerState { epoch: WALL + 2 * MAX_EPOCH_LEAD, ..state() };
    assert_eq!(limits.check(1, &restored, 0), Ok(()), "a dead clock must not hide a later snapshot");
    assert!(limits.check(1, &restored, WALL).is_err());
}
