//! The plan of a run, drawn from its seed: the system-call faults of each controller, and disturbances that overlap in
//! time.

use std::fmt;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::shim::Faults;

/// The size of a run.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of controllers, each a process of its own.
    pub controllers: usize,
    /// Number of workers.
    pub workers: usize,
    /// Number of clients per controller.
    pub clients: usize,
    /// Duration for which clients send requests.
    pub span: Duration,
}

impl Size {
    /// A run of a few seconds for a small machine.
    pub const SMALL: Self = Self { controllers: 6, workers: 4, clients: 3, span: Duration::from_secs(8) };
    /// The default size: some dozens of processes.
    pub const USUAL: Self = Self { controllers: 24, workers: 6, clients: 4, span: Duration::from_secs(14) };
}

/// Optional disturbances in addition to those of every run. They are drawn from a random sequence of their own, so that
/// enabling them leaves the rest of a seed's plan unchanged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Extras {
    /// Clients use their connections until their controller's process has exited, SIGKILL follows SIGTERM as early as
    /// the platform allows, and processes get series of signals.
    pub shutdowns: bool,
    /// Floods of connections: idle connections use up a controller's descriptors, and further ones are closed as soon
    /// as they are open, while the directory is unresponsive.
    pub crowd: bool,
}

/// A series of signals sent to one process within [`SERIES_SPAN`] or during its shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalSeries {
    /// Two SIGHUPs, then SIGTERM.
    ReloadReloadEnd,
    /// A SIGTERM between two SIGHUPs.
    ReloadEndReload,
    /// SIGTERM, then two SIGHUPs.
    EndReloadReload,
    /// Two SIGTERMs.
    EndEnd,
    /// SIGTERM, then SIGHUP during the shutdown.
    ReloadDuringShutdown,
    /// SIGTERM to a new process before it is ready.
    EndBeforeReady,
}

impl SignalSeries {
    /// All series. A plan chooses from them at random.
    const ALL: [Self; 6] = [
        Self::ReloadReloadEnd,
        Self::ReloadEndReload,
        Self::EndReloadReload,
        Self::EndEnd,
        Self::ReloadDuringShutdown,
        Self::EndBeforeReady,
    ];
}

/// Maximum span between the first and the last signal of a series. [`SignalSeries::ReloadDuringShutdown`] may take
/// longer.
pub const SERIES_SPAN: Duration = Duration::from_millis(50);

/// A disturbance and the number of the controller or worker that it affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// A controller gets SIGTERM, and a new process starts after it has exited.
    Restart(usize),
    /// A controller is killed with SIGKILL, and a new process starts.
    Kill(usize),
    /// A controller gets a new configuration and SIGHUP. If `true`, it first gets SIGHUP with the file half written.
    Reload(usize, bool),
    /// A controller gets several SIGHUPs and then SIGTERM, and a new process starts.
    ReloadsThenRestart(usize),
    /// A controller is suspended with SIGSTOP for this span.
    Freeze(usize, Duration),
    /// A worker drains, is replaced by a new process at the same address, and returns to service.
    RollingReplace(usize),
    /// A worker's process crashes and restarts before the directory's list announces it.
    Crash(usize),
    /// A worker's process handles no commands for this span.
    Hang(usize, Duration),
    /// A worker's network drops all bytes for this span. Its connections are then reset.
    Blackhole(usize, Duration),
    /// A worker's connections are reset (`true`) or shut down orderly (`false`).
    Reset(usize, bool),
    /// A worker answers some calls as crashed for this span.
    Fail(usize, Duration),
    /// A worker's answers are delayed and split into small writes for this span.
    Slow(usize, Duration),
    /// The directory does not answer for this span.
    DirectoryUnresponsive(Duration),
    /// The directory delays its answers by this span, for four times as long.
    DirectorySlow(Duration),
    /// A controller gets a series of signals with this gap between them, and a new process starts after it has exited.
    Signals(usize, SignalSeries, Duration),
    /// Idle connections use up a controller's descriptors while further connections are opened and closed and the
    /// directory is unresponsive, for this span.
    ConnectionFlood(usize, Duration),
}

/// The plan of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed that the plan is drawn from.
    pub seed: u64,
    /// Numbers of processes and clients, and the duration.
    pub size: Size,
    /// The optional disturbances that are enabled.
    pub extras: Extras,
    /// System-call faults of each controller, by its number.
    pub faults: Vec<Faults>,
    /// Disturbances with their start times, in order of time.
    pub disturbances: Vec<(Duration, Disturbance)>,
}

/// Span at the beginning of a run, so that all controllers are ready, and before clients stop, in which no group of
/// disturbances starts.
const QUIET_SPAN: Duration = Duration::from_millis(1_500);
/// Disturbances of one group start within this many milliseconds of each other, so that they overlap.
const GROUP_SPAN_MS: u64 = 400;
/// Combined with the seed, so that optional disturbances are drawn from a random sequence of their own.
const EXTRAS_SALT: u64 = 0x5eed_0e87_7a50_0001;

