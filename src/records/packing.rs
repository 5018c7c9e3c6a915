//! Selects and encodes the records of a batch within a byte limit.

use std::sync::{Arc, PoisonError};

use slotmap::SecondaryMap;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::decision::{
    CompactBase, CompactRecord, NameTable, RingBatch, sort_for_copying,
};
use zinniaport_core::keys::CallerKey;

use super::copies::{COPY_FORMAT, CopyBatch};
use super::encoding::encode_record;
use crate::state::SharedState;

/// Number of names after which a new session starts, so that the name tables of sender
/// and receiver stay small.
const MAX_NAMES: usize = 8_192;

/// Bytes of the length prefix of a name or a record.
const LENGTH_BYTES: usize = 3;

/// Bytes that an entry sends for a batch in addition to the records: the frame of the
/// call, the TCP and IP headers, and the acknowledgement of the response.
const FRAME_BYTES: usize = 160;

/// Smallest number of bytes for records in a batch. Without this minimum, frames take
/// most of a limit of 1,024 bytes per second: 320 records per minute were copied, and
/// 571 with it.
const MIN_RECORD_BYTES: usize = 320;

/// Packs records of an entry and tracks the names that the backup entry knows.
pub struct RecordPacker {
    state: Arc<SharedState>,
    names: NameTable,
    /// Names of callers by key, so that each one is looked up under the lock only once.
    callers: SecondaryMap<CallerKey, Arc<str>>,
    session: u64,
}

impl RecordPacker {
    /// Creates a packer for a backup entry that knows no names.
    pub fn new(state: Arc<SharedState>) -> Self {
        let session = state.clock.now().0;
        Self { state, names: NameTable::default(), callers: SecondaryMap::new(), session }
    }

    /// Starts a session with a backup entry that knows no names.
    pub fn start_session(&mut self) {
        self.names.truncate(0);
        self.callers.clear();
        self.session = self.state.clock.now().0.max(self.session + 1);
    }

    /// Packs the records that fit into `limit` bytes, by copy priority, and returns them
    /// with the number of bytes that they take.
    pub fn pack(&mut self, mut ring_batch: RingBatch, limit: usize) -> (CopyBatch, usize) {
        if self.names.len() > MAX_NAMES {
            self.start_session();
        }
        sort_for_copying(&mut ring_batch.records);
        let numbers = ring_batch.records.iter().map(|(number, _)| *number);
        let arrivals = ring_batch.records.iter().map(|(_, record)| record.facts.arrived);
        let newest = arrivals.max().unwrap_or_default();
        let base = CompactBase { number: numbers.min().unwrap_or_default(), newest };
        let first_name_index = self.names.len();
        let fleet = self.state.fleet.load_full();
        let (mut records, mut used) = (Vec::new(), 0);
        for (number, record) in &ring_batch.records {
            let caller_name = self.caller_name(record.facts.caller);
            let named = record.named_with_caller(*number, "", &fleet, caller_name.as_deref());
            let name_count = self.names.len();
            let compact = CompactRecord::new(&named, base, &mut self.names);
            let Some(bytes) = encode_record(&compact) else { continue };
            let names: usize =
                self.names.iter_from(name_count).map(|name| name.len() + LENGTH_BYTES).sum();
            let size = bytes.len() + LENGTH_BYTES + names;
            if used + size > limit {
                self.names.truncate(name_count);
                break;
            }
            used += size;
            records.push(bytes);
        }
        let batch = CopyBatch {
            format: COPY_FORMAT,
            entry: self.state.entry_name.to_string(),
            session: self.session,
            first_name_index: first_name_index as u32,
            names: self.names.iter_from(first_name_index).map(ToOwned::to_owned).collect(),
            base,
            records,
        };
        (batch, used)
    }

    /// Looks up the name of a caller. The lock is held for one look-up only, no longer than
    /// a request holds it.
    fn caller_name(&mut self, key: CallerKey) -> Option<Arc<str>> {
        if let Some(name) = self.callers.get(key) {
            return Some(name.clone());
        }
        let callers = self.state.callers.lock().unwrap_or_else(PoisonError::into_inner);
        let name = callers.name(key)?;
        drop(callers);
        self.callers.insert(key, name.clone());
        Some(name)
    }
}

/// Token bucket that limits the bytes sent. Its capacity is one second's worth.
#[derive(Debug)]
pub struct CopyLimiter {
    rate: f64,
    tokens: f64,
    refilled_at: Timestamp,
}

impl CopyLimiter {
    /// Creates an empty bucket that fills at `rate` bytes per second.
    pub fn new(rate: u64, now: Timestamp) -> Self {
        Self { rate: rate as f64, tokens: 0.0, refilled_at: now }
    }

    /// Returns the bytes that the records of a batch may take at `now`, or `None` while
    /// they are too few to justify a frame.
    pub fn available(&mut self, now: Timestamp) -> Option<usize> {
        let gained = self.rate * now.since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + gained).min(self.rate);
        self.refilled_at = now;
        let available = (self.tokens.max(0.0) as usize).checked_sub(FRAME_BYTES)?;
        (available >= MIN_RECORD_BYTES).then_some(available)
    }

    /// Consumes the bytes of a batch, that is its records and its frame, and returns them.
    pub fn consume(&mut self, bytes: usize) -> usize {
        self.tokens -= (bytes + FRAME_BYTES) as f64;
        bytes + FRAME_BYTES
    }
}
