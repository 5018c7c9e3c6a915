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

/// Lines that wait for a slow reader, about 400 bytes each; further ones are dropped.
const MAX_BUFFERED_LINES: usize = 2048;

/// Longest time that a process waits at its end for its lines to be written.
const FLUSH_LIMIT: Duration = Duration::from_millis(500);

/// Starts logging. Does nothing if the process already logs.
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
            // If the reader falls behind, lines are dropped and the request path never
            // waits.
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
        log::debug!("the process already logs; its log settings stay in effect");
    }
}

/// Waits until all lines are written, at most `FLUSH_LIMIT` because the output may have
/// no reader.
pub fn flush_logs() {
    let (sender, flushed) = mpsc::channel();
    std::thread::spawn(move || {
        log::logger().flush();
        let _ = sender.send(());
    });
    let _ = flushed.recv_timeout(FLUSH_LIMIT);
}

/// Lines about single requests that may be written in one second. Refusals are most
/// frequent under overload, when a line for each would slow the entry down further.
const LINES_PER_SECOND: u64 = 100;

/// Limits the rate of log lines about single requests.
#[derive(Debug, Default)]
pub struct LineLimiter {
    second: AtomicU64,
    written: AtomicU64,
}

impl LineLimiter {
    /// Returns `true` if a line may be written at `now`. The limit is approximate when
    /// several threads enter a new second at once.
    pub fn try_acquire(&self, now: Timestamp) -> bool {
        let second = now.0 / 1_000_000;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.written.store(0, Ordering::Relaxed);
        }
        self.written.fetch_add(1, Ordering::Relaxed) < LINES_PER_SECOND
    }
}
