//! Copies of other entries' decision records, kept in memory to outlive a crash of those.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};
use zinniaport_core::decision::{CompactBase, CompactRecord, NamedRecord};

use super::encoding::decode_record;

/// Version of the encoding. Copies of another version are refused.
pub const COPY_FORMAT: u16 = 1;

/// Encoded bytes that an entry keeps: an eighth of the 32 MB that the control plane may
/// use. With bookkeeping the copies take about twice as much memory.
const MAX_COPY_BYTES: usize = 4 << 20;

/// Records that an entry sends to its backup entry in one call.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct CopyBatch {
    /// Version of the encoding.
    pub format: u16,
    /// Entry that wrote the records.
    pub entry: String,
    /// Identifies the name table that the records refer to.
    pub session: u64,
    /// Position of the first of `names` in the name table.
    pub first_name_index: u32,
    /// Names that the receiver does not have yet.
    pub names: Vec<String>,
    /// Base values that numbers and times in the records are relative to.
    pub base: CompactBase,
    /// The encoded records.
    pub records: Vec<Vec<u8>>,
}

new_key_type! {
    /// Key of one session of an entry.
    struct OriginKey;
}

struct CopyOrigin {
    entry: String,
    session: u64,
    names: Vec<String>,
    records: usize,
}

struct CopiedRecord {
    origin: OriginKey,
    base: CompactBase,
    bytes: Vec<u8>,
}

#[derive(Default)]
struct CopyTable {
    origins: SlotMap<OriginKey, CopyOrigin>,
    records: VecDeque<CopiedRecord>,
    bytes: usize,
}

/// Bounded set of copied records; the oldest are evicted first. Calls between entries
/// and look-ups lock it, the request path never does.
#[derive(Default)]
pub struct RecordCopies(Mutex<CopyTable>);

impl RecordCopies {
    /// Stores the records of a batch. Returns `false` if its names do not continue the
    /// stored name table: the sender then starts a new session.
    pub fn insert(&self, batch: CopyBatch) -> bool {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(batch)
    }

    /// Finds the newest copy of a request's record.
    pub fn find(&self, request_id: &str) -> Option<NamedRecord> {
        let table = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        table.records.iter().rev().find_map(|copied| {
            let record: CompactRecord = decode_record(&copied.bytes)?;
            let origin =
                table.origins.get(copied.origin).filter(|_| record.has_request_id(request_id))?;
            let name = |position| origin.names.get(position as usize).map(String::as_str);
            record.named(&origin.entry, copied.base, name)
        })
    }
}

impl CopyTable {
    fn insert(&mut self, batch: CopyBatch) -> bool {
        if batch.format != COPY_FORMAT {
            return false;
        }
        let known = self
            .origins
            .iter()
            .find(|(_, origin)| origin.session == batch.session && origin.entry == batch.entry);
        let key = match known {
            Some((key, origin)) if origin.names.len() == batch.first_name_index as usize => key,
            None if batch.first_name_index == 0 => self.origins.insert(CopyOrigin {
                entry: batch.entry,
                session: batch.session,
                names: Vec::new(),
                records: 0,
            }),
            _ => return false,
        };
        self.origins[key].names.extend(batch.names);
        self.origins[key].records += batch.records.len();
        for bytes in batch.records {
            self.bytes += bytes.len();
            self.records.push_back(CopiedRecord { origin: key, base: batch.base, bytes });
        }
        self.evict_oldest();
        true
    }

    fn evict_oldest(&mut self) {
        while self.bytes > MAX_COPY_BYTES
            && let Some(oldest) = self.records.pop_front()
        {
            self.bytes -= oldest.bytes.len();
            let origin = &mut self.origins[oldest.origin];
            origin.records -= 1;
            if origin.records == 0 {
                self.origins.remove(oldest.origin);
            }
        }
    }
}
