//! Which caller gives way when an entry holds as many bytes for its callers as it may.
//!
//! Designed for callers that each stay within all limits and together hold more than the machine
//! has: uploads that stop short of their end, responses that nobody reads, idle connections.

use std::time::Duration;

/// Time over which progress is measured. A caller that has just begun, or just been waited for,
/// is not judged within it.
pub const PROGRESS_WINDOW: Duration = Duration::from_secs(1);

/// Time in which a caller that makes progress would move all that is held for it. Callers close
/// idle connections after 15 s, so a slower one is as good as idle.
const MAX_MOVE_TIME: Duration = Duration::from_secs(16);

/// Share of the machine's memory that an entry may hold for callers: 40 MB with 160 MB, the
/// smallest machine. An entry and its idle connections to targets take up to 40 MB, and with
/// three eighths, crowds took up to twice what was held, 133 MB in all.
const HELD_SHARE: f64 = 0.25;

/// Bytes that an entry may hold for callers on a machine with this memory, in MB.
pub fn default_held_bytes(memory_mb: f64) -> u64 {
    (memory_mb * 1e6 * HELD_SHARE) as u64
}

/// What an entry holds for one caller, and how fast that caller moves it.
#[derive(Clone, Copy, Debug)]
pub struct HolderReading {
    /// Bytes held.
    pub held: u64,
    /// Bytes received from and sent to the caller while it was observed.
    pub moved: u64,
    /// Time for which the caller was observed.
    pub observed: Duration,
    /// Whether the entry or a target has to act next, and not the caller.
    pub is_waiting: bool,
}

impl HolderReading {
    /// Returns `true` if the caller must not give way.
    pub fn makes_progress(&self) -> bool {
        self.is_waiting
            || self.observed < PROGRESS_WINDOW
            || self.move_time() <= MAX_MOVE_TIME.as_secs_f64()
    }

    /// Returns the time in which the caller would move all that is held, in seconds. One that
    /// moves nothing counts as moving a byte, so that the one with most bytes gives way first.
    fn move_time(&self) -> f64 {
        self.held as f64 * self.observed.as_secs_f64() / self.moved.max(1) as f64
    }
}

/// Chooses holders that together hold at least `needed` bytes, those first that are slowest for
/// their size. Returns fewer if the others make progress.
pub fn choose_victims<K: Copy>(
    holders: impl IntoIterator<Item = (K, HolderReading)>,
    needed: u64,
) -> Vec<K> {
    let slow = holders.into_iter().filter(|(_, reading)| !reading.makes_progress());
    let mut slow: Vec<_> =
        slow.map(|(key, reading)| (reading.move_time(), reading.held, key)).collect();
    slow.sort_by(|left, right| right.0.total_cmp(&left.0));
    let mut freed = 0;
    let mut victims = Vec::new();
    for (_, held, key) in slow {
        if freed >= needed {
            break;
        }
        freed += held;
        victims.push(key);
    }
    victims
}
