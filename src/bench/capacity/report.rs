//! Report of all slopes, as a table or JSON.

use std::fmt::Write;

use serde::Serialize;

use super::fit::{LineFit, SlopePoint};

/// Measured quantity and the size that it depends on.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct SlopeSubject {
    /// Measured quantity, such as the encoded size of a message.
    pub quantity: &'static str,
    /// Unit of the quantity.
    pub unit: &'static str,
    /// Varied size, such as the number of targets.
    pub size: &'static str,
}

/// A quantity measured at several sizes, with the fitted line.
#[derive(Clone, Debug, Serialize)]
pub struct SlopeRow {
    /// Quantity and size.
    #[serde(flatten)]
    pub subject: SlopeSubject,
    /// Measured implementation if there are several, such as a routing policy.
    pub variant: Option<&'static str>,
    /// Measurements, one for each size.
    pub points: Vec<SlopePoint>,
    /// Line fitted to the medians.
    pub fit: LineFit,
}

impl SlopeRow {
    /// Measures `subject` at each size. Each round visits all sizes, so that a disturbance on
    /// the machine does not affect a single size only.
    pub fn measure(
        subject: SlopeSubject,
        sizes: &[usize],
        rounds: usize,
        mut measure: impl FnMut(usize) -> f64,
    ) -> Self {
        let mut values = vec![Vec::with_capacity(rounds); sizes.len()];
        for _ in 0..rounds {
            for (size, values) in sizes.iter().zip(&mut values) {
                values.push(measure(*size));
            }
        }
        let points: Vec<_> =
            sizes.iter().zip(values).map(|(size, rounds)| SlopePoint::new(*size, rounds)).collect();
        let fit = LineFit::new(&points);
        Self { subject, variant: None, points, fit }
    }
}

/// Report with all measured slopes.
#[derive(Clone, Debug, Serialize)]
pub struct CapacityReport {
    /// Description of the measurements.
    pub method: &'static str,
    /// Measured slopes.
    pub rows: Vec<SlopeRow>,
}

impl CapacityReport {
    /// Formats the report as text of at most 80 columns.
    pub fn table(&self) -> String {
        let mut text = format!("{}\n", self.method);
        for SlopeRow { subject, variant, points, fit } in &self.rows {
            let SlopeSubject { quantity, unit, size } = subject;
            let variant = variant.map_or(String::new(), |name| format!(" ({name})"));
            let _ = writeln!(text, "\n{quantity}{variant}, {unit}, against {size}");
            for SlopePoint { size, median, least, most } in points {
                let _ = writeln!(
                    text,
                    "  {size:>8} {:>12} ({} to {})",
                    format_value(*median),
                    format_value(*least),
                    format_value(*most)
                );
            }
            let LineFit { intercept, slope, residual_percent } = fit;
            let _ = writeln!(
                text,
                "  fit {} + {} x size, largest residual {residual_percent:.1}%",
                format_value(*intercept),
                format_value(*slope)
            );
        }
        text
    }
}

/// Formats a value with about three significant digits.
fn format_value(value: f64) -> String {
    match value.abs() {
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}
