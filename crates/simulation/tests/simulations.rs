//! Tests of whole simulations: equal seeds give equal outcomes, no follower accepts calls without an acknowledged
//! change, and controllers recover their snapshots.

use nettleferry_simulation::network::Network;
use nettleferry_simulation::{follow, power};

fn network(loss: f64) -> Network {
    Network { loss, delay: 2_000, bandwidth: 100e6 }
}

fn follow_plan(controllers: u32, loss: f64, seed: u64) -> follow::Plan {
    let (lease_ms, changes, length) = (6_000, 0.5, 30_000_000);
    follow::Plan { controllers, network: network(loss), lease_ms, changes, length, seed }
}

#[test]
fn no_follower_accepts_calls_without_an_acknowledged_change_at_any_loss() {
    for loss in [0.0, 0.05, 0.2] {
        for seed in 0..4 {
            let outcome = follow::simulate(follow_plan(32, loss, seed));
            assert_eq!(outcome.violations, 0, "{outcome:?}");
            assert!(outcome.made > 5 && outcome.acknowledged + 10 >= outcome.made, "{outcome:?}");
            // At any loss, a change is in force within the duration of a lease and the clock error.
            assert!(outcome.max_ms <= 6_000.0 + 60.0 + 25.0, "{outcome:?}");
        }
    }
    let lossless = follow::simulate(follow_plan(32, 0.0, 9));
    assert!(lossless.without_lease == 0.0 && lossless.p99_ms < 50.0, "{lossless:?}");
    let lossy = follow::simulate(follow_plan(32, 0.3, 9));
    assert!(lossy.p99_ms > lossless.p99_ms && lossy.without_lease < 0.01, "{lossy:?}");
}

fn power_plan(leader_return: power::LeaderReturn, lost_snapshots: f64) -> power::Plan {
    power::Plan {
        controllers: 24,
        network: network(0.01),
        leader_return,
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
    for (leader_return, lost_snapshots, recovers) in [
        (LeaderReturn::First, 1.0, true),
        (LeaderReturn::After(5_000_000), 1.0, true),
        (LeaderReturn::Never, 0.5, true),
        (LeaderReturn::Never, 1.0, false),
    ] {
        let outcome = power::simulate(power_plan(leader_return, lost_snapshots));
        assert_eq!(outcome.with_snapshot == 24, recovers, "{leader_return:?}: {outcome:?}");
        assert_eq!(outcome.ready_ms.is_some(), recovers, "{outcome:?}");
    }
}

#[test]
fn equal_seeds_give_equal_outcomes_and_admission_rejects_early() {
    let (first, second) = (
        power::simulate(power_plan(power::LeaderReturn::First, 0.2)),
        power::simulate(power_plan(power::LeaderReturn::First, 0.2)),
    );
    assert_eq!(format!("{first:?}"), format!("{second:?}"));
    // More calls arrive than the workers can serve while they warm up. Without admission control more of them wait in
    // the queue until they are late.
    let overloaded = |admission| {
        power::simulate(power::Plan {
            calls_per_second: 110.0,
            admission,
            ..power_plan(power::LeaderReturn::First, 0.0)
        })
    };
    let (with, without) = (overloaded(true), overloaded(false));
    assert!(with.in_time > without.in_time && with.late < without.late, "{with:?} {without:?}");
}
