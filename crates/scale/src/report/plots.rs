//! Plots of each metric over the size, with the fitted line.

use std::error::Error;
use std::fs;
use std::io;
use std::path::Path;

use plotters::prelude::*;

use crate::measure::Unit;
use crate::run::{FittedMetric, Report};

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (800, 480);
/// Number of steps of the fitted line, which is a curve because the axis of the sizes is logarithmic.
const LINE_STEPS: u32 = 64;

/// Writes a file `MEASURE-METRIC.svg` into a folder for each fitted metric; creates the folder if it is missing.
pub fn write(report: &Report, folder: &Path) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    for fitted in &report.fitted {
        let file = folder.join(format!("{}-{}.svg", fitted.measure, fitted.metric));
        let values: Vec<(f64, f64)> = report
            .observed
            .iter()
            .filter(|observed| observed.measure == fitted.measure && observed.metric == fitted.metric)
            .map(|observed| (observed.size as f64, observed.value))
            .collect();
        draw(fitted, &values, &file)
            .map_err(|error| io::Error::other(format!("can't draw {}: {error}", file.display())))?;
    }
    Ok(())
}

fn unit_label(unit: Unit) -> &'static str {
    match unit {
        Unit::Microseconds => "us",
        Unit::Bytes => "bytes",
        Unit::Count => "count",
        Unit::Cores => "cores",
        Unit::BytesPerSecond => "bytes per second",
    }
}

fn draw(fitted: &FittedMetric, values: &[(f64, f64)], file: &Path) -> Result<(), Box<dyn Error>> {
    let smallest = values.iter().map(|(size, _)| *size).fold(f64::MAX, f64::min).max(1.0);
    let largest = values.iter().map(|(size, _)| *size).fold(smallest, f64::max);
    let highest = values.iter().map(|(_, value)| *value).fold(f64::MIN_POSITIVE, f64::max) * 1.1;
    let area = SVGBackend::new(file, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("{}: {}", fitted.measure, fitted.metric), ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(72)
        .build_cartesian_2d((smallest * 0.8..largest * 1.2).log_scale(), 0.0..highest)?;
    chart.configure_mesh().x_desc(fitted.dimension).y_desc(unit_label(fitted.unit)).draw()?;
    let line = (0..=LINE_STEPS).map(|step| {
        let fraction = f64::from(step) / f64::from(LINE_STEPS);
        let size = smallest * (largest / smallest).powf(fraction);
        (size, fitted.fit.line.at(size).clamp(0.0, highest))
    });
    chart.draw_series(LineSeries::new(line, BLUE.stroke_width(1)))?;
    chart.draw_series(values.iter().map(|point| Circle::new(*point, 4, RED.filled())))?;
    area.present()?;
    Ok(())
}
