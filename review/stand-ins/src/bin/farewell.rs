//! A planned restart of `nettleferry serve` while clients with a slower link read their answers.

use std::time::{Duration, Instant};

use nettleferry_test_servers::ObservationKind;
use review_stand_ins::serve::*;
use review_stand_ins::*;
use rustix::process::Signal;

const CALLS: usize = 4;
/// Size of an input and so of its answer; messages may have 64 MiB.
const ANSWER: usize = 8 << 20;
/// Rate of a client's link towards the client: 20 Mbit/s.
const RATE: usize = 2_500_000;
/// Deadline of the calls.
const DEADLINE: Duration = Duration::from_secs(20);

fn main() {
    let setup = Setup::read();
    let folder = Folder::new("farewell");
    let workers = Workers::start(
        2,
        "(listen \"127.0.0.1:0\") (cores 8) (queue 100) (model \"\" (lanes 16) (load-time 50ms) (work 500ms))",
    );
    std::fs::write(folder.path().join("workers.sexp"), workers.list()).expect("the list is written");
    let grpc = free_address();
    let settings = format!(
        "(listen (grpc \"{grpc}\")) (workers (file \"workers.sexp\"))\n\
         (class quick (effect safe) (aim 6s) (deadline 20s)) (model \"echo\" (class quick) (lanes 16))\n\
         (class once (effect unsafe) (aim 6s) (deadline 20s)) (model \"echo-once\" (class once) (lanes 16))\n"
    );
    let mut controller = serve(&setup, "controller", folder.path(), &settings);
    if !wait_listening(grpc, Duration::from_secs(10)) {
        setup.not_run("the controller does not listen");
    }
    let warm = call(grpc, None, &echo("echo", "warm", 64), DEADLINE, DEADLINE);
    if !warm.is_some_and(|end| end.is_ok()) {
        setup.not_run("a first call is not served");
    }
    let link = slow_link(grpc, RATE);
    let threads: Vec<_> = (0..CALLS)
        .map(|n| {
            let record = setup.record.clone();
            std::thread::spawn(move || {
                let (id, began) = (format!("c{n}"), Instant::now());
                // Half of the calls must not run twice.
                let model = if n % 2 == 0 { "echo" } else { "echo-once" };
                record.line(&format!("call {id} of {model} sent"));
                let end =
                    call(link, None, &echo(model, &id, ANSWER), DEADLINE, DEADLINE + Duration::from_secs(2));
                let text = end.as_ref().map_or_else(|| "no end".to_owned(), CallEnd::text);
                record.line(&format!("call {id} ended after {} ms: {text}", began.elapsed().as_millis()));
                end
            })
        })
        .collect();
    // The signal comes while the calls are open, once all are at workers.
    let mut at_workers = 0;
    let reached = wait_until(Duration::from_secs(15), || {
        for observation in workers.observed() {
            setup.record.line(&format!("worker {}: {:?}", observation.worker, short(&observation.kind)));
            at_workers += usize::from(matches!(observation.kind, ObservationKind::Call { .. }));
        }
        at_workers > CALLS
    });
    if !reached {
        setup.not_run("the calls did not reach the workers");
    }
    let signalled = Instant::now();
    if setup.trouble {
        controller.signal(Signal::TERM);
    }
    let ends: Vec<_> = threads.into_iter().map(|thread| thread.join().expect("no panic")).collect();
    for observation in workers.observed() {
        setup.record.line(&format!("worker {}: {:?}", observation.worker, short(&observation.kind)));
    }
    let exit = if setup.trouble { controller.wait(Duration::from_secs(35)) } else { None };
    if let Some(exit) = exit {
        setup.record.line(&format!(
            "the controller ended with {exit}, at most {} ms after the signal",
            signalled.elapsed().as_millis()
        ));
    }
    if let Ok(text) = std::fs::read_to_string(folder.path().join("log")) {
        text.lines().for_each(|line| {
            setup.record.line(&format!("log: {}", line.chars().take(300).collect::<String>()))
        });
    }
    let lost = ends.iter().filter(|end| end.as_ref().is_none_or(|end| end.status.is_err())).count();
    let served = ends.iter().filter(|end| end.as_ref().is_some_and(CallEnd::is_ok)).count();
    let summary = format!("{CALLS} calls, {served} served, {lost} ended without any status; exit {exit:?}");
    setup.end(lost > 0, &summary);
}

fn short(kind: &ObservationKind) -> String {
    format!("{kind:?}").chars().take(120).collect()
}
