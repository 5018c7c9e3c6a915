//! Least-squares fits of lines through measured points.

use serde::Serialize;

/// Measurements at one size, with their spread over the rounds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct SlopePoint {
    /// Size, such as a number of targets.
    pub size: f64,
    /// Median over the rounds.
    pub median: f64,
    /// Minimum over the rounds.
    pub least: f64,
    /// Maximum over the rounds.
    pub most: f64,
}

impl SlopePoint {
    /// Summarises the values of the rounds at one size. There must be at least one.
    pub fn new(size: usize, mut rounds: Vec<f64>) -> Self {
        rounds.sort_by(f64::total_cmp);
        let at = |position: usize| rounds.get(position).copied().unwrap_or(f64::NAN);
        let most = at(rounds.len().saturating_sub(1));
        Self { size: size as f64, median: at(rounds.len() / 2), least: at(0), most }
    }
}

/// Line fitted to the medians of some points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LineFit {
    /// Value at size 0.
    pub intercept: f64,
    /// Growth per unit of size.
    pub slope: f64,
    /// Largest distance of a median from the line, in percent of the largest median.
    pub residual_percent: f64,
}

impl LineFit {
    /// Fits a line by least squares. With fewer than two distinct sizes the slope is 0.
    pub fn new(points: &[SlopePoint]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.median).sum::<f64>() / count;
        let (mut covariance, mut variance) = (0.0, 0.0);
        for point in points {
            covariance += (point.size - mean_size) * (point.median - mean_value);
            variance += (point.size - mean_size).powi(2);
        }
        let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
        let intercept = mean_value - slope * mean_size;
        let distance = |point: &SlopePoint| (point.median - intercept - slope * point.size).abs();
        let largest_distance = points.iter().map(distance).fold(0.0, f64::max);
        let largest_median = points.iter().map(|point| point.median.abs()).fold(0.0, f64::max);
        let residual_percent =
            if largest_median > 0.0 { 100.0 * largest_distance / largest_median } else { 0.0 };
        Self { intercept, slope, residual_percent }
    }
}
