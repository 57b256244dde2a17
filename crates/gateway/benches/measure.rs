//! Long-running benchmarks: `cargo bench -p nettleferry-gateway [-- NAME]`. They print their results with the machine
//! that they ran on; `docs/measurements.md` records them. None of them is a test, and CI does not run them.
#![expect(clippy::too_many_lines, reason = "long functions are not yet split: docs/ROADMAP.md")]

#[path = "../tests/common/mod.rs"]
mod common;
#[path = "isolation.rs"]
mod isolation;
#[path = "outage.rs"]
mod outage;
use common::admin_client::{AdminClient, code, key};
use common::*;

use std::alloc::System;
use std::collections::BTreeMap;
use std::process::Command;
use std::time::{Duration, Instant};

use bytes::Bytes;
use nettleferry_net::NetLimits;
use nettleferry_net::grpc::Code;
use nettleferry_proto::inference::ModelStreamInferResponse;
use nettleferry_scenario::client::{Client, ClientEvent, ClientRequest};
use nettleferry_test_servers::Fault;
use prost::Message;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

/// Counts allocations of the benchmark process; measured controllers run in other processes.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() {
    let only: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with('-')).collect();
    let wanted = |name: &str| only.is_empty() || only.iter().any(|o| o == name);
    println!("on {}", machine());
    if wanted("engine") {
        engine();
    }
    if wanted("figures") {
        figures();
    }
    if wanted("counting") {
        counting();
    }
    if wanted("fleet") {
        fleet();
    }
    if wanted("outage") {
        outage::measure();
    }
    if wanted("isolation") {
        isolation::measure();
    }
    if wanted("force") {
        force(7);
    }
    if wanted("idle") {
        idle();
    }
    if wanted("throughput") {
        throughput();
    }
    if wanted("streams") {
        streams(12, true);
        streams(60, false);
    }
}

fn machine() -> String {
    let info = std::fs::read_to_string("/proc/cpuinfo").unwrap_or_default();
    let model = info.lines().find(|l| l.starts_with("model name")).and_then(|l| l.split_once(": "));
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    format!("{cores} cores, {}", model.map_or("unknown", |m| m.1))
}

/// CPU time of a process in seconds: user, system.
fn cpu(pid: u32) -> (f64, f64) {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("it runs");
    let rest = stat.rsplit_once(") ").expect("a name").1;
    let field = |n: usize| rest.split(' ').nth(n).and_then(|v| v.parse::<f64>().ok()).expect("a number");
    // Linux reports CPU times to user space in ticks of 1/100 s.
    (field(11) / 100.0, field(12) / 100.0)
}

