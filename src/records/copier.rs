//! Copies this entry's records to a neighbour in another data centre.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;
use zinniaport_core::controllers::{MemberEntry, MemberState};

use super::packing::{CopyLimiter, RecordPacker};
use crate::peers::{CallClient, PeerError, PeerGroup};
use crate::state::{KEPT_RECORDS, SharedState};

/// Longest time that a finished request waits for its batch, unless the allowance
/// is below 1,920 bytes per second: batches are then due as soon as it holds 480.
const BATCH_TIME: Duration = Duration::from_millis(250);

/// Pause after a failed call. The records stay in the ring meanwhile.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// Copies records until the entry stops. What a crash loses: records of the last
/// `BATCH_TIME` and of a call under way, and those that were counted as not
/// copied because the allowance was spent.
pub struct RecordCopier {
    state: Arc<SharedState>,
    group: Arc<PeerGroup>,
    packer: RecordPacker,
    allowance: CopyLimiter,
    neighbour: Option<(MemberEntry, CallClient)>,
    after: u64,
}

impl RecordCopier {
    /// Creates a copier that sends at most `rate` bytes per second.
    pub fn new(state: Arc<SharedState>, group: Arc<PeerGroup>, rate: u64) -> Self {
        let packer = RecordPacker::new(state.clone());
        let allowance = CopyLimiter::new(rate, state.clock.now());
        Self { state, group, packer, allowance, neighbour: None, after: 0 }
    }

    /// Copies records until `stop` is cancelled, and once more then.
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
                self.neighbour = None;
                self.packer.start_session();
                pause = FAILURE_PAUSE;
            }
            if stopped {
                return;
            }
        }
    }

    async fn copy(&mut self) -> Result<(), PeerError> {
        let Some(room) = self.allowance.available(self.state.clock.now()) else { return Ok(()) };
        if self.state.decisions.written() == self.after || !self.find_neighbour().await? {
            return Ok(());
        }
        let Some((_, client)) = &self.neighbour else { return Ok(()) };
        let read = self.state.decisions.read_after(self.after, KEPT_RECORDS);
        let (last, lost, count) = (read.last, read.lost, read.records.len());
        let (batch, bytes) = self.packer.pack(read, room);
        let copied = batch.records.len();
        // Charged before the answer, as a lost answer does not unsend the bytes.
        let sent = self.allowance.consume(bytes);
        if client.copy_records(batch).await? {
            self.after = last;
            let not_copied = (count - copied) as u64 + lost;
            self.state.metrics.count_copies(copied as u64, not_copied, sent as u64);
        } else {
            self.packer.start_session();
        }
        Ok(())
    }

    /// Keeps the neighbour while it is alive and in the best place, and connects
    /// to another one otherwise.
    async fn find_neighbour(&mut self) -> Result<bool, PeerError> {
        let members = self.group.members();
        let own = (&*self.state.entry_name, &*self.state.data_centre);
        let Some(best) = choose_neighbour(own, &members) else {
            self.neighbour = None;
            return Ok(false);
        };
        let held = self.neighbour.as_ref().map(|(member, _)| (&member.name, member.incarnation));
        if held != Some((&best.name, best.incarnation)) {
            self.packer.start_session();
            let client = CallClient::connect(best.call_address).await?;
            self.neighbour = Some((best.clone(), client));
        }
        Ok(true)
    }
}

/// Chooses among the live members: those of another data centre first, and among
/// them by rendezvous hashing, which spreads copies and keeps most choices when
/// members change. With a single data centre any other member is better than none.
fn choose_neighbour<'a>(
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
