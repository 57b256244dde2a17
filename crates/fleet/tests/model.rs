//! Every order of changes, followers' heartbeats, losses of disks and losses of power, with the real decisions: an
//! leader and two controllers that follow. Mutants of the decisions are each found.

use nettleferry_fleet::authority::{Authority, Cause, Duty, Step as NextStep};
use nettleferry_fleet::bootstrap;
use nettleferry_fleet::snapshot_version::{SnapshotVersion, VersionOrder};
use stateright::{Checker, Model, Property};

/// Followers; the leader's disk is the first.
const FOLLOWERS: usize = 2;
const MAX_CHANGES: u64 = 2;
const MAX_LOSSES: u8 = 2;
const MAX_POWER: u8 = 2;

/// What is wrong in a model that must be found wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// A follower reports no snapshot and installs whatever it gets.
    WithoutVersions,
    /// The leader installs the first snapshot that is reported.
    InstallsFirst,
    /// A snapshot that can't be read is an empty one, and served.
    UnreadIsEmpty,
    /// A leader that was told of a later snapshot serves again when a report agrees with its own.
    TakesBackAhead,
    /// A late report counts as what its controller has.
    LateCountsAsAnswer,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// Snapshots on disks: the leader's, then the followers'. `None`: lost.
    disks: Vec<Option<SnapshotVersion>>,
    /// The leader's disk as it was one change before.
    older: Option<SnapshotVersion>,
    authority: Authority,
    changes: u64,
    losses: u8,
    power: u8,
    /// A change that a disk still held was given up.
    undone: bool,
    /// A follower served from a snapshot that is behind what it held.
    back: bool,
    /// The newest snapshot ahead of the leader's that was reported to it since its start and the last decision.
    ahead: Option<SnapshotVersion>,
    /// A change was accepted in spite of it.
    accepted_behind: bool,
    /// What followers reported one heartbeat before: such a request may come late.
    earlier: Vec<Option<SnapshotVersion>>,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Change,
    /// A follower reports its snapshot, and gets the leader's where it serves.
    Heartbeat(usize),
    /// A request of before comes late, or a held one is judged again, of an incarnation that the leader knows or not.
    LateReport {
        who: usize,
        superseded: bool,
    },
    /// An operator decides for the newest snapshot that there is, where what was ahead is on no disk any more.
    Decide,
    /// The disk is lost; its process goes with it and is back without.
    DiskLost(usize),
    /// The leader's disk comes back as it was a change before.
    Older,
    /// Everything starts again from its disk.
    PowerLost,
}

struct Fleet(Mutant);

fn first() -> SnapshotVersion {
    SnapshotVersion { store: "s".to_owned(), epoch: 1, revision: 1, checksum: 1 }
}

impl Fleet {
    fn start(&self, disks: &[Option<SnapshotVersion>]) -> Authority {
        let expected = if self.0 == Mutant::InstallsFirst { 1 } else { FOLLOWERS };
        let own = match (&disks[0], self.0) {
            (None, Mutant::UnreadIsEmpty) => Some(SnapshotVersion { revision: 0, checksum: 0, ..first() }),
            (own, _) => own.clone(),
        };
        match self.0 {
            // An empty snapshot that nobody doubts.
            Mutant::UnreadIsEmpty => Authority::new(0, own, 0),
            _ => Authority::new(0, own, expected),
        }
    }
}

impl State {
    /// A follower's report came: is it ahead of the leader's snapshot? It is where that can't be read.
    fn note_ahead(&mut self, reported: Option<&SnapshotVersion>) {
        let Some(reported) = reported else { return };
        let is_ahead = |own| reported.compare(own) == VersionOrder::Ahead;
        if self.authority.own().is_none_or(is_ahead) && self.ahead.as_ref().is_none_or(|a| a < reported) {
            self.ahead = Some(reported.clone());
        }
    }

    /// What was ahead is on no disk any more.
    fn is_ahead_lost(&self) -> bool {
        self.ahead.as_ref().is_some_and(|ahead| self.disks.iter().flatten().all(|disk| disk < ahead))
    }

    /// The leader starts again, and knows nothing of what was reported.
    fn restart(&mut self, fleet: &Fleet) {
        self.authority = fleet.start(&self.disks);
        self.ahead = None;
    }

    /// Nothing is installed for a report that nobody asked for: its controller may have another snapshot by now.
    fn late_heartbeat(&mut self, mutant: Mutant, controller: u32, late: SnapshotVersion) {
        match mutant {
            Mutant::LateCountsAsAnswer => self.authority.report_received(0, controller, Some(late)),
            _ => self.authority.heartbeat_received(0, controller, late),
        };
    }

