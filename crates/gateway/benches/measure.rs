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
use std::collections::{BTreeMap, HashSet};
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
    let names: Vec<String> = std::env::args().skip(1).filter(|argument| !argument.starts_with('-')).collect();
    let selected = |name: &str| names.is_empty() || names.iter().any(|other| other == name);
    println!("on {}", machine());
    if selected("engine") {
        engine_time();
    }
    if selected("figures") {
        metrics_cost();
    }
    if selected("counting") {
        metrics_throughput();
    }
    if selected("fleet") {
        lease_throughput();
    }
    if selected("outage") {
        outage::measure();
    }
    if selected("isolation") {
        isolation::measure();
    }
    if selected("force") {
        time_until_in_force(7);
    }
    if selected("idle") {
        idle_wake_ups();
    }
    if selected("throughput") {
        throughput();
    }
    if selected("streams") {
        streams_under_failures(12, true);
        streams_under_failures(60, false);
    }
}

/// The number of cores and the processor model.
fn machine() -> String {
    let cpu_info = std::fs::read_to_string("/proc/cpuinfo").unwrap_or_default();
    let model =
        cpu_info.lines().find(|line| line.starts_with("model name")).and_then(|line| line.split_once(": "));
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    format!("{cores} cores, {}", model.map_or("unknown model", |(_, name)| name))
}

/// CPU time of a process in seconds: in user mode, and in the kernel.
fn cpu_seconds(pid: u32) -> (f64, f64) {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("process is running");
    let fields = stat.rsplit_once(") ").expect("a process name in parentheses").1;
    let field = |index: usize| {
        fields.split(' ').nth(index).and_then(|value| value.parse::<f64>().ok()).expect("a numeric field")
    };
    // Linux reports CPU times to user space in ticks of 1/100 s.
    (field(11) / 100.0, field(12) / 100.0)
}

/// Time of a call (opened, sent, answered) in the engine with the decision module, and in the module alone.
fn engine_time() {
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
    let mut commands = Vec::new();
    let members = (0..workers).map(|n| Member {
        name: format!("w{n}"),
        zone: "a".into(),
        kind: "k".into(),
        weight: 1.0,
        cell: "c".into(),
        state: WorkerState::On,
        started_at: None,
    });
    engine.handle(0, Event::Workers { form: ListForm::Complete, members: members.collect() }, &mut commands);
    let names: Vec<std::sync::Arc<str>> = (0..64).map(|n| format!("model-{n}").into()).collect();
    let started = Instant::now();
    for n in 0..CALLS {
        let now = 1_000_000 + n * 50;
        commands.clear();
        let call = NewCall {
            front_token: n,
            class: ClassId(0),
            tenant: None,
            model: names[(n % 64) as usize].clone(),
            version: "".into(),
            time_left: 4_000_000,
            cost_hint: None,
            lanes: 64,
            load_time: None,
            is_retry: false,
            has_idempotency_key: true,
            group: 0,
            streamed: false,
            body: Bytes::from_static(b"request"),
        };
        engine.open(now, call, &mut commands);
        let started_attempt = commands.iter().find_map(|command| match command {
            Command::Start { attempt, .. } => Some(*attempt),
            _ => None,
        });
        if let Some(attempt) = started_attempt {
            engine.handle(
                now,
                Event::ResponsePart { attempt, payload: Bytes::from_static(b"answer"), last: false },
                &mut commands,
            );
            let report = AttemptReport { load_note: Some(LoadNote::Warm), ..AttemptReport::default() };
            engine.handle(
                now + 40,
                Event::AttemptEnded { attempt, end: AttemptEnd::Served, report },
                &mut commands,
            );
        }
        engine.handle(now + 41, Event::Tick, &mut commands);
    }
    let engine_seconds = started.elapsed().as_secs_f64();
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
    let started = Instant::now();
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
            is_retry: false,
            has_idempotency_key: true,
        };
        module.handle(now, nettleferry::Event::Request(request), &mut actions);
        let chosen_worker = actions.iter().find_map(|action| match action {
            Action::Send { worker, .. } => Some(*worker),
            _ => None,
        });
        if let Some(worker) = chosen_worker {
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
    let module_seconds = started.elapsed().as_secs_f64();
    println!(
        "engine: {:.2} us a call, of which {:.2} us in the decision module ({CALLS} calls, {workers} workers, 64 models)",
        engine_seconds * 1e6 / CALLS as f64,
        module_seconds * 1e6 / CALLS as f64,
    );
}

