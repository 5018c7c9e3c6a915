//! Confirms plans by one conditional write, and finds out whether the write took effect
//! when its response is lost.

use std::time::Duration;

use indexmap::IndexMap;
use serde::Serialize;

use super::{ReadReply, StateController, WriteReply};
use crate::clock::Timestamp;
use crate::plan::{
    ChangePlan, PlanIdentity, PlannedChange, StoredIntent, VersionFloor, changes_between,
};

/// Greatest number of reads of one confirmation, each of which may lead to a write. With
/// the delays between them, a confirmation ends within about 7 s even if the store does not
/// respond.
const MAX_READS: u32 = 10;

/// Delay before the first repeat of a read; it doubles with each repeat.
const FIRST_DELAY: Duration = Duration::from_millis(50);

/// Longest delay before a repeat of a read.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// Messages that the plans controller handles.
#[derive(Clone, Debug)]
pub enum PlansMessage {
    /// An operator confirmed a plan at this entry, which holds these versions.
    Confirm(Box<ChangePlan>, VersionFloor),
    /// A read of the intent ended.
    Read(PlanIdentity, ReadReply<Box<StoredIntent>>),
    /// A write of the intent ended.
    Wrote(PlanIdentity, WriteReply),
}

/// Effects that the plans controller requests from its driver.
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
    /// Write `intents/SERVICE` if its version is `base_version`, where 0 means that it is
    /// absent.
    Write {
        /// The plan.
        plan: PlanIdentity,
        /// Content to write.
        content: Box<StoredIntent>,
        /// Version that the object must have.
        base_version: u64,
    },
    /// The confirmation ended.
    Finish(PlanIdentity, ConfirmOutcome),
}

/// Outcome of a confirmation.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum ConfirmOutcome {
    /// The plan is in force, or was until later plans replaced it.
    Applied {
        /// Version in force of the intent when this was determined.
        version: u64,
    },
    /// The intent changed after the plan was drafted, so the plan can no longer apply.
    Outdated {
        /// Current version in force.
        version: u64,
        /// Author of the last change.
        author: String,
        /// Changes of the intent since the plan was drafted.
        changes: Vec<PlannedChange>,
    },
    /// The store did not accept the plan, which was not applied.
    NotApplied,
    /// It is not known whether the plan was applied. Confirming it again is safe.
    Unknown,
}

/// A confirmation in progress.
#[derive(Debug)]
struct Confirmation {
    plan: Box<ChangePlan>,
    floor: VersionFloor,
    /// Version offset of the intent that was written last.
    written_offset: u64,
    reads: u32,
    /// The response to a write was lost, so the write may have taken effect.
    response_lost: bool,
    /// Lowest version that a read may return; lower ones are stale.
    lowest_version: u64,
}

/// Runs confirmations. The condition of the write alone ensures that a plan is applied at
/// most once.
#[derive(Debug, Default)]
pub struct PlansController {
    open: IndexMap<PlanIdentity, Confirmation>,
}

impl PlansController {
    fn read_again(&mut self, plan: PlanIdentity) -> Vec<PlansEffect> {
        let Some(confirmation) = self.open.get_mut(&plan) else { return Vec::new() };
        if confirmation.reads >= MAX_READS {
            let may_be_applied = confirmation.response_lost;
            let outcome =
                if may_be_applied { ConfirmOutcome::Unknown } else { ConfirmOutcome::NotApplied };
            return self.finish(plan, outcome);
        }
        let repeats = confirmation.reads.saturating_sub(1);
        let delay = match confirmation.reads {
            0 => Duration::ZERO,
            _ => FIRST_DELAY.saturating_mul(1 << repeats.min(8)).min(MAX_DELAY),
        };
        confirmation.reads += 1;
        let service = confirmation.plan.intent.service.clone();
        vec![PlansEffect::Read { plan, service, delay }]
    }

    fn handle_read(
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
        let applied = present.map_or(Some(false), |stored| stored.has_applied(&confirmation.plan));
        if applied == Some(true) {
            return self.finish(plan, ConfirmOutcome::Applied { version: in_force });
        }
        let base_plan = present.and_then(StoredIntent::last_plan);
        let is_base =
            version == confirmation.plan.base_version && base_plan == confirmation.plan.base_plan;
        if is_base {
            let present = present.map(|stored| (stored, version));
            let content = StoredIntent::successor(present, &confirmation.plan, confirmation.floor);
            confirmation.written_offset = content.version_offset;
            let content = Box::new(content);
            return vec![PlansEffect::Write { plan, content, base_version: version }];
        }
        if applied.is_none() {
            return self.finish(plan, ConfirmOutcome::Unknown);
        }
        let changes = present.map_or_else(Vec::new, |stored| {
            changes_between(confirmation.plan.base.as_ref(), &stored.intent)
        });
        let author = present.map(|stored| stored.author.clone()).unwrap_or_default();
        self.finish(plan, ConfirmOutcome::Outdated { version: in_force, author, changes })
    }

    fn handle_write(&mut self, plan: PlanIdentity, reply: WriteReply) -> Vec<PlansEffect> {
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
                confirmation.response_lost = true;
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
                    reads: 0,
                    response_lost: false,
                    lowest_version: 0,
                };
                self.open.insert(identity, confirmation);
                self.read_again(identity)
            }
            PlansMessage::Read(plan, reply) => self.handle_read(plan, &reply),
            PlansMessage::Wrote(plan, reply) => self.handle_write(plan, reply),
        }
    }
}
