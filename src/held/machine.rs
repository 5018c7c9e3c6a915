//! Memory of the machine that an entry runs on.

use std::fs;

/// Memory that is assumed if the system does not tell it, in MB: that of the smallest machine.
const FALLBACK_MEMORY_MB: f64 = 160.0;

/// Returns the memory that this process may use, in MB: the smaller of the machine's and the limit
/// of its control group.
pub fn machine_memory_mb() -> f64 {
    let total = fs::read_to_string("/proc/meminfo").ok().and_then(|text| {
        let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
        line.trim().strip_suffix(" kB")?.parse::<f64>().ok().map(|kib| kib * 1024.0 / 1e6)
    });
    let group = fs::read_to_string("/sys/fs/cgroup/memory.max").ok();
    let group = group.and_then(|text| text.trim().parse::<f64>().ok()).map(|bytes| bytes / 1e6);
    total.into_iter().chain(group).reduce(f64::min).unwrap_or(FALLBACK_MEMORY_MB)
}
