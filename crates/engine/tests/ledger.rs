//! The engine with a made-up clock: what each client gets, and that it gets it once.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use nettleferry::{
    Class, ClassId, Effect, KeyScope, Limits, ListForm, Loading, Micros, Report, Reports, Rules, Settings,
};
use nettleferry::{WhenAbsent, WorkerState};
use nettleferry_engine::*;
use proptest::prelude::*;

const MS: Micros = 1_000;

fn settings() -> Settings {
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
        step: MS,
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

fn member(name: &str, state: WorkerState) -> Member {
    Member {
        name: name.into(),
        zone: if name.ends_with('1') { "a" } else { "b" }.into(),
        kind: "std".into(),
        weight: 1.0,
        cell: "c".into(),
        state,
        born: None,
    }
}

/// The engine, its clock and what it has commanded.
struct Bench {
    engine: Engine,
    now: Micros,
    out: Vec<Command>,
}

impl Bench {
    fn new(workers: &[&str], limits: EngineLimits) -> Self {
        Self::with(settings(), workers, limits)
    }

    fn with(settings: Settings, workers: &[&str], limits: EngineLimits) -> Self {
        let engine = Engine::new(settings, Some("a"), limits, 7).expect("sound settings");
        let mut bench = Self { engine, now: 1_000_000 * MS, out: Vec::new() };
        let members = workers.iter().map(|w| member(w, WorkerState::On)).collect();
        bench.tell(Event::Workers { form: ListForm::Complete, members });
        bench
    }

    fn tell(&mut self, event: Event) -> Vec<Command> {
        self.engine.handle(self.now, event, &mut self.out);
        self.answered()
    }

    /// What was commanded, with each probe answered at once by a worker at ease.
    fn answered(&mut self) -> Vec<Command> {
        let mut all: Vec<Command> = Vec::new();
        loop {
            let mut probes = Vec::new();
            for command in std::mem::take(&mut self.out) {
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
                let told = Event::ProbeEnded { request_id, end: AttemptEnd::Served, load_report: report };
                self.engine.handle(self.now, told, &mut self.out);
            }
        }
    }

    fn open(&mut self, class: usize, streamed: bool) -> (CallId, Vec<Command>) {
        let open = NewCall {
            front: 77,
            class: ClassId(class),
            tenant: None,
            model: "echo".into(),
            version: "".into(),
            time_left: 4_000 * MS,
            cost_hint: None,
            lanes: 2,
            load_time: None,
            repeat: false,
            group: 0,
            streamed,
            body: Bytes::from_static(b"request"),
        };
        let call = self.engine.open(self.now, open, &mut self.out);
        (call, self.answered())
    }

    /// Lets time pass, timer by timer.
    fn pass(&mut self, span: Micros) -> Vec<Command> {
        let until = self.now + span;
        let mut all = Vec::new();
        while let Some(at) = self.engine.next_timer().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            all.extend(self.tell(Event::Tick));
        }
        self.now = until;
        all.extend(self.tell(Event::Tick));
        all
    }
}

fn started(commands: &[Command]) -> Option<AttemptId> {
    commands.iter().find_map(|c| match c {
        Command::Start { attempt, .. } => Some(*attempt),
        _ => None,
    })
}

fn end(commands: &[Command]) -> Option<FinalAnswer> {
    commands.iter().find_map(|c| match c {
        Command::Answer { answer: end, .. } => Some(end.clone()),
        _ => None,
    })
}

fn ended(attempt: AttemptId, how: AttemptEnd) -> Event {
    Event::AttemptEnded { attempt, end: how, report: AttemptReport::default() }
}

fn part(attempt: AttemptId, last: bool) -> Event {
    Event::ResponsePart { attempt, payload: Bytes::from_static(b"part"), last }
}

#[test]
fn an_answer_is_held_until_its_status_is_certain() {
    let mut bench = Bench::new(&["w1", "w2"], EngineLimits::default());
    let (_, first) = bench.open(0, false);
    let attempt = started(&first).expect("a worker is free");
    assert_eq!(bench.tell(part(attempt, false)), vec![], "OK may still not come");
    let done = bench.tell(ended(attempt, AttemptEnd::Served));
    assert_eq!(end(&done), Some(FinalAnswer::Served { last: Some(Bytes::from_static(b"part")) }));
    assert_eq!(bench.tell(ended(attempt, AttemptEnd::Broken)), vec![], "nothing follows");
}

