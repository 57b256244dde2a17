//! The administration dies and comes back; a tenant is suspended, and the response says that this is in force everywhere.
//! From then on no controller may accept a call of the tenant.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nettleferry_net::grpc::Code;
use review_stand_ins::serve::*;
use review_stand_ins::*;
use rustix::process::Signal;

const FOLLOWERS: u32 = 3;
/// How long the administration's process is away: controllers die and come back after 1.2 to 7 s.
const AWAY: Duration = Duration::from_millis(6_500);
const TENANT: &str = "kalahari";
const DEADLINE: Duration = Duration::from_secs(4);

/// A call of the tenant at a controller: when it was sent and whether it was served.
struct Call {
    controller: u32,
    sent: Instant,
    end: Option<CallEnd>,
}

fn main() {
    let setup = Setup::read();
    let workers = Workers::start(
        2,
        "(listen \"127.0.0.1:0\") (cores 8) (queue 100) (model \"\" (lanes 16) (load-time 20ms) (work 2ms))",
    );
    let folders: Vec<Folder> = (0..=FOLLOWERS).map(|n| Folder::new(&format!("suspended-{n}"))).collect();
    let (token, operator) = key(&setup, "ada", "admin");
    let (follower_token, follower_key) = key(&setup, "fleet", "controller");
    let api_address = free_address();
    let grpc: Vec<SocketAddr> = (0..=FOLLOWERS).map(|_| free_address()).collect();
    let all = FOLLOWERS + 1;
    let settings = |n: u32, admin: &str| {
        format!(
            "(listen (grpc \"{}\")) (controller (number {n}) (of {all})) (workers (file \"workers.sexp\"))\n\
             (class quick (effect safe) (aim 1s) (deadline 4s)) (model \"echo\" (class quick) (lanes 16))\n{admin}\n",
            grpc[n as usize]
        )
    };
    for folder in &folders {
        std::fs::write(folder.path().join("workers.sexp"), workers.list()).expect("the list is written");
        std::fs::write(folder.path().join("key"), &follower_token).expect("the key is written");
    }
    let leader_settings = settings(
        0,
        &format!(
            "(admin (listen \"{api_address}\") (store \"tenants.redb\") {operator} {follower_key} (lease 1s))"
        ),
    );
    let mut leader = serve(&setup, "controller 0", folders[0].path(), &leader_settings);
    let follow = format!("(admin (follow \"{api_address}\") (key-file \"key\") (kept \"kept.json\"))");
    let _followers: Vec<Process> = (1..=FOLLOWERS)
        .map(|n| serve(&setup, &format!("controller {n}"), folders[n as usize].path(), &settings(n, &follow)))
        .collect();
    let api = Api { address: api_address, token, record: setup.record.clone() };
    if !wait_listening(api_address, Duration::from_secs(15)) {
        setup.not_run("the administration does not listen");
    }
    let created = api.send("POST", "/v1/tenants", &format!("{{\"name\":\"{TENANT}\"}}"));
    if created.status != 201 {
        setup.not_run(&format!("the tenant was not created: {}", created.status));
    }
    for n in 0..=FOLLOWERS {
        let served = wait_until(Duration::from_secs(15), || {
            call(grpc[n as usize], Some(TENANT), &echo("echo", "first", 16), DEADLINE, DEADLINE)
                .is_some_and(|end| end.is_ok())
        });
        if !served {
            setup.not_run(&format!("controller {n} does not serve the tenant"));
        }
    }
    // All followers hold leases, so each is known to the administration.
    let known = wait_until(Duration::from_secs(10), || {
        api.get("/v1/fleet")["lives"].as_array().is_some_and(|lives| lives.len() == FOLLOWERS as usize)
    });
    if !known {
        setup.not_run("the administration does not know its followers");
    }
    if setup.trouble {
        leader.signal(Signal::KILL);
        let _ = leader.wait(Duration::from_secs(5));
        std::thread::sleep(AWAY);
        leader = serve(&setup, "controller 0", folders[0].path(), &leader_settings);
        if !wait_listening(api_address, Duration::from_secs(15)) {
            setup.not_run("the administration did not come back");
        }
        setup.record.line("the administration is back");
    }
    // Clients of the tenant call each controller all the time.
    let (stop, calls) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::<Call>::new())));
    let clients: Vec<_> = (0..=FOLLOWERS)
        .map(|controller| {
            let (stop, calls, address) = (Arc::clone(&stop), Arc::clone(&calls), grpc[controller as usize]);
            std::thread::spawn(move || {
                while !stop.load(Ordering::Acquire) {
                    let sent = Instant::now();
                    let end = call(address, Some(TENANT), &echo("echo", "x", 16), DEADLINE, DEADLINE);
                    calls.lock().expect("not poisoned").push(Call { controller, sent, end });
                    std::thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    // As an operator does: where the response says that the change is not in force everywhere yet, ask again.
    let mut response = api.send("POST", &format!("/v1/tenants/{TENANT}/suspend"), "");
    let asked = Instant::now();
    while response.header("Nettleferry-In-Force") != "everywhere" && asked.elapsed() < Duration::from_secs(30)
    {
        std::thread::sleep(Duration::from_millis(100));
        response = api.send("POST", &format!("/v1/tenants/{TENANT}/suspend"), "");
    }
    let acknowledged = Instant::now();
    if response.header("Nettleferry-In-Force") != "everywhere" || response.status != 200 {
        setup.not_run("the suspension was never said to be in force everywhere");
    }
    setup.record.line("the response says: in force everywhere");
    std::thread::sleep(Duration::from_secs(8));
    stop.store(true, Ordering::Release);
    clients.into_iter().for_each(|client| client.join().expect("no panic"));
    drop(leader);
    let calls = calls.lock().expect("not poisoned");
    for call in calls.iter() {
        let side = if call.sent > acknowledged { "after" } else { "before" };
        let apart =
            if call.sent > acknowledged { call.sent - acknowledged } else { acknowledged - call.sent };
        let end = call.end.as_ref().map_or_else(|| "no end".to_owned(), CallEnd::text);
        setup.record.line(&format!(
            "controller {}: call sent {} ms {side} the response: {end}",
            call.controller,
            apart.as_millis()
        ));
    }
    let mut served_after = 0;
    let mut last = Duration::ZERO;
    for n in 0..=FOLLOWERS {
        let own: Vec<&Call> = calls.iter().filter(|call| call.controller == n).collect();
        let after: Vec<&&Call> = own.iter().filter(|call| call.sent > acknowledged).collect();
        let served: Vec<_> =
            after.iter().filter(|call| call.end.as_ref().is_some_and(CallEnd::is_ok)).collect();
        let denied = after
            .iter()
            .filter(|call| {
                matches!(call.end.as_ref().map(|end| &end.status), Some(Ok((Code::PermissionDenied, _))))
            })
            .count();
        let latest = served.iter().map(|call| call.sent - acknowledged).max().unwrap_or_default();
        setup.record.line(&format!(
            "controller {n}: {} calls of the tenant sent after the response, {} served (the last one sent {} ms after it), {denied} denied",
            after.len(),
            served.len(),
            latest.as_millis()
        ));
        served_after += served.len();
        last = last.max(latest);
    }
    let summary = format!(
        "{served_after} calls of the suspended tenant were sent after the response 'in force everywhere' and served, the last one {} ms after it",
        last.as_millis()
    );
    setup.end(served_after > 0, &summary);
}
