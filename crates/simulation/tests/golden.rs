//! Compares the outcomes of the simulations as JSON with stored ones (`golden/outcomes.jsonl`). Guards against changed
//! names or values of fields on which scripts that read the output of `fleet simulate` rely.

use nettleferry_simulation::network::Network;
use nettleferry_simulation::{follow, power};

const NETWORK: Network = Network { loss: 0.1, delay: 2_000, bandwidth: 104_857_600.0 };

/// The stored outcome with the given index.
fn expected(index: usize) -> &'static str {
    let lines = include_str!("golden/outcomes.jsonl");
    lines.lines().nth(index).expect("a stored outcome for each simulation")
}

#[test]
fn follow_outcome_keeps_its_json() {
    let (lease_ms, changes, length) = (6_000, 0.5, 4_000_000);
    let plan = follow::Plan { controllers: 5, network: NETWORK, lease_ms, changes, length, seed: 7 };
    let json = serde_json::to_string(&follow::simulate(plan)).expect("outcome serialized as JSON");
    assert_eq!(json, expected(0));
}

#[test]
fn power_outcome_keeps_its_json() {
    let leader_returns =
        [power::LeaderReturn::After(1_000_000), power::LeaderReturn::First, power::LeaderReturn::Never];
    for (index, leader_return) in leader_returns.into_iter().enumerate() {
        let plan = power::Plan {
            controllers: 4,
            network: NETWORK,
            leader_return,
            lost_snapshots: 0.7,
            tenants: 500,
            calls_per_second: 70.0,
            capacity: 131.0,
            initial_capacity: 0.25,
            warm_up: 4_000_000,
            warm_up_wait: 1_000_000,
            models: 26,
            load_time: 300_000,
            store_capacity: 64,
            latency_objective: 600_000,
            deadline: 3_000_000,
            admission: true,
            length: 6_000_000,
            seed: 7,
        };
        let json = serde_json::to_string(&power::simulate(plan)).expect("outcome serialized as JSON");
        assert_eq!(json, expected(1 + index));
    }
}
