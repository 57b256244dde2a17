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
    let stale_activity = report.stale_activity.iter().filter(|stale| filter.shows_version(stale.version));
    for stale in stale_activity.filter(|stale| stale.calls.keys().any(|tenant| filter.shows_tenant(tenant))) {
        lines.extend(stale_lines(stale, filter));
    }
    lines.push("Calls taken after a change was said to be in force everywhere:".to_owned());
    let late_calls = report.late_calls.iter().filter(|late| filter.shows_version(late.change));
    lines.extend(late_calls.filter(|late| filter.shows_tenant(&late.tenant)).map(late_line));
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

fn stale_lines(stale: &StaleActivity, filter: &Filter) -> Vec<String> {
    let (least, most) = (stale.least_ms.max(0), stale.most_ms.max(0));
    let mut lines = vec![format!(
        "  {}: {} on revision {}, {} was in force at {}, for {least} to {most} ms: {}",
        certainty(stale.certainty),
        incarnation(stale.incarnation),
        stale.version.revision,
        stale.newer.revision,
        incarnation(stale.newer_incarnation),
        stale.reason
    )];
    let calls = stale.calls.iter().filter(|(tenant, _)| filter.shows_tenant(tenant));
    lines.extend(calls.map(|(tenant, count)| format!("    {} calls of {tenant}", range(*count))));
    lines
}

fn late_line(late: &LateCalls) -> String {
    format!(
        "  {}: {} calls of {} at {} after {} (revision {}): {}",
        certainty(late.certainty),
        range(late.calls),
        late.tenant,
        incarnation(late.incarnation),
        late.action,
        late.change.revision,
        late.reason
    )
}

fn fork_line(fork: &Fork) -> String {
    let sides: Vec<String> = fork.sides.iter().map(|side| incarnation(*side)).collect();
    format!("A fork: epochs {:?} were acted on at once, by {}", fork.epochs, sides.join(", "))
}

fn gap_line(gap: &Gap) -> String {
    let prefix = gap.incarnation.map_or_else(String::new, |source| format!("{}: ", incarnation(source)));
    format!("  {prefix}{}", gap.reason)
}

/// Formats an incarnation as its controller's number and the upper 32 bits of its random number.
pub(super) fn incarnation(incarnation: Incarnation) -> String {
    format!("controller {} (life {:08x})", incarnation.controller, incarnation.incarnation >> 32)
}

fn certainty(certainty: Certainty) -> &'static str {
    match certainty {
        Certainty::Certain => "certain",
        Certainty::Doubtful => "doubtful",
    }
}

/// Formats a number of calls; as a range if not all of them are certain.
fn range(count: CallCount) -> String {
    let CallCount { certain, possible } = count;
    if certain == possible { certain.to_string() } else { format!("{certain} to {possible}") }
}

/// Formats a time in milliseconds as seconds; `?` if it is unknown.
fn seconds(at_ms: Option<i64>) -> String {
    at_ms.map_or_else(|| "?".to_owned(), |ms| format!("{:.3} s", ms as f64 / 1000.0))
}
