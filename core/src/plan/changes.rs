//! Differences between two intents of a service.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use strum::{Display, EnumString};

use super::available_slots;
use crate::intent::{ServiceIntent, TargetIntent};

/// Kind of a change. The order of the variants is the order of changes in a plan.
#[derive(
    Clone, Copy, Debug, Display, EnumString, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ChangeAction {
    /// Adds a target.
    AddTarget,
    /// Changes a target that keeps or gains slots.
    RaiseTarget,
    /// Changes a kind or another setting of the service.
    ChangeSetting,
    /// Takes slots from a target or lets it leave.
    ReduceTarget,
    /// Removes a target.
    RemoveTarget,
}

/// One change of a plan.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PlannedChange {
    /// Kind of the change.
    pub action: ChangeAction,
    /// Address of the target or name of the setting.
    pub subject: String,
    /// Value before; `None` if there was none.
    pub before: Option<String>,
    /// Value after; `None` if there is none.
    pub after: Option<String>,
}

/// Returns the changes from `base` to `next`, in the order of a plan.
pub fn changes_between(base: Option<&ServiceIntent>, next: &ServiceIntent) -> Vec<PlannedChange> {
    let old_targets = base.map_or(&[][..], |base| &base.targets);
    let mut changes = target_changes(old_targets, &next.targets);
    let old_settings = base.map(settings_of).unwrap_or_default();
    changes.extend(setting_changes(&old_settings, &settings_of(next)));
    changes.sort_by_key(|change| change.action);
    changes
}

fn target_changes(old: &[TargetIntent], new: &[TargetIntent]) -> Vec<PlannedChange> {
    let find = |targets: &[TargetIntent], wanted: &TargetIntent| {
        targets.iter().find(|target| target.address == wanted.address).cloned()
    };
    let removed = old
        .iter()
        .filter(|target| find(new, target).is_none())
        .map(|target| target_change(ChangeAction::RemoveTarget, Some(target), None, target));
    let kept = new.iter().filter_map(|target| match find(old, target) {
        None => Some(target_change(ChangeAction::AddTarget, None, Some(target), target)),
        Some(before) if before == *target => None,
        Some(before) => {
            let reduced = available_slots(target) < available_slots(&before);
            let action =
                if reduced { ChangeAction::ReduceTarget } else { ChangeAction::RaiseTarget };
            Some(target_change(action, Some(&before), Some(target), target))
        }
    });
    kept.chain(removed).collect()
}

fn target_change(
    action: ChangeAction,
    before: Option<&TargetIntent>,
    after: Option<&TargetIntent>,
    subject: &TargetIntent,
) -> PlannedChange {
    let describe = |target: &TargetIntent| {
        format!("{}, {} slots, {}", target.data_centre, target.slots, target.state)
    };
    PlannedChange {
        action,
        subject: subject.address.to_string(),
        before: before.map(describe),
        after: after.map(describe),
    }
}

/// Returns all settings except the targets, with each kind under its own name.
fn settings_of(intent: &ServiceIntent) -> Map<String, Value> {
    let Ok(Value::Object(mut settings)) = serde_json::to_value(intent) else { return Map::new() };
    settings.remove("targets");
    settings.remove("kinds");
    for (position, kind) in intent.kinds.iter().enumerate() {
        // The position matters, because the first matching kind applies.
        let value = serde_json::json!({ "position": position, "kind": kind });
        settings.insert(format!("kinds.{}", kind.name), value);
    }
    settings
}

fn setting_changes<'a>(
    old: &'a Map<String, Value>,
    new: &'a Map<String, Value>,
) -> impl Iterator<Item = PlannedChange> + 'a {
    let dropped = old.keys().filter(|name| !new.contains_key(*name));
    new.keys().chain(dropped).filter(|name| old.get(*name) != new.get(*name)).map(|name| {
        PlannedChange {
            action: ChangeAction::ChangeSetting,
            subject: name.clone(),
            before: old.get(name).map(Value::to_string),
            after: new.get(name).map(Value::to_string),
        }
    })
}
