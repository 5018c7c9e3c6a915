//! State that filters and controllers share: snapshots that are replaced by read-copy-update.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use slotmap::SecondaryMap;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use zinniaport_core::burn::BurnReport;
use zinniaport_core::caller::CallerTable;
use zinniaport_core::clock::ClockSource;
use zinniaport_core::decision::DecisionRing;
use zinniaport_core::fleet::FleetSnapshot;
use zinniaport_core::keys::ServiceKey;
use zinniaport_core::probe::MeasuringAccount;
use zinniaport_core::retry::MAX_SAVED_RETRIES;
use zinniaport_core::silence::SilenceRule;

use crate::dialect::{DefaultDialect, HeaderDialect};
use crate::directory::RevisionTracker;
use crate::held::HeldBytes;
use crate::records::RecordCopies;
use crate::settings::LimitSettings;
use crate::telemetry::EntryMetrics;

/// Number of decision records that an entry keeps, about 6 MB at 384 bytes each. At 7,000
/// requests per second, the share of one of 200 entries, they cover the last 2 seconds; other
/// entries copy them before they are overwritten.
pub const KEPT_RECORDS: usize = 16_384;

/// Maximum number of callers that an entry distinguishes at the same time.
const KNOWN_CALLERS: usize = 16_384;

/// Snapshots that controllers publish and the request path reads without locks.
pub struct SharedState {
    /// Newest snapshot of services and targets.
    pub fleet: ArcSwap<FleetSnapshot>,
    /// Notified when a fleet snapshot is published, for requests that wait for the first one.
    pub fleet_changed: Notify,
    /// Clock of this entry.
    pub clock: Arc<dyn ClockSource>,
    /// When a target that does not respond counts as unresponsive.
    pub silence: SilenceRule,
    /// Names and formats of the headers that callers and targets use.
    pub dialect: Arc<dyn HeaderDialect>,
    /// Name of this entry.
    pub entry_name: Arc<str>,
    /// Data centre of this entry.
    pub data_centre: Arc<str>,
    /// Recent callers. Locked only by requests, look-ups of operators and copies of records, but
    /// by no controller, and never held across a wait.
    pub callers: Mutex<CallerTable>,
    /// Newest decision records of this entry.
    pub decisions: DecisionRing,
    /// Records copied from other entries.
    pub copies: RecordCopies,
    /// Error budget burn of this entry.
    pub burn: ArcSwap<BurnReport>,
    /// Slot time that this entry was allowed and has spent for measuring, by service.
    pub measuring: ArcSwap<SecondaryMap<ServiceKey, MeasuringAccount>>,
    /// Metrics of this entry.
    pub metrics: EntryMetrics,
    /// Notified when this entry should send a signal to the others at once.
    pub signal_due: Notify,
    /// Whether this entry may coordinate: it knows its configuration and is not stopping.
    pub may_coordinate: AtomicBool,
    /// Cancelled during a planned stop, when requests that no target has are refused.
    pub refuses_waiting: CancellationToken,
    /// Newest directory revisions that this entry and others know.
    pub revisions: RevisionTracker,
    /// Number of entries that were heard of, this one and silent ones included.
    pub heard_entries: AtomicUsize,
    /// Number of registered entries; 0 while it is not known.
    pub registered_entries: AtomicUsize,
    /// Maximum number of retry tokens that this entry accumulates for one service. Retries and
    /// hedges spend them.
    pub max_saved_retries: AtomicU64,
    /// Lowest round trip between data centres while services are divided by data centre, in
    /// microseconds; else 0.
    pub data_centre_round_trip_us: AtomicU64,
    /// Data centre of each entry whose data centre is known.
    pub entry_locations: ArcSwap<HashMap<SocketAddr, Arc<str>>>,
    /// Budget of the bytes that this entry holds for callers.
    pub held: Arc<HeldBytes>,
}

impl SharedState {
    /// Creates state with an empty fleet.
    pub fn new(clock: Arc<dyn ClockSource>, entry_name: &str, data_centre: &str) -> Self {
        let held = Arc::new(HeldBytes::new(clock.clone(), u64::MAX));
        Self {
            fleet: ArcSwap::default(),
            fleet_changed: Notify::new(),
            clock,
            silence: SilenceRule::default(),
            dialect: Arc::new(DefaultDialect),
            entry_name: entry_name.into(),
            data_centre: data_centre.into(),
            callers: Mutex::new(CallerTable::new(KNOWN_CALLERS)),
            decisions: DecisionRing::new(KEPT_RECORDS),
            copies: RecordCopies::default(),
            burn: ArcSwap::default(),
            measuring: ArcSwap::default(),
            metrics: EntryMetrics::new(),
            signal_due: Notify::new(),
            may_coordinate: AtomicBool::new(false),
            refuses_waiting: CancellationToken::new(),
            revisions: RevisionTracker::default(),
            heard_entries: AtomicUsize::new(1),
            registered_entries: AtomicUsize::new(0),
            max_saved_retries: AtomicU64::new(MAX_SAVED_RETRIES),
            data_centre_round_trip_us: AtomicU64::new(0),
            entry_locations: ArcSwap::default(),
            held,
        }
    }

    /// Sets the bytes that may be held for callers.
    #[must_use]
    pub fn with_limits(mut self, limits: &LimitSettings) -> Self {
        self.held = Arc::new(HeldBytes::from_settings(self.clock.clone(), limits));
        self
    }

    /// Returns the number of entries that may be running, this one and silent ones included.
    pub fn entry_count(&self) -> usize {
        let registered = self.registered_entries.load(Ordering::Relaxed);
        self.heard_entries.load(Ordering::Relaxed).max(registered)
    }

    /// Returns `true` if the entry with this address is known to be in another data centre.
    pub fn is_elsewhere(&self, entry: SocketAddr) -> bool {
        self.entry_locations.load().get(&entry).is_some_and(|at| *at != self.data_centre)
    }

    /// Sets whether this entry may coordinate, and notifies the other entries.
    pub fn set_may_coordinate(&self, able: bool) {
        self.may_coordinate.store(able, Ordering::Release);
        self.signal_due.notify_one();
    }

    /// Sets when a target that does not respond counts as unresponsive.
    #[must_use]
    pub fn with_silence(mut self, silence: SilenceRule) -> Self {
        self.silence = silence;
        self
    }

    /// Sets the names and formats of the headers that callers and targets use.
    #[must_use]
    pub fn with_dialect(mut self, dialect: Arc<dyn HeaderDialect>) -> Self {
        self.dialect = dialect;
        self
    }
}
