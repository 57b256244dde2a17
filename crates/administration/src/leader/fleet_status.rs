//! The state of the fleet, as `GET /v1/fleet` returns it.

use nettleferry_fleet::Millis;
use nettleferry_fleet::authority::{Duty, ReportedSnapshot};
use nettleferry_fleet::snapshot_version::SnapshotVersion;
use serde_json::{Value, json};

use super::context::LeaderContext;

/// The body of `GET /v1/fleet`.
pub(super) fn fleet_status(leader: &LeaderContext) -> Value {
    let now = leader.now();
    let authority = leader.recovery.authority();
    let (duty, since) = authority.duty();
    let own = authority.own();
    let reports: Vec<Value> = authority.reports().map(|report| describe_report(now, own, &report)).collect();
    let (step, cause) = match duty {
        Duty::Serving => ("serving", None),
        Duty::Waiting(cause) => ("waiting", Some(cause.as_str())),
    };
    let incarnations = leader.members.describe(now, own.map(|own| own.revision));
    let loans = leader.loans.as_ref().map(|loans| loans.counts(now)).unwrap_or_default();
    json!({
        "records_unkept": leader.audit.as_ref().map_or(0, |audit| audit.logs().unpersisted()),
        "lent": { "limits": loans.limits, "borrowers": loans.borrowers },
        "lease_ms": leader.members.lease_span(), "leases": leader.members.lease_holders(now),
        "lives": incarnations, "without_room": leader.members.rejected(),
        "reports_refused": leader.refused_reports.total(),
        "controller": leader.identity.controller, "role": "administration", "step": step, "cause": cause,
        "since_ms": now.saturating_sub(since), "holds": own, "awaited": authority.expected(),
        "controllers": reports,
    })
}

fn describe_report(now: Millis, own: Option<&SnapshotVersion>, report: &ReportedSnapshot) -> Value {
    let order = report.version.zip(own).map(|(version, own)| version.compare(own).as_str());
    json!({
        "controller": report.controller, "holds": report.version, "standing": order,
        "seen_ms_ago": now.saturating_sub(report.received_at),
    })
}
