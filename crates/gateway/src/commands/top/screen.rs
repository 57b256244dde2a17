//! Draws the screen of `top`.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use ratatui::Frame;
use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Style, Stylize};
use ratatui::widgets::{Block, Paragraph, Row, Table};
use serde_json::Value;

use super::{Sample, number, text};

/// Height of the tables of classes and workers, in rows, with their borders.
const LOWER_ROWS: u16 = 9;
/// Width of the table of classes, in columns, with its border.
const CLASSES_WIDTH: u16 = 30;

/// Draws the totals and all tables of a sample.
pub(super) fn draw(frame: &mut Frame, sample: &Sample) {
    let rows = [Constraint::Length(1), Constraint::Min(5), Constraint::Length(LOWER_ROWS)];
    let [head, tenants, lower] = Layout::vertical(rows).areas(frame.area());
    let columns = [Constraint::Length(CLASSES_WIDTH), Constraint::Min(30)];
    let [classes, workers] = Layout::horizontal(columns).areas(lower);
    draw_head(frame, head, sample);
    draw_tenants(frame, tenants, sample);
    draw_classes(frame, classes, sample);
    draw_workers(frame, workers, sample);
}

/// Draws the totals over all tenants, or the error of the last refresh.
fn draw_head(frame: &mut Frame, area: Rect, sample: &Sample) {
    let sum = |key: &str| sample.usage.iter().map(|row| number(row, key)).sum::<u64>();
    let line = sample.error.clone().unwrap_or_else(|| {
        format!(
            "revision {}   {} tenants   open {}   held {}   refused {}   q ends",
            sample.revision,
            sample.usage.len(),
            sum("open_calls"),
            sum("held_calls"),
            sum("refused")
        )
    });
    let style = if sample.error.is_some() { Style::new().red().bold() } else { Style::new().bold() };
    frame.render_widget(Paragraph::new(line).style(style), area);
}

/// Draws the table of tenants, ordered by open calls (most first), then by name.
fn draw_tenants(frame: &mut Frame, area: Rect, sample: &Sample) {
    let mut tenants: Vec<&Value> = sample.usage.iter().collect();
    tenants.sort_by_key(|row| (Reverse(number(row, "open_calls")), text(row, "tenant")));
    let rows = tenants.into_iter().map(|tenant| {
        let rate = sample.rates.get(&text(tenant, "tenant")).copied().unwrap_or(0.0);
        let mebibytes = number(tenant, "loaded_memory_bytes") >> 20;
        let row = Row::new([
            text(tenant, "tenant"),
            format!("{rate:.0}"),
            number(tenant, "open_calls").to_string(),
            number(tenant, "held_calls").to_string(),
            number(tenant, "admitted").to_string(),
            number(tenant, "refused").to_string(),
            format!("{mebibytes} MiB"),
        ]);
        if number(tenant, "held_calls") > 0 { row.yellow() } else { row }
    });
    let header = Row::new(["TENANT", "CALLS/S", "OPEN", "HELD", "TAKEN", "REFUSED", "MODELS"]).bold();
    let widths = [24, 9, 7, 7, 12, 12, 12].map(Constraint::Length);
    let table = Table::new(rows, widths).header(header).block(Block::bordered().title("tenants"));
    frame.render_widget(table, area);
}

/// Draws the table of classes, with the open calls of all tenants together.
fn draw_classes(frame: &mut Frame, area: Rect, sample: &Sample) {
    let mut open: BTreeMap<&String, u64> = BTreeMap::new();
    for (class, calls) in sample.usage.iter().flat_map(|row| row["open_by_class"].as_object()).flatten() {
        *open.entry(class).or_default() += calls.as_u64().unwrap_or(0);
    }
    let rows = open.into_iter().map(|(class, calls)| Row::new([class.clone(), calls.to_string()]));
    let header = Row::new(["CLASS", "OPEN"]).bold();
    let widths = [18, 8].map(Constraint::Length);
    let table = Table::new(rows, widths).header(header).block(Block::bordered().title("classes"));
    frame.render_widget(table, area);
}

fn draw_workers(frame: &mut Frame, area: Rect, sample: &Sample) {
    let rows = sample.workers.iter().map(|worker| {
        let drained = worker["drained"].as_bool() == Some(true);
        let listed = text(worker, "listed");
        let highlighted = drained || listed != "on";
        let state = if drained { "drained by hand".to_owned() } else { listed };
        let row = Row::new([text(worker, "name"), text(worker, "zone"), text(worker, "address"), state]);
        if highlighted { row.yellow() } else { row }
    });
    let header = Row::new(["WORKER", "ZONE", "ADDRESS", "STATE"]).bold();
    let widths = [16, 8, 22, 16].map(Constraint::Length);
    let table = Table::new(rows, widths).header(header).block(Block::bordered().title("workers"));
    frame.render_widget(table, area);
}

#[cfg(test)]
mod tests;
