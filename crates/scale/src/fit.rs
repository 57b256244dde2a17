//! Least-squares fits of how a metric grows with the size.

use serde::Serialize;

/// Minimum number of sizes for a fit.
pub const MIN_SIZES: usize = 4;

/// A least-squares line through pairs of size and value.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Value of the line at size 0.
    pub intercept: f64,
    /// Increase of the value for each unit of the size.
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
}

impl Line {
    /// Value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }

    /// Fits a line through pairs of x and y; none for fewer than three points, or if all have the same x.
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        if points.len() < 3 {
            return None;
        }
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let sum_xy: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        if sum_xx <= 0.0 {
            return None;
        }
        let slope = sum_xy / sum_xx;
        let intercept = mean_y - slope * mean_x;
        let squared_residuals: f64 = points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum();
        let slope_error = (squared_residuals / (count - 2.0) / sum_xx).sqrt();
        Some(Self { intercept, slope, slope_error })
    }
}

/// The growth of a metric, as a linear fit and as a power law.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Linear fit of the values over the sizes.
    #[serde(flatten)]
    pub line: Line,
    /// Power law of the values over the sizes, fitted as a line through their logarithms. None if a size or a value is
    /// not above zero.
    pub exponent: Option<Exponent>,
    /// Number of sizes that were fitted.
    pub sizes: usize,
}

/// The exponent of a power law.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Exponent {
    /// The exponent: 0 is constant, 1 is proportional to the size.
    pub power: f64,
    /// Standard error of the exponent.
    pub error: f64,
}

impl Fit {
    /// Fits pairs of size and value. None if there are fewer than [`MIN_SIZES`], or if all sizes are equal.
    pub fn from_points(points: &[(f64, f64)]) -> Option<Self> {
        if points.len() < MIN_SIZES {
            return None;
        }
        let line = Line::through(points)?;
        let positive = points.iter().all(|(x, y)| *x > 0.0 && *y > 0.0);
        let logarithms: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x.ln(), y.ln())).collect();
        let power_law = if positive { Line::through(&logarithms) } else { None };
        let exponent = power_law.map(|line| Exponent { power: line.slope, error: line.slope_error });
        Some(Self { line, exponent, sizes: points.len() })
    }
}
