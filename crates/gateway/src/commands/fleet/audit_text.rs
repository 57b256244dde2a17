//! Formats the report of an audit as text lines.

use nettleferry_audit_log::Version;
use nettleferry_audit_log::findings::{
    Actor, CallCount, Certainty, Fork, Gap, Incarnation, LateCalls, Report, StaleActivity,
};

/// Selects the findings that are shown.
pub(super) struct Filter {
    /// Only findings about calls of this tenant.
    pub(super) tenant: Option<String>,
    /// Only findings about this revision.
    pub(super) revision: Option<u64>,
}

impl Filter {
    fn shows_version(&self, version: Version) -> bool {
        self.revision.is_none_or(|revision| revision == version.revision)
    }

    fn shows_tenant(&self, name: &str) -> bool {
        self.tenant.as_deref().is_none_or(|tenant| tenant == name)
    }
}

/// Formats the report, section by section.
pub(super) fn lines(report: &Report, filter: &Filter) -> Vec<String> {
    let mut lines = vec!["Who acted on what (times since the administration's start):".to_owned()];
    let actors = report.actors.iter().filter(|actor| filter.shows_version(actor.version));
    lines.extend(actors.map(actor_line));
    lines.push("On an older version while a newer one was in force elsewhere:".to_owned());
    let stale = report.stale_activity.iter().filter(|found| filter.shows_version(found.version));
    for found in stale.filter(|found| found.calls.keys().any(|tenant| filter.shows_tenant(tenant))) {
        lines.extend(stale_lines(found, filter));
    }
    lines.push("Calls taken after a change was said to be in force everywhere:".to_owned());
    let late = report.late_calls.iter().filter(|found| filter.shows_version(found.change));
    lines.extend(late.filter(|found| filter.shows_tenant(&found.tenant)).map(late_line));
    lines.extend(report.forks.iter().map(fork_line));
    lines.push("Where nothing can be said:".to_owned());
    lines.extend(report.gaps.iter().map(gap_line));
    if report.omitted > 0 {
        lines.push(format!("{} further findings found no room", report.omitted));
    }
    lines
}

fn actor_line(actor: &Actor) -> String {
    format!(
        "  epoch {} revision {}: {}, {} to {}, {} calls",
        actor.version.epoch,
        actor.version.revision,
        incarnation(actor.incarnation),
        seconds(actor.from),
        seconds(actor.to),
        actor.calls
    )
}

fn stale_lines(found: &StaleActivity, filter: &Filter) -> Vec<String> {
    let (least, most) = (found.least_ms.max(0), found.most_ms.max(0));
    let mut lines = vec![format!(
        "  {}: {} on revision {}, {} was in force at {}, for {least} to {most} ms: {}",
        certainty(found.certainty),
        incarnation(found.incarnation),
        found.version.revision,
        found.newer.revision,
        incarnation(found.newer_incarnation),
        found.reason
    )];
    let calls = found.calls.iter().filter(|(tenant, _)| filter.shows_tenant(tenant));
    lines.extend(calls.map(|(tenant, count)| format!("    {} calls of {tenant}", range(*count))));
    lines
}

fn late_line(found: &LateCalls) -> String {
    format!(
        "  {}: {} calls of {} at {} after {} (revision {}): {}",
        certainty(found.certainty),
        range(found.calls),
        found.tenant,
        incarnation(found.incarnation),
        found.action,
        found.change.revision,
        found.reason
    )
}

fn fork_line(fork: &Fork) -> String {
    let sides: Vec<String> = fork.sides.iter().map(|side| incarnation(*side)).collect();
    format!("A fork: epochs {:?} were acted on at once, by {}", fork.epochs, sides.join(", "))
}

fn gap_line(gap: &Gap) -> String {
    let prefix = gap.incarnation.map_or_else(String::new, |who| format!("{}: ", incarnation(who)));
    format!("  {prefix}{}", gap.reason)
}

/// Formats an incarnation as its controller's number and the upper 32 bits of its random number.
pub(super) fn incarnation(who: Incarnation) -> String {
    format!("controller {} (life {:08x})", who.controller, who.incarnation >> 32)
}

fn certainty(certainty: Certainty) -> &'static str {
    match certainty {
        Certainty::Certain => "certain",
        Certainty::Doubtful => "doubtful",
    }
}

fn range(count: CallCount) -> String {
    let CallCount { certain, possible } = count;
    if certain == possible { certain.to_string() } else { format!("{certain} to {possible}") }
}

fn seconds(at_ms: Option<i64>) -> String {
    at_ms.map_or_else(|| "?".to_owned(), |ms| format!("{:.3} s", ms as f64 / 1000.0))
}
