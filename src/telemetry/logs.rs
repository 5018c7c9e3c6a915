//! JSON log lines on standard error or standard output.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::time::Duration;

use logforth::append::asynchronous::AsyncBuilder;
use logforth::append::{Stderr, Stdout};
use logforth::diagnostic::StaticDiagnostic;
use logforth::layout::JsonLayout;
use logforth::record::{Level, LevelFilter};
use zinniaport_core::clock::Timestamp;

use crate::settings::{LogLevel, LogOutput, LogSettings};

/// Lines that wait for a slow reader, some 400 bytes each, before further ones are
/// dropped.
const MAX_BUFFERED_LINES: usize = 2048;

/// Longest wait for the lines of a process that ends.
const FLUSH_LIMIT: Duration = Duration::from_millis(500);

/// Starts to write log lines. Does nothing if the process already logs.
pub fn start_logs(settings: &LogSettings, entry_name: &str) {
    let least = match settings.level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let mut entry = StaticDiagnostic::default();
    entry.insert("entry", entry_name);
    let output = settings.output;
    let started = logforth::starter_log::builder()
        .dispatch(|dispatch| {
            let dispatch = dispatch.filter(LevelFilter::MoreSevereEqual(least)).diagnostic(entry);
            let layout = JsonLayout::default();
            // A reader that falls behind costs lines, never time on the request path.
            let lines = AsyncBuilder::new("log-writer")
                .buffered_lines_limit(Some(MAX_BUFFERED_LINES))
                .overflow_drop_incoming();
            let lines = match output {
                LogOutput::Stderr => lines.append(Stderr::default().with_layout(layout)),
                LogOutput::Stdout => lines.append(Stdout::default().with_layout(layout)),
            };
            dispatch.append(lines.build())
        })
        .try_apply();
    if started.is_err() {
        log::debug!("the process already logs; its level stays as it is");
    }
}

/// Waits a moment until the lines so far are written. Nobody may read them.
pub fn flush_logs() {
    let (sender, flushed) = mpsc::channel();
    std::thread::spawn(move || {
        log::logger().flush();
        let _ = sender.send(());
    });
    let _ = flushed.recv_timeout(FLUSH_LIMIT);
}

/// Lines that may be written in one second. Refusals are most frequent under
/// overload, when writing a line for each would slow the entry further.
const LINES_PER_SECOND: u64 = 100;

/// Bounds the lines about single requests.
#[derive(Debug, Default)]
pub struct LineLimiter {
    second: AtomicU64,
    written: AtomicU64,
}

impl LineLimiter {
    /// Tells whether a line may be written at `now`. The bound is approximate
    /// when a second begins on several threads at once.
    pub fn try_acquire(&self, now: Timestamp) -> bool {
        let second = now.0 / 1_000_000;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.written.store(0, Ordering::Relaxed);
        }
        self.written.fetch_add(1, Ordering::Relaxed) < LINES_PER_SECOND
    }
}
