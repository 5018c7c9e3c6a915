//! Slopes as a table and as JSON.

use std::fmt::Write;

use serde::Serialize;

use super::fit::{LineFit, SlopePoint};

/// What was measured against which size.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct SlopeSubject {
    /// The quantity, such as the bytes of a message.
    pub quantity: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// What was varied.
    pub size: &'static str,
}

/// One quantity at several sizes with the line through them.
#[derive(Clone, Debug, Serialize)]
pub struct SlopeRow {
    /// What was measured.
    #[serde(flatten)]
    pub subject: SlopeSubject,
    /// Which of several implementations, such as a routing policy.
    pub variant: Option<&'static str>,
    /// The measured sizes.
    pub points: Vec<SlopePoint>,
    /// The line through the medians.
    pub fit: LineFit,
}

impl SlopeRow {
    /// Measures `subject` at each size in rounds that visit all sizes in turn, so
    /// that a disturbance of the machine does not fall on one size alone.
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

/// All slopes of one run.
#[derive(Clone, Debug, Serialize)]
pub struct CapacityReport {
    /// How times and memory were measured.
    pub method: &'static str,
    /// The slopes.
    pub rows: Vec<SlopeRow>,
}

impl CapacityReport {
    /// Gives the report as text within 80 columns.
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
                    figure(*median),
                    figure(*least),
                    figure(*most)
                );
            }
            let LineFit { intercept, slope, residual_percent } = fit;
            let _ = writeln!(
                text,
                "  fit {} + {} x size, largest residual {residual_percent:.1}%",
                figure(*intercept),
                figure(*slope)
            );
        }
        text
    }
}

/// Writes a figure with about three digits.
fn figure(value: f64) -> String {
    match value.abs() {
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}
