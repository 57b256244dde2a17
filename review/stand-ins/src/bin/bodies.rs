//! Sound clients whose requests have bodies of 16 KiB, while loads take longer because the store is slow. Every request
//! that was written whole to an accepted connection has to get one answer.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nettleferry_platform::frames;
use review_stand_ins::node::*;
use review_stand_ins::*;

const INVOKERS: usize = 12;
const FUNCTIONS: u64 = 36;
const CONNECTIONS: usize = 32;
/// Requests that a client connection sends at a time; at most 32 are open on one.
const BURST: usize = 4;
/// Time between two bursts of a connection: 32 connections send 170 requests a second together.
const PERIOD: Duration = Duration::from_millis(750);
const TRAFFIC: Duration = Duration::from_millis(12_000);
/// How long the client waits: the give-up time of the class.
const TTL: Duration = Duration::from_millis(5_000);
/// A request that crosses the close of a connection without an open request within this time is sent again once.
const CROSSING: Duration = Duration::from_millis(50);
const BODY: usize = 16 << 10;
/// Usual time of a load, and its share that is the fetch from the store.
const LOAD: Duration = Duration::from_millis(1_500);
const FETCH_SHARE: f64 = 0.7;
/// The store is slower by this factor, for this long (2.5 to 6.9 times, 7.5 to 20 s).
const SLOWER: f64 = 6.0;
const SLOW_SPAN: Duration = Duration::from_millis(8_000);

#[derive(Clone, Debug)]
struct Sent {
    id: String,
    at: Instant,
    /// Another request was open on the connection for longer than [`CROSSING`] when this one was sent.
    not_resting: bool,
    /// The first request on its connection.
    first: bool,
    again: bool,
}

#[derive(Default)]
struct Totals {
    sent: u64,
    served: u64,
    refused: u64,
    failed: u64,
    resent: u64,
    errors_on_stream_0: u64,
    closed_with_open: u64,
    excused: u64,
    lost: Vec<String>,
    late: Vec<String>,
}

fn main() {
    let setup = Setup::read();
    let folder = Folder::new("bodies");
    let scheduler = Scheduler::default();
    let slow_until = Arc::new(Mutex::new(None::<Instant>));
    let slow = Arc::clone(&slow_until);
    let load_time = move || {
        let slow = slow.lock().expect("not poisoned").is_some_and(|until| Instant::now() < until);
        LOAD.mul_f64(1.0 - FETCH_SHARE) + LOAD.mul_f64(FETCH_SHARE * if slow { SLOWER } else { 1.0 })
    };
    let spec = InvokerSpec { work: Duration::from_millis(95), load_time: Arc::new(load_time) };
    let invokers: Vec<SocketAddr> =
        (0..INVOKERS).map(|n| invoker(&setup.record, &format!("s-{n}"), &scheduler, spec.clone())).collect();
    let listen = free_address();
    let class = |name: &str, effect: &str, aim: u64, deadline: u64, points: u64| {
        serde_json::json!({"name": name, "deadline_ms": deadline, "goal_time_ms": aim, "effect": effect,
            "points": points, "late_share": 0.2})
    };
    let config = serde_json::json!({
        "name": "n0", "listen": listen.to_string(), "seed": "8c1f30d27a5be964",
        "resolver": directory(invokers.clone()).to_string(),
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256},
        "known": known(&invokers),
        "settings": {
            "classes": [class("history", "free", 1200, 5000, 2), class("usage", "free", 600, 4000, 1),
                class("credit", "single_shot", 1200, 5000, 3)],
            "me": 0, "n_instances": 3, "step_ms": 4, "zone": "hall-a",
            "stats": {"how": "none"},
            "family_info": {"when_absent": "miss", "orders": true, "warm_notes": true, "linger_idle_ms": 12000,
                "order_timeout_ms": 10000},
            "limits": {"max_attempts": 3, "probes": true, "cancel": true, "connect_timeout_ms": 250,
                "conn_idle_ms": 30000, "max_streams": 32, "max_open": 20000},
            "obligations": {"stop_sending_within_ms": 2000, "start_capacity": 0.16, "cold_ms": 17000,
                "overload_factor": 2.5, "fall_ms": 2000, "grace_to_answer_ms": 8},
        },
    });
    let path = folder.path().join("config.json");
    std::fs::write(&path, config.to_string()).expect("the configuration is written");
    let mut command = Command::new(&setup.program);
    command
        .arg("node")
        .env("PROXY_CONFIG", &path)
        .env("PROXY_NAME", "n0")
        .env("PROXY_LISTEN", listen.to_string());
    let log = folder.path().join("n0.log");
    let mut node = Process::start(&setup.record, "n0", &mut command, &log);
    if !wait_ready(listen, Duration::from_secs(30)) {
        setup.not_run("the controller is not ready");
    }
    if setup.trouble {
        *slow_until.lock().expect("not poisoned") = Some(Instant::now() + SLOW_SPAN);
        setup.record.line(&format!("the store is {SLOWER} times slower for {SLOW_SPAN:?}"));
    }
    let totals = Arc::new(Mutex::new(Totals::default()));
    let counter = Arc::new(AtomicU64::new(1));
    let start = Instant::now();
    let clients: Vec<_> = (0..CONNECTIONS)
        .map(|n| {
            let (record, totals, counter) = (setup.record.clone(), Arc::clone(&totals), Arc::clone(&counter));
            let first = start + PERIOD.mul_f64(n as f64 / CONNECTIONS as f64);
            std::thread::spawn(move || client(n, listen, &record, &totals, &counter, first, start + TRAFFIC))
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().expect("no panic"));
    if let Some(status) = node.ended() {
        setup.end(true, &format!("the controller has ended: {status}"));
    }
    setup.record.line(&format!("peak memory of n0: {} KiB", node.peak_kib()));
    drop(node);
    if let Ok(text) = std::fs::read_to_string(&log) {
        text.lines().rev().take(6).for_each(|line| setup.record.line(&format!("log of n0: {line}")));
    }
    let totals = totals.lock().expect("not poisoned");
    let Totals {
        sent,
        served,
        refused,
        failed,
        resent,
        errors_on_stream_0,
        closed_with_open,
        excused,
        lost,
        late,
    } = &*totals;
    let summary = format!(
        "{sent} requests sent: {served} served, {refused} refused, {failed} failed, {} never answered and lost, {excused} never answered but excused, {} answered over 0.5 s late; {resent} sent again after a crossing; {errors_on_stream_0} errors on stream 0, {closed_with_open} connections closed by the controller with requests open",
        lost.len(),
        late.len()
    );
    setup.end(!lost.is_empty(), &summary);
}