#[test]
fn an_answer_without_a_message_is_no_answer() {
    let mut bench = Bench::new(&["w1"], EngineLimits::default());
    let (_, first) = bench.open(1, false);
    let done = bench.tell(ended(started(&first).expect("sent"), AttemptEnd::Served));
    assert!(matches!(end(&done), Some(FinalAnswer::Failed { cause: Cause::Internal, .. })), "{done:?}");
}

#[test]
fn a_stream_that_breaks_after_its_third_part_has_one_end_and_no_second_attempt() {
    let mut bench = Bench::new(&["w1", "w2"], EngineLimits::default());
    let (_, first) = bench.open(0, true);
    let attempt = started(&first).expect("sent");
    for _ in 0..3 {
        assert!(matches!(bench.tell(part(attempt, false))[..], [Command::ResponsePart { front: 77, .. }]));
    }
    let broken = bench.tell(ended(attempt, AttemptEnd::Broken));
    assert!(matches!(end(&broken), Some(FinalAnswer::Failed { cause: Cause::Aborted, .. })), "{broken:?}");
    assert_eq!(started(&broken), None);
    assert!(
        bench.pass(10_000 * MS).iter().all(|c| !matches!(c, Command::Start { .. } | Command::Answer { .. }))
    );
}

#[test]
fn a_stream_that_breaks_before_its_first_part_is_tried_again() {
    let mut bench = Bench::new(&["w1", "w2"], EngineLimits::default());
    let (_, first) = bench.open(0, true);
    let one = started(&first).expect("sent");
    let again = bench.tell(ended(one, AttemptEnd::Broken));
    let two = started(&again).expect("safe calls may be repeated");
    assert_eq!((one.call, one.number + 1), (two.call, two.number));
    // The only part is the last one: it is held, so that a break before the end leaves the retry open.
    assert_eq!(bench.tell(part(two, true)), vec![]);
    let served = bench.tell(ended(two, AttemptEnd::Served));
    assert!(matches!(end(&served), Some(FinalAnswer::Served { last: Some(_) })));
}

#[test]
fn an_unsafe_call_is_repeated_only_after_proof() {
    for (how, again) in [
        (AttemptEnd::NotWritten, true),
        (AttemptEnd::RefusedStream, true),
        (AttemptEnd::GoneAway, true),
        (AttemptEnd::MarkedFull, true),
        (AttemptEnd::Broken, false),
        (AttemptEnd::Reset, false),
        (AttemptEnd::Status { message: "UNAVAILABLE".into() }, false),
        (AttemptEnd::TimedOut, false),
    ] {
        let mut bench = Bench::new(&["w1", "w2"], EngineLimits::default());
        let (_, first) = bench.open(1, false);
        let then = bench.tell(ended(started(&first).expect("sent"), how.clone()));
        assert_eq!(started(&then).is_some(), again, "{how:?}");
        assert_eq!(matches!(end(&then), Some(FinalAnswer::Failed { .. })), !again, "{how:?}");
    }
}

#[test]
fn silence_ends_before_the_deadline_and_the_late_answer_is_dropped() {
    let mut bench = Bench::new(&["w1"], EngineLimits::default());
    let (_, first) = bench.open(1, false);
    let attempt = started(&first).expect("sent");
    let began = bench.now;
    let mut seen = Vec::new();
    while end(&seen).is_none() {
        let at = bench.engine.next_timer().expect("a timer stands while a call is open");
        bench.now = bench.now.max(at);
        seen.extend(bench.tell(Event::Tick));
    }
    assert!(bench.now < began + 4_000 * MS);
    assert!(matches!(end(&seen), Some(FinalAnswer::Failed { cause: Cause::Deadline, .. })));
    assert!(seen.contains(&Command::Cancel { attempt }));
    assert_eq!(bench.tell(ended(attempt, AttemptEnd::Served)), vec![], "deadline and answer in one moment");
    assert_eq!(bench.engine.counters().backstop, 0, "the module was in time");
}

