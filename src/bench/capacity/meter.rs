//! Measures the CPU time of the calling thread and the resident memory of the process.

use rustix::time::{ClockId, clock_gettime};

/// Returns the CPU time of the calling thread, in nanoseconds.
fn thread_cpu_nanos() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e9 + time.tv_nsec as f64
}

/// Runs `operation` `count` times and returns the mean CPU time of a run, in microseconds.
pub fn cpu_time_us(count: u32, mut operation: impl FnMut()) -> f64 {
    let start = thread_cpu_nanos();
    for _ in 0..count {
        operation();
    }
    (thread_cpu_nanos() - start) / f64::from(count) / 1e3
}

/// Returns the resident anonymous memory of the process in bytes, from `RssAnon` in
/// `/proc/self/status`; 0 if that is not available.
pub fn resident_bytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    kilobytes.unwrap_or(0.0) * 1024.0
}

/// Builds `count` values and returns the mean growth of resident memory for each, in bytes.
/// Keeps the values in `kept`, because freed memory would be reused without growth.
pub fn resident_growth_bytes<T>(
    count: usize,
    kept: &mut Vec<T>,
    mut build: impl FnMut() -> T,
) -> f64 {
    kept.reserve(count);
    let before = resident_bytes();
    kept.extend((0..count).map(|_| build()));
    (resident_bytes() - before) / count as f64
}
