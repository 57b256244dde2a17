//! New versions of all functions invalidate every replica for all controllers at once. Each controller learns this by
//! its first miss.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

use common::{Invoker, Reaction, ReceivedCommand, RunningNode, SERVED};

const FUNCTIONS: u64 = 6;
const CONTROLLERS: usize = 4;

/// The replicas at the invokers, and the commands that they have received.
#[derive(Default)]
struct InvokerState {
    /// Loaded replicas: invoker and function.
    copies: BTreeSet<(usize, String)>,
    /// Load orders: invoker and function.
    orders: Vec<(usize, String)>,
    /// How often each call ran.
    ran: BTreeMap<String, u32>,
}

fn field(fields: &str, name: &str) -> String {
    let found = fields.split(',').find_map(|f| f.strip_prefix(name)?.strip_prefix('='));
    found.expect("the field is there").to_owned()
}

fn invoker(number: usize, state: &Arc<Mutex<InvokerState>>) -> Invoker {
    let state = Arc::clone(state);
    Invoker::start(move |received: &ReceivedCommand| {
        let fields = || String::from_utf8_lossy(&received.parts[2]).into_owned();
        let mut state = state.lock().expect("not poisoned");
        match received.keyword() {
            "CALL" if state.copies.contains(&(number, field(&fields(), "asset"))) => {
                *state.ran.entry(received.id().to_owned()).or_default() += 1;
                Reaction::Answer("served", "n=w", vec![])
            }
            "CALL" => Reaction::Answer("not_here", "-", vec![]),
            "LOAD" => {
                let copy = (number, field(&fields(), "asset"));
                state.orders.push(copy.clone());
                state.copies.insert(copy);
                Reaction::Answer("served", "instances=1", vec![])
            }
            _ => Reaction::Answer("green", "-", vec![]),
        }
    })
}

/// Calls each function in both classes, at the same time at each of these controllers. All calls must be served.
fn call_all(nodes: &[RunningNode], first_id: u64) {
    let mut id = first_id;
    let mut clients: Vec<_> = nodes.iter().map(RunningNode::client).collect();
    for row in 1..=FUNCTIONS {
        for class in ["safe", "once"] {
            let ask = |client: &mut common::Client| {
                id += 1;
                client.send_request(class, id, row, b"")
            };
            let streams: Vec<u32> = clients.iter_mut().map(ask).collect();
            for (client, stream) in clients.iter_mut().zip(streams) {
                assert_eq!(client.read_answer(stream).0, SERVED, "calls of every class are served");
            }
        }
    }
}

fn start(change: impl Fn(&mut serde_json::Value)) -> (Arc<Mutex<InvokerState>>, Vec<RunningNode>) {
    let state = Arc::new(Mutex::new(InvokerState::default()));
    let invokers: Vec<Invoker> = (0..3).map(|number| invoker(number, &state)).collect();
    let all: Vec<&Invoker> = invokers.iter().collect();
    let nodes = (0..CONTROLLERS).map(|_| RunningNode::start_with(&all, &change)).collect();
    (state, nodes)
}

/// Invalidates all replicas, as new versions do. Returns the number of load orders so far, and resets it.
fn invalidate_all(state: &Mutex<InvokerState>) -> usize {
    let mut state = state.lock().expect("not poisoned");
    state.copies.clear();
    std::mem::take(&mut state.orders).len()
}

#[test]
fn first_miss_reloads_a_replica_for_all_controllers() {
    let (state, nodes) = start(|_| ());
    call_all(&nodes, 0);
    invalidate_all(&state);
    call_all(&nodes[..1], 1_000);
    let ordered = state.lock().expect("not poisoned").orders.len();
    assert_eq!(ordered, FUNCTIONS as usize, "one load order per function");
    call_all(&nodes[1..], 2_000);
    let state = state.lock().expect("not poisoned");
    assert_eq!(state.orders.len(), ordered, "the other controllers find the loaded replicas");
    assert!(state.ran.values().all(|runs| *runs == 1), "no call ran twice");
}

#[test]
fn simultaneous_misses_order_no_more_than_the_ration() {
    let (state, nodes) = start(|_| ());
    call_all(&nodes, 0);
    invalidate_all(&state);
    call_all(&nodes, 1_000);
    let orders = invalidate_all(&state);
    assert!(orders <= CONTROLLERS * FUNCTIONS as usize, "{orders} orders");
    assert!(orders >= FUNCTIONS as usize);

    // With a ration: eight load orders in ten seconds, plus a quarter of the requests.
    let (state, nodes) = start(|config| {
        let family = &mut config["settings"]["family_info"];
        family["load_period_ms"] = 10_000.into();
        family["load_floor"] = 8.into();
        family["load_share"] = 0.25.into();
    });
    call_all(&nodes[..1], 0);
    invalidate_all(&state);
    call_all(&nodes[..1], 1_000);
    // One controller with 24 requests within the period.
    let state = state.lock().expect("not poisoned");
    assert!(state.orders.len() <= 8 + 24 / 4, "{:?}", state.orders);
    assert!(state.ran.values().all(|runs| *runs == 1));
}
