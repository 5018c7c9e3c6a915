//! Crash records that messages to other entries carry.

use std::cmp::Reverse;
use std::time::Duration;

use super::CrashRecord;
use crate::clock::Timestamp;

/// Age up to which an event is news, which a message reports before older ones.
const NEWS_AGE: Duration = Duration::from_secs(2);

/// Maximum number of new crash records in one message, of about 70 bytes each.
const MAX_NEWS: usize = 8;

/// Number of older records in one message, which take turns. With a message of each peer in
/// every period, an entry that missed a record gets it in one of the next periods.
const OLDER_RECORDS: usize = 2;

/// Maximum number of records in a message to an entry that has just started.
const MAX_FIRST_RECORDS: usize = 32;

/// Crash records that messages to other entries carry.
#[derive(Debug, Default)]
pub struct CrashReport {
    /// New records: first those with the most crashes, then the latest.
    news: Vec<CrashRecord>,
    /// Older records with several crashes.
    older: Vec<CrashRecord>,
}

impl CrashReport {
    /// Creates a report of `records`.
    pub fn new(records: Vec<CrashRecord>, now: Timestamp) -> Self {
        let is_news = |record: &CrashRecord| now.since(record.last_event()) < NEWS_AGE;
        let (mut news, mut older): (Vec<_>, Vec<_>) = records.into_iter().partition(is_news);
        news.sort_by_key(|record| Reverse((record.crash_count(), record.last_event())));
        older.extend(news.split_off(news.len().min(MAX_NEWS)));
        older.retain(CrashRecord::is_repeated);
        older.sort_by_key(|record| record.fingerprint);
        Self { news, older }
    }

    /// Returns the records of message number `sequence`: the new ones and, in turn, some of the
    /// older ones.
    pub fn records(self, sequence: u64) -> Vec<CrashRecord> {
        let Self { mut news, older } = self;
        let start = (sequence as usize).wrapping_mul(OLDER_RECORDS);
        let count = OLDER_RECORDS.min(older.len());
        news.extend((0..count).map(|step| older[start.wrapping_add(step) % older.len()].clone()));
        news
    }

    /// Returns the records for an entry that has just started and knows none.
    pub fn first_records(self) -> Vec<CrashRecord> {
        let Self { mut news, mut older } = self;
        older.sort_by_key(|record| Reverse((record.crash_count(), record.last_event())));
        older.truncate(MAX_FIRST_RECORDS.saturating_sub(news.len()));
        news.append(&mut older);
        news
    }
}
