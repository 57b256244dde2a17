//! New versions of what is loaded arrive on a quiet day: every copy is void for all controllers at once, and nothing
//! else is amiss. What each controller believes is corrected by its first miss.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

use common::{Invoker, Reaction, ReceivedCommand, RunningNode, SERVED};

const FUNCTIONS: u64 = 6;
const CONTROLLERS: usize = 4;

/// What stands at which invoker, and what came.
#[derive(Default)]
struct World {
    copies: BTreeSet<(usize, String)>,
    orders: Vec<(usize, String)>,
    /// Runs of each call.
    ran: BTreeMap<String, u32>,
}

fn field(fields: &str, name: &str) -> String {
    let found = fields.split(',').find_map(|f| f.strip_prefix(name)?.strip_prefix('='));
    found.expect("the field is there").to_owned()
}

fn invoker(number: usize, world: &Arc<Mutex<World>>) -> Invoker {
    let world = Arc::clone(world);
    Invoker::start(move |received: &ReceivedCommand| {
        let fields = || String::from_utf8_lossy(&received.parts[2]).into_owned();
        let mut world = world.lock().expect("no panic holds it");
        match received.keyword() {
            "CALL" if world.copies.contains(&(number, field(&fields(), "asset"))) => {
                *world.ran.entry(received.id().to_owned()).or_default() += 1;
                Reaction::Answer("served", "n=w", vec![])
            }
            "CALL" => Reaction::Answer("not_here", "-", vec![]),
            "LOAD" => {
                let copy = (number, field(&fields(), "asset"));
                world.orders.push(copy.clone());
                world.copies.insert(copy);
                Reaction::Answer("served", "instances=1", vec![])
            }
            _ => Reaction::Answer("green", "-", vec![]),
        }
    })
}

/// Each of these controllers calls each function, safe and unsafe, all of them at the same time; all are served.
fn call_all(nodes: &[RunningNode], first_id: u64) {
    let mut id = first_id;
    let mut clients: Vec<_> = nodes.iter().map(RunningNode::client).collect();
    for row in 1..=FUNCTIONS {
        for class in ["safe", "once"] {
            let ask = |client: &mut common::Client| {
                id += 1;
                client.ask(class, id, row, b"")
            };
            let owed: Vec<u32> = clients.iter_mut().map(ask).collect();
            for (client, stream) in clients.iter_mut().zip(owed) {
                assert_eq!(client.answer(stream).0, SERVED, "no class starves");
            }
        }
    }
}

fn start(change: impl Fn(&mut serde_json::Value)) -> (Arc<Mutex<World>>, Vec<RunningNode>) {
    let world = Arc::new(Mutex::new(World::default()));
    let invokers: Vec<Invoker> = (0..3).map(|number| invoker(number, &world)).collect();
    let all: Vec<&Invoker> = invokers.iter().collect();
    let nodes = (0..CONTROLLERS).map(|_| RunningNode::start_with(&all, &change)).collect();
    (world, nodes)
}

/// The new versions: all copies are void. Gives the orders so far, which are forgotten.
fn renew(world: &Mutex<World>) -> usize {
    let mut world = world.lock().expect("no panic holds it");
    world.copies.clear();
    std::mem::take(&mut world.orders).len()
}

#[test]
fn first_miss_reloads_a_replica_for_all_controllers() {
    let (world, nodes) = start(|_| ());
    call_all(&nodes, 0);
    renew(&world);
    call_all(&nodes[..1], 1_000);
    let brought = world.lock().expect("no panic holds it").orders.len();
    assert_eq!(brought, FUNCTIONS as usize, "one order a function");
    call_all(&nodes[1..], 2_000);
    let world = world.lock().expect("no panic holds it");
    assert_eq!(world.orders.len(), brought, "the others find what stands");
    assert!(world.ran.values().all(|runs| *runs == 1), "nothing ran twice");
}

#[test]
fn simultaneous_misses_order_no_more_than_the_ration() {
    let (world, nodes) = start(|_| ());
    call_all(&nodes, 0);
    renew(&world);
    call_all(&nodes, 1_000);
    let orders = renew(&world);
    assert!(orders <= CONTROLLERS * FUNCTIONS as usize, "{orders} orders");
    assert!(orders >= FUNCTIONS as usize);

    // With a ration: eight in ten seconds, and a quarter of the requests.
    let (world, nodes) = start(|config| {
        let family = &mut config["settings"]["family_info"];
        family["load_period_ms"] = 10_000.into();
        family["load_floor"] = 8.into();
        family["load_share"] = 0.25.into();
    });
    call_all(&nodes[..1], 0);
    renew(&world);
    call_all(&nodes[..1], 1_000);
    // One controller, 24 requests in all within the window.
    let world = world.lock().expect("no panic holds it");
    assert!(world.orders.len() <= 8 + 24 / 4, "{:?}", world.orders);
    assert!(world.ran.values().all(|runs| *runs == 1));
}
