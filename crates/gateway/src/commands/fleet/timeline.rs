//! Draws the timeline of `fleet audit --svg`: the versions that each incarnation acted on. Stale activity is shaded,
//! more strongly if it is certain.

use std::path::Path;

use nettleferry_audit_log::findings::{Actor, Certainty, Incarnation, Report};
use plotters::coord::Shift;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;

use super::super::error::{CommandError, PlotError};
use super::audit_text::incarnation;

const WIDTH_PIXELS: u32 = 1_000;
/// Height of the drawing apart from its rows: caption, time axis and margins.
const FRAME_PIXELS: u32 = 120;
const ROW_PIXELS: u32 = 28;
/// Minimum width of an activity's bar, as a fraction of the timeline.
const MIN_ACTIVITY_WIDTH: f64 = 0.002;

type Chart<'a> = ChartContext<'a, SVGBackend<'a>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// The activity of an incarnation on one version, with its start and end in seconds.
struct Activity<'a> {
    actor: &'a Actor,
    from: f64,
    to: f64,
}

/// The content of the timeline: a row for each incarnation, with a bar for each activity. Times are in seconds.
struct Timeline<'a> {
    report: &'a Report,
    activities: Vec<Activity<'a>>,
    rows: Vec<Incarnation>,
    begin: f64,
    end: f64,
}

/// Draws the timeline into an SVG file.
pub(super) fn draw(report: &Report, file: &Path) -> Result<(), CommandError> {
    let timeline = Timeline::new(report);
    let height = FRAME_PIXELS + ROW_PIXELS * timeline.rows.len().max(1) as u32;
    let area = SVGBackend::new(file, (WIDTH_PIXELS, height)).into_drawing_area();
    timeline.draw(&area).map_err(CommandError::plot(file))
}

impl<'a> Timeline<'a> {
    fn new(report: &'a Report) -> Self {
        let seconds = |ms: i64| ms as f64 / 1000.0;
        let activities: Vec<Activity> = report
            .actors
            .iter()
            .filter_map(|actor| Some(Activity { actor, from: seconds(actor.from?), to: seconds(actor.to?) }))
            .collect();
        let mut rows: Vec<Incarnation> =
            activities.iter().map(|activity| activity.actor.incarnation).collect();
        rows.sort();
        rows.dedup();
        let begin = activities.iter().map(|activity| activity.from).fold(f64::INFINITY, f64::min).min(0.0);
        let end = activities.iter().map(|activity| activity.to).fold(1.0, f64::max);
        Self { report, activities, rows, begin, end }
    }

    /// Returns the position of an incarnation's row on the vertical axis.
    fn row(&self, incarnation: Incarnation) -> f64 {
        self.rows.iter().position(|row| *row == incarnation).unwrap_or(0) as f64
    }

    fn draw(&self, area: &DrawingArea<SVGBackend, Shift>) -> Result<(), PlotError> {
        area.fill(&WHITE)?;
        let rows = self.rows.len().max(1);
        let mut chart = ChartBuilder::on(area)
            .caption("Versions that controllers acted on", ("sans-serif", 16))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(150)
            .build_cartesian_2d(self.begin..self.end * 1.02, 0.0..rows as f64)?;
        let label =
            |y: &f64| self.rows.get(y.floor() as usize).map_or(String::new(), |row| incarnation(*row));
        chart
            .configure_mesh()
            .disable_y_mesh()
            .y_labels(rows + 1)
            .y_label_formatter(&label)
            .x_desc("seconds since the start of the administration")
            .draw()?;
        self.draw_activities(&mut chart)?;
        self.draw_stale_activity(&mut chart)?;
        area.present()
    }

    fn draw_activities(&self, chart: &mut Chart) -> Result<(), PlotError> {
        for Activity { actor, from, to } in &self.activities {
            let row = self.row(actor.incarnation);
            let colour = Palette99::pick(actor.version.revision as usize).mix(0.7);
            let corners = [(*from, row + 0.2), (to.max(from + self.end * MIN_ACTIVITY_WIDTH), row + 0.8)];
            chart.draw_series([Rectangle::new(corners, colour.filled())])?;
            let text = Text::new(actor.version.revision.to_string(), (*from, row + 0.62), ("sans-serif", 11));
            chart.draw_series([text])?;
        }
        Ok(())
    }

    /// Shades the last part of each bar, during which its incarnation may have acted on a stale version.
    fn draw_stale_activity(&self, chart: &mut Chart) -> Result<(), PlotError> {
        for stale in &self.report.stale_activity {
            let matches = |activity: &&Activity| {
                activity.actor.incarnation == stale.incarnation && activity.actor.version == stale.version
            };
            let Some(activity) = self.activities.iter().find(matches) else { continue };
            let row = self.row(stale.incarnation);
            let since = (activity.to - stale.most_ms as f64 / 1000.0).max(activity.from);
            let colour = if stale.certainty == Certainty::Certain { RED.mix(0.5) } else { RED.mix(0.2) };
            let corners = [(since, row + 0.05), (activity.to, row + 0.95)];
            chart.draw_series([Rectangle::new(corners, colour.filled())])?;
        }
        Ok(())
    }
}
