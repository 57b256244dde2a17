//! Least squares: how a figure grows with the size.

use serde::Serialize;

/// Sizes that a fit needs.
pub const FEWEST_SIZES: usize = 4;

/// A straight line through points, with the error of its slope.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Its value at size 0.
    pub intercept: f64,
    /// What one more of the size adds.
    pub slope: f64,
    /// The slope's standard error.
    pub slope_error: f64,
}

impl Line {
    /// Its value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }

    /// Fits a line; none through fewer than three points, or points of one size.
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

/// How a figure grows: by a line, and by a power of the size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// The line through sizes and values.
    #[serde(flatten)]
    pub line: Line,
    /// The power of the size with which the value grows, and its standard error: the line through their logarithms.
    /// None where a value is not above zero.
    pub exponent: Option<Exponent>,
    /// Sizes that were fitted.
    pub sizes: usize,
}

/// A power of the size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Exponent {
    /// The power: 0 does not grow, 1 grows like the size.
    pub power: f64,
    /// Its standard error.
    pub error: f64,
}

impl Fit {
    /// Fits sizes and values; none where they are fewer than [`FEWEST_SIZES`].
    pub fn of(points: &[(f64, f64)]) -> Option<Self> {
        if points.len() < FEWEST_SIZES {
            return None;
        }
        let line = Line::through(points)?;
        let positive = points.iter().all(|(x, y)| *x > 0.0 && *y > 0.0);
        let logarithms: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x.ln(), y.ln())).collect();
        let power = if positive { Line::through(&logarithms) } else { None };
        let exponent = power.map(|line| Exponent { power: line.slope, error: line.slope_error });
        Some(Self { line, exponent, sizes: points.len() })
    }
}
