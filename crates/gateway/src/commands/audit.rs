//! `fleet audit` and `fleet verify`: gathers the records that controllers delivered, and says who acted on what.
//! What follows from the records is decided by `nettleferry_audit_log`.

use std::path::{Path, PathBuf};

use nettleferry_administration::ADMINISTRATION;
use nettleferry_audit_log::chain::{self, CheckedLog};
use nettleferry_audit_log::findings::{Actor, CallCount, Certainty, Incarnation, Report};
use nettleferry_audit_log::{Audit, Version};
use plotters::prelude::*;
use serde_json::{Value, json};

use super::CommandError;
use super::admin::{Client, escaped};

/// Lines of a record that are gathered at the most.
const MOST_LINES: usize = 1_000_000;

/// What is gathered.
pub struct Gathered {
    /// The administration's life, on whose clock all is told.
    pub by: u64,
    /// Records by whose they are.
    pub records: Vec<(String, CheckedLog)>,
}

/// Fetches all records, page by page.
pub fn gather(client: &mut Client) -> Result<Gathered, CommandError> {
    let all = client.get("/v1/fleet/records")?;
    let by = all["by"].as_u64().unwrap_or(0);
    let mut records = Vec::new();
    for row in all["records"].as_array().into_iter().flatten() {
        let Some(of) = row["of"].as_str() else { continue };
        let mut texts: Vec<String> = Vec::new();
        let mut from = Some(0);
        while let Some(place) = from.filter(|_| texts.len() < MOST_LINES) {
            let target = format!("/v1/fleet/records?of={}&from={place}&limit=1000", escaped(of));
            let page = client.get(&target)?;
            let lines = page["lines"].as_array().into_iter().flatten();
            texts.extend(lines.filter_map(|line| line.as_str().map(str::to_owned)));
            from = page["next"].as_u64();
        }
        records.push((of.to_owned(), chain::check(texts.iter().map(String::as_str))));
    }
    Ok(Gathered { by, records })
}

/// What they say.
pub fn report(gathered: &Gathered) -> Report {
    let mut audit = Audit::default();
    for (of, checked) in &gathered.records {
        if of == ADMINISTRATION {
            audit.add_leader(gathered.by, &checked.entries);
        } else {
            audit.add_controller(gathered.by, &checked.entries, false);
        }
        for fault in &checked.errors {
            audit.add_fault(None, format!("record of {of}: {fault}"));
        }
    }
    audit.report()
}

fn life(who: Incarnation) -> String {
    format!("controller {} (life {:08x})", who.controller, who.incarnation >> 32)
}

fn sure(sure: Certainty) -> &'static str {
    match sure {
        Certainty::Certain => "certain",
        Certainty::Doubtful => "doubtful",
    }
}

fn between(calls: CallCount) -> String {
    let CallCount { certain, possible } = calls;
    if certain == possible { certain.to_string() } else { format!("{certain} to {possible}") }
}

fn moment(at: Option<i64>) -> String {
    at.map_or_else(|| "?".to_owned(), |ms| format!("{:.3} s", ms as f64 / 1000.0))
}

/// For people.
pub fn lines(report: &Report, tenant: Option<&str>, revision: Option<u64>) -> Vec<String> {
    let mut lines = vec!["Who acted on what (times since the administration's start):".to_owned()];
    let of = |version: Version| revision.is_none_or(|revision| revision == version.revision);
    for Actor { incarnation: who, version, from, to, calls } in report.actors.iter().filter(|a| of(a.version))
    {
        let (from, to) = (moment(*from), moment(*to));
        lines.push(format!(
            "  epoch {} revision {}: {}, {from} to {to}, {calls} calls",
            version.epoch,
            version.revision,
            life(*who)
        ));
    }
    lines.push("On an older version while a newer one was in force elsewhere:".to_owned());
    let named = |name: &str| tenant.is_none_or(|tenant| tenant == name);
    for found in report.stale_activity.iter().filter(|b| of(b.version) && b.calls.keys().any(|t| named(t))) {
        let (least, most) = (found.least_ms.max(0), found.most_ms.max(0));
        lines.push(format!(
            "  {}: {} on revision {}, {} was in force at {}, for {least} to {most} ms: {}",
            sure(found.certainty),
            life(found.incarnation),
            found.version.revision,
            found.newer.revision,
            life(found.elsewhere),
            found.why
        ));
        for (name, calls) in found.calls.iter().filter(|(name, _)| named(name)) {
            lines.push(format!("    {} calls of {name}", between(*calls)));
        }
    }
    lines.push("Calls taken after a change was said to be in force everywhere:".to_owned());
    for found in report.late_calls.iter().filter(|a| of(a.change) && named(&a.tenant)) {
        lines.push(format!(
            "  {}: {} calls of {} at {} after {} (revision {}): {}",
            sure(found.certainty),
            between(found.calls),
            found.tenant,
            life(found.incarnation),
            found.action,
            found.change.revision,
            found.why
        ));
    }
    for fork in &report.forks {
        let sides: Vec<String> = fork.sides.iter().map(|who| life(*who)).collect();
        lines.push(format!(
            "A fork: epochs {:?} were acted on at once, by {}",
            fork.epochs,
            sides.join(", ")
        ));
    }
    lines.push("Where nothing can be said:".to_owned());
    for gap in &report.gaps {
        let who = gap.incarnation.map_or_else(String::new, |who| format!("{}: ", life(who)));
        lines.push(format!("  {who}{}", gap.reason));
    }
    if report.omitted > 0 {
        lines.push(format!("{} further findings found no room", report.omitted));
    }
    lines
}

