//! Crash records, which entries exchange.

use std::collections::{BTreeSet, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::call::CallFingerprint;
use crate::clock::Timestamp;
use crate::digest::ShortDigest;
use crate::fleet::TargetSnapshot;
use crate::intent::TargetInstance;

/// Time after its last event for which a fingerprint is kept.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// Maximum number of crashes in one record. The latest are kept, so that a merge does not
/// depend on the order of its operands.
const MAX_RECORD_CRASHES: usize = 16;

/// Number of crashes from which on a crash record stays in the messages until it expires.
const REPEATED_CRASHES: usize = 2;

/// Factor by which a request to which a target has responded may crash more targets. Such a
/// request does not crash every target that runs it, so its losses have another cause: a
/// network fault, or targets that end together.
const HARMLESS_FACTOR: usize = 4;

/// Time from the quarantine of a request until it is tried again. Two thirds of the 15 s
/// within which requests have to be served again after a failure of all entries, so that a
/// request which was quarantined by mistake is.
const TRIAL_DELAY: Duration = Duration::from_secs(10);

/// The same for a request to which a target has responded, about the duration of the longest
/// usual run: a network fault that ends many connections is over by then.
const HARMLESS_TRIAL_DELAY: Duration = Duration::from_millis(250);

/// Factor by which each failed trial extends the time until the next. With it, a request that
/// crashes every target crashes three in the 390 s after the first trial.
const TRIAL_DELAY_FACTOR: u32 = 3;

/// Time after which a further loss at an address counts as that of another process, if it is
/// not known which process it was. Several copies and entries lose the same process, within
/// milliseconds; a process takes longer than that to start again.
const RESTART_TIME: Duration = Duration::from_secs(1);

/// A process of a target. A target that crashes starts again as another process, often at the
/// same address.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[display("{address}")]
pub struct TargetProcess {
    /// Address of the target.
    pub address: SocketAddr,
    /// Digest of the instance that the directory names; 0 if it names none.
    pub instance: u64,
}

impl TargetProcess {
    /// Returns the process of a target.
    pub fn of(target: &TargetSnapshot) -> Self {
        let digest = |instance: &TargetInstance| {
            ShortDigest::of(&[instance.id.as_bytes(), &instance.started_ms.to_be_bytes()])
        };
        let instance = target.instance.as_ref().map_or(0, |instance| digest(instance).high_bits());
        Self { address: target.address, instance }
    }

    /// Returns `true` if both may be the same process. A directory that does not name the process
    /// may have been read before or after one that does.
    pub fn may_equal(&self, other: &Self) -> bool {
        let is_unnamed = self.instance == 0 || other.instance == 0;
        self.address == other.address && (is_unnamed || self.instance == other.instance)
    }
}

impl From<SocketAddr> for TargetProcess {
    fn from(address: SocketAddr) -> Self {
        Self { address, instance: 0 }
    }
}

/// A process of a target that was lost while it ran a request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct TargetCrash {
    /// When an entry lost the connection.
    pub at: Timestamp,
    /// The lost process.
    pub process: TargetProcess,
}

impl TargetCrash {
    /// Returns `true` if both are the same event, as two entries or two copies saw it.
    fn is_same(&self, other: &Self) -> bool {
        let (process, earlier) = (self.process, other.process);
        if process.address != earlier.address {
            return false;
        }
        match process.instance != 0 && earlier.instance != 0 {
            true => process.instance == earlier.instance,
            false => self.at.since(other.at).max(other.at.since(self.at)) < RESTART_TIME,
        }
    }
}

/// What is known of a request that crashed targets. Entries exchange these records; merging is
/// idempotent, commutative and associative.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(from = "RecordForm", into = "RecordForm")]
pub struct CrashRecord {
    /// Fingerprint of the request.
    pub fingerprint: CallFingerprint,
    /// Crashes since the last response.
    pub crashes: BTreeSet<TargetCrash>,
    /// When a target last responded to the request, as far as other entries need to know it; 0
    /// if none did.
    pub last_success: Timestamp,
    /// When the request was last run as a trial; 0 if it was not.
    pub last_trial: Timestamp,
}

impl CrashRecord {
    /// Creates a record of these crashes.
    pub fn new(
        fingerprint: CallFingerprint,
        crashes: impl IntoIterator<Item = TargetCrash>,
    ) -> Self {
        let crashes = crashes.into_iter().collect();
        Self { fingerprint, crashes, ..Self::default() }
    }