/// Time of a call (opened, sent, answered) in the engine with the decision module, and in the module alone.
fn engine() {
    use nettleferry::*;
    use nettleferry_engine::{
        AttemptEnd, AttemptReport, Command, Engine, EngineLimits, Event, Member, NewCall,
    };
    const CALLS: u64 = 300_000;
    let class = Class {
        latency_objective: 600_000,
        deadline: 4_000_000,
        effect: Effect::Idempotent,
        priority_weight: 1.0,
        late_share: 0.3,
        stream: false,
    };
    let mut settings =
        Settings { controllers: 1, classes: vec![class], event_interval: 1_000, ..Settings::default() };
    settings.limits.max_attempts = 3;
    settings.limits.cancel = true;
    settings.loading.keep_alive = 8_000_000;
    let workers = 16;
    let mut engine = Engine::new(settings.clone(), None, EngineLimits::default(), 1).expect("valid settings");
    let mut out = Vec::new();
    let members = (0..workers).map(|n| Member {
        name: format!("w{n}"),
        zone: "a".into(),
        kind: "k".into(),
        weight: 1.0,
        cell: "c".into(),
        state: WorkerState::On,
        started_at: None,
    });
    engine.handle(0, Event::Workers { form: ListForm::Complete, members: members.collect() }, &mut out);
    let names: Vec<std::sync::Arc<str>> = (0..64).map(|n| format!("model-{n}").into()).collect();
    let begun = Instant::now();
    for n in 0..CALLS {
        let now = 1_000_000 + n * 50;
        out.clear();
        let open = NewCall {
            front_token: n,
            class: ClassId(0),
            tenant: None,
            model: names[(n % 64) as usize].clone(),
            version: "".into(),
            time_left: 4_000_000,
            cost_hint: None,
            lanes: 64,
            load_time: None,
            repeat: false,
            group: 0,
            streamed: false,
            body: Bytes::from_static(b"request"),
        };
        engine.open(now, open, &mut out);
        let start = out
            .iter()
            .find_map(|c| if let Command::Start { attempt, .. } = c { Some(*attempt) } else { None });
        if let Some(attempt) = start {
            engine.handle(
                now,
                Event::ResponsePart { attempt, payload: Bytes::from_static(b"answer"), last: false },
                &mut out,
            );
            let news = AttemptReport { load_note: Some(LoadNote::Warm), ..AttemptReport::default() };
            engine.handle(
                now + 40,
                Event::AttemptEnded { attempt, end: AttemptEnd::Served, report: news },
                &mut out,
            );
        }
        engine.handle(now + 41, Event::Tick, &mut out);
    }
    let whole = begun.elapsed();
    assert_eq!(engine.counters().served, CALLS, "every call was served");

    let mut module = Controller::new(settings, 1).expect("valid settings");
    let entry = |n| WorkerEntry {
        worker: WorkerId(n),
        weight: 1.0,
        state: WorkerState::On,
        ..WorkerEntry::default()
    };
    let mut actions = Vec::new();
    module.handle(
        0,
        nettleferry::Event::Workers { form: ListForm::Complete, entries: (0..workers).map(entry).collect() },
        &mut actions,
    );
    let begun = Instant::now();
    for n in 0..CALLS {
        let now = 1_000_000 + n * 50;
        actions.clear();
        let request = Request {
            id: RequestId(n),
            class: ClassId(0),
            tenant: None,
            function: FunctionId(n % 64),
            time_left: 4_000_000,
            cpu_time_hint: None,
            lanes: 64,
            load_time: None,
            repeat: false,
        };
        module.handle(now, nettleferry::Event::Request(request), &mut actions);
        let to = actions
            .iter()
            .find_map(|a| if let Action::Send { worker, .. } = a { Some(*worker) } else { None });
        if let Some(worker) = to {
            let event = nettleferry::Event::Outcome {
                request: RequestId(n),
                attempt: 0,
                worker,
                outcome: Outcome::Ok,
                finished: true,
                elapsed: 40,
                note: Some(LoadNote::Warm),
                concurrent_calls: None,
                report: None,
            };
            module.handle(now + 40, event, &mut actions);
        }
    }
    let alone = begun.elapsed();
    println!(
        "engine: {:.2} us a call with the module, of them the module {:.2} us ({CALLS} calls, {workers} workers, 64 models)",
        whole.as_secs_f64() * 1e6 / CALLS as f64,
        alone.as_secs_f64() * 1e6 / CALLS as f64,
    );
}

