//! Equal seeds give equal outcomes; no follower acts without an acknowledged change; every controller gets a snapshot.

use nettleferry_simulation::network::Network;
use nettleferry_simulation::{follow, power};

fn network(loss: f64) -> Network {
    Network { loss, delay: 2_000, bandwidth: 100e6 }
}

fn followers(controllers: u32, loss: f64, seed: u64) -> follow::Plan {
    let (lease_ms, changes, length) = (6_000, 0.5, 30_000_000);
    follow::Plan { controllers, network: network(loss), lease_ms, changes, length, seed }
}

#[test]
fn no_follower_accepts_calls_without_an_acknowledged_change_at_any_loss() {
    for loss in [0.0, 0.05, 0.2] {
        for seed in 0..4 {
            let outcome = follow::simulate(followers(32, loss, seed));
            assert_eq!(outcome.violations, 0, "{outcome:?}");
            assert!(outcome.made > 5 && outcome.acknowledged + 10 >= outcome.made, "{outcome:?}");
            // However much is lost, a change is in force within a lease span and the error of the clocks.
            assert!(outcome.max_ms <= 6_000.0 + 60.0 + 25.0, "{outcome:?}");
        }
    }
    let well = follow::simulate(followers(32, 0.0, 9));
    assert!(well.without_lease == 0.0 && well.p99_ms < 50.0, "{well:?}");
    let bad = follow::simulate(followers(32, 0.3, 9));
    assert!(bad.p99_ms > well.p99_ms && bad.without_lease < 0.01, "{bad:?}");
}

fn plan(administration: power::LeaderReturn, lost_snapshots: f64) -> power::Plan {
    power::Plan {
        controllers: 24,
        network: network(0.01),
        leader_return: administration,
        lost_snapshots,
        tenants: 500,
        calls_per_second: 70.0,
        capacity: 140.0,
        initial_capacity: 0.25,
        warm_up: 4_000_000,
        warm_up_wait: 1_000_000,
        models: 12,
        load_time: 300_000,
        store_capacity: 32,
        latency_objective: 600_000,
        deadline: 3_000_000,
        admission: true,
        length: 20_000_000,
        seed: 3,
    }
}

#[test]
fn snapshots_return_from_the_leader_or_from_peers() {
    use power::LeaderReturn;
    for (back, lost, whole) in [
        (LeaderReturn::First, 1.0, true),
        (LeaderReturn::After(5_000_000), 1.0, true),
        (LeaderReturn::Never, 0.5, true),
        (LeaderReturn::Never, 1.0, false),
    ] {
        let outcome = power::simulate(plan(back, lost));
        assert_eq!(outcome.with_snapshot == 24, whole, "{back:?}: {outcome:?}");
        assert_eq!(outcome.ready_ms.is_some(), whole, "{outcome:?}");
    }
}

#[test]
fn equal_seeds_give_equal_outcomes_and_admission_rejects_early() {
    let (first, second) = (
        power::simulate(plan(power::LeaderReturn::First, 0.2)),
        power::simulate(plan(power::LeaderReturn::First, 0.2)),
    );
    assert_eq!(format!("{first:?}"), format!("{second:?}"));
    // More calls arrive than the warming fleet can serve: admission serves in time what would wait in vain without it.
    let crowded = |admission| {
        power::simulate(power::Plan {
            calls_per_second: 110.0,
            admission,
            ..plan(power::LeaderReturn::First, 0.0)
        })
    };
    let (gate, open) = (crowded(true), crowded(false));
    assert!(gate.in_time > open.in_time && gate.late < open.late, "{gate:?} {open:?}");
}
