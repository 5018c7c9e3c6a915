//! Measures how memory, CPU time and message sizes grow with the size of the system, on one
//! machine at several sizes. `docs/CAPACITY.md` extrapolates the slopes to the design size.

mod decisions;
mod fit;
mod fixtures;
mod messages;
mod meter;
mod placement;
mod quota;
mod report;
mod snapshots;
mod stored;
mod wire;

pub use fit::{LineFit, SlopePoint};
pub use placement::measure_placement;
pub use quota::measure_quota;
pub use report::{CapacityReport, SlopeRow, SlopeSubject};

/// Numbers of entries that exchange messages.
const MEMBERS: [usize; 4] = [15, 50, 200, 400];

/// Numbers of targets: those of the co-operative, ten times as many, and the design size.
const TARGETS: [usize; 3] = [35, 350, 4_100];

/// Numbers of services among which the [`TARGETS`] at the same index are divided.
const SERVICES: [usize; 3] = [4, 40, 200];

/// Number of rounds at each size. Reports give their median, minimum and maximum.
const ROUNDS: usize = 5;

/// Description of the measurements in the report.
const METHOD: &str = "\
Times are processor time of one thread (CLOCK_THREAD_CPUTIME_ID).
Memory is the growth of resident memory (RssAnon) with all copies kept.
Each line: size, median of 5 rounds (3 for memory), least to most.";

/// Measures all slopes and returns the report.
///
/// # Errors
///
/// Returns an error if a connection on loopback fails.
pub async fn measure_capacity() -> Result<CapacityReport, Box<dyn std::error::Error>> {
    let (mut fleets, mut rings) = (Vec::new(), Vec::new());
    let mut rows = snapshots::memory_rows(&mut fleets);
    rows.push(decisions::memory_row(&mut rings));
    drop((fleets, rings));
    rows.extend(wire::rows().await?);
    rows.extend(messages::rows());
    rows.extend(snapshots::time_rows());
    rows.extend(decisions::time_rows());
    rows.extend(stored::rows());
    Ok(CapacityReport { method: METHOD, rows })
}