    fn take_back(&mut self, mutant: Mutant, reported: Option<&SnapshotVersion>) {
        let own = self.authority.own().cloned();
        let waits = self.authority.duty().0 == Duty::Waiting(Cause::Behind);
        if mutant == Mutant::TakesBackAhead
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
        let disks = vec![Some(first()); FOLLOWERS + 1];
        let authority = self.start(&disks);
        vec![State {
            disks,
            older: None,
            authority,
            changes: 0,
            losses: 0,
            power: 0,
            undone: false,
            back: false,
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
        if state.losses < MAX_LOSSES {
            out.extend((0..=FOLLOWERS).map(Step::DiskLost));
            if state.older.is_some() {
                out.push(Step::Older);
            }
        }
        if state.power < MAX_POWER {
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
                // The checksum is the history: two snapshots of one revision that came about apart differ.
                let changed = SnapshotVersion {
                    revision,
                    checksum: own.checksum * 7 + own.epoch as u32,
                    ..own.clone()
                };
                next.accepted_behind |= next.ahead.is_some();
                next.older = Some(own);
                next.disks[0] = Some(changed.clone());
                next.authority.set_own(0, changed, false);
                next.changes += 1;
            }
            Step::Heartbeat(who) => {
                let held = next.disks[who].clone();
                next.note_ahead(held.as_ref());
                next.earlier[who] = held.clone();
                let step = (self.0 != Mutant::WithoutVersions)
                    .then(|| next.authority.report_received(0, who as u32, held.clone()));
                if let Some(NextStep::Install(_, taken)) = step {
                    let newest = next.disks.iter().flatten().max().cloned();
                    next.undone |=
                        newest.is_some_and(|n| n.revision > taken.revision && n.epoch >= taken.epoch);
                    let epoch = taken.epoch + 1;
                    let stands = SnapshotVersion { epoch, ..taken };
                    next.disks[0] = Some(stands.clone());
                    next.authority.set_own(0, stands, true);
                    next.ahead = None;
                }
                next.take_back(self.0, held.as_ref());
                if next.authority.duty().0 == Duty::Serving {
                    let given = next.authority.own()?.clone();
                    let takes = match self.0 {
                        Mutant::WithoutVersions | Mutant::UnreadIsEmpty => true,
                        _ => bootstrap::should_replace(held.as_ref(), &given) == Ok(true),
                    };
                    if takes {
                        let behind = held
                            .as_ref()
                            .is_some_and(|h| (given.epoch, given.revision) < (h.epoch, h.revision));
                        next.back |= behind;
                        next.disks[who] = Some(given);
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
                next.take_back(self.0, Some(&late));
            }
            Step::Decide => {
                let chosen = next.disks.iter().flatten().max()?.clone();
                let origin = next.authority.superseding_origin()?;
                let stands = SnapshotVersion { epoch: origin.epoch, ..chosen };
                next.disks[0] = Some(stands.clone());
                next.authority.set_own(0, stands, true);
                next.ahead = None;
            }
            Step::DiskLost(which) => {
                next.losses += 1;
                next.disks[which] = None;
                if which == 0 {
                    next.restart(self);
                }
            }
            Step::Older => {
                next.losses += 1;
                next.disks[0] = next.older.take();
                next.restart(self);
            }
            Step::PowerLost => {
                next.power += 1;
                next.restart(self);
            }
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no change that any disk holds is given up", |_, s: &State| !s.undone),
            Property::always("no follower goes back", |_, s: &State| !s.back),
            Property::always(
                "no change is accepted between a report that is ahead and a decision",
                |_, s: &State| !s.accepted_behind,
            ),
            Property::always("a leader waits only for a report, or for an operator", |_, s: &State| {
                // All have answered, all agree and some disk has a snapshot: then it does not wait, unless what was
                // reported is on none of them: going on without it is an operator's decision.
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
                s.losses > 0
                    && s.disks.iter().all(Option::is_some)
                    && s.disks[0].as_ref().is_some_and(|d| d.epoch > 1)
            }),
        ]
    }
}

#[test]
fn no_order_of_losses_gives_up_a_change_that_a_disk_has() {
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
        Mutant::TakesBackAhead,
        Mutant::LateCountsAsAnswer,
    ] {
        let checked = Fleet(mutant).checker().spawn_bfs().join();
        let found = checked.discoveries();
        let broken = match mutant {
            Mutant::TakesBackAhead => {
                vec!["no change is accepted between a report that is ahead and a decision"]
            }
            _ => vec!["no change that any disk holds is given up", "no follower goes back"],
        };
        assert!(broken.iter().any(|name| found.contains_key(name)), "{mutant:?} was not found");
    }
}
