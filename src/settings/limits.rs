//! Limits on the size and the duration of caller requests.

use std::time::Duration;

use serde::Deserialize;
use zinniaport_core::held_bytes::default_held_bytes;

use super::violation::{CheckSettings, ViolationList, field};
use crate::held::machine_memory_mb;

/// Limits on what callers may send.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Largest request head, in bytes.
    pub max_header_bytes: u32,
    /// Largest number of header lines in a request.
    pub max_header_count: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Longest time to receive a whole request head, in milliseconds. A connection that is
    /// idle for this long is closed as well.
    pub header_read_timeout_ms: u64,
    /// Longest time without progress in a request or response body, in milliseconds.
    pub body_progress_timeout_ms: u64,
    /// Largest number of open caller connections.
    pub max_caller_connections: usize,
    /// Largest number of open streams on one HTTP/2 connection.
    pub max_http2_streams: u32,
    /// Largest request body of known length that is buffered before it is forwarded, so
    /// that it can be sent again, in bytes.
    pub buffered_body_bytes: u64,
    /// Time that a request and its response take between caller and entry, in
    /// milliseconds. Callers count it towards their objective.
    pub caller_path_ms: u64,
    /// Memory that the entry may use, in MB; without it, the memory of the machine.
    pub memory_mb: Option<f64>,
    /// Largest number of bytes that the entry holds for callers: connections, heads, bodies and
    /// transfers. Without it, a quarter of the memory.
    pub held_bytes: Option<u64>,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_header_count: 100,
            max_body_bytes: 4 << 30,
            header_read_timeout_ms: 10_000,
            body_progress_timeout_ms: 10_000,
            max_caller_connections: 10_000,
            max_http2_streams: 100,
            buffered_body_bytes: 16 << 10,
            caller_path_ms: 0,
            memory_mb: None,
            held_bytes: None,
        }
    }
}

impl LimitSettings {
    /// Returns the longest time to receive a whole request head.
    pub fn header_read_timeout(&self) -> Duration {
        Duration::from_millis(self.header_read_timeout_ms)
    }

    /// Returns the largest number of bytes that the entry holds for callers.
    pub fn max_held_bytes(&self) -> u64 {
        self.held_bytes
            .unwrap_or_else(|| default_held_bytes(self.memory_mb.unwrap_or_else(machine_memory_mb)))
    }

    /// Returns the time that a request and its response take between caller and entry.
    pub fn caller_path(&self) -> Duration {
        Duration::from_millis(self.caller_path_ms)
    }

    /// Returns the longest time without progress in a body.
    pub fn body_progress_timeout(&self) -> Duration {
        Duration::from_millis(self.body_progress_timeout_ms)
    }
}

impl CheckSettings for LimitSettings {
    fn check(&self, path: &str, violations: &mut ViolationList) {
        let bytes = "give a size in bytes within the limit";
        let time = "give a time in milliseconds within the limit";
        let count = "give a number within the limit";
        let at = |name| field(path, name);
        violations.check_range(
            at("max_header_bytes"),
            self.max_header_bytes,
            1024..=1 << 20,
            bytes,
        );
        violations.check_range(at("max_header_count"), self.max_header_count, 1..=1000, count);
        violations.check_range(at("max_body_bytes"), self.max_body_bytes, 0..=1 << 40, bytes);
        let timeout = self.header_read_timeout_ms;
        violations.check_range(at("header_read_timeout_ms"), timeout, 100..=600_000, time);
        let timeout = self.body_progress_timeout_ms;
        violations.check_range(at("body_progress_timeout_ms"), timeout, 100..=600_000, time);
        let connections = self.max_caller_connections;
        violations.check_range(at("max_caller_connections"), connections, 1..=1_000_000, count);
        let buffered = self.buffered_body_bytes;
        violations.check_range(at("buffered_body_bytes"), buffered, 0..=64 << 20, bytes);
        violations.check_range(at("caller_path_ms"), self.caller_path_ms, 0..=10_000, time);
        if let Some(memory) = self.memory_mb {
            let megabytes = "give the memory of the machine in MB";
            violations.check_range(at("memory_mb"), memory, 16.0..=16_777_216.0, megabytes);
        }
        if let Some(held) = self.held_bytes {
            violations.check_range(at("held_bytes"), held, 1 << 20..=1 << 40, bytes);
        }
        violations.check_range(at("max_http2_streams"), self.max_http2_streams, 1..=10_000, count);
    }
}