impl Plan {
    /// Draws the plan of a seed without optional disturbances. `shims` enables system-call faults in controllers.
    pub fn draw(seed: u64, size: Size, shims: bool) -> Self {
        Self::draw_with(seed, size, shims, Extras::default())
    }

    /// Draws the plan of a seed with the optional disturbances `extras`. `shims` enables system-call faults in
    /// controllers.
    pub fn draw_with(seed: u64, size: Size, shims: bool, extras: Extras) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let faults = (0..size.controllers)
            .map(|number| if shims { faults(&mut random, number) } else { Faults::default() })
            .collect();
        let mut disturbances = Vec::new();
        let last = size.span.saturating_sub(QUIET_SPAN).as_millis() as u64;
        let mut at = QUIET_SPAN.as_millis() as u64;
        while at < last {
            for _ in 0..random.random_range(2..4) {
                let start = at + random.random_range(0..GROUP_SPAN_MS);
                disturbances.push((Duration::from_millis(start), disturbance(&mut random, size)));
            }
            at += random.random_range(300..1_200);
        }
        disturbances.extend(extra_disturbances(seed, size, extras));
        disturbances.sort_by_key(|(at, _)| *at);
        Self { seed, size, extras, faults, disturbances }
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { seed, size, extras, faults, disturbances } = self;
        writeln!(out, "plan of seed {seed}: {size:?}, {extras:?}")?;
        for (number, faults) in faults.iter().enumerate().filter(|(_, f)| **f != Faults::default()) {
            writeln!(out, "  controller {number}: {faults:?}")?;
        }
        disturbances.iter().try_for_each(|(at, disturbance)| writeln!(out, "  {at:?} {disturbance:?}"))
    }
}

/// Draws the system-call faults of a controller. A third of the controllers gets none, for comparison within a run.
fn faults(random: &mut ChaCha8Rng, number: usize) -> Faults {
    if number.is_multiple_of(3) {
        return Faults::default();
    }
    let mut rate_or_zero = |max: u32| if random.random_bool(0.5) { random.random_range(1..=max) } else { 0 };
    let mut faults = Faults {
        short: rate_or_zero(300),
        interrupt: rate_or_zero(100),
        accept: rate_or_zero(150),
        socket: rate_or_zero(40),
        connect: rate_or_zero(60),
        first_connects: 0,
        broken: rate_or_zero(5),
        start: rate_or_zero(6),
        log: rate_or_zero(300),
        signal: rate_or_zero(500),
        clock: None,
    };
    if random.random_bool(0.4) {
        let steps = [3_000, -3_000, 3_600_000, -3_600_000];
        let by = steps[random.random_range(0..steps.len())];
        faults.clock = Some((random.random_range(0..4_000), by));
    }
    faults
}

fn extra_disturbances(seed: u64, size: Size, extras: Extras) -> Vec<(Duration, Disturbance)> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ EXTRAS_SALT);
    let last = size.span.saturating_sub(QUIET_SPAN).as_millis() as u64;
    let mut disturbances = Vec::new();
    if extras.shutdowns {
        let mut at = QUIET_SPAN.as_millis() as u64;
        while at < last {
            let controller = random.random_range(0..size.controllers);
            let series = SignalSeries::ALL[random.random_range(0..SignalSeries::ALL.len())];
            let gap = Duration::from_millis(random.random_range(0..SERIES_SPAN.as_millis() as u64 / 2));
            disturbances.push((Duration::from_millis(at), Disturbance::Signals(controller, series, gap)));
            at += random.random_range(400..1_500);
        }
    }
    if extras.crowd {
        let start = random.random_range(QUIET_SPAN.as_millis() as u64..last);
        let span = Duration::from_millis(random.random_range(1_000..3_000));
        let controller = random.random_range(0..size.controllers);
        disturbances.push((Duration::from_millis(start), Disturbance::ConnectionFlood(controller, span)));
    }
    disturbances
}

fn disturbance(random: &mut ChaCha8Rng, size: Size) -> Disturbance {
    let controller = random.random_range(0..size.controllers);
    let worker = random.random_range(0..size.workers);
    let span = Duration::from_millis(random.random_range(200..1_500));
    match random.random_range(0..20) {
        0..3 => Disturbance::Restart(controller),
        3 => Disturbance::Kill(controller),
        4..6 => Disturbance::Reload(controller, random.random()),
        6 => Disturbance::ReloadsThenRestart(controller),
        7 => Disturbance::Freeze(controller, Duration::from_millis(random.random_range(50..400))),
        8..11 => Disturbance::RollingReplace(worker),
        11 => Disturbance::Crash(worker),
        12 => Disturbance::Hang(worker, span),
        13 => Disturbance::Blackhole(worker, span),
        14..16 => Disturbance::Reset(worker, random.random()),
        16 => Disturbance::Fail(worker, span),
        17 => Disturbance::Slow(worker, span),
        18 => Disturbance::DirectoryUnresponsive(span),
        _ => Disturbance::DirectorySlow(span.min(Duration::from_millis(350))),
    }
}