#[test]
fn a_started_stream_ends_at_its_deadline() {
    let mut bench = Bench::new(&["w1"], EngineLimits::default());
    let (_, first) = bench.open(0, true);
    let attempt = started(&first).expect("sent");
    bench.tell(part(attempt, false));
    let late = bench.pass(4_000 * MS);
    assert!(matches!(end(&late), Some(FinalAnswer::Failed { cause: Cause::Deadline, .. })), "{late:?}");
    assert!(late.contains(&Command::Cancel { attempt }));
}

#[test]
fn a_client_that_leaves_takes_its_attempt_along() {
    let mut bench = Bench::new(&["w1"], EngineLimits::default());
    let (call, first) = bench.open(0, true);
    let attempt = started(&first).expect("sent");
    bench.tell(part(attempt, false));
    let gone = bench.tell(Event::ClientDisconnected { call });
    assert_eq!(gone, vec![Command::Cancel { attempt }]);
    assert_eq!(bench.tell(part(attempt, false)), vec![]);
    assert_eq!(bench.tell(ended(attempt, AttemptEnd::Served)), vec![], "both closed in one moment");
    assert_eq!(bench.engine.open_calls(), 0);
}

/// A worker whose copy has two lanes, both taken, and two calls that wait for them.
fn two_run_and_two_wait(settings: Settings) -> (Bench, Vec<CallId>, Vec<AttemptId>) {
    let mut bench = Bench::with(settings, &["w1"], EngineLimits::default());
    // Its copy is found by a call that is served.
    let (_, first) = bench.open(0, false);
    let first = started(&first).expect("a worker is free");
    bench.tell(part(first, true));
    bench.tell(ended(first, AttemptEnd::Served));
    let opened: Vec<_> = (0..4).map(|_| bench.open(0, false)).collect();
    let out: Vec<AttemptId> = opened.iter().filter_map(|(_, commands)| started(commands)).collect();
    assert_eq!(out.len(), 2, "two lanes");
    (bench, opened.iter().map(|(call, _)| *call).collect(), out)
}

fn left(calls: &[CallId]) -> Event {
    Event::ClientsDisconnected {
        clients: calls.iter().map(|call| ClientDisconnect { call: *call, answered: false }).collect(),
    }
}

#[test]
fn what_clients_that_leave_together_free_goes_to_none_of_them() {
    let (mut bench, calls, _) = two_run_and_two_wait(settings());
    let done = bench.tell(left(&calls));
    assert_eq!(started(&done), None, "{done:?}");
    assert_eq!(done.iter().filter(|c| matches!(c, Command::Cancel { .. })).count(), 2);
    assert_eq!(bench.engine.open_calls(), 0);
    // The module counts none of them any more: the lanes are there for those who come.
    for _ in 0..2 {
        let (_, commands) = bench.open(0, false);
        assert!(started(&commands).is_some(), "a lane is free");
    }
}

#[test]
fn a_client_whose_side_ended_has_its_final_answer_at_once() {
    let (mut bench, calls, out) = two_run_and_two_wait(settings());
    let all = calls.iter().map(|call| ClientDisconnect { call: *call, answered: true }).collect();
    let done = bench.tell(Event::ClientsDisconnected { clients: all });
    for call in calls {
        let ends: Vec<&FinalAnswer> = done
            .iter()
            .filter_map(|c| match c {
                Command::Answer { call: of, answer: end, .. } if *of == call => Some(end),
                _ => None,
            })
            .collect();
        let ran = out.iter().any(|attempt| attempt.call == call);
        match ends[..] {
            [FinalAnswer::Failed { cause: Cause::Aborted, .. }] => assert!(ran, "it had not left"),
            [FinalAnswer::Refused { reason: Refusal::ClientDisconnected, .. }] => {
                assert!(!ran, "it may have run")
            }
            _ => panic!("one end each: {ends:?}"),
        }
    }
}

