//! Least-squares fit of a straight line.

use serde::Serialize;

/// One measured point.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// Value of the varied quantity.
    pub x: f64,
    /// Measured value.
    pub y: f64,
}

/// A straight line through points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Value at zero.
    pub intercept: f64,
    /// Share of the variance that the line explains.
    pub r_squared: f64,
    /// Growth per unit of the varied quantity.
    pub slope: f64,
}

impl Fit {
    /// Fits a line by least squares; returns `None` unless at least two values of `x` differ.
    pub fn least_squares(points: &[Point]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
        let sum = |term: &dyn Fn(&Point) -> f64| points.iter().map(term).sum::<f64>();
        let spread_x = sum(&|point| (point.x - mean_x).powi(2));
        let spread_y = sum(&|point| (point.y - mean_y).powi(2));
        let shared = sum(&|point| (point.x - mean_x) * (point.y - mean_y));
        if points.is_empty() || spread_x == 0.0 {
            return None;
        }
        let slope = shared / spread_x;
        let intercept = mean_y - slope * mean_x;
        let explained = if spread_y == 0.0 { 1.0 } else { shared.powi(2) / spread_x / spread_y };
        Some(Self { intercept, r_squared: explained, slope })
    }
}
