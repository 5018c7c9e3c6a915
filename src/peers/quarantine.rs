//! Quarantine state in gossip messages.

use std::cmp::Reverse;

use zinniaport_core::quarantine::CrashRecord;

use super::QuarantineExchange;
use crate::gate::QuarantineGate;

/// Crash records in one message, those of the latest events. At about 100 bytes each
/// they stay within 3 KB; usually there is none.
const MAX_RECORDS: usize = 24;

impl QuarantineExchange for QuarantineGate {
    fn local_state(&self) -> Vec<Vec<u8>> {
        let mut records = self.crash_records();
        records.sort_by_key(|record| Reverse(record.last_event()));
        records.truncate(MAX_RECORDS);
        records.iter().filter_map(|record| serde_json::to_vec(record).ok()).collect()
    }

    fn merge_remote(&self, encoded: Vec<Vec<u8>>) {
        // Skips records that a newer version encoded in a form that this one cannot read.
        let records: Vec<CrashRecord> =
            encoded.iter().filter_map(|record| serde_json::from_slice(record).ok()).collect();
        self.merge(&records);
    }
}
