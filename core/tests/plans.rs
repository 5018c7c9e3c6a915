//! Guards against plans that are drafted wrongly, or applied twice or reported wrongly
//! after faults and races in the store.

use std::collections::HashMap;

use proptest::prelude::*;
use proptest::sample::Index;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    ConfirmOutcome, PlansController, PlansEffect, PlansMessage, ReadReply, StateController,
    WriteReply,
};
use zinniaport_core::fleet::FleetSnapshot;
use zinniaport_core::intent::{DesiredState, MeasuringIntent, ServiceIntent, TargetIntent};
use zinniaport_core::plan::{
    ChangeAction, ChangePlan, IntentStatement, MAX_APPLIED_PLANS, PlanBasis, PlanError, PlanRisk,
    PlanStamp, StoredIntent, VersionFloor,
};
use zinniaport_testing::{check_property, test_cases};

const ENTRIES: usize = 3;

fn target(port: u16, data_centre: &str) -> TargetIntent {
    TargetIntent {
        address: ([10, 0, 0, 1], port).into(),
        data_centre: data_centre.to_owned(),
        slots: 3,
        state: DesiredState::Serving,
        instance: None,
    }
}

fn intent(max_queue_length: u32, targets: Vec<TargetIntent>) -> ServiceIntent {
    ServiceIntent {
        service: "visit-ledger".to_owned(),
        team: "co-operative".to_owned(),
        kinds: Vec::new(),
        targets,
        measuring: MeasuringIntent::default(),
        max_queue_length,
        retry_percent: 10.0,
        max_ejected_percent: 34.0,
        max_crashed_targets: 2,
    }
}

fn stamp(nonce: u64) -> PlanStamp {
    PlanStamp { author: "ana".to_owned(), nonce, created: Timestamp(0) }
}

/// Drafts a plan with a unique queue length, so that the history of the store shows which
/// plan each version came from.
fn draft_on(base: Option<&(StoredIntent, u64)>, marker: u32) -> ChangePlan {
    let statement = IntentStatement { intent: intent(marker, vec![]), allow_below_load: false };
    let fleet = FleetSnapshot::default();
    let basis = PlanBasis {
        base: base.map(|(stored, _)| &stored.intent),
        base_version: base.map_or(0, |(_, version)| *version),
        base_plan: base.and_then(|(stored, _)| stored.last_plan()),
        fleet: &fleet,
    };
    ChangePlan::draft(statement, &basis, stamp(u64::from(marker))).unwrap()
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    RequestLost,
    ResponseLost,
    /// The call times out and takes effect afterwards.
    Delayed,
    Refused,
    Stale,
}

#[derive(Clone, Debug)]
enum Step {
    /// A plan is drafted on a present or past version.
    Draft(Index),
    Confirm(usize, Index),
    Deliver(Index, Fault),
    Restart(usize),
    DelayedArrives(Index),
}

fn step() -> impl Strategy<Value = Step> {
    let fault = prop_oneof![
        4 => Just(Fault::None),
        1 => Just(Fault::RequestLost),
        2 => Just(Fault::ResponseLost),
        2 => Just(Fault::Delayed),
        1 => Just(Fault::Refused),
        1 => Just(Fault::Stale),
    ];
    prop_oneof![
        2 => any::<Index>().prop_map(Step::Draft),
        4 => (0..ENTRIES, any::<Index>()).prop_map(|(entry, plan)| Step::Confirm(entry, plan)),
        12 => (any::<Index>(), fault).prop_map(|(call, fault)| Step::Deliver(call, fault)),
        1 => (0..ENTRIES).prop_map(Step::Restart),
        2 => any::<Index>().prop_map(Step::DelayedArrives),
    ]
}

#[derive(Default)]
struct World {
    entries: [PlansController; ENTRIES],
    calls: Vec<(usize, PlansEffect)>,
    delayed: Vec<PlansEffect>,
    history: Vec<(StoredIntent, u64)>,
    plans: Vec<ChangePlan>,
    /// Outcomes of confirmations, with the queue length of the plan.
    outcomes: Vec<(u32, ConfirmOutcome)>,
    /// Number of confirmations of each plan, by its queue length.
    confirmed: HashMap<u32, usize>,
}

impl World {
    fn send(&mut self, entry: usize, message: PlansMessage) {
        for effect in self.entries[entry].handle(message, Timestamp(0)) {
            match effect {
                PlansEffect::Finish(plan, outcome) => {
                    let plan = self.plans.iter().find(|known| known.identity == plan).unwrap();
                    self.outcomes.push((plan.intent.max_queue_length, outcome));
                }
                call => self.calls.push((entry, call)),
            }
        }
    }

    fn write(&mut self, content: &StoredIntent, base_version: u64) -> WriteReply {
        let present = self.history.last().map_or(0, |(_, version)| *version);
        if present != base_version {
            return WriteReply::Conflict(present);
        }
        // Versions have gaps, because other objects of the store share them.
        self.history.push((content.clone(), present + 2));
        WriteReply::Written(present + 2)
    }