#[test]
fn where_no_word_may_stop_an_attempt_its_lane_is_taken_until_its_answer_or_its_time() {
    let mut settings = settings();
    settings.limits.cancel = false;
    let (mut bench, calls, out) = two_run_and_two_wait(settings);
    let running: Vec<CallId> = out.iter().map(|attempt| attempt.call).collect();
    let done = bench.tell(left(&running));
    assert!(!done.iter().any(|c| matches!(c, Command::Cancel { .. })), "{done:?}");
    assert_eq!(started(&done), None, "the worker is still busy with them");
    assert_eq!((bench.engine.open_calls(), bench.engine.waiting_calls()), (2, 2));
    // One answers, and its lane is free; nobody gets the answer.
    bench.tell(part(out[0], true));
    let freed = bench.tell(ended(out[0], AttemptEnd::Served));
    let next = started(&freed).expect("one that waited");
    assert!(calls.contains(&next.call) && end(&freed).is_none());
    // The other never does: after the time that its worker was told, nothing is sent for it.
    let passed = bench.pass(5_000 * MS);
    assert!(passed.contains(&Command::Abandon { attempt: out[1] }), "{passed:?}");
    assert!(!passed.contains(&Command::Cancel { attempt: out[1] }));
}

#[test]
fn a_slow_client_pauses_its_attempt_alone() {
    let mut bench = Bench::new(&["w1", "w2"], EngineLimits::default());
    let (call, first) = bench.open(0, true);
    bench.open(0, true);
    let attempt = started(&first).expect("sent");
    assert_eq!(bench.tell(Event::ClientSlow { call }), vec![Command::Pause { attempt }]);
    assert_eq!(bench.tell(Event::ClientSlow { call }), vec![]);
    assert_eq!(bench.tell(Event::ClientReady { call }), vec![Command::Resume { attempt }]);
}

#[test]
fn a_retry_goes_on_while_the_cancelled_attempts_answer_is_on_its_way() {
    let mut bench = Bench::new(&["w1", "w2"], EngineLimits::default());
    let (_, first) = bench.open(0, false);
    let one = started(&first).expect("sent");
    let silent = first.iter().find_map(|c| match c {
        Command::Start { worker, .. } => Some(*worker),
        _ => None,
    });
    // The worker owes its answer for long, and its probe fails: the module withdraws and tries elsewhere.
    let mut seen = Vec::new();
    for _ in 0..1_000 {
        if started(&seen).is_some() {
            break;
        }
        bench.now = bench.now.max(bench.engine.next_timer().expect("a timer stands"));
        bench.engine.handle(bench.now, Event::Tick, &mut bench.out);
        while !bench.out.is_empty() {
            for command in std::mem::take(&mut bench.out) {
                let Command::Probe { request_id, worker } = command else {
                    seen.push(command);
                    continue;
                };
                let how = if Some(worker) == silent { AttemptEnd::TimedOut } else { AttemptEnd::Served };
                let told = Event::ProbeEnded { request_id, end: how, load_report: None };
                bench.engine.handle(bench.now, told, &mut bench.out);
            }
        }
    }
    let two = started(&seen).expect("just seen");
    assert!(seen.contains(&Command::Cancel { attempt: one }));
    assert_eq!(bench.tell(part(one, false)), vec![]);
    assert_eq!(bench.tell(ended(one, AttemptEnd::Served)), vec![], "its answer is nobody's any more");
    bench.tell(part(two, false));
    assert!(matches!(
        end(&bench.tell(ended(two, AttemptEnd::Served))),
        Some(FinalAnswer::Served { last: Some(_) })
    ));
}

#[test]
fn too_many_open_calls_and_an_empty_list_are_refusals_never_silence() {
    let mut bench = Bench::new(&["w1"], EngineLimits { open_calls: 1, ..EngineLimits::default() });
    bench.open(0, false);
    let (_, over) = bench.open(0, false);
    assert!(matches!(end(&over), Some(FinalAnswer::Refused { reason: Refusal::TooManyOpen, .. })));
    let mut bench = Bench::new(&[], EngineLimits::default());
    let (_, at_once) = bench.open(1, false);
    assert!(
        matches!(end(&at_once), Some(FinalAnswer::Refused { reason: Refusal::NoWorker, .. })),
        "{at_once:?}"
    );
}

