//! Outcomes as JSON: names and values that scripts over `fleet simulate` rely on, held against those that the
//! simulation gave before its types were renamed (`golden/outcomes.jsonl`).

use nettleferry_simulation::network::Network;
use nettleferry_simulation::{follow, power};

const NETWORK: Network = Network { loss: 0.1, delay: 2_000, bandwidth: 104_857_600.0 };

/// A line of the outcomes that the simulation gave before its names were changed.
fn expected(index: usize) -> &'static str {
    let lines = include_str!("golden/outcomes.jsonl");
    lines.lines().nth(index).expect("a line for each play")
}

#[test]
fn follow_outcome_keeps_its_json() {
    let (lease_ms, changes, length) = (6_000, 0.5, 4_000_000);
    let plan = follow::Plan { controllers: 5, network: NETWORK, lease_ms, changes, length, seed: 7 };
    let json = serde_json::to_string(&follow::simulate(plan)).expect("JSON");
    assert_eq!(json, expected(0));
}

#[test]
fn power_outcome_keeps_its_json() {
    let plays =
        [power::LeaderReturn::After(1_000_000), power::LeaderReturn::First, power::LeaderReturn::Never];
    for (index, administration) in plays.into_iter().enumerate() {
        let plan = power::Plan {
            controllers: 4,
            network: NETWORK,
            leader_return: administration,
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
        let json = serde_json::to_string(&power::simulate(plan)).expect("JSON");
        assert_eq!(json, expected(1 + index));
    }
}
