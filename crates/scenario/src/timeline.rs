//! The timeline of a run, which splits scripted faults into single actions and orders them by time.

use std::collections::BTreeMap;

use nettleferry::{Micros, WorkerState};
use nettleferry_test_servers::Fault;

use crate::script::{FaultKind, ScriptedFault};

/// Time from the crash that ends an unresponsive period of a worker to the restart of the worker.
const RESTART_DELAY: Micros = 50_000;

/// A single action of a run.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    /// Injects a fault into a worker.
    Fault { worker: String, fault: Fault },
    /// Changes a worker's state in the lists, and also its time of start if it has `restarted`.
    List { worker: String, state: WorkerState, restarted: bool },
    /// Stops (`true`) or resumes the writing of the worker lists.
    StaleList(bool),
    /// Kills a controller.
    Kill(usize),
    /// Sends SIGTERM to a controller.
    Terminate(usize),
    /// Starts a controller.
    Start(usize),
    /// Sends SIGSTOP (`stalled`) or SIGCONT to a controller.
    Stall { controller: usize, stalled: bool },
    /// Sets the factor on the duration of fetches from the model store.
    StoreSlowness(f64),
    /// Makes the clients send additional calls, `rate` per second until `until`, each for a different model.
    OneOff { rate: f64, until: Micros },
    /// Cuts (`cut`) or restores the links between a zone and the other zones.
    CutZone { zone: String, cut: bool },
}

/// The processes that a fault affects, and its start and end.
struct Scope<'a> {
    from: Micros,
    to: Micros,
    workers: &'a [String],
    controllers: &'a [usize],
}

/// A fault of a worker that lasts for some time: the value that starts it and the value that ends it.
struct Toggle {
    on: Fault,
    off: Fault,
}

/// The actions of a run in order of time. Actions with equal times keep the order in which they were added.
pub(crate) struct Timeline {
    actions: BTreeMap<(Micros, u64), Action>,
    /// Number of actions added so far.
    added: u64,
    list_lag: Micros,
}

impl Timeline {
    /// Creates an empty timeline. The start or crash of a worker appears in the worker lists after `list_lag`.
    pub(crate) fn new(list_lag: Micros) -> Self {
        Self { actions: BTreeMap::new(), added: 0, list_lag }
    }

    /// Whether no action is left.
    pub(crate) fn is_empty(&self) -> bool {
        self.actions.is_empty()
    }

    /// Removes and returns the next action that is due at `now`.
    pub(crate) fn take_due(&mut self, now: Micros) -> Option<Action> {
        let first = self.actions.first_entry()?;
        if first.key().0 > now { None } else { Some(first.remove()) }
    }

    /// Adds an action at the time `when`.
    pub(crate) fn add(&mut self, when: Micros, action: Action) {
        self.added += 1;
        self.actions.insert((when, self.added), action);
    }

    /// Adds the actions that start and end a scripted fault. Its time counts from `begin`, the start of the traffic.
    pub(crate) fn add_fault(
        &mut self,
        begin: Micros,
        fault: &ScriptedFault,
        workers: &[String],
        controllers: &[usize],
    ) {
        let from = begin + fault.at;
        let scope = Scope { from, to: from + fault.span, workers, controllers };
        if let Some(Toggle { on, off }) = toggle(&fault.kind) {
            for worker in workers {
                self.add_worker_fault(scope.from, worker, on.clone());
                self.add_worker_fault(scope.to, worker, off.clone());
            }
        } else if let Some(fault) = momentary(&fault.kind) {
            for worker in workers {
                self.add_worker_fault(scope.from, worker, fault.clone());
            }
        } else {
            self.add_sequence(&fault.kind, &scope);
        }
    }

