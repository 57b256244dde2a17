//! Model checking of the choice of a snapshot after losses. Properties: no change that a disk still has is lost, and no
//! follower goes back to an older snapshot.
//!
//! The model runs the production code of a leader and two followers through every order of changes, heartbeats, disk
//! losses and power losses. The checker must also detect each of a number of faulty variants (mutants).

use nettleferry_fleet::authority::{Authority, Cause, Duty, Step as NextStep};
use nettleferry_fleet::bootstrap;
use nettleferry_fleet::snapshot_version::{SnapshotVersion, VersionOrder};
use stateright::{Checker, Model, Property};

/// Number of followers. Disk 0 is the leader's.
const FOLLOWERS: usize = 2;
const MAX_CHANGES: u64 = 2;
const MAX_DISK_LOSSES: u8 = 2;
const MAX_POWER_LOSSES: u8 = 2;

/// A fault that the checker must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// A follower reports no version and installs any snapshot that it receives.
    WithoutVersions,
    /// The leader installs the first snapshot that is reported.
    InstallsFirst,
    /// A snapshot that can't be read is treated as an empty one and served.
    UnreadIsEmpty,
    /// A leader that received a report of a newer snapshot serves again once a later report matches its own snapshot.
    RetractsAhead,
    /// A delayed heartbeat counts as an answer to a query.
    LateCountsAsAnswer,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// Snapshots on the disks: the leader's, then the followers'. `None` if lost.
    disks: Vec<Option<SnapshotVersion>>,
    /// The snapshot on the leader's disk before the last change.
    previous: Option<SnapshotVersion>,
    authority: Authority,
    changes: u64,
    disk_losses: u8,
    power_losses: u8,
    /// Whether a change that a disk still had was lost.
    change_lost: bool,
    /// Whether a follower replaced its snapshot by an older one.
    follower_regressed: bool,
    /// The newest snapshot ahead of the leader's that was reported since the leader's start and the last decision.
    ahead: Option<SnapshotVersion>,
    /// Whether the leader accepted a change while `ahead` was set.
    accepted_behind: bool,
    /// The last report of each follower, which may be received again with a delay.
    earlier: Vec<Option<SnapshotVersion>>,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Change,
    /// A follower reports its snapshot and receives the leader's if that is served.
    Heartbeat(usize),
    /// An earlier report is received with a delay, or the report of a held watch is evaluated again.
    LateReport {
        who: usize,
        superseded: bool,
    },
    /// An operator chooses the newest snapshot on the disks, after the newest reported one was lost.
    Decide,
    /// A disk is lost, and its controller restarts without a snapshot.
    DiskLost(usize),
    /// The leader's disk is replaced by its state before the last change.
    LeaderDiskRolledBack,
    /// All controllers restart from their disks.
    PowerLost,
}

struct Fleet(Mutant);

fn initial_version() -> SnapshotVersion {
    SnapshotVersion { store: "s".to_owned(), epoch: 1, revision: 1, checksum: 1 }
}

impl Fleet {
    fn start(&self, disks: &[Option<SnapshotVersion>]) -> Authority {
        let expected = if self.0 == Mutant::InstallsFirst { 1 } else { FOLLOWERS };
        let own = match (&disks[0], self.0) {
            (None, Mutant::UnreadIsEmpty) => {
                Some(SnapshotVersion { revision: 0, checksum: 0, ..initial_version() })
            }
            (own, _) => own.clone(),
        };
        match self.0 {
            // With no expected controllers, the empty snapshot is served at once.
            Mutant::UnreadIsEmpty => Authority::new(0, own, 0),
            _ => Authority::new(0, own, expected),
        }
    }
}

impl State {
    /// Records a follower's report in `ahead` if it is ahead of the leader's snapshot or that can't be read.
    fn note_ahead(&mut self, reported: Option<&SnapshotVersion>) {
        let Some(reported) = reported else { return };
        let is_ahead = |own| reported.compare(own) == VersionOrder::Ahead;
        if self.authority.own().is_none_or(is_ahead) && self.ahead.as_ref().is_none_or(|a| a < reported) {
            self.ahead = Some(reported.clone());
        }
    }