    fn deliver(&mut self, position: usize, fault: Fault) {
        let (entry, call) = self.calls.remove(position);
        let message = match call {
            PlansEffect::Read { plan, .. } => {
                let stale = usize::from(matches!(fault, Fault::Stale));
                let shown = self.history.len().checked_sub(1 + stale).map(|at| &self.history[at]);
                let reply = match (fault, shown) {
                    (Fault::None | Fault::Stale, None) => ReadReply::Absent,
                    (Fault::None | Fault::Stale, Some((content, version))) => {
                        ReadReply::Found { content: Box::new(content.clone()), version: *version }
                    }
                    _ => ReadReply::Unavailable,
                };
                PlansMessage::Read(plan, reply)
            }
            PlansEffect::Write { plan, ref content, base_version } => {
                let reply = match fault {
                    Fault::None | Fault::Stale => self.write(content, base_version),
                    Fault::RequestLost => WriteReply::NoResponse,
                    Fault::ResponseLost => {
                        self.write(content, base_version);
                        WriteReply::NoResponse
                    }
                    Fault::Delayed => {
                        self.delayed.push(call.clone());
                        WriteReply::NoResponse
                    }
                    Fault::Refused => WriteReply::Refused,
                };
                PlansMessage::Wrote(plan, reply)
            }
            PlansEffect::Finish(..) => unreachable!("outcomes are not calls"),
        };
        self.send(entry, message);
    }

    fn run(&mut self, step: &Step) {
        match step {
            Step::Draft(seen) => {
                let shown = self.history.len() + 1;
                let base = seen.index(shown).checked_sub(1).map(|at| self.history[at].clone());
                self.plans.push(draft_on(base.as_ref(), 1000 + self.plans.len() as u32));
            }
            Step::Confirm(entry, plan) if !self.plans.is_empty() => {
                let plan = self.plans[plan.index(self.plans.len())].clone();
                *self.confirmed.entry(plan.intent.max_queue_length).or_default() += 1;
                self.send(*entry, PlansMessage::Confirm(Box::new(plan), VersionFloor::default()));
            }
            Step::Deliver(call, fault) if !self.calls.is_empty() => {
                self.deliver(call.index(self.calls.len()), *fault);
            }
            Step::Restart(entry) => {
                self.entries[*entry] = PlansController::default();
                self.calls.retain(|(owner, _)| owner != entry);
            }
            Step::DelayedArrives(call) if !self.delayed.is_empty() => {
                let call = self.delayed.remove(call.index(self.delayed.len()));
                self.apply_delayed(call);
            }
            _ => {}
        }
    }

    fn apply_delayed(&mut self, call: PlansEffect) {
        if let PlansEffect::Write { content, base_version, .. } = call {
            self.write(&content, base_version);
        }
    }

    /// Completes all calls without faults and applies the delayed writes.
    fn complete_calls(&mut self) {
        while !self.calls.is_empty() {
            self.deliver(0, Fault::None);
        }
        while let Some(call) = self.delayed.pop() {
            self.apply_delayed(call);
        }
    }
}

fn check_history(world: &World) -> Result<(), TestCaseError> {
    let mut applied = HashMap::new();
    let mut before = 0;
    for (content, version) in &world.history {
        prop_assert!(*version > before, "versions rise");
        let marker = content.intent.max_queue_length;
        *applied.entry(marker).or_insert(0) += 1;
        let plan = world.plans.iter().find(|plan| plan.intent.max_queue_length == marker).unwrap();
        prop_assert_eq!(plan.base_version, before, "a plan replaces the version it was drafted on");
        before = *version;
    }
    for (marker, times) in &applied {
        prop_assert!(*times == 1, "plan {} was applied {} times", marker, times);
    }
    for (marker, outcome) in &world.outcomes {
        let is_applied = applied.contains_key(marker);
        match outcome {
            ConfirmOutcome::Applied { .. } => prop_assert!(
                is_applied,
                "plan {marker} is reported as applied but is not in the store"
            ),
            ConfirmOutcome::Outdated { .. } => {
                prop_assert!(!is_applied, "plan {marker} was applied but reported as {outcome:?}");
            }
            // Another confirmation of the same plan may have applied it.
            ConfirmOutcome::NotApplied if world.confirmed[marker] == 1 => {
                prop_assert!(!is_applied, "plan {marker} was applied but reported as {outcome:?}");
            }
            ConfirmOutcome::NotApplied | ConfirmOutcome::Unknown => {}
        }
    }
    Ok(())
}

fn fleet_with_load(load: u32) -> (FleetSnapshot, ServiceIntent) {
    let base = intent(64, vec![target(1, "valle-a"), target(2, "valle-b")]);
    let mut fleet = FleetSnapshot::default();
    fleet.apply(base.clone(), 7, Timestamp(1));
    for (_, target) in &fleet.targets {
        target.counters.record_report(load.into(), Timestamp(2));
    }
    (fleet, base)
}

