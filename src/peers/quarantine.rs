//! Quarantined fingerprints in messages between entries.

use std::cmp::Reverse;

use zinniaport_core::quarantine::CrashRecord;

use super::QuarantineExchange;
use crate::gate::QuarantineGate;

/// Fingerprints in one message, the latest crashes first. At about 100 bytes
/// each they stay within 3 KB; on most days there is none.
const MAX_ENTRIES: usize = 24;

impl QuarantineExchange for QuarantineGate {
    fn local_state(&self) -> Vec<Vec<u8>> {
        let mut entries = self.entries();
        entries.sort_by_key(|entry| Reverse(entry.last_crash));
        entries.truncate(MAX_ENTRIES);
        entries.iter().filter_map(|entry| serde_json::to_vec(entry).ok()).collect()
    }

    fn merge_remote(&self, fingerprints: Vec<Vec<u8>>) {
        // An entry of a newer version that cannot be read here is left out.
        let entries: Vec<CrashRecord> = fingerprints
            .iter()
            .filter_map(|fingerprint| serde_json::from_slice(fingerprint).ok())
            .collect();
        self.merge(&entries);
    }
}