/// Costs of metrics: time to count a call, bytes on the wire, and the rate at which one thread sends a backlog through
/// queue and encoder.
fn metrics_cost() {
    use nettleferry_metrics::{
        AttemptCause, CallEnd, CallRecord, Metrics, ReplicaNote, SeriesLayout, sample,
    };
    use nettleferry_proto::remote_write::{Series, SeriesKind, Version, encode};
    use nettleferry_remote_write::{Limits, Queue, Response, Sample};
    let names = |prefix: &str, count: usize| (0..count).map(|n| format!("{prefix}-{n}")).collect::<Vec<_>>();
    let layout = SeriesLayout::new(names("class", 3), &names("tenant", 6), &names("model", 8), 5_000);
    let metrics = Metrics::new(layout, &["a"]);
    const CALLS: u32 = 2_000_000;
    let region = Region::new(ALLOCATOR);
    let started = Instant::now();
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
    let (elapsed, allocations) = (started.elapsed(), region.change().allocations);
    println!("figures: {:.0} ns to count a call", elapsed.as_secs_f64() * 1e9 / f64::from(CALLS));
    println!("figures: {allocations} allocations while {CALLS} calls are counted");
    let text = metrics.text().expect("metrics encoded as text");
    let started = Instant::now();
    let series: Vec<Series> = sample::parse(&text)
        .into_iter()
        .map(|sample| Series {
            native_histograms: Vec::new(),
            labels: sample.labels,
            samples: vec![(1_764_590_000_000, sample.value)],
            kind: SeriesKind::Counter,
            created_ms: Some(1),
        })
        .collect();
    println!(
        "figures: a round of {} series is parsed in {:.1} ms",
        series.len(),
        started.elapsed().as_secs_f64() * 1e3
    );
    for (name, version) in [("1.0", Version::One), ("2.0", Version::Two)] {
        let body = encode(version, &series).expect("request encoded");
        println!(
            "figures: {:.2} bytes a sample on the wire in version {name}, with one sample a series",
            body.len() as f64 / series.len() as f64
        );
    }
    // A backlog of two hours, at a round every 15 s, is sent as fast as one thread batches and encodes it.
    let rounds = 480;
    let new_samples_rate = series.len() as f64 / 15.0;
    let limits = Limits { max_bytes: 1 << 30, max_age: u64::MAX / 2, ..Limits::default() };
    let mut queue = Queue::new(limits, 1);
    for round in 0..rounds {
        for n in 0..series.len() {
            queue.offer(0, Sample { series: n as u64, at_ms: round * 15_000, value: 1.0 });
        }
    }
    let (started, mut sent, mut due) = (Instant::now(), 0, Vec::new());
    loop {
        queue.due(3_600_000_000, &mut due);
        if due.is_empty() {
            break;
        }
        for batch in due.drain(..) {
            let mut by_series: BTreeMap<u64, Series> = BTreeMap::new();
            for sample in &batch.samples {
                let entry = by_series.entry(sample.series).or_insert_with(|| Series {
                    samples: Vec::new(),
                    ..series[sample.series as usize].clone()
                });
                entry.samples.push((sample.at_ms, sample.value));
            }
            let request: Vec<Series> = by_series.into_values().collect();
            std::hint::black_box(encode(Version::Two, &request).expect("request encoded"));
            sent += batch.samples.len();
            queue.handle_response(3_600_000_000, batch.shard, batch.number, Response::Accepted);
        }
    }
    let rate = sent as f64 / started.elapsed().as_secs_f64();
    println!(
        "figures: {sent} samples of an outage sent at {rate:.0} a second, {:.0} times the rate of new ones of {new_samples_rate:.0}",
        rate / new_samples_rate
    );
}

/// Calls a second with and without metrics, of two controllers that take turns in front of one worker.
fn metrics_throughput() {
    let spec = "(listen \"127.0.0.1:0\") (cores 64) (queue 10000) (model \"\" (lanes 512) (work 0us) (load-time 1ms))";
    let fleet = Fleet::new(1, spec);
    let settings = SETTINGS.replace("(lanes 64)", "(lanes 512)");
    let with = serve(&settings, &fleet.list());
    let without = serve(&format!("{settings}(figures (count no))"), &fleet.list());
    compare("counting", None, &with, &without);
}

