//! One seed, one outcome; nobody acts wrongly at any size; nobody waits for ever for a book.

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
fn nobody_acts_without_an_acknowledged_change_at_any_loss() {
    for loss in [0.0, 0.05, 0.2] {
        for seed in 0..4 {
            let outcome = follow::play(followers(32, loss, seed));
            assert_eq!(outcome.wrong, 0, "{outcome:?}");
            assert!(outcome.made > 5 && outcome.acknowledged + 10 >= outcome.made, "{outcome:?}");
            // However much is lost, a change is told within a span and what the clocks may err.
            assert!(outcome.most_ms <= 6_000.0 + 60.0 + 25.0, "{outcome:?}");
        }
    }
    let well = follow::play(followers(32, 0.0, 9));
    assert!(well.shut_out == 0.0 && well.p99_ms < 50.0, "{well:?}");
    let bad = follow::play(followers(32, 0.3, 9));
    assert!(bad.p99_ms > well.p99_ms && bad.shut_out < 0.01, "{bad:?}");
}

fn plan(administration: power::Back, lost_books: f64) -> power::Plan {
    power::Plan {
        controllers: 24,
        network: network(0.01),
        administration,
        lost_books,
        tenants: 500,
        calls: 70.0,
        capacity: 140.0,
        cold_part: 0.25,
        cold: 4_000_000,
        wait: 1_000_000,
        models: 12,
        load: 300_000,
        store: 32,
        aim: 600_000,
        deadline: 3_000_000,
        gate: true,
        length: 20_000_000,
        seed: 3,
    }
}

#[test]
fn books_come_back_from_the_administration_or_from_peers() {
    use power::Back;
    for (back, lost, whole) in [
        (Back::First, 1.0, true),
        (Back::After(5_000_000), 1.0, true),
        (Back::Never, 0.5, true),
        (Back::Never, 1.0, false),
    ] {
        let outcome = power::play(plan(back, lost));
        assert_eq!(outcome.with_book == 24, whole, "{back:?}: {outcome:?}");
        assert_eq!(outcome.ready_ms.is_some(), whole, "{outcome:?}");
    }
}

#[test]
fn one_seed_is_one_outcome_and_the_gate_refuses_early() {
    let (first, second) =
        (power::play(plan(power::Back::First, 0.2)), power::play(plan(power::Back::First, 0.2)));
    assert_eq!(format!("{first:?}"), format!("{second:?}"));
    // More comes than the cold fleet can do: what waits in vain without the gate is served in time with it.
    let crowded = |gate| power::play(power::Plan { calls: 110.0, gate, ..plan(power::Back::First, 0.0) });
    let (gate, open) = (crowded(true), crowded(false));
    assert!(gate.in_time > open.in_time && gate.late < open.late, "{gate:?} {open:?}");
}