    /// Returns whether the newest reported snapshot is on no disk any more.
    fn is_ahead_lost(&self) -> bool {
        self.ahead.as_ref().is_some_and(|ahead| self.disks.iter().flatten().all(|disk| disk < ahead))
    }

    /// Restarts the leader, which has no reports then.
    fn restart(&mut self, fleet: &Fleet) {
        self.authority = fleet.start(&self.disks);
        self.ahead = None;
    }

    /// Passes a delayed heartbeat to the leader. Nothing is installed for it, because its controller may have another
    /// snapshot by now.
    fn late_heartbeat(&mut self, mutant: Mutant, controller: u32, late: SnapshotVersion) {
        match mutant {
            Mutant::LateCountsAsAnswer => self.authority.report_received(0, controller, Some(late)),
            _ => self.authority.heartbeat_received(0, controller, late),
        };
    }

    fn retract_ahead(&mut self, mutant: Mutant, reported: Option<&SnapshotVersion>) {
        let own = self.authority.own().cloned();
        let waits = self.authority.duty().0 == Duty::Waiting(Cause::Behind);
        if mutant == Mutant::RetractsAhead
            && waits
            && reported == own.as_ref()
            && let Some(own) = own
        {
            self.authority.set_own(0, own, true);
        }
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let disks = vec![Some(initial_version()); FOLLOWERS + 1];
        let authority = self.start(&disks);
        vec![State {
            disks,
            previous: None,
            authority,
            changes: 0,
            disk_losses: 0,
            power_losses: 0,
            change_lost: false,
            follower_regressed: false,
            ahead: None,
            accepted_behind: false,
            earlier: vec![None; FOLLOWERS + 1],
        }]
    }

    fn actions(&self, state: &State, out: &mut Vec<Step>) {
        if state.authority.duty().0 == Duty::Serving && state.changes < MAX_CHANGES {
            out.push(Step::Change);
        }
        out.extend((1..=FOLLOWERS).map(Step::Heartbeat));
        let late = (1..=FOLLOWERS).filter(|who| state.earlier[*who].is_some());
        out.extend(late.flat_map(|who| [true, false].map(|superseded| Step::LateReport { who, superseded })));
        if state.is_ahead_lost() {
            out.push(Step::Decide);
        }
        if state.disk_losses < MAX_DISK_LOSSES {
            out.extend((0..=FOLLOWERS).map(Step::DiskLost));
            if state.previous.is_some() {
                out.push(Step::LeaderDiskRolledBack);
            }
        }
        if state.power_losses < MAX_POWER_LOSSES {
            out.push(Step::PowerLost);
        }
    }