/// Costs of metrics: time to count a call, bytes on the wire, and the rate at which one thread sends a backlog through
/// queue and encoder.
fn figures() {
    use nettleferry_metrics::{
        AttemptCause, CallEnd, CallRecord, Metrics, ReplicaNote, SeriesLayout, sample,
    };
    use nettleferry_proto::remote_write::{Series, SeriesKind, Version, encode};
    use nettleferry_remote_write::{Limits, Queue, Response, Sample};
    let names = |p: &str, n: usize| (0..n).map(|i| format!("{p}-{i}")).collect::<Vec<_>>();
    let layout = SeriesLayout::new(names("class", 3), &names("tenant", 6), &names("model", 8), 5_000);
    let metrics = Metrics::new(layout, &["a"]);
    const CALLS: u32 = 2_000_000;
    let region = Region::new(ALLOCATOR);
    let begun = Instant::now();
    for n in 0..CALLS {
        metrics.record_attempt(AttemptCause::First);
        metrics.record_replica_note(ReplicaNote::Warm);
        metrics.record_call(&CallRecord {
            class: (n % 3) as usize,
            end: CallEnd::ServedInTime,
            tenant: Some((n % 6) as usize),
            group: (n % 8) as usize,
            latency_micros: 20_000,
        });
        metrics.set_calls(7, 0);
    }
    let (took, allocations) = (begun.elapsed(), region.change().allocations);
    println!("figures: {:.0} ns to count a call", took.as_secs_f64() * 1e9 / f64::from(CALLS));
    println!("figures: {allocations} allocations while {CALLS} calls are counted");
    let text = metrics.text().expect("text");
    let begun = Instant::now();
    let series: Vec<Series> = sample::parse(&text)
        .into_iter()
        .map(|s| Series {
            native_histograms: Vec::new(),
            labels: s.labels,
            samples: vec![(1_764_590_000_000, s.value)],
            kind: SeriesKind::Counter,
            created_ms: Some(1),
        })
        .collect();
    println!(
        "figures: a round of {} series is read in {:.1} ms",
        series.len(),
        begun.elapsed().as_secs_f64() * 1e3
    );
    for (name, version) in [("1.0", Version::One), ("2.0", Version::Two)] {
        let body = encode(version, &series).expect("encodes");
        println!(
            "figures: {:.2} bytes a sample on the wire by {name}, one sample a series",
            body.len() as f64 / series.len() as f64
        );
    }
    // A backlog of two hours, at a round every 15 s, is sent as fast as one thread batches and encodes it.
    let rounds = 480;
    let fresh = series.len() as f64 / 15.0;
    let limits = Limits { max_bytes: 1 << 30, max_age: u64::MAX / 2, ..Limits::default() };
    let mut queue = Queue::new(limits, 1);
    for round in 0..rounds {
        for n in 0..series.len() {
            queue.offer(0, Sample { series: n as u64, at_ms: round * 15_000, value: 1.0 });
        }
    }
    let (begun, mut taken, mut due) = (Instant::now(), 0, Vec::new());
    loop {
        queue.due(3_600_000_000, &mut due);
        if due.is_empty() {
            break;
        }
        for batch in due.drain(..) {
            let mut by: BTreeMap<u64, Series> = BTreeMap::new();
            for s in &batch.samples {
                let entry = by
                    .entry(s.series)
                    .or_insert_with(|| Series { samples: Vec::new(), ..series[s.series as usize].clone() });
                entry.samples.push((s.at_ms, s.value));
            }
            let all: Vec<Series> = by.into_values().collect();
            std::hint::black_box(encode(Version::Two, &all).expect("encodes"));
            taken += batch.samples.len();
            queue.handle_response(3_600_000_000, batch.shard, batch.number, Response::Accepted);
        }
    }
    let rate = taken as f64 / begun.elapsed().as_secs_f64();
    println!(
        "figures: {taken} samples of an outage drained at {rate:.0} a second, {:.0} times the fresh rate of {fresh:.0}",
        rate / fresh
    );
}

/// Calls a second with and without metrics, of two controllers that take turns in front of one worker.
fn counting() {
    let spec = "(listen \"127.0.0.1:0\") (cores 64) (queue 10000) (model \"\" (lanes 512) (work 0us) (load-time 1ms))";
    let fleet = Fleet::new(1, spec);
    let settings = SETTINGS.replace("(lanes 64)", "(lanes 512)");
    let with = serve(&settings, &fleet.list());
    let without = serve(&format!("{settings}(figures (count no))"), &fleet.list());
    pairs("counting", "", &with, &without);
}

/// Calls a second of one tenant at two followers: one with a lease and an audit log, one with neither.
fn fleet() {
    let spec = "(listen \"127.0.0.1:0\") (cores 64) (queue 10000) (model \"\" (lanes 512) (work 0us) (load-time 1ms))";
    let fleet = Fleet::new(1, spec);
    let settings = SETTINGS.replace("(lanes 64)", "(lanes 512)");
    let follower = |lease: &str, trail: &str| {
        let (token, line) = key("ada", "admin");
        let (fleet_token, fleet_line) = key("fleet", "controller");
        let admin = format!(
            "(admin (listen \"127.0.0.1:0\") (store \"tenants.redb\") (lease {lease}) {line} {fleet_line})"
        );
        let leader = serve(&format!("{SETTINGS}{admin}"), "");
        let api = leader.line("listening admin ");
        let http = AdminClient { api, token };
        let (status, told) = http.ask("POST", "/v1/tenants", "", "{\"name\":\"a\"}");
        assert_eq!(status, 201, "{told}");
        let dir = tempfile::tempdir().expect("temporary folder");
        std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("written");
        std::fs::write(dir.path().join("key"), &fleet_token).expect("written");
        let admin = format!("(admin (follow \"{api}\") (key-file \"key\") (kept \"kept.json\") {trail})");
        (leader, serve_in(dir, &format!("{settings}{admin}(controller (number 1) (of 2))"), None))
    };
    let (_one, with) = follower("6s", "(without-lease refuse) (trail (folder \"trail\"))");
    let (_two, without) = follower("0s", "");
    for program in [&with, &without] {
        eventually("it serves", || code(&mut Caller::new(program.address), Some("a"), "echo").0 == Code::Ok);
    }
    pairs("lease and record", "a", &with, &without);
}