#[test]
fn a_call_without_time_left_runs_nowhere() {
    let mut bench =
        Bench::new(&["w1"], EngineLimits { answer_margin: 5_000 * MS, ..EngineLimits::default() });
    let (_, out) = bench.open(1, false);
    assert!(
        matches!(
            out[..],
            [Command::Answer { answer: FinalAnswer::Failed { cause: Cause::Deadline, .. }, .. }]
        ),
        "{out:?}"
    );
}

#[test]
fn a_miss_orders_a_copy_and_the_order_ends_once() {
    let mut settings = settings();
    settings.loading.when_absent = WhenAbsent::Miss;
    let mut engine = Engine::new(settings, None, EngineLimits::default(), 7).expect("sound");
    let mut out = Vec::new();
    engine.handle(
        0,
        Event::Workers { form: ListForm::Complete, members: vec![member("w1", WorkerState::On)] },
        &mut out,
    );
    let mut bench = Bench { engine, now: MS, out: Vec::new() };
    let (_, first) = bench.open(0, false);
    let missed = bench.tell(ended(started(&first).expect("sent"), AttemptEnd::MarkedMiss));
    let request_id = missed.iter().find_map(|c| match c {
        Command::Load { request_id, model, copies: 1, .. } if &**model == "echo" => Some(*request_id),
        _ => None,
    });
    let request_id = request_id.expect("one copy is ordered");
    bench.now += 700 * MS;
    let sent = bench.tell(Event::LoadEnded { request_id, end: AttemptEnd::Served, copies: 1 });
    assert!(started(&sent).is_some());
    assert_eq!(bench.tell(Event::LoadEnded { request_id, end: AttemptEnd::Served, copies: 1 }), vec![]);
}

#[test]
fn nothing_goes_to_a_worker_told_draining() {
    let mut bench = Bench::new(&["w1", "w2"], EngineLimits::default());
    let members = vec![member("w1", WorkerState::Draining), member("w2", WorkerState::On)];
    bench.tell(Event::Workers { form: ListForm::Complete, members });
    let two = bench.engine.worker_id("w2");
    for _ in 0..20 {
        for command in bench.open(0, false).1 {
            if let Command::Start { worker, .. } = command {
                assert_eq!(worker, two);
            }
        }
    }
}

/// One step of a random day: what a link or a client may do next.
#[derive(Clone, Debug)]
enum Step {
    Open(usize, bool),
    Part(usize, bool),
    End(usize, u8),
    Gone(usize),
    /// Word of an attempt that was withdrawn or has ended is still on its way.
    Late(usize, bool),
    List(u8),
    Pass(u32),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3usize, any::<bool>()).prop_map(|(c, s)| Step::Open(c, s)),
        3 => (any::<usize>(), any::<bool>()).prop_map(|(a, l)| Step::Part(a, l)),
        5 => (any::<usize>(), 0..9u8).prop_map(|(a, h)| Step::End(a, h)),
        1 => any::<usize>().prop_map(Step::Gone),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(a, p)| Step::Late(a, p)),
        1 => (0..4u8).prop_map(Step::List),
        3 => (0..900_000u32).prop_map(Step::Pass),
    ]
}

/// What an auditor at the engine's edge knows: nothing but events and commands.
#[derive(Default)]
struct Audit {
    open: BTreeMap<CallId, (usize, Micros)>,
    ended: BTreeSet<CallId>,
    out: BTreeMap<AttemptId, bool>,
    may_have_run: BTreeSet<CallId>,
    past: Vec<AttemptId>,
}

