//! Chooses and encodes the records of one batch within a number of bytes.

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

/// Names after which a session ends, so that the tables of sender and receiver
/// stay small.
const MAX_NAMES: usize = 8_192;

/// Bytes of a name or a record besides its content: the length in front of it.
const LENGTH_BYTES: usize = 3;

/// Bytes that an entry sends for a batch besides the records: the frame of the
/// call, headers of TCP and IP, and the acknowledgement of the answer.
const FRAME_BYTES: usize = 160;

/// Least room for records in a batch. Without it frames take most of an allowance
/// of 1,024 bytes per second: 320 records a minute were copied, with it 571.
const MIN_ROOM: usize = 320;

/// Packs records of an entry and remembers the names that its neighbour holds.
pub struct RecordPacker {
    state: Arc<SharedState>,
    names: NameTable,
    /// Callers by key: each name is looked up under the lock once.
    callers: SecondaryMap<CallerKey, Arc<str>>,
    session: u64,
}

impl RecordPacker {
    /// Creates a packer whose neighbour holds no names.
    pub fn new(state: Arc<SharedState>) -> Self {
        let session = state.clock.now().0;
        Self { state, names: NameTable::default(), callers: SecondaryMap::new(), session }
    }

    /// Starts over with a neighbour that holds no names.
    pub fn start_session(&mut self) {
        self.names.truncate(0);
        self.callers.clear();
        self.session = self.state.clock.now().0.max(self.session + 1);
    }

    /// Packs the records that fit into `allowance` bytes, the most missed first,
    /// and returns them with the bytes that they take.
    pub fn pack(&mut self, mut read: RingBatch, allowance: usize) -> (CopyBatch, usize) {
        if self.names.len() > MAX_NAMES {
            self.start_session();
        }
        sort_for_copying(&mut read.records);
        let numbers = read.records.iter().map(|(number, _)| *number);
        let arrivals = read.records.iter().map(|(_, record)| record.facts.arrived);
        let newest = arrivals.max().unwrap_or_default();
        let base = CompactBase { number: numbers.min().unwrap_or_default(), newest };
        let first_name = self.names.len();
        let fleet = self.state.fleet.load_full();
        let (mut records, mut taken) = (Vec::new(), 0);
        for (number, record) in &read.records {
            let caller = self.caller(record.facts.caller);
            let named = record.named_with_caller(*number, "", &fleet, caller.as_deref());
            let known = self.names.len();
            let compact = CompactRecord::new(&named, base, &mut self.names);
            let Some(bytes) = encode_record(&compact) else { continue };
            let names: usize =
                self.names.iter_from(known).map(|name| name.len() + LENGTH_BYTES).sum();
            let size = bytes.len() + LENGTH_BYTES + names;
            if taken + size > allowance {
                self.names.truncate(known);
                break;
            }
            taken += size;
            records.push(bytes);
        }
        let batch = CopyBatch {
            format: COPY_FORMAT,
            entry: self.state.entry_name.to_string(),
            session: self.session,
            first_name: first_name as u32,
            names: self.names.iter_from(first_name).map(ToOwned::to_owned).collect(),
            base,
            records,
        };
        (batch, taken)
    }

    /// Looks up the name of a caller. The lock is held for one look-up, as long
    /// as a request holds it.
    fn caller(&mut self, key: CallerKey) -> Option<Arc<str>> {
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

/// Bytes that may be sent: a token bucket that holds one second's worth.
#[derive(Debug)]
pub struct CopyLimiter {
    rate: f64,
    held: f64,
    filled: Timestamp,
}

impl CopyLimiter {
    /// Creates an empty allowance of `rate` bytes per second.
    pub fn new(rate: u64, now: Timestamp) -> Self {
        Self { rate: rate as f64, held: 0.0, filled: now }
    }

    /// Gives the room for records in a batch at `now`; none while too little is
    /// held for a batch that is worth its frame.
    pub fn available(&mut self, now: Timestamp) -> Option<usize> {
        let gained = self.rate * now.since(self.filled).as_secs_f64();
        self.held = (self.held + gained).min(self.rate);
        self.filled = now;
        let room = (self.held.max(0.0) as usize).checked_sub(FRAME_BYTES)?;
        (room >= MIN_ROOM).then_some(room)
    }

    /// Takes what a batch with this many bytes of records took, and returns it.
    pub fn consume(&mut self, bytes: usize) -> usize {
        self.held -= (bytes + FRAME_BYTES) as f64;
        bytes + FRAME_BYTES
    }
}
