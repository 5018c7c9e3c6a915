//! Measures processor time of the calling thread and memory of the process.

use rustix::time::{ClockId, clock_gettime};

/// Gives the processor time of the calling thread in nanoseconds.
fn thread_nanos() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e9 + time.tv_nsec as f64
}

/// Gives the processor time of one of `count` operations in microseconds.
pub fn processor_us(count: u32, mut operation: impl FnMut()) -> f64 {
    let start = thread_nanos();
    for _ in 0..count {
        operation();
    }
    (thread_nanos() - start) / f64::from(count) / 1e3
}

/// Gives the resident anonymous memory of the process in bytes, from `RssAnon`
/// in `/proc/self/status`; 0 if the system does not tell.
pub fn resident_bytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    kilobytes.unwrap_or(0.0) * 1024.0
}

/// Gives the growth of resident memory by each of `count` values that `make`
/// builds. The values are kept in `kept`, because freed memory would be used
/// again without a growth.
pub fn memory_bytes<T>(count: usize, kept: &mut Vec<T>, mut make: impl FnMut() -> T) -> f64 {
    kept.reserve(count);
    let before = resident_bytes();
    kept.extend((0..count).map(|_| make()));
    (resident_bytes() - before) / count as f64
}