/// Calls a second of one tenant at two followers: one with a lease and an audit log, one with neither.
fn lease_throughput() {
    let spec = "(listen \"127.0.0.1:0\") (cores 64) (queue 10000) (model \"\" (lanes 512) (work 0us) (load-time 1ms))";
    let fleet = Fleet::new(1, spec);
    let settings = SETTINGS.replace("(lanes 64)", "(lanes 512)");
    let follower = |lease: &str, trail: &str| {
        let (token, operator_settings) = key("ada", "admin");
        let (follower_token, follower_settings) = key("fleet", "controller");
        let admin = format!(
            "(admin (listen \"127.0.0.1:0\") (store \"tenants.redb\") (lease {lease}) {operator_settings} {follower_settings})"
        );
        let leader = serve(&format!("{SETTINGS}{admin}"), "");
        let api = leader.line("listening admin ");
        let http = AdminClient { api, token };
        let (status, response) = http.send("POST", "/v1/tenants", "", "{\"name\":\"a\"}");
        assert_eq!(status, 201, "{response}");
        let dir = tempfile::tempdir().expect("temporary folder");
        std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("worker list written");
        std::fs::write(dir.path().join("key"), &follower_token).expect("key file written");
        let admin = format!("(admin (follow \"{api}\") (key-file \"key\") (kept \"kept.json\") {trail})");
        (leader, serve_in(dir, &format!("{settings}{admin}(controller (number 1) (of 2))"), None))
    };
    let (_leader_with, with) = follower("6s", "(without-lease refuse) (trail (folder \"trail\"))");
    let (_leader_without, without) = follower("0s", "");
    for program in [&with, &without] {
        eventually("the follower serves the tenant", || {
            code(&mut Caller::new(program.address), Some("a"), "echo").0 == Code::Ok
        });
    }
    compare("lease and audit log", Some("a"), &with, &without);
}

/// Compares calls a second of two controllers that take turns. With `tenant`, the calls name it.
fn compare(what: &str, tenant: Option<&str>, with: &Program, without: &Program) {
    let rate = |program: &Program| {
        let mut caller = Caller::new(program.address);
        let mut request = client_request("ModelInfer", &echo("echo", "u", 256));
        if let Some(tenant) = tenant {
            request.headers.push(("nettleferry-tenant".to_owned(), tenant.to_owned()));
        }
        let mut open: HashSet<u64> = (0..64).map(|_| caller.start_rpc(request.clone())).collect();
        let (started, mut calls, mut events) = (Instant::now(), 0u64, Vec::new());
        while started.elapsed() < Duration::from_secs(3) {
            caller.client.poll(Some(Duration::from_millis(50)), &mut events).expect("client polled");
            for event in events.drain(..) {
                if let ClientEvent::End { rpc, .. } = event
                    && open.remove(&rpc)
                {
                    calls += 1;
                    open.insert(caller.start_rpc(request.clone()));
                }
            }
        }
        calls as f64 / started.elapsed().as_secs_f64()
    };
    // One pair to warm up.
    let (_, _) = (rate(with), rate(without));
    let mut rates: Vec<(f64, f64)> = (0..9).map(|_| (rate(with), rate(without))).collect();
    let mut ratios: Vec<f64> = rates.iter().map(|(with, without)| with / without).collect();
    ratios.sort_by(f64::total_cmp);
    rates.sort_by(|a, b| a.0.total_cmp(&b.0));
    println!(
        "{what}: {:.0} calls/s with, {:.0} without (the median pair); ratios of 9 pairs: median {:.3}, {:.3} to {:.3}",
        rates[4].0, rates[4].1, ratios[4], ratios[0], ratios[8]
    );
}

