//! Termination of controller processes: the signals, the wait for the exit, and SIGKILL at the end of the wait.

use std::io;
use std::process::ExitStatus;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use rustix::process::Signal;

use super::{Controller, Fleet, Phase};
use crate::audit::Audit;
use crate::directory::Directory;
use crate::plan::SignalSeries;

/// Span between SIGTERM and SIGKILL in runs without extra shutdowns: 3 s, even if no deadline is that long, plus 0.7 s.
pub const KILL_AFTER: Duration = Duration::from_millis(3_700);
/// Shortest span between SIGTERM and SIGKILL that the platform allows: the longest deadline of a class, here
/// [`DEADLINE`](super::DEADLINE) and at most 3 s, plus 0.7 s.
pub const EARLIEST_KILL: Duration = Duration::from_millis(2_700);

/// The result of terminating a controller.
#[derive(Clone, Copy, Debug)]
pub enum TerminationOutcome {
    /// The process exited in time, with this status.
    Exited(ExitStatus),
    /// The process had not exited in time and was killed, as the platform does.
    Killed,
    /// The controller was not in service, as during another disturbance. Nothing was done.
    NotServing,
}

/// The exit of a process that was asked to exit.
#[derive(Clone, Copy, Debug)]
pub struct ProcessEnd {
    /// The last moment at which the process was observed running.
    pub earliest: Instant,
    /// The moment at which its exit was observed.
    pub latest: Instant,
    /// Whether it was killed for not exiting in time.
    pub killed: bool,
    /// The time at which the test suspended it with SIGSTOP. `None` if it was not suspended at its exit.
    pub stopped_since: Option<Instant>,
}

impl ProcessEnd {
    /// Whether the exit may be why a connection ended whose end was observed at `ended`. It is not if the process was
    /// seen running after that: then the process closed the connection itself.
    pub fn may_have_closed(&self, ended: Instant) -> bool {
        ended >= self.earliest
    }
}

/// A procedure that makes a process exit: signals, and SIGKILL if it is still running later.
#[derive(Clone, Debug)]
pub struct Termination {
    /// Signals, each with the delay after the one before.
    pub signals: Vec<(Duration, Signal)>,
    /// Span between the first SIGTERM and SIGKILL.
    pub kill_after: Duration,
}

impl Termination {
    /// Creates a termination with a single SIGTERM.
    pub fn plain(kill_after: Duration) -> Self {
        Self { signals: vec![(Duration::ZERO, Signal::TERM)], kill_after }
    }

    /// Creates a termination with a series of signals, each `gap` after the one before. `middle` is the delay after
    /// SIGTERM at which [`SignalSeries::ReloadDuringShutdown`] sends SIGHUP.
    pub fn series(series: SignalSeries, gap: Duration, middle: Duration, kill_after: Duration) -> Self {
        let (hup, term) = (Signal::HUP, Signal::TERM);
        let signals = match series {
            SignalSeries::ReloadReloadEnd => vec![(Duration::ZERO, hup), (gap, hup), (gap, term)],
            SignalSeries::ReloadEndReload => vec![(Duration::ZERO, hup), (gap, term), (gap, hup)],
            SignalSeries::EndReloadReload => vec![(Duration::ZERO, term), (gap, hup), (gap, hup)],
            SignalSeries::EndEnd => vec![(Duration::ZERO, term), (gap, term)],
            SignalSeries::ReloadDuringShutdown => vec![(Duration::ZERO, term), (middle, hup)],
            SignalSeries::EndBeforeReady => vec![(Duration::ZERO, term)],
        };
        Self { signals, kill_after }
    }
}

impl Controller {
    /// Returns the exit of the last process that was asked to exit, if there was one.
    pub fn last_end(&self) -> Option<ProcessEnd> {
        *self.last_end.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_end(&self, earliest: Instant, killed: bool) {
        let stopped_since = *self.stopped_since.lock().unwrap_or_else(PoisonError::into_inner);
        let end = ProcessEnd { earliest, latest: Instant::now(), killed, stopped_since };
        *self.last_end.lock().unwrap_or_else(PoisonError::into_inner) = Some(end);
    }

    /// Starts a process, sends SIGTERM when the span `after` has passed, and waits for its exit. Returns its status, or
    /// `None` if it was killed because it still ran `kill_after` later.
    pub fn end_before_ready(
        &self,
        fleet: Fleet,
        directory: &Arc<Directory>,
        audit: &Arc<Audit>,
        after: Duration,
        kill_after: Duration,
    ) -> io::Result<Option<ExitStatus>> {
        self.launch(fleet, directory, audit)?;
        std::thread::sleep(after);
        self.signal(Signal::TERM);
        audit.incident(self.number, "SIGTERM before it is ready");
        self.wait_or_kill(Instant::now() + kill_after)
    }

    /// Changes the state of a controller that is in service to `phase`. Returns false if it was not in service, so that
    /// only one disturbance at a time starts or ends its processes.
    fn leave_service(&self, phase: Phase) -> bool {
        let mut state = self.state();
        let was_serving = state.phase == Phase::Serving;
        if was_serving {
            state.phase = phase;
        }
        was_serving
    }

    /// Kills the process as a disturbance, after which its open requests need no answer. Returns false if the
    /// controller was not in service.
    pub fn kill(&self, audit: &Audit) -> bool {
        if !self.leave_service(Phase::Down) {
            return false;
        }
        self.kills.fetch_add(1, Ordering::AcqRel);
        audit.incident(self.number, "SIGKILL");
        let mut state = self.state();
        if let Some(mut child) = state.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        true
    }

    /// Sends the signals of `termination` and waits until the process has exited. At the end of its `kill_after`, it
    /// kills the process, as the platform does.
    pub fn terminate(&self, termination: &Termination, audit: &Audit) -> io::Result<TerminationOutcome> {
        if !self.leave_service(Phase::Ending) {
            return Ok(TerminationOutcome::NotServing);
        }
        let mut kill_at = None;
        for (after, signal) in &termination.signals {
            std::thread::sleep(*after);
            audit.incident(self.number, format!("signal {signal:?}"));
            self.signal(*signal);
            if *signal == Signal::TERM {
                kill_at = kill_at.or(Some(Instant::now() + termination.kill_after));
            }
        }
        let kill_at = kill_at.unwrap_or_else(Instant::now);
        let status = self.wait_or_kill(kill_at)?;
        let description = status.map_or_else(|| "killed".to_owned(), |status| format!("exited ({status})"));
        audit.incident(self.number, description);
        Ok(status.map_or(TerminationOutcome::Killed, TerminationOutcome::Exited))
    }

    /// Waits until the process has exited and returns its status. At `kill_at`, it kills the process, as the platform
    /// does, and returns `None`. Requests that are unanswered then count as lost, unless they were sent just before.
    fn wait_or_kill(&self, kill_at: Instant) -> io::Result<Option<ExitStatus>> {
        let mut last_running = Instant::now();
        while Instant::now() < kill_at {
            let before = Instant::now();
            if let Some(status) = self.exit_status()? {
                self.record_end(last_running, false);
                let mut state = self.state();
                (state.phase, state.child) = (Phase::Down, None);
                return Ok(Some(status));
            }
            last_running = before;
            std::thread::sleep(Duration::from_millis(5));
        }
        let child = self.state().child.take();
        if let Some(mut child) = child {
            let before = Instant::now();
            child.kill()?;
            child.wait()?;
            self.record_end(before, true);
        }
        self.state().phase = Phase::Down;
        Ok(None)
    }
}