test_cases! {
    confirmed_plans_apply_once: "a plan applied twice, over another plan, or reported wrongly after a lost response" => {
        check_property(2000, &proptest::collection::vec(step(), 1..80), |steps| {
            let mut world = World::default();
            for step in &steps {
                world.run(step);
            }
            world.complete_calls();
            check_history(&world)?;
            let outcomes_before = world.outcomes.len();
            for plan in world.plans.clone() {
                // With more than one confirmation, another one may have applied the plan.
                *world.confirmed.entry(plan.intent.max_queue_length).or_default() += 2;
                world.send(0, PlansMessage::Confirm(Box::new(plan), VersionFloor::default()));
                world.complete_calls();
            }
            check_history(&world)?;
            let repeated = &world.outcomes[outcomes_before..];
            prop_assert!(repeated.iter().all(|(_, outcome)| *outcome != ConfirmOutcome::Unknown));
            Ok(())
        });
    }

    below_load_is_refused: "a plan that leaves fewer slots than the load without being allowed to" => {
        let (fleet, base) = fleet_with_load(2);
        let basis = PlanBasis { base: Some(&base), base_version: 7, base_plan: None, fleet: &fleet };
        let smaller = intent(64, vec![target(1, "valle-a")]);
        let mut statement = IntentStatement { intent: smaller, allow_below_load: false };
        let refused = ChangePlan::draft(statement.clone(), &basis, stamp(1));
        assert_eq!(refused.unwrap_err(), PlanError::BelowLoad { load: 4, slots: 3 });
        statement.allow_below_load = true;
        let plan = ChangePlan::draft(statement, &basis, stamp(1)).unwrap();
        assert!(plan.risks.contains(&PlanRisk::BelowLoad { load: 4, slots: 3 }));
        let emptied = PlanRisk::DataCentreEmptied { data_centre: "valle-b".to_owned() };
        assert!(plan.risks.contains(&emptied));
    }

    capacity_is_added_before_it_is_removed: "a plan whose order passes through too little capacity" => {
        let (fleet, base) = fleet_with_load(0);
        let basis = PlanBasis { base: Some(&base), base_version: 7, base_plan: None, fleet: &fleet };
        let mut leaving = target(1, "valle-a");
        leaving.state = DesiredState::Leaving;
        let next = intent(65, vec![leaving, target(3, "valle-c")]);
        let statement = IntentStatement { intent: next, allow_below_load: false };
        let plan = ChangePlan::draft(statement.clone(), &basis, stamp(1)).unwrap();
        let actions: Vec<_> = plan.changes.iter().map(|change| change.action).collect();
        assert_eq!(actions, [
            ChangeAction::AddTarget,
            ChangeAction::ChangeSetting,
            ChangeAction::ReduceTarget,
            ChangeAction::RemoveTarget,
        ]);
        let slots: Vec<_> =
            plan.capacity.iter().map(|effect| (effect.slots_before, effect.slots_after)).collect();
        assert_eq!(slots, [(3, 0), (3, 0), (0, 3)]);
        let again = ChangePlan::draft(statement, &basis, stamp(2)).unwrap();
        assert_ne!(again.identity, plan.identity);
    }

    dropped_records_make_outcomes_unknown: "an old plan reported as not applied because its record was dropped" => {
        let mut world = World::default();
        for marker in 0..=MAX_APPLIED_PLANS as u32 {
            let plan = draft_on(world.history.last(), 1000 + marker);
            world.plans.push(plan.clone());
            world.send(0, PlansMessage::Confirm(Box::new(plan), VersionFloor::default()));
            world.complete_calls();
        }
        let oldest = world.plans[0].clone();
        world.send(0, PlansMessage::Confirm(Box::new(oldest), VersionFloor::default()));
        world.complete_calls();
        assert_eq!(world.outcomes.last().unwrap().1, ConfirmOutcome::Unknown);
    }

    versions_given_out_again_are_not_the_base: "a plan that replaces another plan because a restored store gave its base version out again" => {
        let mut world = World::default();
        let confirm = |world: &mut World, plan: &ChangePlan| {
            world.plans.push(plan.clone());
            world.send(0, PlansMessage::Confirm(Box::new(plan.clone()), VersionFloor::default()));
            world.complete_calls();
            world.outcomes.last().unwrap().1.clone()
        };
        confirm(&mut world, &draft_on(None, 1000));
        let lost = draft_on(world.history.last(), 1001);
        world.history.clear();
        confirm(&mut world, &draft_on(None, 1002));
        let outcome = confirm(&mut world, &lost);
        assert!(matches!(outcome, ConfirmOutcome::Outdated { version: 2, .. }), "{outcome:?}");
        assert_eq!(world.history.last().unwrap().0.intent.max_queue_length, 1002);
    }
}