/// Compares calls a second of two controllers that take turns.
fn pairs(what: &str, tenant: &str, with: &Program, without: &Program) {
    let rate = |of: &Program| {
        let mut caller = Caller::new(of.address);
        let mut request = ask("ModelInfer", &echo("echo", "u", 256));
        if !tenant.is_empty() {
            request.headers.push(("nettleferry-tenant".to_owned(), tenant.to_owned()));
        }
        let mut open: std::collections::HashSet<u64> = (0..64).map(|_| caller.ask(request.clone())).collect();
        let (begun, mut calls, mut heard) = (Instant::now(), 0u64, Vec::new());
        while begun.elapsed() < Duration::from_secs(3) {
            caller.client.poll(Some(Duration::from_millis(50)), &mut heard).expect("polls");
            for what in heard.drain(..) {
                if let ClientEvent::End { rpc, .. } = what
                    && open.remove(&rpc)
                {
                    calls += 1;
                    open.insert(caller.ask(request.clone()));
                }
            }
        }
        calls as f64 / begun.elapsed().as_secs_f64()
    };
    let (_, _) = (rate(with), rate(without));
    let mut pairs: Vec<(f64, f64)> = (0..9).map(|_| (rate(with), rate(without))).collect();
    let mut ratios: Vec<f64> = pairs.iter().map(|(a, b)| a / b).collect();
    ratios.sort_by(f64::total_cmp);
    pairs.sort_by(|a, b| a.0.total_cmp(&b.0));
    println!(
        "{what}: {:.0} calls/s with, {:.0} without (the median pair); ratios of 9 pairs in turn: median {:.3}, {:.3} to {:.3}",
        pairs[4].0, pairs[4].1, ratios[4], ratios[0], ratios[8]
    );
}

