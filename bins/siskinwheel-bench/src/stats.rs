//! Summary statistics over repeated runs.
#![allow(dead_code)]

use serde::Serialize;

/// Median and range of a value over repeated runs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Spread {
    /// The median; for an even number of values, the lower of the middle two.
    pub median: f64,
    /// The smallest value.
    pub least: f64,
    /// The largest value.
    pub most: f64,
}

impl Spread {
    /// Summarizes at least one value; without any, all fields are NaN.
    pub fn of(values: &[f64]) -> Self {
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        let last = sorted.len().saturating_sub(1);
        let at = |i: usize| sorted.get(i).copied().unwrap_or(f64::NAN);
        Self { median: at(last / 2), least: at(0), most: at(last) }
    }

    /// Formats as `median (least-most)` with `digits` decimal places.
    pub fn show(&self, digits: usize) -> String {
        let Self { median, least, most } = self;
        format!("{median:.digits$} ({least:.digits$}-{most:.digits$})")
    }
}

/// A straight line fitted to points by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Change of `y` per unit of `x`.
    pub slope: f64,
    /// Value of the line at `x = 0`.
    pub base: f64,
    /// Largest vertical distance of a point from the line, as a share of the largest absolute `y`.
    pub residual: f64,
}

impl Fit {
    /// Fits a line to at least two points that differ in `x`.
    pub fn of(points: &[(f64, f64)]) -> Self {
        let n = points.len() as f64;
        let mean = |f: fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / n;
        let (mx, my) = (mean(|p| p.0), mean(|p| p.1));
        let sxy: f64 = points.iter().map(|(x, y)| (x - mx) * (y - my)).sum();
        let sxx: f64 = points.iter().map(|(x, _)| (x - mx).powi(2)).sum();
        let slope = sxy / sxx;
        let base = my - slope * mx;
        let max_abs = points.iter().map(|p| p.1.abs()).fold(f64::MIN_POSITIVE, f64::max);
        let max_error =
            points.iter().map(|(x, y)| (y - base - slope * x).abs()).fold(0.0, f64::max);
        Self { slope, base, residual: max_error / max_abs }
    }

    /// Value of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}
