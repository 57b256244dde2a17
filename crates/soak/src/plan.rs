//! What a run holds, drawn from its seed: which faults each controller meets, and disturbances that overlap in time.

use std::fmt;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::shim::Faults;

/// How large a run is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Controllers: one process each.
    pub controllers: usize,
    /// Workers.
    pub workers: usize,
    /// Clients of each controller.
    pub clients: usize,
    /// How long clients ask.
    pub span: Duration,
}

impl Size {
    /// One for a check of a few seconds on a small machine.
    pub const SMALL: Self = Self { controllers: 6, workers: 4, clients: 3, span: Duration::from_secs(8) };
    /// Some dozens of processes.
    pub const USUAL: Self = Self { controllers: 24, workers: 6, clients: 4, span: Duration::from_secs(14) };
}

/// What a run holds besides the disturbances of its seed. Each is drawn apart, so that it changes nothing of what the seed
/// holds without it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Extras {
    /// Clients use their connections until their controller's process is gone, SIGKILL comes at the earliest moment that
    /// the platform allows after SIGTERM, and signals come in series.
    pub shutdowns: bool,
    /// Idle clients up to the descriptors' limit, and connections that come and go, while the directory is unresponsive.
    pub crowd: bool,
}

/// Signals that come to one process within [`SERIES_SPAN`], or while it shuts down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalSeries {
    /// SIGHUP, SIGHUP, SIGTERM.
    ReloadReloadEnd,
    /// SIGHUP, SIGTERM, SIGHUP.
    ReloadEndReload,
    /// SIGTERM, SIGHUP, SIGHUP.
    EndReloadReload,
    /// SIGTERM twice.
    EndEnd,
    /// SIGTERM, and SIGHUP in the middle of the shutdown.
    ReloadDuringShutdown,
    /// SIGTERM to a new process before it is ready.
    EndBeforeReady,
}

impl SignalSeries {
    /// All of them.
    const ALL: [Self; 6] = [
        Self::ReloadReloadEnd,
        Self::ReloadEndReload,
        Self::EndReloadReload,
        Self::EndEnd,
        Self::ReloadDuringShutdown,
        Self::EndBeforeReady,
    ];
}

/// Signals of a series come within this span.
pub const SERIES_SPAN: Duration = Duration::from_millis(50);

/// What happens to whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// SIGTERM to a controller, and a new process after its end.
    Restart(usize),
    /// SIGKILL to a controller, and a new process.
    Kill(usize),
    /// A new configuration and SIGHUP; `true`: half written at first, with a SIGHUP of its own.
    Reload(usize, bool),
    /// SIGHUP several times in a row, then SIGTERM, and a new process.
    ReloadsThenRestart(usize),
    /// A controller is stopped for a while and goes on.
    Freeze(usize, Duration),
    /// A worker drains, is replaced by a new process at the same address, and takes calls again.
    RollingReplace(usize),
    /// A worker's process dies and comes back, before the list tells.
    Crash(usize),
    /// A worker's process looks at nothing for a while.
    Hang(usize, Duration),
    /// A worker's network drops all bytes for a while.
    Blackhole(usize, Duration),
    /// A worker's connections are reset (`true`) or ended.
    Reset(usize, bool),
    /// A worker fails some calls for a while.
    Fail(usize, Duration),
    /// A worker's answers are late and come in pieces for a while.
    Slow(usize, Duration),
    /// The directory does not answer for a while.
    DirectoryUnresponsive(Duration),
    /// The directory answers late for a while.
    DirectorySlow(Duration),
    /// A controller gets signals in a row, the second and third so long after the one before; a new process follows.
    Signals(usize, SignalSeries, Duration),
    /// A controller's descriptors are filled by idle clients, and connections come and go, while the directory is unresponsive.
    ConnectionFlood(usize, Duration),
}

/// A run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its seed.
    pub seed: u64,
    /// Its size.
    pub size: Size,
    /// What it holds besides the disturbances of its seed.
    pub extras: Extras,
    /// Faults of each controller's system calls.
    pub faults: Vec<Faults>,
    /// Disturbances and when they begin.
    pub disturbances: Vec<(Duration, Disturbance)>,
}

/// Disturbances begin no sooner, so that all controllers are ready, and end so long before clients stop.
const QUIET: Duration = Duration::from_millis(1_500);
/// Disturbances that meet begin within so many milliseconds of each other.
const MEETING_MS: u64 = 400;
/// Extra disturbances are drawn from the seed and this.
const EXTRAS_SALT: u64 = 0x5eed_0e87_7a50_0001;

impl Plan {
    /// The run of a seed. `shims`: controllers meet faults of their system calls.
    pub fn draw(seed: u64, size: Size, shims: bool) -> Self {
        Self::draw_with(seed, size, shims, Extras::default())
    }

    /// The run of a seed with extra disturbances.
    pub fn draw_with(seed: u64, size: Size, shims: bool, extras: Extras) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let faults = (0..size.controllers)
            .map(|number| if shims { faults(&mut random, number) } else { Faults::default() })
            .collect();
        let mut disturbances = Vec::new();
        let last = size.span.saturating_sub(QUIET).as_millis() as u64;
        let mut at = QUIET.as_millis() as u64;
        while at < last {
            for _ in 0..random.random_range(2..4) {
                let begins = at + random.random_range(0..MEETING_MS);
                disturbances.push((Duration::from_millis(begins), disturbance(&mut random, size)));
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

/// A third of the controllers meets none, so that each run has what to compare with.
fn faults(random: &mut ChaCha8Rng, number: usize) -> Faults {
    if number.is_multiple_of(3) {
        return Faults::default();
    }
    let mut some = |most: u32| if random.random_bool(0.5) { random.random_range(1..=most) } else { 0 };
    let mut faults = Faults {
        short: some(300),
        interrupt: some(100),
        accept: some(150),
        socket: some(40),
        connect: some(60),
        first_connects: 0,
        broken: some(5),
        start: some(6),
        log: some(300),
        signal: some(500),
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
    let last = size.span.saturating_sub(QUIET).as_millis() as u64;
    let mut all = Vec::new();
    if extras.shutdowns {
        let mut at = QUIET.as_millis() as u64;
        while at < last {
            let controller = random.random_range(0..size.controllers);
            let series = SignalSeries::ALL[random.random_range(0..SignalSeries::ALL.len())];
            let gap = Duration::from_millis(random.random_range(0..SERIES_SPAN.as_millis() as u64 / 2));
            all.push((Duration::from_millis(at), Disturbance::Signals(controller, series, gap)));
            at += random.random_range(400..1_500);
        }
    }
    if extras.crowd {
        let begins = random.random_range(QUIET.as_millis() as u64..last);
        let span = Duration::from_millis(random.random_range(1_000..3_000));
        let controller = random.random_range(0..size.controllers);
        all.push((Duration::from_millis(begins), Disturbance::ConnectionFlood(controller, span)));
    }
    all
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