/// One connection slot of a front: bursts until `until`, each on the connection that is open.
fn client(
    number: usize,
    address: SocketAddr,
    record: &Record,
    totals: &Arc<Mutex<Totals>>,
    counter: &AtomicU64,
    first: Instant,
    until: Instant,
) {
    let mut next = first;
    let mut again: Vec<Sent> = Vec::new();
    loop {
        if Instant::now() >= until && again.is_empty() {
            return;
        }
        // A connection is opened when there is something to send on it.
        while again.is_empty() && Instant::now() < next {
            std::thread::sleep(Duration::from_millis(1));
        }
        if Instant::now() >= until && again.is_empty() {
            return;
        }
        let Ok(stream) = TcpStream::connect(address) else { return };
        let _ = stream.set_nodelay(true);
        again =
            connection(number, stream, record, totals, counter, &mut next, until, std::mem::take(&mut again));
    }
}

/// Uses one connection until it ends. Returns the requests to send again on another one.
#[expect(clippy::too_many_arguments, reason = "the state of one client")]
fn connection(
    number: usize,
    stream: TcpStream,
    record: &Record,
    totals: &Arc<Mutex<Totals>>,
    counter: &AtomicU64,
    next: &mut Instant,
    until: Instant,
    again: Vec<Sent>,
) -> Vec<Sent> {
    let open: Arc<Mutex<HashMap<u32, Sent>>> = Arc::default();
    let (ended, go_away) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let reader = {
        let (mut stream, record) = (stream.try_clone().expect("a socket"), record.clone());
        let (open, totals) = (Arc::clone(&open), Arc::clone(totals));
        let (ended, go_away) = (Arc::clone(&ended), Arc::clone(&go_away));
        std::thread::spawn(move || {
            let (mut buffer, mut chunk) = (Vec::new(), vec![0; 64 << 10]);
            while let Ok(n) = stream.read(&mut chunk) {
                if n == 0 {
                    break;
                }
                buffer.extend_from_slice(&chunk[..n]);
                while let Some(frame) = next_frame(&mut buffer) {
                    if frame.kind == frames::kind::GO_AWAY {
                        go_away.store(true, Ordering::Release);
                    }
                    if frame.kind != frames::kind::ANSWER {
                        continue;
                    }
                    let mut totals = totals.lock().expect("not poisoned");
                    if frame.stream == 0 {
                        totals.errors_on_stream_0 += 1;
                        let text =
                            String::from_utf8_lossy(frame.payload.get(2..).unwrap_or_default()).into_owned();
                        record.line(&format!("client {number}: error on stream 0: {text}"));
                        continue;
                    }
                    let Some(sent) = open.lock().expect("not poisoned").remove(&frame.stream) else {
                        continue;
                    };
                    let word = match frame.payload.first() {
                        Some(79) => "served",
                        Some(66) => "refused",
                        _ => "failed",
                    };
                    match word {
                        "served" => totals.served += 1,
                        "refused" => totals.refused += 1,
                        _ => totals.failed += 1,
                    }
                    let after = sent.at.elapsed();
                    if after > TTL + Duration::from_millis(500) {
                        totals.late.push(sent.id.clone());
                    }
                    let text = if word == "served" {
                        String::new()
                    } else {
                        String::from_utf8_lossy(frame.payload.get(2..).unwrap_or_default()).into_owned()
                    };
                    record.line(&format!(
                        "client {number}: {} {word} after {} ms {text}",
                        sent.id,
                        after.as_millis()
                    ));
                }
            }
            ended.store(true, Ordering::Release);
        })
    };
    let mut stream = stream;
    let mut stream_number = 0;
    let mut due = again;
    while !ended.load(Ordering::Acquire) {
        let now = Instant::now();
        let requests_open = open.lock().expect("not poisoned").len();
        if go_away.load(Ordering::Acquire) && requests_open == 0 {
            break;
        }
        if now >= until && requests_open == 0 && due.is_empty() {
            break;
        }
        if open
            .lock()
            .expect("not poisoned")
            .values()
            .any(|sent| sent.at.elapsed() > TTL + Duration::from_secs(2))
        {
            break;
        }
        let mut count = due.len();
        if now >= *next && now < until {
            count += BURST.min(32usize.saturating_sub(requests_open + due.len()));
            *next += PERIOD;
        }
        for _ in 0..count {
            let repeat = due.pop();
            let id = repeat.as_ref().map_or_else(
                || format!("{:016x}", 0x9b1f_0000_0000_0000_u64 + counter.fetch_add(1, Ordering::Relaxed)),
                |sent| sent.id.clone(),
            );
            let row = format!(
                "{:016x}",
                0x7f3a_9c21_0000_0000_u64 + u64::from_str_radix(&id, 16).unwrap_or(0) % FUNCTIONS
            );
            stream_number += 1;
            let mut out = Vec::new();
            let ttl = TTL.as_millis().to_string();
            let fields = [
                ("op", "history"),
                ("call", &id),
                ("ttl", &ttl),
                ("row", &row),
                ("tags", "memory_mb:3000;lanes:8;load_ms:1500"),
            ];
            frames::request(&mut out, stream_number, &fields, &vec![7; BODY]);
            let not_resting =
                open.lock().expect("not poisoned").values().any(|other| other.at.elapsed() > CROSSING);
            let sent = Sent {
                id: id.clone(),
                at: Instant::now(),
                not_resting,
                first: stream_number == 1,
                again: repeat.is_some(),
            };
            open.lock().expect("not poisoned").insert(stream_number, sent);
            if stream.write_all(&out).is_err() {
                // Not written whole: it was not taken. It is sent on the next connection.
                let sent = open.lock().expect("not poisoned").remove(&stream_number);
                due.extend(sent);
                break;
            }
            if repeat.is_none() {
                totals.lock().expect("not poisoned").sent += 1;
            }
            if let Some(sent) = open.lock().expect("not poisoned").get_mut(&stream_number) {
                sent.at = Instant::now();
            }
            record.line(&format!("client {number}: sent {id} as stream {stream_number}"));
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
    let _ = reader.join();
    let closed_at = Instant::now();
    let left: Vec<Sent> = open.lock().expect("not poisoned").drain().map(|(_, sent)| sent).collect();
    let mut totals = totals.lock().expect("not poisoned");
    if !left.is_empty() {
        totals.closed_with_open += 1;
    }
    for sent in left {
        let crossed =
            !sent.not_resting && !sent.again && closed_at - sent.at <= CROSSING + Duration::from_millis(10);
        // Such requests have failed and are not lost: one whose time has run out, and the first one on a connection.
        let excused = sent.first || closed_at - sent.at >= TTL;
        let word = match (crossed, excused) {
            (true, _) => "sent again",
            (false, true) => "failed, not lost",
            (false, false) => "lost",
        };
        record.line(&format!(
            "client {number}: connection ended without an answer to {}, sent {} ms before; {word}",
            sent.id,
            (closed_at - sent.at).as_millis(),
        ));
        if excused && !crossed {
            totals.excused += 1;
        } else if crossed {
            totals.resent += 1;
            due.push(Sent { again: true, ..sent });
        } else {
            totals.lost.push(sent.id);
        }
    }
    due
}
