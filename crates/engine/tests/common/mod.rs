//! A harness that runs the engine on a simulated clock.
#![allow(dead_code)]

use bytes::Bytes;
use nettleferry::{
    Class, ClassId, Effect, KeyScope, Limits, ListForm, Loading, Micros, Report, Reports, Rules, Settings,
    WorkerState,
};
use nettleferry_engine::*;

pub(crate) const MS: Micros = 1_000;

pub(crate) fn settings() -> Settings {
    let class = |effect| Class {
        latency_objective: 600 * MS,
        deadline: 4_000 * MS,
        effect,
        priority_weight: 1.0,
        late_share: 0.3,
        stream: false,
    };
    let mut settings = Settings {
        controllers: 1,
        classes: vec![
            class(Effect::Idempotent),
            class(Effect::NonIdempotent),
            class(Effect::IdempotencyKey { scope: KeyScope::Zone, window: 1_000 * MS }),
        ],
        reports: Reports::Answers,
        event_interval: MS,
        ..Settings::default()
    };
    settings.limits = Limits {
        max_attempts: 3,
        probes: true,
        cancel: true,
        connect_timeout: 250 * MS,
        ..Limits::default()
    };
    settings.loading = Loading {
        keep_alive: 8_000 * MS,
        orders: true,
        order_timeout: 10_000 * MS,
        notes: true,
        ..Loading::default()
    };
    settings.rules = Rules {
        start_capacity: 0.2,
        warm_up: 1_000 * MS,
        overload_factor: 2.0,
        overload_span: 500 * MS,
        ..Rules::default()
    };
    settings
}

pub(crate) fn member(name: &str, state: WorkerState) -> Member {
    Member {
        name: name.into(),
        zone: if name.ends_with('1') { "a" } else { "b" }.into(),
        kind: "std".into(),
        weight: 1.0,
        cell: "c".into(),
        state,
        started_at: None,
    }
}

/// The engine with a simulated clock and the commands that are not yet executed.
pub(crate) struct EngineHarness {
    pub(crate) engine: Engine,
    pub(crate) now: Micros,
    pub(crate) commands: Vec<Command>,
}

impl EngineHarness {
    pub(crate) fn new(workers: &[&str], limits: EngineLimits) -> Self {
        Self::with(settings(), workers, limits)
    }

    pub(crate) fn with(settings: Settings, workers: &[&str], limits: EngineLimits) -> Self {
        let engine = Engine::new(settings, Some("a"), limits, 7).expect("valid settings");
        let mut harness = Self { engine, now: 1_000_000 * MS, commands: Vec::new() };
        let members = workers.iter().map(|w| member(w, WorkerState::On)).collect();
        harness.handle(Event::Workers { form: ListForm::Complete, members });
        harness
    }

    pub(crate) fn handle(&mut self, event: Event) -> Vec<Command> {
        self.engine.handle(self.now, event, &mut self.commands);
        self.commands_with_probes_answered()
    }

    /// Returns the pending commands after answering each health check at once, as a worker with little load would.
    pub(crate) fn commands_with_probes_answered(&mut self) -> Vec<Command> {
        let mut all: Vec<Command> = Vec::new();
        loop {
            let mut probes = Vec::new();
            for command in std::mem::take(&mut self.commands) {
                match command {
                    Command::Probe { request_id, .. } => probes.push(request_id),
                    other => all.push(other),
                }
            }
            if probes.is_empty() {
                return all;
            }
            for request_id in probes {
                let report = Some(Report { util: Some(0.1), inflight: Some(0.0), ..Report::default() });
                let event = Event::ProbeEnded { request_id, end: AttemptEnd::Served, load_report: report };
                self.engine.handle(self.now, event, &mut self.commands);
            }
        }
    }

    pub(crate) fn open(&mut self, class: usize, streamed: bool) -> (CallId, Vec<Command>) {
        let open = NewCall {
            front_token: 77,
            class: ClassId(class),
            tenant: None,
            model: "echo".into(),
            version: "".into(),
            time_left: 4_000 * MS,
            cost_hint: None,
            lanes: 2,
            load_time: None,
            is_retry: false,
            has_idempotency_key: true,
            group: 0,
            streamed,
            body: Bytes::from_static(b"request"),
        };
        let call = self.engine.open(self.now, open, &mut self.commands);
        (call, self.commands_with_probes_answered())
    }

    /// Advances the clock by `span`, stopping at each timer that is due, and returns all commands.
    pub(crate) fn advance(&mut self, span: Micros) -> Vec<Command> {
        let until = self.now + span;
        let mut all = Vec::new();
        while let Some(at) = self.engine.next_timer().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            all.extend(self.handle(Event::Tick));
        }
        self.now = until;
        all.extend(self.handle(Event::Tick));
        all
    }
}

pub(crate) fn started(commands: &[Command]) -> Option<AttemptId> {
    commands.iter().find_map(|c| match c {
        Command::Start { attempt, .. } => Some(*attempt),
        _ => None,
    })
}

pub(crate) fn answer(commands: &[Command]) -> Option<FinalAnswer> {
    commands.iter().find_map(|c| match c {
        Command::Answer { answer, .. } => Some(answer.clone()),
        _ => None,
    })
}

pub(crate) fn attempt_ended(attempt: AttemptId, end: AttemptEnd) -> Event {
    Event::AttemptEnded { attempt, end, report: AttemptReport::default() }
}

pub(crate) fn part(attempt: AttemptId, last: bool) -> Event {
    Event::ResponsePart { attempt, payload: Bytes::from_static(b"part"), last }
}