impl Audit {
    fn see(&mut self, now: Micros, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start { attempt, .. } => {
                    let (class, due) = self.open[&attempt.call];
                    assert!(now <= due, "sent after the deadline");
                    assert!(self.out.keys().all(|a| a.call != attempt.call), "attempts overlap");
                    assert!(class != 1 || !self.may_have_run.contains(&attempt.call), "an effect twice");
                    self.out.insert(*attempt, false);
                }
                Command::Cancel { attempt } => {
                    self.out.remove(attempt);
                    self.past.push(*attempt);
                    self.may_have_run.insert(attempt.call);
                }
                Command::ResponsePart { call, .. } => {
                    assert!(self.open.contains_key(call), "a part after the end")
                }
                Command::Answer { call, answer: end, .. } => {
                    let (class, due) = self.open.remove(call).expect("one end a call");
                    assert!(now <= due, "answered {} us late", now - due);
                    assert!(self.ended.insert(*call));
                    let ran = self.may_have_run.contains(call) || self.out.keys().any(|a| a.call == *call);
                    assert!(
                        class == 0 || !matches!(end, FinalAnswer::Refused { .. }) || !ran,
                        "refused what may have run"
                    );
                }
                _ => {}
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]
    #[test]
    fn whatever_comes_each_call_has_one_end_in_time(steps in prop::collection::vec(step(), 1..80)) {
        let mut bench = Bench::new(&["w1", "w2", "w3"], EngineLimits::default());
        let mut audit = Audit::default();
        for step in steps {
            let out: Vec<AttemptId> = audit.out.keys().copied().collect();
            match step {
                Step::Open(class, streamed) => {
                    // The call's number is known before its first command is looked at.
                    let (call, commands) = bench.open(class, streamed);
                    audit.open.insert(call, (class, bench.now + 4_000 * MS));
                    audit.see(bench.now, &commands);
                }
                Step::Part(at, last) if !out.is_empty() => {
                    let attempt = out[at % out.len()];
                    let commands = bench.tell(part(attempt, last));
                    audit.see(bench.now, &commands);
                }
                Step::End(at, how) if !out.is_empty() => {
                    let attempt = out[at % out.len()];
                    let how = match how {
                        0..3 => AttemptEnd::Served,
                        3 => AttemptEnd::Broken,
                        4 => AttemptEnd::MarkedFull,
                        5 => AttemptEnd::MarkedMiss,
                        6 => AttemptEnd::NotConnected,
                        7 => AttemptEnd::Rejected("shape".into()),
                        _ => AttemptEnd::Status { message: "INTERNAL".into() },
                    };
                    audit.out.remove(&attempt);
                    audit.past.push(attempt);
                    if !how.never_ran() {
                        audit.may_have_run.insert(attempt.call);
                    }
                    let commands = bench.tell(ended(attempt, how));
                    audit.see(bench.now, &commands);
                }
                Step::Gone(at) if !audit.open.is_empty() => {
                    let call = *audit.open.keys().nth(at % audit.open.len()).expect("there");
                    audit.open.remove(&call);
                    let commands = bench.tell(Event::ClientDisconnected { call });
                    audit.see(bench.now, &commands);
                    prop_assert!(audit.out.keys().all(|a| a.call != call), "withdrawn with its client");
                }
                Step::Late(at, as_part) if !audit.past.is_empty() => {
                    let attempt = audit.past[at % audit.past.len()];
                    let word = if as_part { part(attempt, false) } else { ended(attempt, AttemptEnd::Served) };
                    let commands = bench.tell(word);
                    prop_assert!(commands.is_empty(), "a word of the past does something: {commands:?}");
                }
                Step::List(keep) => {
                    let members = (1..=keep).map(|n| member(&format!("w{n}"), WorkerState::On)).collect();
                    let commands = bench.tell(Event::Workers { form: ListForm::Complete, members });
                    audit.see(bench.now, &commands);
                }
                Step::Pass(span) => {
                    let until = bench.now + Micros::from(span);
                    while let Some(at) = bench.engine.next_timer().filter(|at| *at <= until) {
                        bench.now = bench.now.max(at);
                        let commands = bench.tell(Event::Tick);
                        audit.see(bench.now, &commands);
                    }
                    bench.now = until;
                }
                _ => {}
            }
        }
        for _ in 0..10_000 {
            let Some(at) = bench.engine.next_timer() else { break };
            if audit.open.is_empty() { break }
            bench.now = bench.now.max(at);
            let commands = bench.tell(Event::Tick);
            audit.see(bench.now, &commands);
        }
        prop_assert!(audit.open.is_empty(), "calls without an end: {:?}", audit.open);
        prop_assert_eq!(bench.engine.open_calls(), 0);
        prop_assert_eq!(bench.engine.counters().backstop, 0);
    }
}
