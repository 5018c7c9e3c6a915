//! The record of a case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Lines with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<Option<File>>>,
    started: Instant,
}

impl Record {
    /// Creates the file. Without it, lines are lost, and the case goes on.
    pub fn create(path: &Path) -> Self {
        Self { file: Arc::new(Mutex::new(File::create(path).ok())), started: Instant::now() }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let now = self.now().as_secs_f64();
        if let Ok(mut file) = self.file.lock()
            && let Some(file) = file.as_mut()
        {
            let _ = writeln!(file, "{now:9.3} s  {text}");
        }
    }
}
