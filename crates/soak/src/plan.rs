//! What a run holds, drawn from its seed: which faults each controller meets, and troubles that overlap in time.

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

/// What happens to whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
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
    Roll(usize),
    /// A worker's process dies and comes back, before the list tells.
    Crash(usize),
    /// A worker's process looks at nothing for a while.
    Hang(usize, Duration),
    /// A worker's network drops all bytes for a while.
    Silence(usize, Duration),
    /// A worker's connections are reset (`true`) or ended.
    Reset(usize, bool),
    /// A worker fails some calls for a while.
    Fail(usize, Duration),
    /// A worker's answers are late and come in pieces for a while.
    Slow(usize, Duration),
    /// The directory does not answer for a while.
    DirectorySilent(Duration),
    /// The directory answers late for a while.
    DirectorySlow(Duration),
}

/// A run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its seed.
    pub seed: u64,
    /// Its size.
    pub size: Size,
    /// Faults of each controller's system calls.
    pub faults: Vec<Faults>,
    /// Troubles and when they begin.
    pub troubles: Vec<(Duration, Trouble)>,
}

/// Troubles begin no sooner, so that all controllers are ready, and end so long before clients stop.
const QUIET: Duration = Duration::from_millis(1_500);
/// Troubles that meet begin within so many milliseconds of each other.
const MEETING_MS: u64 = 400;

impl Plan {
    /// The run of a seed. `shims`: controllers meet faults of their system calls.
    pub fn draw(seed: u64, size: Size, shims: bool) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let faults = (0..size.controllers)
            .map(|number| if shims { faults(&mut random, number) } else { Faults::default() })
            .collect();
        let mut troubles = Vec::new();
        let last = size.span.saturating_sub(QUIET).as_millis() as u64;
        let mut at = QUIET.as_millis() as u64;
        while at < last {
            for _ in 0..random.random_range(2..4) {
                let begins = at + random.random_range(0..MEETING_MS);
                troubles.push((Duration::from_millis(begins), trouble(&mut random, size)));
            }
            at += random.random_range(300..1_200);
        }
        troubles.sort_by_key(|(at, _)| *at);
        Self { seed, size, faults, troubles }
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

fn trouble(random: &mut ChaCha8Rng, size: Size) -> Trouble {
    let controller = random.random_range(0..size.controllers);
    let worker = random.random_range(0..size.workers);
    let span = Duration::from_millis(random.random_range(200..1_500));
    match random.random_range(0..20) {
        0..3 => Trouble::Restart(controller),
        3 => Trouble::Kill(controller),
        4..6 => Trouble::Reload(controller, random.random()),
        6 => Trouble::ReloadsThenRestart(controller),
        7 => Trouble::Freeze(controller, Duration::from_millis(random.random_range(50..400))),
        8..11 => Trouble::Roll(worker),
        11 => Trouble::Crash(worker),
        12 => Trouble::Hang(worker, span),
        13 => Trouble::Silence(worker, span),
        14..16 => Trouble::Reset(worker, random.random()),
        16 => Trouble::Fail(worker, span),
        17 => Trouble::Slow(worker, span),
        18 => Trouble::DirectorySilent(span),
        _ => Trouble::DirectorySlow(span.min(Duration::from_millis(350))),
    }
}
