//! Plots of `fleet simulate`. Each shows one figure of the runs against the number of controllers.

use std::collections::BTreeMap;
use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::*;
use serde_json::Value;

use super::super::error::{CommandError, PlotError};

/// Range of the horizontal axis, in controllers.
const CONTROLLERS_AXIS: std::ops::Range<f64> = 2.0..1_100.0;

/// A plot of one figure of one kind of run.
pub(super) struct Plot {
    kind: &'static str,
    figure: &'static str,
    caption: &'static str,
    file: &'static str,
}

/// All plots of a simulation.
pub(super) const PLOTS: [Plot; 3] = [
    Plot {
        kind: "follow",
        figure: "p99_ms",
        caption: "milliseconds until a change is in force everywhere, 99th percentile",
        file: "follow.svg",
    },
    Plot {
        kind: "follow",
        figure: "shut_out",
        caption: "fraction of the time without a lease",
        file: "shut-out.svg",
    },
    Plot {
        kind: "power",
        figure: "ready_ms",
        caption: "milliseconds until nine of ten calls are served in time",
        file: "power.svg",
    },
];

/// An arithmetic mean, to which values are added one at a time.
#[derive(Clone, Copy, Default)]
struct Mean {
    sum: f64,
    count: u32,
}

impl Mean {
    fn add(&mut self, value: f64) {
        self.sum += value;
        self.count += 1;
    }

    fn value(self) -> f64 {
        self.sum / f64::from(self.count)
    }
}

/// The lines of a plot by name; a line maps a number of controllers to the mean over all seeds.
type Lines = BTreeMap<String, BTreeMap<u64, Mean>>;

impl Plot {
    /// Draws the plot into its file in `folder`. Writes no file if no run has the figure.
    pub(super) fn draw(&self, outcomes: &[Value], folder: &Path) -> Result<(), CommandError> {
        let lines = self.lines(outcomes);
        if lines.is_empty() {
            return Ok(());
        }
        let file = folder.join(self.file);
        let area = SVGBackend::new(&file, (800, 480)).into_drawing_area();
        self.draw_lines(&lines, &area).map_err(CommandError::plot(&file))
    }

    /// Groups the outcomes into lines: one for each loss, and in `power` runs for admission on and off.
    fn lines(&self, outcomes: &[Value]) -> Lines {
        let mut lines = Lines::new();
        for run in outcomes.iter().filter(|run| run["play"] == self.kind) {
            let outcome = &run["outcome"];
            let plan = &outcome["plan"];
            let admission =
                plan["gate"].as_bool().map_or("", |enabled| if enabled { ", gate" } else { ", no gate" });
            let Some(value) = outcome[self.figure].as_f64() else { continue };
            let name = format!("loss {}{admission}", plan["network"]["loss"]);
            let controllers = plan["controllers"].as_u64().unwrap_or(1);
            lines.entry(name).or_default().entry(controllers).or_default().add(value);
        }
        lines
    }

    fn draw_lines(&self, lines: &Lines, area: &DrawingArea<SVGBackend, Shift>) -> Result<(), PlotError> {
        let values = lines.values().flat_map(|line| line.values().map(|mean| mean.value()));
        let highest = values.fold(f64::MIN_POSITIVE, f64::max) * 1.1;
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(area)
            .caption(self.caption, ("sans-serif", 16))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(CONTROLLERS_AXIS.log_scale(), 0.0..highest)?;
        chart.configure_mesh().x_desc("controllers").draw()?;
        for (index, (name, line)) in lines.iter().enumerate() {
            let colour = Palette99::pick(index).to_rgba();
            let points = line.iter().map(|(controllers, mean)| (*controllers as f64, mean.value()));
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
                .label(name.clone())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
        area.present()
    }
}
