//! The quarantine table as the request path shares it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use zinniaport_core::call::{CallFingerprint, ReasonCode};
use zinniaport_core::clock::ClockSource;
use zinniaport_core::quarantine::{CrashRecord, QuarantineTable, RunDecision, RunEnd};

/// Parts of the table, by fingerprint, so that requests seldom wait for the
/// same mutex.
const SHARDS: usize = 16;

/// A fingerprint with the number of targets that it may crash.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FingerprintedCall {
    /// The fingerprint.
    pub fingerprint: CallFingerprint,
    /// Targets that it may crash.
    pub max_crashed_targets: u8,
}

type Verdict = Result<RunPermit, ReasonCode>;
type GateTable = QuarantineTable<oneshot::Sender<Verdict>>;

/// Decides which copies of a request may run.
pub struct QuarantineGate {
    clock: Arc<dyn ClockSource>,
    shards: [Mutex<GateTable>; SHARDS],
}

impl QuarantineGate {
    /// Creates a gate that knows no fingerprint.
    pub fn new(clock: Arc<dyn ClockSource>) -> Self {
        Self { clock, shards: Default::default() }
    }

    /// Waits at most `limit` until a copy may run.
    ///
    /// # Errors
    ///
    /// Returns the rule that refused the copy. It certainly did not run.
    pub async fn enter(
        self: &Arc<Self>,
        call: FingerprintedCall,
        limit: Duration,
    ) -> Result<RunPermit, ReasonCode> {
        let receiver = {
            let mut table = self.lock(call.fingerprint);
            match table.begin(call.fingerprint, call.max_crashed_targets, self.clock.now()) {
                RunDecision::Run => return Ok(RunPermit::new(self, call)),
                RunDecision::Quarantined => return Err(ReasonCode::Quarantined),
                RunDecision::Wait => {
                    let (sender, receiver) = oneshot::channel();
                    if table.enqueue(call.fingerprint, sender).is_some() {
                        return Err(ReasonCode::QueueFull);
                    }
                    receiver
                }
            }
        };
        match tokio::time::timeout(limit, receiver).await {
            Ok(Ok(verdict)) => verdict,
            _ => Err(ReasonCode::DeadlineUnreachable),
        }
    }

    /// Lets a copy run if it need not wait.
    pub fn try_enter(self: &Arc<Self>, call: FingerprintedCall) -> Option<RunPermit> {
        let mut table = self.lock(call.fingerprint);
        let verdict = table.begin(call.fingerprint, call.max_crashed_targets, self.clock.now());
        (verdict == RunDecision::Run).then(|| RunPermit::new(self, call))
    }

    /// Lists what other entries should know.
    pub fn entries(&self) -> Vec<CrashRecord> {
        self.shards
            .iter()
            .flat_map(|shard| lock(shard).crash_records().cloned().collect::<Vec<_>>())
            .collect()
    }

    /// Joins what another entry knows.
    pub fn merge(&self, entries: &[CrashRecord]) {
        let now = self.clock.now();
        for entry in entries {
            self.lock(entry.fingerprint).merge(entry, now);
        }
    }

    fn end(self: &Arc<Self>, call: FingerprintedCall, end: RunEnd) {
        let context = (call.max_crashed_targets, self.clock.now());
        let is_live = |sender: &oneshot::Sender<Verdict>| !sender.is_closed();
        let released = self.lock(call.fingerprint).end(call.fingerprint, end, context, is_live);
        for (sender, verdict) in released {
            let verdict = match verdict {
                RunDecision::Run => Ok(RunPermit::new(self, call)),
                _ => Err(ReasonCode::Quarantined),
            };
            // A receiver that is gone drops the permit, which ends the copy.
            let _ = sender.send(verdict);
        }
    }

    fn lock(&self, fingerprint: CallFingerprint) -> MutexGuard<'_, GateTable> {
        lock(&self.shards[fingerprint.0 as usize % SHARDS])
    }
}

fn lock(shard: &Mutex<GateTable>) -> MutexGuard<'_, GateTable> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Permission to run one copy of a request, ended when dropped.
pub struct RunPermit {
    gate: Arc<QuarantineGate>,
    call: FingerprintedCall,
    end: RunEnd,
}

impl RunPermit {
    fn new(gate: &Arc<QuarantineGate>, call: FingerprintedCall) -> Self {
        Self { gate: gate.clone(), call, end: RunEnd::Other }
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        self.gate.end(self.call, self.end);
    }
}

/// Permit of a request, kept among the extensions of its head so that the route
/// filter can tell how each attempt ended.
#[derive(Clone)]
pub struct PermitHandle {
    gate: Arc<QuarantineGate>,
    call: FingerprintedCall,
    permit: Arc<Mutex<Option<RunPermit>>>,
}

impl PermitHandle {
    /// Creates a handle.
    pub fn new(permit: RunPermit) -> Self {
        let (gate, call) = (permit.gate.clone(), permit.call);
        Self { gate, call, permit: Arc::new(Mutex::new(Some(permit))) }
    }

    /// Ends the copy.
    pub fn end(&self, end: RunEnd) {
        if let Some(mut permit) = self.take() {
            permit.end = end;
        }
    }

    /// Ends the copy because its connection to this target died.
    pub fn record_crash(&self, target: SocketAddr) {
        self.end(RunEnd::Crashed(target));
    }

    /// Asks whether the request may be sent again, without waiting. True also
    /// while its last copy still runs.
    pub fn renew(&self) -> bool {
        let mut permit = self.permit.lock().unwrap_or_else(PoisonError::into_inner);
        if permit.is_none() {
            *permit = self.gate.try_enter(self.call);
        }
        permit.is_some()
    }

    /// Asks for a further copy, without waiting.
    pub fn fork(&self) -> Option<Self> {
        self.gate.try_enter(self.call).map(Self::new)
    }

    fn take(&self) -> Option<RunPermit> {
        self.permit.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}