/// A time line of controllers against versions, as SVG: what was surely behind is shaded.
pub fn plot(report: &Report, file: &Path) -> Result<(), CommandError> {
    let failed = |why: &dyn std::fmt::Display| CommandError::File(format!("{}: {why}", file.display()));
    let known: Vec<(&Actor, f64, f64)> = report
        .actors
        .iter()
        .filter_map(|a| Some((a, a.from? as f64 / 1000.0, a.to? as f64 / 1000.0)))
        .collect();
    let mut lives: Vec<Incarnation> = known.iter().map(|(a, ..)| a.incarnation).collect();
    lives.sort();
    lives.dedup();
    let least = known.iter().map(|k| k.1).fold(f64::INFINITY, f64::min).min(0.0);
    let most = known.iter().map(|k| k.2).fold(1.0, f64::max);
    let height = 120 + 28 * lives.len().max(1) as u32;
    let area = SVGBackend::new(file, (1_000, height)).into_drawing_area();
    let draw = || -> Result<(), Box<dyn std::error::Error>> {
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption("Versions that controllers acted on", ("sans-serif", 16))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(150)
            .build_cartesian_2d(least..most * 1.02, 0.0..lives.len().max(1) as f64)?;
        let names = lives.clone();
        let label = move |y: &f64| names.get(y.floor() as usize).map_or(String::new(), |who| life(*who));
        chart
            .configure_mesh()
            .disable_y_mesh()
            .y_labels(lives.len().max(1) + 1)
            .y_label_formatter(&label)
            .x_desc("seconds of the administration")
            .draw()?;
        for (actor, from, to) in &known {
            let place = lives.iter().position(|who| *who == actor.incarnation).unwrap_or(0) as f64;
            let colour = Palette99::pick(actor.version.revision as usize).mix(0.7);
            let bar = [(*from, place + 0.2), ((*to).max(from + most * 0.002), place + 0.8)];
            chart.draw_series([Rectangle::new(bar, colour.filled())])?;
            let text =
                Text::new(actor.version.revision.to_string(), (*from, place + 0.62), ("sans-serif", 11));
            chart.draw_series([text])?;
        }
        for found in &report.stale_activity {
            let actor =
                known.iter().find(|(a, ..)| a.incarnation == found.incarnation && a.version == found.version);
            let Some((_, from, to)) = actor else { continue };
            let place = lives.iter().position(|who| *who == found.incarnation).unwrap_or(0) as f64;
            let since = (to - found.most_ms as f64 / 1000.0).max(*from);
            let style = if found.certainty == Certainty::Certain { RED.mix(0.5) } else { RED.mix(0.2) };
            chart.draw_series([Rectangle::new(
                [(since, place + 0.05), (*to, place + 0.95)],
                style.filled(),
            )])?;
        }
        area.present()?;
        Ok(())
    };
    draw().map_err(|why| failed(&why))
}

/// Is a record whole? Of a folder, or those that were delivered. The faults found.
pub fn verify(
    folder: Option<&PathBuf>,
    client: impl FnOnce() -> Result<Client, CommandError>,
) -> Result<(Value, Vec<String>, bool), CommandError> {
    let records = match folder {
        Some(folder) => {
            let read = nettleferry_administration::trail::read(folder.clone())
                .map_err(|e| CommandError::File(e.to_string()))?;
            vec![(folder.display().to_string(), read)]
        }
        None => gather(&mut client()?)?.records,
    };
    let (mut lines, mut rows, mut sound) = (Vec::new(), Vec::new(), true);
    for (of, checked) in &records {
        // The oldest lines go by the bound: that is no damage.
        let bad = checked.errors.iter().filter(|f| !matches!(f, chain::ChainError::Truncated { .. })).count();
        sound &= bad == 0;
        let word = if bad == 0 { "whole" } else { "NOT whole" };
        lines.push(format!("record of {of}: {} lines, {word}", checked.entries.len()));
        lines.extend(checked.errors.iter().map(|fault| format!("  {fault}")));
        let faults: Vec<String> = checked.errors.iter().map(ToString::to_string).collect();
        rows.push(json!({ "of": of, "lines": checked.entries.len(), "whole": bad == 0, "faults": faults }));
    }
    Ok((json!(rows), lines, sound))
}