    /// Adds a fault that consists of several steps or does not concern workers alone.
    fn add_sequence(&mut self, kind: &FaultKind, scope: &Scope) {
        match kind {
            FaultKind::Crash => self.add_crash(scope),
            FaultKind::Unresponsive => {
                for worker in scope.workers {
                    self.add_worker_fault(scope.from, worker, Fault::Unresponsive(true));
                    self.add_worker_fault(scope.to, worker, Fault::Die);
                    self.add_restart(scope.to + RESTART_DELAY, worker);
                }
            }
            FaultKind::RollingRestart(step) => self.add_rolling_restart(*step, scope),
            FaultKind::Cut(zone) => {
                self.add(scope.from, Action::CutZone { zone: zone.clone(), cut: true });
                self.add(scope.to, Action::CutZone { zone: zone.clone(), cut: false });
            }
            FaultKind::StaleList => {
                self.add(scope.from, Action::StaleList(true));
                self.add(scope.to, Action::StaleList(false));
            }
            FaultKind::Kill => self.add_controller_actions(scope, Action::Kill, Action::Start),
            FaultKind::Stop => self.add_controller_actions(scope, Action::Terminate, Action::Start),
            FaultKind::Stall => {
                let stall = |stalled| move |controller| Action::Stall { controller, stalled };
                self.add_controller_actions(scope, stall(true), stall(false));
            }
            FaultKind::SlowStore(factor) => {
                self.add(scope.from, Action::StoreSlowness(*factor));
                self.add(scope.to, Action::StoreSlowness(1.0));
            }
            FaultKind::OneOff(rate) => {
                self.add(scope.from, Action::OneOff { rate: *rate, until: scope.to });
            }
            // Faults of single workers, which `toggle` and `momentary` handle.
            FaultKind::FastErrors(_)
            | FaultKind::Slow(_)
            | FaultKind::StaleReports(_)
            | FaultKind::Hang(_)
            | FaultKind::Refuse
            | FaultKind::SlowHandshakes(_)
            | FaultKind::GoAway
            | FaultKind::CutAfter(_)
            | FaultKind::HalfFrame
            | FaultKind::Release(_) => {}
        }
    }

    fn add_crash(&mut self, scope: &Scope) {
        for worker in scope.workers {
            self.add_worker_fault(scope.from, worker, Fault::Die);
            self.add_list_change(scope.from + self.list_lag, worker, WorkerState::Gone);
            self.add_restart(scope.to, worker);
        }
    }

    /// Restarts one worker after the other, at intervals of `step`. A worker drains for six tenths of this time, and is
    /// down for the next two tenths.
    fn add_rolling_restart(&mut self, step: Micros, scope: &Scope) {
        for (index, worker) in scope.workers.iter().enumerate() {
            let from = scope.from + step * index as Micros;
            let down = from + step * 6 / 10;
            self.add_list_change(from, worker, WorkerState::Draining);
            self.add_worker_fault(down, worker, Fault::Die);
            self.add_list_change(down, worker, WorkerState::Gone);
            self.add_restart(from + step * 8 / 10, worker);
        }
    }

    fn add_controller_actions(
        &mut self,
        scope: &Scope,
        first: impl Fn(usize) -> Action,
        last: impl Fn(usize) -> Action,
    ) {
        for &controller in scope.controllers {
            self.add(scope.from, first(controller));
            self.add(scope.to, last(controller));
        }
    }

    fn add_worker_fault(&mut self, when: Micros, worker: &str, fault: Fault) {
        self.add(when, Action::Fault { worker: worker.to_owned(), fault });
    }

    fn add_list_change(&mut self, when: Micros, worker: &str, state: WorkerState) {
        self.add(when, Action::List { worker: worker.to_owned(), state, restarted: false });
    }

    /// Restarts a worker, and marks it as on in the lists after the list lag.
    fn add_restart(&mut self, when: Micros, worker: &str) {
        self.add_worker_fault(when, worker, Fault::Restart);
        let state = WorkerState::On;
        let list_change = Action::List { worker: worker.to_owned(), state, restarted: true };
        self.add(when + self.list_lag, list_change);
    }
}

/// The start and end of a fault of a worker that lasts for some time; `None` for other kinds.
fn toggle(kind: &FaultKind) -> Option<Toggle> {
    let (on, off) = match kind {
        FaultKind::FastErrors(share) => (Fault::FailFast(*share), Fault::FailFast(0.0)),
        FaultKind::Slow(factor) => (Fault::Slow(*factor), Fault::Slow(1.0)),
        FaultKind::StaleReports(age) => (Fault::StaleReports(*age), Fault::StaleReports(0)),
        FaultKind::Hang(models) => (Fault::Hang(Some(models.clone())), Fault::Hang(None)),
        FaultKind::Refuse => (Fault::Refuse(true), Fault::Refuse(false)),
        FaultKind::SlowHandshakes(delay) => (Fault::SlowHandshake(*delay), Fault::SlowHandshake(0)),
        _ => return None,
    };
    Some(Toggle { on, off })
}

/// The fault of a worker that is injected once and not ended by the run; `None` for other kinds.
fn momentary(kind: &FaultKind) -> Option<Fault> {
    match kind {
        FaultKind::GoAway => Some(Fault::GoAway),
        FaultKind::CutAfter(messages) => Some(Fault::CutAfter(Some(*messages))),
        FaultKind::HalfFrame => Some(Fault::HalfFrame),
        FaultKind::Release(models) => Some(Fault::InvalidateReplicas(models.clone())),
        _ => None,
    }
}
