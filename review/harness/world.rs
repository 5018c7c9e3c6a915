//! Time, the record of a run, and random numbers.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: Mutex<Option<BufWriter<File>>> = Mutex::new(None);
static RANDOM: AtomicU64 = AtomicU64::new(0);

/// Opens the record and starts the clock of the run.
pub fn open_record(path: &str) {
    START.get_or_init(Instant::now);
    if let Ok(file) = File::create(path) {
        *RECORD.lock().unwrap() = Some(BufWriter::new(file));
    }
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos();
    RANDOM.store(nanos as u64 | 1, Ordering::Relaxed);
}

/// Writes the rest of the record.
pub fn close_record() {
    if let Some(mut record) = RECORD.lock().unwrap().take() {
        let _ = record.flush();
    }
}

/// Returns the seconds since the start of the run.
pub fn now() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Writes a line to the record.
pub fn log(line: &str) {
    if let Some(record) = RECORD.lock().unwrap().as_mut() {
        let _ = writeln!(record, "{:9.3} {line}", now());
    }
}

/// Writes a line to the record and to the terminal.
pub fn note(line: &str) {
    println!("{:9.3} {line}", now());
    log(line);
}

/// Sleeps until `at` seconds after the start of the run.
pub fn sleep_until(at: f64) {
    let left = at - now();
    if left > 0.0 {
        std::thread::sleep(Duration::from_secs_f64(left));
    }
}

/// Sleeps for some seconds.
pub fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// Returns a random number (SplitMix64).
pub fn random() -> u64 {
    let mut value = RANDOM.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns a digest of bytes (FNV-1a).
pub fn digest(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
