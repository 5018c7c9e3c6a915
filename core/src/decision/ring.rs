//! Ring buffer of the newest decision records of an entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwapOption;

use super::{DecisionRecord, RequestId};

/// Records that a reader copied, oldest first.
#[derive(Clone, Debug, Default)]
pub struct RingBatch {
    /// The records with their numbers.
    pub records: Vec<(u64, DecisionRecord)>,
    /// Number of records that were overwritten before they could be read.
    pub lost: u64,
    /// Number of the last record considered. The next read continues after it.
    pub last: u64,
}

struct NumberedRecord {
    number: u64,
    record: DecisionRecord,
}

/// Ring buffer of records. Each slot is replaced as a whole by read-copy-update, so a
/// writer waits for no reader and a reader sees only complete records.
pub struct DecisionRing {
    slots: Box<[ArcSwapOption<NumberedRecord>]>,
    written: AtomicU64,
}

impl DecisionRing {
    /// Creates a ring that keeps the newest `capacity` records, at least 1.
    pub fn new(capacity: usize) -> Self {
        let slots = (0..capacity.max(1)).map(|_| ArcSwapOption::empty()).collect();
        Self { slots, written: AtomicU64::new(0) }
    }

    /// Returns the number of records written so far. Record numbers start at 1.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Acquire)
    }

    /// Writes a record and returns its number.
    pub fn write(&self, record: DecisionRecord) -> u64 {
        let number = self.written.fetch_add(1, Ordering::AcqRel) + 1;
        let written = Arc::new(NumberedRecord { number, record });
        let replaced = self.slot(number).swap(Some(written));
        // A writer that was paused while the ring wrapped around has replaced a newer
        // record and puts it back. A compare-and-swap loop would make this exact for three
        // writers on one slot, but takes 409 ns per record in place of 209 ns.
        if let Some(newer) = replaced.filter(|replaced| replaced.number > number) {
            self.slot(number).store(Some(newer));
        }
        number
    }

    /// Returns the newest record of a request. It reads the whole ring in the worst case,
    /// so it is for administration and not for the request path.
    pub fn find(&self, request_id: &RequestId) -> Option<(u64, DecisionRecord)> {
        let newest = self.written();
        let oldest = newest.saturating_sub(self.slots.len() as u64);
        (oldest + 1..=newest).rev().find_map(|number| {
            let slot = self.slot(number).load();
            let found = slot.as_ref().filter(|found| found.record.request_id == *request_id)?;
            Some((found.number, found.record))
        })
    }

    /// Copies up to `limit` records with numbers above `after`.
    pub fn read_after(&self, after: u64, limit: usize) -> RingBatch {
        let newest = self.written();
        let oldest = newest.saturating_sub(self.slots.len() as u64);
        let start = after.max(oldest);
        let end = newest.min(start.saturating_add(limit as u64));
        let mut batch = RingBatch { lost: start - after, last: after, ..RingBatch::default() };
        for number in start + 1..=end {
            let slot = self.slot(number).load();
            match slot.as_ref() {
                Some(found) if found.number == number => {
                    batch.records.push((number, found.record));
                }
                Some(found) if found.number > number => batch.lost += 1,
                // The writer has taken the number but has not stored the record yet. The
                // next read starts with it, unless half the ring was written since.
                _ if newest - number < self.slots.len() as u64 / 2 => break,
                _ => batch.lost += 1,
            }
            batch.last = number;
        }
        batch
    }

    fn slot(&self, number: u64) -> &ArcSwapOption<NumberedRecord> {
        &self.slots[(number % self.slots.len() as u64) as usize]
    }
}
