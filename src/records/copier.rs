//! Copies this entry's decision records to a backup entry, in another data centre if possible.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;
use zinniaport_core::controllers::{MemberEntry, MemberState};

use super::packing::{CopyLimiter, RecordPacker};
use crate::peers::{CallClient, PeerError, PeerGroup};
use crate::state::{KEPT_RECORDS, SharedState};

/// Longest time that the record of a finished request waits to be copied. Below 1,920
/// bytes per second it waits longer, until the limiter allows a batch of 480 bytes.
const BATCH_TIME: Duration = Duration::from_millis(250);

/// Pause after a failed call. The records stay in the ring buffer meanwhile.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// Copies records until the entry stops. A crash loses the records of the last
/// `BATCH_TIME`, those of a call in progress, and those that were counted as not copied
/// because the byte limit was reached.
pub struct RecordCopier {
    state: Arc<SharedState>,
    group: Arc<PeerGroup>,
    packer: RecordPacker,
    limiter: CopyLimiter,
    backup: Option<(MemberEntry, CallClient)>,
    read_up_to: u64,
}

impl RecordCopier {
    /// Creates a copier that sends at most `rate` bytes per second.
    pub fn new(state: Arc<SharedState>, group: Arc<PeerGroup>, rate: u64) -> Self {
        let packer = RecordPacker::new(state.clone());
        let limiter = CopyLimiter::new(rate, state.clock.now());
        Self { state, group, packer, limiter, backup: None, read_up_to: 0 }
    }

    /// Copies records until `stop` is cancelled, and a last time after that.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut pause = BATCH_TIME;
        loop {
            let stopped = tokio::select! {
                () = stop.cancelled() => true,
                () = tokio::time::sleep(pause) => false,
            };
            pause = BATCH_TIME;
            if let Err(error) = self.copy().await {
                log::warn!("cannot copy decision records: {error}");
                self.backup = None;
                self.packer.start_session();
                pause = FAILURE_PAUSE;
            }
            if stopped {
                return;
            }
        }
    }

    async fn copy(&mut self) -> Result<(), PeerError> {
        let Some(available) = self.limiter.available(self.state.clock.now()) else { return Ok(()) };
        if self.state.decisions.written() == self.read_up_to || !self.connect_backup().await? {
            return Ok(());
        }
        let Some((_, client)) = &self.backup else { return Ok(()) };
        let ring_batch = self.state.decisions.read_after(self.read_up_to, KEPT_RECORDS);
        let (last, lost, count) = (ring_batch.last, ring_batch.lost, ring_batch.records.len());
        let (batch, bytes) = self.packer.pack(ring_batch, available);
        let copied = batch.records.len();
        // Counted before the response, because the bytes are sent even if the call fails.
        let sent = self.limiter.consume(bytes);
        if client.copy_records(batch).await? {
            self.read_up_to = last;
            let not_copied = (count - copied) as u64 + lost;
            self.state.metrics.count_copies(copied as u64, not_copied, sent as u64);
        } else {
            self.packer.start_session();
        }
        Ok(())
    }

    /// Keeps the backup entry while it is the best choice, and connects to another one
    /// otherwise. Returns `false` if there is none.
    async fn connect_backup(&mut self) -> Result<bool, PeerError> {
        let members = self.group.members();
        let own = (&*self.state.entry_name, &*self.state.data_centre);
        let Some(choice) = choose_backup(own, &members) else {
            self.backup = None;
            return Ok(false);
        };
        let current = self.backup.as_ref().map(|(member, _)| (&member.name, member.incarnation));
        if current != Some((&choice.name, choice.incarnation)) {
            self.packer.start_session();
            let client = CallClient::connect(choice.call_address).await?;
            self.backup = Some((choice.clone(), client));
        }
        Ok(true)
    }
}

/// Chooses among the live members, those of another data centre first. Rendezvous
/// hashing spreads the copies and keeps most choices when members change. With a single
/// data centre a member of the same one is better than none.
fn choose_backup<'a>(
    (name, data_centre): (&str, &str),
    members: &'a [MemberEntry],
) -> Option<&'a MemberEntry> {
    members
        .iter()
        .filter(|member| member.name != name)
        .filter(|member| member.reachable && member.state == MemberState::Alive)
        .max_by_key(|member| {
            let mut hasher = DefaultHasher::new();
            (name, &member.name).hash(&mut hasher);
            (member.data_centre != data_centre, hasher.finish())
        })
}