/// Time from an accepted change until every controller has reported it in force.
fn force(followers: u32) {
    use nettleferry_net::http1_client::Http1Client;
    let key = |name: &str, role: &str| {
        let out = Command::new(PROGRAM).args(["admin", "key", name, role]).output().expect("it runs");
        let text = String::from_utf8_lossy(&out.stdout).into_owned();
        let line = |start: &str| {
            text.lines().find_map(|l| l.strip_prefix(start)).expect("a line with this prefix").to_owned()
        };
        (line("token: "), line("settings: "))
    };
    let ((token, line), (fleet_token, fleet_line)) = (key("ada", "admin"), key("fleet", "controller"));
    let admin = format!("(admin (listen \"127.0.0.1:0\") (store \"tenants.redb\") {line} {fleet_line})");
    let leader = serve(&format!("{SETTINGS}{admin}"), "");
    let api = leader.line("listening admin ");
    let all: Vec<Program> = (1..=followers)
        .map(|n| {
            let dir = tempfile::tempdir().expect("temporary folder");
            std::fs::write(dir.path().join("workers.sexp"), "").expect("written");
            std::fs::write(dir.path().join("key"), &fleet_token).expect("written");
            let admin = format!("(admin (follow \"{api}\") (key-file \"key\") (kept \"kept.json\"))");
            let number = format!("(controller (number {n}) (of {}))", followers + 1);
            serve_in(dir, &format!("{SETTINGS}{admin}{number}"), None)
        })
        .collect();
    let mut poster = Http1Client::new(api, 1, Duration::from_secs(10)).expect("a poll");
    let bearer = format!("Bearer {token}");
    let mut ask = |method: &str, target: &str, body: &str| -> serde_json::Value {
        let headers =
            [("Authorization", bearer.as_str()), ("Content-Type", "application/json"), ("If-Match", "*")];
        poster.send(0, method, target, &headers, body.as_bytes());
        let mut heard = Vec::new();
        while heard.is_empty() {
            poster.poll(Some(Duration::from_secs(10)), &mut heard).expect("polls");
        }
        serde_json::from_slice(&heard.remove(0).1.expect("an answer").body).expect("json")
    };
    ask("POST", "/v1/tenants", r#"{"name":"a"}"#);
    let mut spans: Vec<f64> = Vec::new();
    for n in 0..110 {
        let accepted = ask("PATCH", "/v1/tenants/a", &format!("{{\"note\":\"{n}\"}}"))["revision"].as_u64();
        let begun = Instant::now();
        loop {
            let told = ask("GET", "/v1/controllers", "");
            let rows = told["controllers"].as_array().expect("an array");
            if rows.len() == 1 + all.len() && rows.iter().all(|c| c["revision"].as_u64() >= accepted) {
                break;
            }
            assert!(begun.elapsed() < Duration::from_secs(30), "never in force: {told}");
        }
        if n >= 10 {
            spans.push(begun.elapsed().as_secs_f64() * 1e3);
        }
    }
    spans.sort_by(f64::total_cmp);
    println!(
        "force: a change at {} controllers, from its answer to the word of all: median {:.1} ms, 99 of 100 within {:.1} ms",
        all.len() + 1,
        spans[spans.len() / 2],
        spans[spans.len() * 99 / 100]
    );
}

/// Wake-ups of a controller that has open connections and no calls.
fn idle() {
    let fleet = Fleet::new(2, SPEC);
    let gateway = serve(&SETTINGS.replace("(check-every 5ms)", "(check-every 60s)"), &fleet.list());
    let mut callers: Vec<Caller> = (0..50).map(|_| Caller::new(gateway.address)).collect();
    for caller in &mut callers {
        let rpc = caller.unary("echo");
        caller.status(rpc);
    }
    let switches = || {
        let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.pid())).expect("it runs");
        let line = status
            .lines()
            .find(|l| l.starts_with("voluntary_ctxt_switches"))
            .expect("voluntary_ctxt_switches line");
        line.split_whitespace().nth(1).and_then(|n| n.parse::<u64>().ok()).expect("a number")
    };
    std::thread::sleep(Duration::from_secs(2));
    let before = switches();
    std::thread::sleep(Duration::from_secs(10));
    println!(
        "idle: {} wake-ups in 10 s with 50 client connections and the list looked at every 60 s",
        switches() - before
    );
}

/// Throughput through the gateway against directly to a test worker, by the same client in one run.
fn throughput() {
    let spec = "(listen \"127.0.0.1:0\") (cores 64) (queue 10000) (model \"\" (lanes 512) (work 0us) (load-time 1ms))";
    let dir = tempfile::tempdir().expect("temporary folder");
    let file = dir.path().join("worker.sexp");
    std::fs::write(&file, spec).expect("written");
    let mut command = Command::new(PROGRAM);
    command.arg("worker").arg(&file);
    let worker = Program::run(command, dir);
    let settings = SETTINGS.replace("(lanes 64)", "(lanes 512)");
    let gateway = serve(&settings, &format!("(worker w1 (address \"{}\"))", worker.address));
    for (title, more) in [
        ("unary, 64 open", vec![]),
        ("streams, 64 open", vec!["--stream"]),
        ("unary, 64 KiB", vec!["--bytes", "65536"]),
    ] {
        let before = cpu(gateway.pid());
        let out = Command::new(PROGRAM)
            .args(["load", &gateway.address.to_string(), "--against", &worker.address.to_string()])
            .args(["--seconds", "3", "--rounds", "5", "--open", "64"])
            .args(&more)
            .output()
            .expect("it runs");
        let after = cpu(gateway.pid());
        let text = String::from_utf8_lossy(&out.stdout).into_owned();
        println!("throughput, {title}:");
        let mut calls = 0.0;
        for line in text.lines() {
            println!("  {line}");
            if line.contains(" through: ") {
                let rate = line
                    .split(": ")
                    .nth(1)
                    .and_then(|r| r.split(' ').next())
                    .and_then(|r| r.parse::<f64>().ok());
                calls += rate.unwrap_or(0.0) * 3.0;
            }
        }
        println!(
            "  controller CPU a call: {:.1} us in the program, {:.1} us in the kernel",
            (after.0 - before.0) * 1e6 / calls,
            (after.1 - before.1) * 1e6 / calls
        );
    }
}