    /// Creates a record from one of an earlier version, which has the time of the last crash
    /// only and names no processes.
    pub fn from_targets(
        fingerprint: CallFingerprint,
        targets: impl IntoIterator<Item = SocketAddr>,
        last_crash: Timestamp,
    ) -> Self {
        let crash = |address: SocketAddr| TargetCrash { at: last_crash, process: address.into() };
        Self::new(fingerprint, targets.into_iter().map(crash))
    }

    /// Merges the record of another entry.
    pub fn merge(&mut self, other: &Self) {
        self.last_success = self.last_success.max(other.last_success);
        self.last_trial = self.last_trial.max(other.last_trial);
        self.crashes.extend(&other.crashes);
        let last_success = self.last_success;
        if last_success != Timestamp::default() {
            self.crashes.retain(|crash| crash.at > last_success);
        }
        // Of several losses of one known process, the latest is kept, so that a process which
        // many entries lost does not displace the others.
        let mut known = HashSet::new();
        let is_latest =
            |crash: &&TargetCrash| crash.process.instance == 0 || known.insert(crash.process);
        let latest = self.crashes.iter().rev().filter(is_latest);
        self.crashes = latest.copied().take(MAX_RECORD_CRASHES).collect();
    }

    /// Returns the addresses of the crashed targets.
    pub fn targets(&self) -> BTreeSet<SocketAddr> {
        self.crashes.iter().map(|crash| crash.process.address).collect()
    }

    /// Returns the number of processes that the request has crashed since the last response.
    pub fn crash_count(&self) -> usize {
        let mut counted: Vec<&TargetCrash> = Vec::new();
        for crash in &self.crashes {
            if !counted.iter().any(|earlier| crash.is_same(earlier)) {
                counted.push(crash);
            }
        }
        counted.len()
    }

    /// Returns the time of the last crash, or 0 if there was none since the last response.
    pub fn last_crash(&self) -> Timestamp {
        self.crashes.last().map_or(Timestamp::default(), |crash| crash.at)
    }

    /// Returns the time of the last crash, response or trial.
    pub fn last_event(&self) -> Timestamp {
        self.last_crash().max(self.last_success).max(self.last_trial)
    }

    /// Returns `true` if the request crashed several processes. Losing one may have had
    /// another cause.
    pub fn is_repeated(&self) -> bool {
        self.crash_count() >= REPEATED_CRASHES
    }

    /// Returns `true` if the record is no longer kept.
    pub fn is_expired(&self, now: Timestamp) -> bool {
        now.since(self.last_event()) >= QUARANTINE_TIME
    }

    /// Returns the time of the next trial after `excess` failed ones.
    pub(super) fn next_trial(&self, excess: usize, is_harmless: bool) -> Timestamp {
        let delay = if is_harmless { HARMLESS_TRIAL_DELAY } else { TRIAL_DELAY };
        let factor = TRIAL_DELAY_FACTOR.saturating_pow(excess.try_into().unwrap_or(u32::MAX));
        let delay = delay.saturating_mul(factor).min(QUARANTINE_TIME);
        self.last_crash().max(self.last_trial) + delay
    }
}

/// Returns the number of targets that a request may crash before it is quarantined.
pub(super) fn crash_limit(max_crashed_targets: u8, is_harmless: bool) -> usize {
    let factor = if is_harmless { HARMLESS_FACTOR } else { 1 };
    (usize::from(max_crashed_targets.max(1)) * factor).min(MAX_RECORD_CRASHES)
}

/// Serialized form of a crash record. Records of earlier versions have the first three fields
/// only, and those versions ignore the others.
#[derive(Deserialize, Serialize)]
struct RecordForm {
    fingerprint: CallFingerprint,
    targets: BTreeSet<SocketAddr>,
    last_crash: Timestamp,
    #[serde(default)]
    crashes: BTreeSet<TargetCrash>,
    #[serde(default)]
    last_success: Timestamp,
    #[serde(default)]
    last_trial: Timestamp,
}

impl From<RecordForm> for CrashRecord {
    fn from(form: RecordForm) -> Self {
        let RecordForm { fingerprint, targets, last_crash, crashes, last_success, last_trial } =
            form;
        let crashes = match crashes.is_empty() && last_success == Timestamp::default() {
            true => Self::from_targets(fingerprint, targets, last_crash).crashes,
            false => crashes,
        };
        let mut record = Self { fingerprint, last_success, last_trial, ..Self::default() };
        record.merge(&Self { crashes, ..Self::default() });
        record
    }
}

impl From<CrashRecord> for RecordForm {
    fn from(record: CrashRecord) -> Self {
        let (targets, last_crash) = (record.targets(), record.last_crash());
        let CrashRecord { fingerprint, crashes, last_success, last_trial } = record;
        Self { fingerprint, targets, last_crash, crashes, last_success, last_trial }
    }
}