/// Time from an accepted change until every controller has reported it in force.
fn time_until_in_force(follower_count: u32) {
    use nettleferry_net::http1_client::Http1Client;
    let (token, operator_settings) = key("ada", "admin");
    let (follower_token, follower_settings) = key("fleet", "controller");
    let admin = format!(
        "(admin (listen \"127.0.0.1:0\") (store \"tenants.redb\") {operator_settings} {follower_settings})"
    );
    let leader = serve(&format!("{SETTINGS}{admin}"), "");
    let api = leader.line("listening admin ");
    let followers: Vec<Program> = (1..=follower_count)
        .map(|n| {
            let dir = tempfile::tempdir().expect("temporary folder");
            std::fs::write(dir.path().join("workers.sexp"), "").expect("worker list written");
            std::fs::write(dir.path().join("key"), &follower_token).expect("key file written");
            let admin = format!("(admin (follow \"{api}\") (key-file \"key\") (kept \"kept.json\"))");
            let number = format!("(controller (number {n}) (of {}))", follower_count + 1);
            serve_in(dir, &format!("{SETTINGS}{admin}{number}"), None)
        })
        .collect();
    let mut http = Http1Client::new(api, 1, Duration::from_secs(10)).expect("client created");
    let bearer = format!("Bearer {token}");
    let mut send = |method: &str, target: &str, body: &str| -> serde_json::Value {
        let headers =
            [("Authorization", bearer.as_str()), ("Content-Type", "application/json"), ("If-Match", "*")];
        http.send(0, method, target, &headers, body.as_bytes());
        let mut responses = Vec::new();
        while responses.is_empty() {
            http.poll(Some(Duration::from_secs(10)), &mut responses).expect("client polled");
        }
        serde_json::from_slice(&responses.remove(0).1.expect("a response").body).expect("valid JSON")
    };
    send("POST", "/v1/tenants", r#"{"name":"a"}"#);
    let mut times_ms: Vec<f64> = Vec::new();
    for n in 0..110 {
        let accepted = send("PATCH", "/v1/tenants/a", &format!("{{\"note\":\"{n}\"}}"))["revision"].as_u64();
        let started = Instant::now();
        loop {
            let response = send("GET", "/v1/controllers", "");
            let rows = response["controllers"].as_array().expect("an array of controllers");
            if rows.len() == 1 + followers.len()
                && rows.iter().all(|row| row["revision"].as_u64() >= accepted)
            {
                break;
            }
            assert!(
                started.elapsed() < Duration::from_secs(30),
                "the change is not in force at all controllers: {response}"
            );
        }
        // The first changes warm up.
        if n >= 10 {
            times_ms.push(started.elapsed().as_secs_f64() * 1e3);
        }
    }
    times_ms.sort_by(f64::total_cmp);
    println!(
        "force: from the response to a change until {} controllers report it: median {:.1} ms, 99 of 100 within {:.1} ms",
        followers.len() + 1,
        times_ms[times_ms.len() / 2],
        times_ms[times_ms.len() * 99 / 100]
    );
}

/// Wake-ups of a controller that has open connections and no calls.
fn idle_wake_ups() {
    let fleet = Fleet::new(2, SPEC);
    let gateway = serve(&SETTINGS.replace("(check-every 5ms)", "(check-every 60s)"), &fleet.list());
    let mut callers: Vec<Caller> = (0..50).map(|_| Caller::new(gateway.address)).collect();
    for caller in &mut callers {
        let rpc = caller.unary("echo");
        caller.status(rpc);
    }
    let context_switches = || {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", gateway.pid())).expect("process is running");
        let line = status
            .lines()
            .find(|line| line.starts_with("voluntary_ctxt_switches"))
            .expect("voluntary_ctxt_switches line");
        line.split_whitespace().nth(1).and_then(|count| count.parse::<u64>().ok()).expect("a numeric count")
    };
    std::thread::sleep(Duration::from_secs(2));
    let switches_before = context_switches();
    std::thread::sleep(Duration::from_secs(10));
    println!(
        "idle: {} wake-ups in 10 s with 50 client connections and the list checked every 60 s",
        context_switches() - switches_before
    );
}

/// Throughput through the gateway against directly to a test worker, by the same client in one run.
fn throughput() {
    let spec = "(listen \"127.0.0.1:0\") (cores 64) (queue 10000) (model \"\" (lanes 512) (work 0us) (load-time 1ms))";
    let dir = tempfile::tempdir().expect("temporary folder");
    let file = dir.path().join("worker.sexp");
    std::fs::write(&file, spec).expect("worker settings written");
    let mut command = Command::new(PROGRAM);
    command.arg("worker").arg(&file);
    let worker = Program::run(command, dir);
    let settings = SETTINGS.replace("(lanes 64)", "(lanes 512)");
    let gateway = serve(&settings, &format!("(worker w1 (address \"{}\"))", worker.address));
    for (title, arguments) in [
        ("unary, 64 open", vec![]),
        ("streams, 64 open", vec!["--stream"]),
        ("unary, 64 KiB", vec!["--bytes", "65536"]),
    ] {
        let cpu_before = cpu_seconds(gateway.pid());
        let out = Command::new(PROGRAM)
            .args(["load", &gateway.address.to_string(), "--against", &worker.address.to_string()])
            .args(["--seconds", "3", "--rounds", "5", "--open", "64"])
            .args(&arguments)
            .output()
            .expect("nettleferry load runs");
        let cpu_after = cpu_seconds(gateway.pid());
        let text = String::from_utf8_lossy(&out.stdout).into_owned();
        println!("throughput, {title}:");
        let mut calls = 0.0;
        for line in text.lines() {
            println!("  {line}");
            if line.contains(" through: ") {
                let rate = line
                    .split(": ")
                    .nth(1)
                    .and_then(|rest| rest.split(' ').next())
                    .and_then(|value| value.parse::<f64>().ok());
                calls += rate.unwrap_or(0.0) * 3.0;
            }
        }
        println!(
            "  controller CPU a call: {:.1} us in user mode, {:.1} us in the kernel",
            (cpu_after.0 - cpu_before.0) * 1e6 / calls,
            (cpu_after.1 - cpu_before.1) * 1e6 / calls
        );
    }
}

/// Thousands of streamed calls while a third of the workers die. With `served_before`, a call of each model is served
/// first; otherwise the measurement includes the loads of the models.
fn streams_under_failures(models: usize, served_before: bool) {
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
    let mut events = Vec::new();
    println!(
        "streams: {models} models, {}",
        if served_before { "each served before" } else { "none called before" }
    );
    let models: Vec<String> = (0..models).map(|n| format!("climb-{n}")).collect();
    if served_before {
        let mut warm_up = Caller::new(gateway.address);
        let request = |model: &String| client_request("ModelStreamInfer", &climb(model, "first", 8));
        let rpcs: Vec<u64> = models.iter().map(|model| warm_up.start_rpc(request(model))).collect();
        for rpc in rpcs {
            warm_up.status(rpc);
        }
    }
    let resident_before = gateway.resident();
    let started = Instant::now();
    let deadline = Duration::from_secs(20);
    let mut finals: BTreeMap<u64, u32> = BTreeMap::new();
    let mut end_times: BTreeMap<u64, Duration> = BTreeMap::new();
    let (mut messages, mut served, mut failed) = (0u64, 0u64, 0u64);
    for n in 0..STREAMS {
        let message = climb(&models[n % models.len()], &n.to_string(), 8);
        let request = ClientRequest {
            method: "ModelStreamInfer",
            messages: vec![message.encode_to_vec().into()],
            timeout: Some(deadline),
            ..ClientRequest::default()
        };
        finals.insert(client.call(gateway.address, request).expect("call started"), 0);
        if n % 50 == 0 {
            client.poll(Some(Duration::ZERO), &mut events).expect("client polled");
        }
    }
    let mut errors: BTreeMap<String, u64> = BTreeMap::new();
    let (mut killed, mut resident_peak) = (false, 0);
    while end_times.len() < STREAMS && started.elapsed() < deadline + Duration::from_secs(5) {
        client.poll(Some(Duration::from_millis(50)), &mut events).expect("client polled");
        if started.elapsed() > Duration::from_secs(4) && !killed {
            killed = true;
            resident_peak = gateway.resident();
            println!("streams: {} open when two of six workers die", STREAMS - end_times.len());
            fleet.handles[0].inject(Fault::Die);
            fleet.handles[1].inject(Fault::Die);
        }
        for event in events.drain(..) {
            match event {
                ClientEvent::Message { rpc, payload } => {
                    messages += 1;
                    let response =
                        ModelStreamInferResponse::decode(payload).expect("a ModelStreamInferResponse");
                    if is_final(&response) {
                        *finals.entry(rpc).or_insert(0) += 1;
                        if response.error_message.is_empty() {
                            served += 1;
                        } else {
                            failed += 1;
                            *errors.entry(response.error_message).or_insert(0) += 1;
                        }
                    }
                }
                ClientEvent::End { rpc, .. } => {
                    end_times.insert(rpc, started.elapsed());
                }
            }
        }
    }
    for (error, count) in errors {
        println!("streams: {count} calls failed: {error}");
    }
    let answered_once = finals.values().filter(|n| **n == 1).count();
    let last_end = end_times.values().max().copied().unwrap_or_default();
    println!(
        "streams: {STREAMS} calls, {answered_once} with exactly one final answer ({served} served, {failed} not), {messages} messages; last end \
         after {:.1} s of {} s; resident {} KiB before, {} KiB with all open: {:.1} KiB a stream",
        last_end.as_secs_f64(),
        deadline.as_secs(),
        resident_before,
        resident_peak,
        resident_peak.saturating_sub(resident_before) as f64 / STREAMS as f64
    );
}
