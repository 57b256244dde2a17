//! The audit's report as lines for people.

use nettleferry_audit_log::audit::{
    Actor, Book, Certainty, Fork, Gap, Incarnation, LateCalls, Report, StaleActivity,
};

/// Which findings are shown.
pub(super) struct Filter {
    /// Calls of this tenant alone.
    pub(super) tenant: Option<String>,
    /// This revision alone.
    pub(super) revision: Option<u64>,
}

impl Filter {
    fn shows_version(&self, version: Book) -> bool {
        self.revision.is_none_or(|revision| revision == version.1)
    }

    fn shows_tenant(&self, name: &str) -> bool {
        self.tenant.as_deref().is_none_or(|tenant| tenant == name)
    }
}

/// The report, section by section.
pub(super) fn lines(report: &Report, filter: &Filter) -> Vec<String> {
    let mut lines = vec!["Who acted on what (times since the administration's start):".to_owned()];
    let actors = report.actors.iter().filter(|actor| filter.shows_version(actor.book));
    lines.extend(actors.map(actor_line));
    lines.push("On an older version while a newer one was in force elsewhere:".to_owned());
    let stale = report.behind.iter().filter(|found| filter.shows_version(found.book));
    for found in stale.filter(|found| found.calls.keys().any(|tenant| filter.shows_tenant(tenant))) {
        lines.extend(stale_lines(found, filter));
    }
    lines.push("Calls taken after a change was said to be in force everywhere:".to_owned());
    let late = report.after.iter().filter(|found| filter.shows_version(found.change));
    lines.extend(late.filter(|found| filter.shows_tenant(&found.tenant)).map(late_line));
    lines.extend(report.forks.iter().map(fork_line));
    lines.push("Where nothing can be said:".to_owned());
    lines.extend(report.gaps.iter().map(gap_line));
    if report.more > 0 {
        lines.push(format!("{} further findings found no room", report.more));
    }
    lines
}

fn actor_line(actor: &Actor) -> String {
    format!(
        "  epoch {} revision {}: {}, {} to {}, {} calls",
        actor.book.0,
        actor.book.1,
        incarnation(actor.who),
        seconds(actor.from),
        seconds(actor.to),
        actor.calls
    )
}

fn stale_lines(found: &StaleActivity, filter: &Filter) -> Vec<String> {
    let (least, most) = (found.least_ms.max(0), found.most_ms.max(0));
    let mut lines = vec![format!(
        "  {}: {} on revision {}, {} was in force at {}, for {least} to {most} ms: {}",
        certainty(found.sure),
        incarnation(found.who),
        found.book.1,
        found.newer.1,
        incarnation(found.elsewhere),
        found.why
    )];
    let calls = found.calls.iter().filter(|(tenant, _)| filter.shows_tenant(tenant));
    lines.extend(
        calls.map(|(tenant, &(least, most))| format!("    {} calls of {tenant}", range(least, most))),
    );
    lines
}

fn late_line(found: &LateCalls) -> String {
    format!(
        "  {}: {} calls of {} at {} after {} (revision {}): {}",
        certainty(found.sure),
        range(found.calls.0, found.calls.1),
        found.tenant,
        incarnation(found.who),
        found.action,
        found.change.1,
        found.why
    )
}

fn fork_line(fork: &Fork) -> String {
    let sides: Vec<String> = fork.sides.iter().map(|side| incarnation(*side)).collect();
    format!("A fork: epochs {:?} were acted on at once, by {}", fork.epochs, sides.join(", "))
}

fn gap_line(gap: &Gap) -> String {
    let prefix = gap.who.map_or_else(String::new, |who| format!("{}: ", incarnation(who)));
    format!("  {prefix}{}", gap.what)
}

/// An incarnation by its controller's number and the upper half of its random number.
pub(super) fn incarnation(who: Incarnation) -> String {
    format!("controller {} (life {:08x})", who.controller, who.life >> 32)
}

fn certainty(certainty: Certainty) -> &'static str {
    match certainty {
        Certainty::Certain => "certain",
        Certainty::Doubtful => "doubtful",
    }
}

fn range(least: u64, most: u64) -> String {
    if least == most { least.to_string() } else { format!("{least} to {most}") }
}

fn seconds(at_ms: Option<i64>) -> String {
    at_ms.map_or_else(|| "?".to_owned(), |ms| format!("{:.3} s", ms as f64 / 1000.0))
}
