//! Round robin, a baseline.

use std::sync::atomic::Ordering;

use rand::RngCore;

use super::{RoutingPolicy, TargetChoice, TargetQuery};
use crate::call::ReasonCode;

/// Picks available targets in turn.
#[derive(Debug, Default)]
pub struct RoundRobin;

impl RoutingPolicy for RoundRobin {
    fn name(&self) -> &'static str {
        "round-robin"
    }

    fn pick(&self, query: &TargetQuery<'_>, _random: &mut dyn RngCore) -> Option<TargetChoice> {
        let table = &query.service.table;
        for _ in 0..table.available.len() {
            let turn = query.service.counters.cursor.fetch_add(1, Ordering::Relaxed) as usize;
            let target = &table.available[turn % table.available.len()];
            let is_barred = target.counters.is_barred(query.now);
            if !query.excluded.contains(&target.key) && !is_barred {
                return Some(query.choice(target, ReasonCode::NextInTurn));
            }
        }
        None
    }
}
