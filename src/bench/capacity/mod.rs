//! Slopes of memory, processor time and bytes, measured on one machine at several
//! sizes, from which `docs/CAPACITY.md` works out the design size.

mod decisions;
mod fit;
mod fixtures;
mod messages;
mod meter;
mod report;
mod snapshots;
mod stored;
mod wire;

pub use fit::{LineFit, SlopePoint};
pub use report::{CapacityReport, SlopeRow, SlopeSubject};

/// Entries that exchange messages.
const MEMBERS: [usize; 4] = [15, 50, 200, 400];

/// Targets: of the co-operative, ten times as many, and of the design size.
const TARGETS: [usize; 3] = [35, 350, 4_100];

/// Services that these targets are shared among.
const SERVICES: [usize; 3] = [4, 40, 200];

/// Rounds, of which the median, the least and the most are reported.
const ROUNDS: usize = 5;

/// How the figures come about.
const METHOD: &str = "\
Times are processor time of one thread (CLOCK_THREAD_CPUTIME_ID).
Memory is the growth of resident memory (RssAnon) with all copies kept.
Each line: size, median of 5 rounds (3 for memory), least to most.";

/// Measures all slopes.
///
/// # Errors
///
/// Returns an error when loopback cannot be used.
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
