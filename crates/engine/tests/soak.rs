//! Five minutes of made-up time in which all is always new: calls, functions, workers at other workers' places.
//! What is remembered must not grow with it.

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
        step: 4 * MS,
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

/// A seeded source of chance that needs no crate.
fn dice(state: &mut u64, sides: u64) -> u64 {
    *state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    (*state >> 33) % sides
}

#[test]
fn what_is_remembered_stays_flat_when_all_is_always_new() {
    let limits = EngineLimits { models: 500, ..EngineLimits::default() };
    let mut engine = Engine::new(settings(), None, limits, 7).expect("sound settings");
    let (mut now, mut seed, mut out) = (100 * S, 11, Vec::new());
    let mut pending: std::collections::BTreeMap<(Micros, u64), Event> = Default::default();
    let (mut sequence, mut ends, mut samples) = (0, 0u64, Vec::new());
    for round in 0..15_000u64 {
        now += 20 * MS;
        if round % 250 == 0 {
            // Six workers; every five seconds the oldest is replaced by one with a new name.
            let member = |n: u64| Member {
                name: format!("s-{n}"),
                zone: "east".into(),
                kind: "std".into(),
                weight: 1.0,
                cell: format!("c-{}", n % 3),
                state: WorkerState::On,
                born: (round > 0).then_some(now),
            };
            let oldest = round / 250;
            let members = (oldest..oldest + 6).map(member).collect();
            engine.handle(now, Event::Workers { form: ListForm::Complete, members }, &mut out);
        }
        // One call in three is for a function that was never called before.
        let model = if dice(&mut seed, 3) == 0 {
            format!("new-{round}")
        } else {
            format!("f-{}", dice(&mut seed, 40))
        };
        let open = NewCall {
            front: round,
            class: ClassId(dice(&mut seed, 2) as usize),
            tenant: None,
            model: model.as_str().into(),
            version: "".into(),
            time_left: 2 * S,
            cost_hint: None,
            lanes: 4,
            load_time: Some(300 * MS),
            repeat: false,
            group: 0,
            streamed: false,
            body: Bytes::from_static(b"x"),
        };
        engine.open(now, open, &mut out);
        loop {
            for command in std::mem::take(&mut out) {
                let (after, event) = match command {
                    Command::Start { attempt, .. } => {
                        // Answers, misses, errors, broken connections; some never come.
                        let how = match dice(&mut seed, 20) {
                            0 => continue,
                            1 => AttemptEnd::Broken,
                            2 => AttemptEnd::Status { message: String::new() },
                            3 => AttemptEnd::MarkedFull,
                            4..=6 => AttemptEnd::MarkedMiss,
                            _ => AttemptEnd::Served,
                        };
                        if how == AttemptEnd::Served {
                            let payload = Bytes::from_static(b"y");
                            engine.handle(
                                now,
                                Event::ResponsePart { attempt, payload, last: true },
                                &mut out,
                            );
                        }
                        let news =
                            AttemptReport { load_note: Some(LoadNote::Warm), ..AttemptReport::default() };
                        (60 * MS, Event::AttemptEnded { attempt, end: how, report: news })
                    }
                    Command::Load { request_id, .. } => {
                        let how =
                            if dice(&mut seed, 8) == 0 { AttemptEnd::Broken } else { AttemptEnd::Served };
                        (300 * MS, Event::LoadEnded { request_id, end: how, copies: 1 })
                    }
                    Command::Probe { request_id, .. } => {
                        (2 * MS, Event::ProbeEnded { request_id, end: AttemptEnd::Served, load_report: None })
                    }
                    Command::Answer { .. } => {
                        ends += 1;
                        continue;
                    }
                    _ => continue,
                };
                sequence += 1;
                pending.insert((now + after, sequence), event);
            }
            match pending.first_key_value() {
                Some((&(at, _), _)) if at <= now => {
                    let Some((_, event)) = pending.pop_first() else { break };
                    engine.handle(now, event, &mut out);
                }
                _ if out.is_empty() => break,
                _ => {}
            }
        }
        engine.handle(now, Event::Tick, &mut out);
        if round % 500 == 499 {
            samples.push(engine.remembered());
        }
    }
    assert_eq!(ends + engine.open_calls() as u64, 15_000, "one end a call");
    let (first, last) = samples.split_at(samples.len() / 2);
    let most = |half: &[usize]| half.iter().copied().max().unwrap_or(0);
    assert!(most(last) <= most(first) * 11 / 10, "{samples:?}");
}
