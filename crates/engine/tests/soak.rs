//! Five minutes of simulated time with a steady supply of new calls, models and workers. The number of entries that the
//! engine keeps must not grow.

use std::collections::BTreeMap;

use bytes::Bytes;
use nettleferry::{
    Class, ClassId, Effect, Limits, ListForm, LoadNote, Loading, Micros, Rules, Settings, WhenAbsent,
    WorkerState,
};
use nettleferry_engine::*;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

fn settings() -> Settings {
    let class = |effect| Class {
        latency_objective: 600 * MS,
        deadline: 4 * S,
        effect,
        priority_weight: 1.0,
        late_share: 0.2,
        stream: false,
    };
    Settings {
        controllers: 1,
        classes: vec![class(Effect::Idempotent), class(Effect::NonIdempotent)],
        event_interval: 4 * MS,
        loading: Loading {
            when_absent: WhenAbsent::Miss,
            keep_alive: 10 * S,
            orders: true,
            order_timeout: 10 * S,
            notes: true,
            ..Loading::default()
        },
        limits: Limits {
            max_attempts: 3,
            probes: true,
            cancel: true,
            connect_timeout: 250 * MS,
            ..Limits::default()
        },
        rules: Rules {
            start_capacity: 0.2,
            warm_up: 15 * S,
            overload_factor: 2.5,
            overload_span: 2 * S,
            ..Rules::default()
        },
        ..Settings::default()
    }
}

/// A seeded linear congruential generator, so that the test needs no crate for random numbers.
fn dice(state: &mut u64, sides: u64) -> u64 {
    *state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    (*state >> 33) % sides
}

/// Limit on the models that the engine keeps.
const MODELS: usize = 500;
const ROUNDS: u64 = 15_000;
const ROUND: Micros = 20 * MS;
/// Rounds of a flood of new models.
const FLOOD_ROUNDS: u64 = 3_000;
/// Rounds after which the oldest worker is replaced by one with a new name.
const ROUNDS_PER_WORKER: u64 = 250;
const ROUNDS_PER_SAMPLE: u64 = 500;

/// Events that are due at a time, in the order in which they were scheduled.
type Schedule = BTreeMap<(Micros, u64), Event>;

/// The engine with workers that answer at random.
struct Soak {
    engine: Engine,
    now: Micros,
    seed: u64,
    commands: Vec<Command>,
    pending: Schedule,
    sequence: u64,
    answers: u64,
}

impl Soak {
    fn new() -> Self {
        let limits = EngineLimits { models: MODELS, ..EngineLimits::default() };
        Self {
            engine: Engine::new(settings(), None, limits, 7).expect("valid settings"),
            now: 100 * S,
            seed: 11,
            commands: Vec::new(),
            pending: BTreeMap::new(),
            sequence: 0,
            answers: 0,
        }
    }

    fn handle(&mut self, event: Event) {
        self.engine.handle(self.now, event, &mut self.commands);
    }

    /// Lists six workers, numbered from `oldest` on.
    fn list_workers(&mut self, oldest: u64) {
        let started_at = (oldest > 0).then_some(self.now);
        let member = |n: u64| Member {
            name: format!("s-{n}"),
            zone: "east".into(),
            kind: "std".into(),
            weight: 1.0,
            cell: format!("c-{}", n % 3),
            state: WorkerState::On,
            started_at,
        };
        let members = (oldest..oldest + 6).map(member).collect();
        self.handle(Event::Workers { form: ListForm::Complete, members });
    }

    /// Opens a call. One call in three is for a model that was never called before.
    fn open_call(&mut self, round: u64) {
        let model = if dice(&mut self.seed, 3) == 0 {
            format!("new-{round}")
        } else {
            format!("f-{}", dice(&mut self.seed, 40))
        };
        self.open_call_of(round, &model);
    }

