//! Serves the directory to other entries, so that only a few of them call the platform.

use std::io::{Read, Write};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};
use zinniaport_core::directory::{
    BatchOrigin, DirectoryBatch, DirectoryPart, PartLedger, StoreRevision,
};

/// Age of the platform's last response after which a relay stops serving. A leader's own
/// watch returns every second, and a change must be known to all entries after two
/// seconds.
const MAX_CONFIRMED_AGE: Duration = Duration::from_millis(1_300);

/// The same for evacuations. A leader's watch for them may return after 1.5 s only, and an
/// evacuation must be known to all entries after 5 s.
const MAX_EVACUATIONS_AGE: Duration = Duration::from_millis(1_800);

/// Largest batch that is read from another entry, in bytes after decompression.
const MAX_BATCH_BYTES: u64 = 64 << 20;

/// The newest known state of one part of the directory.
#[derive(Debug, Default)]
pub(super) struct RelayedPart {
    pub(super) ledger: PartLedger,
    /// Time of the last response of the platform.
    pub(super) confirmed_at: Option<Instant>,
    /// The last encoded response, with the revisions that it starts after and ends at.
    encoded: Option<EncodedBatch>,
}

/// A response to a query.
#[derive(Debug)]
struct EncodedBatch {
    after: Option<StoreRevision>,
    position: StoreRevision,
    bytes: Bytes,
}

impl RelayedPart {
    /// Returns `true` if the last response of the platform about this part, which is `part`, is
    /// recent enough to rule out newer changes.
    pub(super) fn is_fresh(&self, part: DirectoryPart) -> bool {
        self.fresh_until(part).is_some_and(|until| until > Instant::now())
    }

    fn apply(&mut self, batch: &mut DirectoryBatch, origin: BatchOrigin) {
        let is_applied = self.ledger.apply(batch, origin);
        if is_applied && matches!(origin, BatchOrigin::Listed | BatchOrigin::Watched) {
            self.confirmed_at = Some(Instant::now());
        }
    }

    /// Returns until when this part, which is `part`, may be served.
    pub(super) fn fresh_until(&self, part: DirectoryPart) -> Option<Instant> {
        let max_age = match part {
            DirectoryPart::Targets | DirectoryPart::Configuration => MAX_CONFIRMED_AGE,
            DirectoryPart::Evacuations => MAX_EVACUATIONS_AGE,
        };
        self.confirmed_at.map(|confirmed_at| confirmed_at + max_age)
    }

    /// Encodes the batch after a revision. The last one is cached, because followers mostly
    /// request changes after the same revision.
    pub(super) fn encode(&mut self, after: Option<StoreRevision>) -> std::io::Result<Bytes> {
        let position = self.ledger.position();
        if let Some(encoded) = &self.encoded
            && (encoded.after, encoded.position) == (after, position)
        {
            return Ok(encoded.bytes.clone());
        }
        let bytes = encode_batch(&self.ledger.batch(after))?;
        self.encoded = Some(EncodedBatch { after, position, bytes: bytes.clone() });
        Ok(bytes)
    }
}

/// This entry's copy of the directory, which the entry serves to its peers.
#[derive(Debug, Default)]
pub struct DirectoryRelay {
    parts: [Mutex<RelayedPart>; DirectoryPart::COUNT],
    pub(super) changed: [Notify; DirectoryPart::COUNT],
}

impl DirectoryRelay {
    /// Applies a batch and wakes the waiting followers. Content of the batch that is outdated
    /// because the store came back from an older copy is replaced by what is in force.
    pub fn apply(&self, part: DirectoryPart, batch: &mut DirectoryBatch, origin: BatchOrigin) {
        self.lock(part).apply(batch, origin);
        self.changed[part as usize].notify_waiters();
    }

    /// Applies the list of another entry and keeps its encoding, to pass it on as it is.
    pub(super) fn apply_list(
        &self,
        part: DirectoryPart,
        batch: &mut DirectoryBatch,
        encoded: Bytes,
    ) {
        let mut relayed = self.lock(part);
        let is_first = !relayed.ledger.is_complete();
        relayed.apply(batch, BatchOrigin::ListedByPeer);
        if is_first {
            let position = relayed.ledger.position();
            relayed.encoded = Some(EncodedBatch { after: None, position, bytes: encoded });
        }
        drop(relayed);
        self.changed[part as usize].notify_waiters();
    }

    /// Returns the era of the newest known state of a part.
    pub(super) fn era(&self, part: DirectoryPart) -> u64 {
        self.lock(part).ledger.position().era
    }

    /// Returns `true` once all objects of a part are known.
    pub(super) fn is_complete(&self, part: DirectoryPart) -> bool {
        self.lock(part).ledger.is_complete()
    }

    /// Waits until all objects of a part are known, at most for `wait`.
    pub(super) async fn wait_until_complete(&self, part: DirectoryPart, wait: Duration) {
        let end = Instant::now() + wait;
        loop {
            let changed = self.changed[part as usize].notified();
            let mut changed = std::pin::pin!(changed);
            changed.as_mut().enable();
            if self.is_complete(part) || Instant::now() >= end {
                return;
            }
            tokio::select! {
                () = changed => {}
                () = sleep_until(end) => {}
            }
        }
    }

    /// Locks a part. Neither the request path nor a controller takes this lock.
    pub(super) fn lock(&self, part: DirectoryPart) -> MutexGuard<'_, RelayedPart> {
        self.parts[part as usize].lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Encodes a batch as compressed JSON: routes resemble each other, and traffic between
/// data centres is charged by the byte.
fn encode_batch(batch: &DirectoryBatch) -> std::io::Result<Bytes> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    serde_json::to_writer(&mut encoder, batch)?;
    encoder.flush()?;
    Ok(encoder.finish()?.into())
}

/// Decodes a batch from compressed JSON.
///
/// # Errors
///
/// Returns an error when the bytes are not a complete batch.
pub(super) fn decode_batch(bytes: &[u8]) -> std::io::Result<DirectoryBatch> {
    let mut text = Vec::new();
    ZlibDecoder::new(bytes).take(MAX_BATCH_BYTES).read_to_end(&mut text)?;
    Ok(serde_json::from_slice(&text)?)
}
