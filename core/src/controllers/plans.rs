//! Confirmation of plans: one conditional update, and finding out whether it
//! took effect when its answer is lost.

use std::time::Duration;

use indexmap::IndexMap;
use serde::Serialize;

use super::{ReadReply, StateController, WriteReply};
use crate::clock::Timestamp;
use crate::plan::{
    ChangePlan, PlanIdentity, PlannedChange, StoredIntent, VersionFloor, changes_between,
};

/// Store calls that one confirmation may make. With the delays between them a
/// confirmation ends within about 7 s even when the store does not answer.
const MAX_CALLS: u32 = 10;

/// First delay before a call is repeated.
const FIRST_DELAY: Duration = Duration::from_millis(50);

/// Longest delay before a call is repeated.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// What the plans controller is told.
#[derive(Clone, Debug)]
pub enum PlansMessage {
    /// An operator confirms a plan at an entry that holds these versions.
    Confirm(Box<ChangePlan>, VersionFloor),
    /// A read of the intent ended.
    Read(PlanIdentity, ReadReply<Box<StoredIntent>>),
    /// A write of the intent ended.
    Wrote(PlanIdentity, WriteReply),
}

/// What the plans controller asks for.
#[derive(Clone, Debug)]
pub enum PlansEffect {
    /// Read `intents/SERVICE` after a delay.
    Read {
        /// The plan.
        plan: PlanIdentity,
        /// The service.
        service: String,
        /// Time to wait before the call.
        delay: Duration,
    },
    /// Write `intents/SERVICE` if it is at `base_version`, 0 for absent.
    Write {
        /// The plan.
        plan: PlanIdentity,
        /// Content to write.
        content: Box<StoredIntent>,
        /// Version that must hold.
        base_version: u64,
    },
    /// The confirmation ended.
    Finish(PlanIdentity, ConfirmOutcome),
}

/// How a confirmation ended.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum ConfirmOutcome {
    /// The plan is in force, or was until later plans followed.
    Applied {
        /// Version of the intent when this was learnt.
        version: u64,
    },
    /// The intent changed after the plan was drafted. The plan never applies.
    Outdated {
        /// Present version.
        version: u64,
        /// Author of the last change.
        author: String,
        /// What changed meanwhile.
        changes: Vec<PlannedChange>,
    },
    /// The store did not take the plan; it was not applied.
    NotApplied,
    /// Whether the plan was applied is not known; confirming again is safe.
    Unknown,
}

/// A confirmation in progress.
#[derive(Debug)]
struct Confirmation {
    plan: Box<ChangePlan>,
    floor: VersionFloor,
    /// Offset of the version that was written last.
    written_offset: u64,
    calls: u32,
    /// The answer of a write was lost, so it may have taken effect.
    answer_lost: bool,
    /// Lowest version that a read may show; lower ones are stale.
    lowest_version: u64,
}

/// Carries out confirmations. Safety rests on the condition of the write alone.
#[derive(Debug, Default)]
pub struct PlansController {
    open: IndexMap<PlanIdentity, Confirmation>,
}

impl PlansController {
    fn read_again(&mut self, plan: PlanIdentity) -> Vec<PlansEffect> {
        let Some(confirmation) = self.open.get_mut(&plan) else { return Vec::new() };
        if confirmation.calls >= MAX_CALLS {
            let unsure = confirmation.answer_lost;
            let outcome = if unsure { ConfirmOutcome::Unknown } else { ConfirmOutcome::NotApplied };
            return self.finish(plan, outcome);
        }
        let repeats = confirmation.calls.saturating_sub(1);
        let delay = match confirmation.calls {
            0 => Duration::ZERO,
            _ => FIRST_DELAY.saturating_mul(1 << repeats.min(8)).min(MAX_DELAY),
        };
        confirmation.calls += 1;
        let service = confirmation.plan.intent.service.clone();
        vec![PlansEffect::Read { plan, service, delay }]
    }

    fn take_read(
        &mut self,
        plan: PlanIdentity,
        reply: &ReadReply<Box<StoredIntent>>,
    ) -> Vec<PlansEffect> {
        let Some(confirmation) = self.open.get_mut(&plan) else { return Vec::new() };
        let lowest = confirmation.lowest_version.max(confirmation.plan.base_version);
        let version = match reply.version() {
            Some(version) if version >= lowest => version,
            _ => return self.read_again(plan),
        };
        let present = match reply {
            ReadReply::Found { content, .. } => Some(content.as_ref()),
            _ => None,
        };
        let in_force = present.map_or(version, |stored| stored.version_in_force(version));
        let contained =
            present.map_or(Some(false), |stored| stored.has_applied(&confirmation.plan));
        if contained == Some(true) {
            return self.finish(plan, ConfirmOutcome::Applied { version: in_force });
        }
        if version == confirmation.plan.base_version {
            let present = present.map(|stored| (stored, version));
            let content = StoredIntent::successor(present, &confirmation.plan, confirmation.floor);
            confirmation.written_offset = content.version_offset;
            let content = Box::new(content);
            return vec![PlansEffect::Write { plan, content, base_version: version }];
        }
        if contained.is_none() {
            return self.finish(plan, ConfirmOutcome::Unknown);
        }
        let changes = present.map_or_else(Vec::new, |stored| {
            changes_between(confirmation.plan.base.as_ref(), &stored.intent)
        });
        let author = present.map(|stored| stored.author.clone()).unwrap_or_default();
        self.finish(plan, ConfirmOutcome::Outdated { version: in_force, author, changes })
    }

    fn take_write(&mut self, plan: PlanIdentity, reply: WriteReply) -> Vec<PlansEffect> {
        let Some(confirmation) = self.open.get_mut(&plan) else { return Vec::new() };
        match reply {
            WriteReply::Written(version) => {
                let version = confirmation.written_offset.saturating_add(version);
                self.finish(plan, ConfirmOutcome::Applied { version })
            }
            WriteReply::Conflict(version) => {
                confirmation.lowest_version = confirmation.lowest_version.max(version);
                self.read_again(plan)
            }
            WriteReply::Refused => self.read_again(plan),
            WriteReply::NoResponse => {
                confirmation.answer_lost = true;
                self.read_again(plan)
            }
        }
    }

    fn finish(&mut self, plan: PlanIdentity, outcome: ConfirmOutcome) -> Vec<PlansEffect> {
        self.open.shift_remove(&plan);
        vec![PlansEffect::Finish(plan, outcome)]
    }
}

impl StateController for PlansController {
    type Message = PlansMessage;
    type Effect = PlansEffect;

    fn handle(&mut self, message: Self::Message, _now: Timestamp) -> Vec<Self::Effect> {
        match message {
            PlansMessage::Confirm(plan, floor) => {
                let identity = plan.identity;
                if self.open.contains_key(&identity) {
                    return Vec::new();
                }
                let confirmation = Confirmation {
                    plan,
                    floor,
                    written_offset: 0,
                    calls: 0,
                    answer_lost: false,
                    lowest_version: 0,
                };
                self.open.insert(identity, confirmation);
                self.read_again(identity)
            }
            PlansMessage::Read(plan, reply) => self.take_read(plan, &reply),
            PlansMessage::Wrote(plan, reply) => self.take_write(plan, reply),
        }
    }
}