/// Thousands of streamed calls while a third of the workers die. With `known`, a call of each model was served before;
/// otherwise the measurement includes the loads of the models.
fn streams(models: usize, known: bool) {
    const STREAMS: usize = 5_000;
    let spec = "(listen \"127.0.0.1:0\") (cores 100000) (queue 100000) (memory 64GiB) (keep-alive 60s) \
                (model \"\" (lanes 100000) (work 8s) (load-time 10ms))";
    let fleet = Fleet::new(6, spec);
    let settings = SETTINGS.replace("(lanes 64)", "(lanes 100000)").replace("(aim 1s)", "(aim 15s)")
        + "(limits (worker-streams 2000) (worker-connections 8)) (loading (keep-alive 60s))";
    let gateway = serve(&settings, &fleet.list());
    let mut client =
        Client::new(8, NetLimits { connect_timeout: Duration::from_secs(10), ..NetLimits::default() })
            .expect("client created");
    let mut heard = Vec::new();
    println!("streams: {models} models, {}", if known { "each served before" } else { "none called before" });
    let models: Vec<String> = (0..models).map(|n| format!("climb-{n}")).collect();
    if known {
        let mut first = Caller::new(gateway.address);
        let request = |m: &String| ask("ModelStreamInfer", &climb(m, "first", 8));
        let rpcs: Vec<u64> = models.iter().map(|m| first.ask(request(m))).collect();
        for rpc in rpcs {
            first.status(rpc);
        }
    }
    let before = gateway.resident();
    let begun = Instant::now();
    let deadline = Duration::from_secs(20);
    let mut finals: BTreeMap<u64, u32> = BTreeMap::new();
    let mut ended: BTreeMap<u64, Duration> = BTreeMap::new();
    let (mut parts, mut served, mut failed) = (0u64, 0u64, 0u64);
    for n in 0..STREAMS {
        let request = climb(&models[n % models.len()], &n.to_string(), 8);
        let ask = ClientRequest {
            method: "ModelStreamInfer",
            messages: vec![request.encode_to_vec().into()],
            timeout: Some(deadline),
            ..ClientRequest::default()
        };
        finals.insert(client.call(gateway.address, ask).expect("call started"), 0);
        if n % 50 == 0 {
            client.poll(Some(Duration::ZERO), &mut heard).expect("polls");
        }
    }
    let mut reasons: BTreeMap<String, u64> = BTreeMap::new();
    let (mut killed, mut peak) = (false, 0);
    while ended.len() < STREAMS && begun.elapsed() < deadline + Duration::from_secs(5) {
        client.poll(Some(Duration::from_millis(50)), &mut heard).expect("polls");
        if begun.elapsed() > Duration::from_secs(4) && !killed {
            killed = true;
            peak = gateway.resident();
            println!("streams: {} open when two of six workers die", STREAMS - ended.len());
            fleet.handles[0].inject(Fault::Die);
            fleet.handles[1].inject(Fault::Die);
        }
        for what in heard.drain(..) {
            match what {
                ClientEvent::Message { rpc, payload } => {
                    parts += 1;
                    let response = ModelStreamInferResponse::decode(payload).expect("valid response");
                    if is_final(&response) {
                        *finals.entry(rpc).or_insert(0) += 1;
                        if response.error_message.is_empty() {
                            served += 1;
                        } else {
                            failed += 1;
                            *reasons.entry(response.error_message).or_insert(0) += 1;
                        }
                    }
                }
                ClientEvent::End { rpc, .. } => {
                    ended.insert(rpc, begun.elapsed());
                }
            }
        }
    }
    for (reason, count) in reasons {
        println!("streams: {count} times {reason}");
    }
    let once = finals.values().filter(|n| **n == 1).count();
    let last = ended.values().max().copied().unwrap_or_default();
    println!(
        "streams: {STREAMS} calls, {once} with exactly one final answer ({served} served, {failed} not), {parts} messages; last end \
         after {:.1} s of {} s; resident {} KiB before, {} KiB with all open: {:.1} KiB a stream",
        last.as_secs_f64(),
        deadline.as_secs(),
        before,
        peak,
        peak.saturating_sub(before) as f64 / STREAMS as f64
    );
}
