//! Kinds of requests of a service, under keys that stay theirs from version to version.

use std::sync::Arc;

use slotmap::SlotMap;

use crate::intent::KindIntent;
use crate::keys::KindKey;

/// Kinds of one service in one version of its intent.
///
/// The position of a kind in the intent changes when others are added or removed, so what is
/// learned of a kind is kept under its key.
#[derive(Clone, Debug, Default)]
pub struct KindTable {
    intents: SlotMap<KindKey, Arc<KindIntent>>,
    /// Keys in the order of the intent.
    order: Vec<KindKey>,
}

impl KindTable {
    /// Creates the table of the next version. Kinds that remain, by their names, keep their keys.
    pub fn next(&self, intents: &[KindIntent]) -> Self {
        let (mut remaining, mut kinds) = (self.order.clone(), self.intents.clone());
        let order = intents.iter().map(|intent| {
            let known = remaining.iter().position(|key| kinds[*key].name == intent.name);
            let intent = Arc::new(intent.clone());
            match known {
                Some(position) => {
                    let key = remaining.swap_remove(position);
                    kinds[key] = intent;
                    key
                }
                None => kinds.insert(intent),
            }
        });
        let order = order.collect();
        remaining.into_iter().for_each(|key| drop(kinds.remove(key)));
        Self { intents: kinds, order }
    }

    /// Returns the intent of a kind, or `None` if this version has no such kind.
    pub fn get(&self, key: KindKey) -> Option<&Arc<KindIntent>> {
        self.intents.get(key)
    }

    /// Returns the key of the kind with this name.
    pub fn key_of(&self, name: &str) -> Option<KindKey> {
        self.iter().find(|(_, intent)| intent.name == name).map(|(key, _)| key)
    }

    /// Returns all kinds in the order of the intent.
    pub fn iter(&self) -> impl Iterator<Item = (KindKey, &Arc<KindIntent>)> {
        self.order.iter().map(|key| (*key, &self.intents[*key]))
    }
}
