//! State controllers. Each owns one piece of state, handles messages and clock readings,
//! and returns effects that its driver applies.

mod burn;
mod claims;
mod directory;
mod drain;
mod grants;
mod intents;
mod locations;
mod measuring;
mod membership;
mod plans;
mod replies;
mod requester;
mod signals;
mod targets;
mod vms;

pub use burn::{BurnController, BurnEffect, BurnMessage};
pub use claims::{
    CLAIM_BATCH_DELAY, ClaimResult, ClaimsController, ClaimsEffect, ClaimsMessage, SegmentName,
};
pub use directory::{
    DirectoryController, DirectoryEffect, DirectoryMessage, DirectorySettings, TargetChange,
};
pub use drain::{DrainController, DrainEffect, DrainLimits, DrainMessage, DrainState};
pub use grants::{GrantKey, GrantsController, GrantsEffect, GrantsMessage};
pub use intents::{
    ConfigMessage, ConfigSummary, EntryLocation, IntentsController, IntentsEffect, IntentsMessage,
    StoreBatch, VersionedIntent, WATCHERS_PER_REGION, choose_watchers,
};
pub use locations::{LocationsController, LocationsEffect, LocationsMessage};
pub use measuring::{MeasuringController, MeasuringEffect, MeasuringMessage, ProbeTrigger};
pub use membership::{
    GONE_AFTER, Heartbeat, MemberEntry, MemberGossip, MemberInfo, MemberState,
    MembershipController, MembershipEffect, MembershipMessage, SUSPECT_AFTER, VmHint,
};
pub use plans::{ConfirmOutcome, PlansController, PlansEffect, PlansMessage};
pub use replies::{ReadReply, StoreEra, WriteReply};
pub use requester::{PlacementDecision, RequesterController, RequesterEffect, RequesterMessage};
pub use signals::{SignalsController, SignalsEffect, SignalsMessage};
pub use targets::{TargetsController, TargetsEffect, TargetsMessage};
pub use vms::{LEAVING_HOLD_TIME, LeavingVms, VmReport};

use crate::clock::Timestamp;

/// A state machine that owns one piece of state and does no I/O.
pub trait StateController: Send {
    /// Input of the controller.
    type Message: Send;
    /// Action that the controller requests from its driver.
    type Effect: Send;

    /// Handles one message and returns the effects to apply, in order.
    fn handle(&mut self, message: Self::Message, now: Timestamp) -> Vec<Self::Effect>;
}
