//! The quarantine table that requests share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, oneshot};
use zinniaport_core::call::{CallFingerprint, ReasonCode};
use zinniaport_core::clock::ClockSource;
use zinniaport_core::quarantine::{
    CrashRecord, QuarantineTable, RunDecision, RunEnd, TargetProcess,
};

use crate::telemetry::LineLimiter;

/// Number of shards of the table. Fingerprints are spread over them to reduce contention
/// for the mutexes.
const SHARDS: usize = 16;

/// The fingerprint of a request and the number of targets that the request may crash.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FingerprintedCall {
    /// Fingerprint of the request.
    pub fingerprint: CallFingerprint,
    /// Number of crashed targets at which the request is refused.
    pub max_crashed_targets: u8,
}

type PermitResult = Result<RunPermit, ReasonCode>;
type GateTable = QuarantineTable<oneshot::Sender<PermitResult>>;

/// Decides which copies of a request may run at the same time.
pub struct QuarantineGate {
    clock: Arc<dyn ClockSource>,
    limiter: LineLimiter,
    /// Notified when other entries must be told: this entry has lost a target that ran a
    /// request, tries a quarantined request again, or got a response to a suspect one.
    pub crash_recorded: Notify,
    shards: [Mutex<GateTable>; SHARDS],
}

impl QuarantineGate {
    /// Creates a gate with an empty table.
    pub fn new(clock: Arc<dyn ClockSource>) -> Self {
        Self {
            clock,
            limiter: LineLimiter::default(),
            crash_recorded: Notify::new(),
            shards: Default::default(),
        }
    }

    /// Waits for at most `limit` until a copy may run.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the copy was refused. The copy did not run.
    pub async fn enter(
        self: &Arc<Self>,
        call: FingerprintedCall,
        limit: Duration,
    ) -> Result<RunPermit, ReasonCode> {
        let receiver = {
            let mut table = self.lock(call.fingerprint);
            let now = self.clock.now();
            match table.begin(call.fingerprint, call.max_crashed_targets, now) {
                RunDecision::Run => return Ok(RunPermit::new(self, call)),
                RunDecision::Quarantined => {
                    let is_trial =
                        table.begin_trial(call.fingerprint, call.max_crashed_targets, now);
                    let crashed = table.crash_count(call.fingerprint);
                    drop(table);
                    if !is_trial {
                        return Err(ReasonCode::Quarantined);
                    }
                    self.crash_recorded.notify_one();
                    log::info!(fingerprint:% = call.fingerprint, crashed = crashed; "trying a quarantined request again");
                    return Ok(RunPermit::new(self, call));
                }
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
            Ok(Ok(result)) => result,
            _ => Err(ReasonCode::DeadlineUnreachable),
        }
    }

    /// Returns a permit if a copy may run at once.
    pub fn try_enter(self: &Arc<Self>, call: FingerprintedCall) -> Option<RunPermit> {
        let mut table = self.lock(call.fingerprint);
        let decision = table.begin(call.fingerprint, call.max_crashed_targets, self.clock.now());
        (decision == RunDecision::Run).then(|| RunPermit::new(self, call))
    }

    /// Returns the crash records, to be sent to other entries.
    pub fn crash_records(&self) -> Vec<CrashRecord> {
        self.shards
            .iter()
            .flat_map(|shard| lock(shard).crash_records().cloned().collect::<Vec<_>>())
            .collect()
    }

    /// Merges the crash records of another entry. Returns `true` if they changed the number of
    /// crashes of a request.
    pub fn merge(&self, records: &[CrashRecord]) -> bool {
        let now = self.clock.now();
        let mut has_news = false;
        for record in records {
            let (is_news, crashed) = {
                let mut table = self.lock(record.fingerprint);
                let is_news = table.merge(record, now);
                (is_news, table.crash_count(record.fingerprint))
            };
            has_news |= is_news;
            if !is_news || !self.limiter.try_acquire(now) {
                continue;
            }
            let age_ms = now.since(record.last_event()).as_millis() as u64;
            if crashed == 0 {
                log::info!(fingerprint:% = record.fingerprint, age_ms = age_ms; "another entry got a response to a request that ran on lost targets");
            } else {
                log::info!(fingerprint:% = record.fingerprint, crashed = crashed, age_ms = age_ms; "another entry lost targets that ran this request");
            }
        }
        has_news
    }

    fn end(self: &Arc<Self>, call: FingerprintedCall, end: RunEnd) {
        let context = (call.max_crashed_targets, self.clock.now());
        let is_live = |sender: &oneshot::Sender<PermitResult>| !sender.is_closed();
        let (released, crashed_before, crashed) = {
            let mut table = self.lock(call.fingerprint);
            let crashed_before = table.crash_count(call.fingerprint);
            let released = table.end(call.fingerprint, end, context, is_live);
            (released, crashed_before, table.crash_count(call.fingerprint))
        };
        if end == RunEnd::Answered && crashed < crashed_before {
            self.crash_recorded.notify_one();
            if self.limiter.try_acquire(context.1) {
                log::info!(fingerprint:% = call.fingerprint, crashed = crashed_before; "a target responded to a request that ran on lost targets");
            }
        }
        if let RunEnd::Crashed(target) = end {
            self.crash_recorded.notify_one();
            if self.limiter.try_acquire(context.1) {
                log::warn!(
                    fingerprint:% = call.fingerprint,
                    target:% = target,
                    crashed = crashed,
                    allowed = call.max_crashed_targets;
                    "lost a target that ran this request"
                );
            }
        }
        for (sender, decision) in released {
            let result = match decision {
                RunDecision::Run => Ok(RunPermit::new(self, call)),
                _ => Err(ReasonCode::Quarantined),
            };
            // If the receiver is gone, the permit is dropped, which ends the copy.
            let _ = sender.send(result);
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

/// The permit of a request, stored in the extensions of the request head so that the
/// route filter can report how each attempt ended.
#[derive(Clone)]
pub struct PermitHandle {
    gate: Arc<QuarantineGate>,
    call: FingerprintedCall,
    permit: Arc<Mutex<Option<RunPermit>>>,
}

impl PermitHandle {
    /// Creates a handle that owns `permit`.
    pub fn new(permit: RunPermit) -> Self {
        let (gate, call) = (permit.gate.clone(), permit.call);
        Self { gate, call, permit: Arc::new(Mutex::new(Some(permit))) }
    }

    /// Ends the copy and releases its permit.
    pub fn end(&self, end: RunEnd) {
        if let Some(mut permit) = self.take() {
            permit.end = end;
        }
    }

    /// Ends the copy because the connection to this process was lost.
    pub fn record_crash(&self, target: TargetProcess) {
        self.end(RunEnd::Crashed(target));
    }

    /// Returns `true` if the request may be sent again, without waiting. Takes a new permit if
    /// the last one was released; a permit that is still held counts too.
    pub fn renew(&self) -> bool {
        let mut permit = self.permit.lock().unwrap_or_else(PoisonError::into_inner);
        if permit.is_none() {
            *permit = self.gate.try_enter(self.call);
        }
        permit.is_some()
    }

    /// Returns a handle for one more copy if that may run at once.
    pub fn fork(&self) -> Option<Self> {
        self.gate.try_enter(self.call).map(Self::new)
    }

    fn take(&self) -> Option<RunPermit> {
        self.permit.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}
