//! The data that controllers exchange about snapshots, loans and leases is the same as that of earlier versions.

use nettleferry_fleet::authority::Cause;
use nettleferry_fleet::follower_requests::{Heartbeat, deregistration_target};
use nettleferry_fleet::gate::Step;
use nettleferry_fleet::lease::Stage;
use nettleferry_fleet::loans::{LimitKind, Loan};
use nettleferry_fleet::snapshot_version::{SnapshotVersion, VersionOrder};

#[test]
fn a_snapshot_version_keeps_its_fields() {
    let text = r#"{"store":"s1","epoch":2,"revision":9,"sum":77}"#;
    let version: SnapshotVersion = serde_json::from_str(text).expect("read");
    assert_eq!(serde_json::to_string(&version).expect("written"), text);
    assert_eq!(version.to_string(), "s1.2@9#0000004d");
    let without: SnapshotVersion = serde_json::from_str(r#"{"store":"s1","revision":9}"#)
        .expect("the JSON of an earlier version is read");
    assert_eq!((without.epoch, without.checksum), (0, 0));
}

#[test]
fn names_in_logs_and_messages_are_stable() {
    let kinds = [LimitKind::Rate, LimitKind::Open, LimitKind::Held, LimitKind::Memory];
    assert_eq!(serde_json::to_string(&kinds).expect("written"), r#"["rate","open","held","memory"]"#);
    let loan = Loan { number: 3, amount: 2.5 };
    assert_eq!(serde_json::to_string(&loan).expect("written"), r#"{"number":3,"amount":2.5}"#);
    let orders = [
        VersionOrder::Same,
        VersionOrder::Ahead,
        VersionOrder::Behind,
        VersionOrder::Forked,
        VersionOrder::Foreign,
    ]
    .map(VersionOrder::as_str);
    assert_eq!(orders, ["same", "ahead", "behind", "forked", "foreign"]);
    let stages = [Stage::Current, Stage::Unleased, Stage::Rejecting, Stage::NotReady, Stage::Fenced]
        .map(Stage::as_str);
    assert_eq!(stages, ["current", "goes-on", "refuses", "leaves", "fenced"]);
    assert_eq!([Step::NoList, Step::Partial, Step::Complete].map(Step::as_str), ["no-list", "part", "whole"]);
    let causes = [Cause::Damaged, Cause::Empty, Cause::Behind, Cause::Disagreed].map(Cause::as_str);
    assert_eq!(causes, ["damaged", "empty", "behind", "disagreed"]);
}

#[test]
fn requests_of_a_follower_keep_their_parameters() {
    let snapshot = SnapshotVersion { store: "s1".to_owned(), epoch: 2, revision: 9, checksum: 77 };
    let heartbeat = Heartbeat {
        controller: 1,
        incarnation: 5,
        in_force: 8,
        persisted: 7,
        requires_lease: true,
        fenced: false,
        snapshot: Some(&snapshot),
    };
    assert_eq!(
        heartbeat.snapshot_target(),
        "/v1/snapshot?controller=1&life=5&in_force=8&kept=7&ends=1&ended=0&store=s1&epoch=2&after=9&sum=77"
    );
    assert_eq!(
        Heartbeat { fenced: true, snapshot: None, ..heartbeat }
            .watch_target(std::time::Duration::from_millis(1500)),
        "/v1/watch?controller=1&life=5&in_force=8&kept=7&ends=1&ended=1&limit=1000&wait_ms=1500"
    );
    assert_eq!(deregistration_target(1, 5), "/v1/watch?controller=1&life=5&ended=1&wait_ms=0");
}