    fn open_call_of(&mut self, round: u64, model: &str) {
        let new_call = NewCall {
            front_token: round,
            class: ClassId(dice(&mut self.seed, 2) as usize),
            tenant: None,
            model: model.into(),
            version: "".into(),
            time_left: 2 * S,
            cost_hint: None,
            lanes: 4,
            load_time: Some(300 * MS),
            is_retry: false,
            has_idempotency_key: true,
            group: 0,
            streamed: false,
            body: Bytes::from_static(b"x"),
        };
        self.engine.open(self.now, new_call, &mut self.commands);
    }

    fn schedule(&mut self, after: Micros, event: Event) {
        self.sequence += 1;
        self.pending.insert((self.now + after, self.sequence), event);
    }

    /// Executes commands and handles due events until none are left.
    fn settle(&mut self) {
        loop {
            for command in std::mem::take(&mut self.commands) {
                self.execute(command);
            }
            match self.pending.first_key_value() {
                Some((&(at, _), _)) if at <= self.now => {
                    let Some((_, event)) = self.pending.pop_first() else { break };
                    self.handle(event);
                }
                _ if self.commands.is_empty() => break,
                _ => {}
            }
        }
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::Start { attempt, .. } => self.execute_attempt(attempt),
            Command::Load { request_id, .. } => {
                let failed = dice(&mut self.seed, 8) == 0;
                let end = if failed { AttemptEnd::Broken } else { AttemptEnd::Served };
                self.schedule(300 * MS, Event::LoadEnded { request_id, end, replicas: 1 });
            }
            Command::Probe { request_id, .. } => {
                let end = AttemptEnd::Served;
                self.schedule(2 * MS, Event::ProbeEnded { request_id, end, load_report: None });
            }
            Command::Answer { .. } => self.answers += 1,
            _ => {}
        }
    }

    /// Schedules the end of an attempt: mostly served, sometimes a miss, a rejection, an error or a broken connection.
    /// One attempt in twenty never ends.
    fn execute_attempt(&mut self, attempt: AttemptId) {
        let end = match dice(&mut self.seed, 20) {
            0 => return,
            1 => AttemptEnd::Broken,
            2 => AttemptEnd::Status { message: String::new() },
            3 => AttemptEnd::MarkedFull,
            4..=6 => AttemptEnd::MarkedMiss,
            _ => AttemptEnd::Served,
        };
        if end == AttemptEnd::Served {
            let payload = Bytes::from_static(b"y");
            self.handle(Event::ResponsePart { attempt, payload, last: true });
        }
        let report = AttemptReport { load_note: Some(LoadNote::Warm), ..AttemptReport::default() };
        self.schedule(60 * MS, Event::AttemptEnded { attempt, end, report });
    }
}

#[test]
fn memory_stays_bounded_when_every_call_is_new() {
    let mut soak = Soak::new();
    let mut samples = Vec::new();
    for round in 0..ROUNDS {
        soak.now += ROUND;
        if round % ROUNDS_PER_WORKER == 0 {
            soak.list_workers(round / ROUNDS_PER_WORKER);
        }
        soak.open_call(round);
        soak.settle();
        soak.handle(Event::Tick);
        if round % ROUNDS_PER_SAMPLE == ROUNDS_PER_SAMPLE - 1 {
            samples.push(soak.engine.remembered());
        }
    }
    assert_eq!(soak.answers + soak.engine.open_calls() as u64, ROUNDS, "one final answer per call");
    let (first, last) = samples.split_at(samples.len() / 2);
    let largest = |half: &[usize]| half.iter().copied().max().unwrap_or(0);
    assert!(largest(last) <= largest(first) * 11 / 10, "{samples:?}");
}

#[test]
fn flood_of_new_models_leaves_no_more_functions_than_the_limit() {
    let mut soak = Soak::new();
    soak.list_workers(0);
    for round in 0..FLOOD_ROUNDS {
        soak.now += MS;
        soak.open_call_of(round, &format!("new-{round}"));
        soak.settle();
        soak.handle(Event::Tick);
        let functions = soak.engine.functions();
        let allowed = MODELS + soak.engine.open_calls() + MODELS / 16;
        assert!(functions <= allowed, "{functions} functions after {round} models, {allowed} are allowed");
    }
}