    #[expect(clippy::too_many_lines, reason = "the transitions of the model are read as one table")]
    fn next_state(&self, state: &State, act: Step) -> Option<State> {
        let mut next = state.clone();
        match act {
            Step::Change => {
                let own = next.authority.own()?.clone();
                let revision = own.revision + 1;
                // The checksum is derived from the history, so that snapshots of one revision with different histories
                // differ.
                let changed = SnapshotVersion {
                    revision,
                    checksum: own.checksum * 7 + own.epoch as u32,
                    ..own.clone()
                };
                next.accepted_behind |= next.ahead.is_some();
                next.previous = Some(own);
                next.disks[0] = Some(changed.clone());
                next.authority.set_own(0, changed, false);
                next.changes += 1;
            }
            Step::Heartbeat(who) => {
                let reported = next.disks[who].clone();
                next.note_ahead(reported.as_ref());
                next.earlier[who] = reported.clone();
                let step = (self.0 != Mutant::WithoutVersions)
                    .then(|| next.authority.report_received(0, who as u32, reported.clone()));
                if let Some(NextStep::Install(_, chosen)) = step {
                    let newest = next.disks.iter().flatten().max().cloned();
                    next.change_lost |=
                        newest.is_some_and(|n| n.revision > chosen.revision && n.epoch >= chosen.epoch);
                    let epoch = chosen.epoch + 1;
                    let installed = SnapshotVersion { epoch, ..chosen };
                    next.disks[0] = Some(installed.clone());
                    next.authority.set_own(0, installed, true);
                    next.ahead = None;
                }
                next.retract_ahead(self.0, reported.as_ref());
                if next.authority.duty().0 == Duty::Serving {
                    let offered = next.authority.own()?.clone();
                    let installs = match self.0 {
                        Mutant::WithoutVersions | Mutant::UnreadIsEmpty => true,
                        _ => bootstrap::should_replace(reported.as_ref(), &offered) == Ok(true),
                    };
                    if installs {
                        let behind = reported
                            .as_ref()
                            .is_some_and(|h| (offered.epoch, offered.revision) < (h.epoch, h.revision));
                        next.follower_regressed |= behind;
                        next.disks[who] = Some(offered);
                    }
                }
            }
            Step::LateReport { who, superseded } => {
                let late = next.earlier[who].clone()?;
                next.note_ahead(Some(&late));
                if superseded {
                    next.authority.superseded_report_received(0, &late);
                } else {
                    next.late_heartbeat(self.0, who as u32, late.clone());
                }
                next.retract_ahead(self.0, Some(&late));
            }
            Step::Decide => {
                let chosen = next.disks.iter().flatten().max()?.clone();
                let origin = next.authority.superseding_origin()?;
                let installed = SnapshotVersion { epoch: origin.epoch, ..chosen };
                next.disks[0] = Some(installed.clone());
                next.authority.set_own(0, installed, true);
                next.ahead = None;
            }
            Step::DiskLost(which) => {
                next.disk_losses += 1;
                next.disks[which] = None;
                if which == 0 {
                    next.restart(self);
                }
            }
            Step::LeaderDiskRolledBack => {
                next.disk_losses += 1;
                next.disks[0] = next.previous.take();
                next.restart(self);
            }
            Step::PowerLost => {
                next.power_losses += 1;
                next.restart(self);
            }
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no change that a disk has is lost", |_, s: &State| !s.change_lost),
            Property::always("no follower installs an older snapshot", |_, s: &State| !s.follower_regressed),
            Property::always(
                "no change is accepted between a report that is ahead and a decision",
                |_, s: &State| !s.accepted_behind,
            ),
            Property::always("a leader waits only for a report, or for an operator", |_, s: &State| {
                // The leader must serve if all controllers have answered, the snapshots do not conflict and a disk has
                // one. The exception is a newest reported snapshot that is on no disk: then an operator has to decide.
                let reports: Vec<_> = s.authority.reports().collect();
                let all = s.authority.answered() >= FOLLOWERS;
                let current = reports.iter().all(|r| r.version == s.disks[r.controller as usize].as_ref());
                let snapshots: Vec<_> = s.disks.iter().flatten().collect();
                let forked = snapshots.iter().any(|a| {
                    snapshots.iter().any(|b| a.revision == b.revision && a.epoch == b.epoch && a != b)
                });
                let open = !all || !current || forked || snapshots.is_empty() || s.is_ahead_lost();
                open || s.authority.duty().0 == Duty::Serving
            }),
            Property::sometimes("a lost snapshot is replaced", |_, s: &State| {
                s.disk_losses > 0
                    && s.disks.iter().all(Option::is_some)
                    && s.disks[0].as_ref().is_some_and(|d| d.epoch > 1)
            }),
        ]
    }
}

#[test]
fn no_order_of_losses_loses_a_change_that_a_disk_has() {
    let checked = Fleet(Mutant::None).checker().spawn_bfs().join();
    println!("{} states, {} unique", checked.state_count(), checked.unique_state_count());
    assert!(checked.unique_state_count() > 1_000);
    checked.assert_properties();
}

#[test]
fn each_mutant_is_found() {
    for mutant in [
        Mutant::WithoutVersions,
        Mutant::InstallsFirst,
        Mutant::UnreadIsEmpty,
        Mutant::RetractsAhead,
        Mutant::LateCountsAsAnswer,
    ] {
        let checked = Fleet(mutant).checker().spawn_bfs().join();
        let found = checked.discoveries();
        let violated = match mutant {
            Mutant::RetractsAhead => {
                vec!["no change is accepted between a report that is ahead and a decision"]
            }
            _ => vec!["no change that a disk has is lost", "no follower installs an older snapshot"],
        };
        assert!(violated.iter().any(|name| found.contains_key(name)), "{mutant:?} was not found");
    }
}
