//! Guards against probes that, over all entries, cost more than the budget of the operator.

mod support;

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use support::{SERVICE, intent, targets};
use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    MeasuringController, MeasuringEffect, MeasuringMessage, StateController,
};
use zinniaport_core::fleet::FleetSnapshot;
use zinniaport_core::intent::{MeasuringIntent, ServiceIntent};
use zinniaport_testing::{check_property, test_cases};

const MAX_ENTRIES: u32 = 4;
const COST_MS: f64 = 6.0;
const SLOTS: f64 = 3.0;
const SECOND: u64 = 1_000_000;

/// One event at an entry.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The timer fires. Probes take this many milliseconds to arrive.
    Tick(u64),
    /// The entry calls the store to confirm its intent. The response takes this many
    /// milliseconds, up to 3 s, or is lost.
    Confirm(Option<u64>),
    /// The entry is replaced by one without state.
    Restart,
}

#[derive(Clone, Debug)]
struct History {
    /// Time in seconds at which each budget is accepted, and the budget in percent.
    budgets: Vec<(u64, f64)>,
    /// Steps of each entry, each after a pause in milliseconds.
    entries: Vec<Vec<(u64, Step)>>,
}

fn history_strategy() -> impl Strategy<Value = History> {
    let step = prop_oneof![
        200 => (0_u64..1_000).prop_map(Step::Tick),
        100 => proptest::option::weighted(0.9, 0_u64..3_000).prop_map(Step::Confirm),
        1 => Just(Step::Restart),
    ];
    let pause = prop_oneof![200 => 0_u64..400, 1 => 0_u64..20_000];
    let entry = proptest::collection::vec((pause, step), 300..700);
    let entries = proptest::collection::vec(entry, MAX_ENTRIES as usize);
    let change = (0_u64..300, prop_oneof![Just(0.0), 0.02_f64..0.2, 0.2_f64..1.0]);
    let budgets = proptest::collection::vec(change, 0..4);
    (budgets, 0.02_f64..1.0, entries).prop_map(|(mut budgets, first, entries)| {
        budgets.push((0, first));
        budgets.sort_by_key(|(at, _)| *at);
        History { budgets, entries }
    })
}

impl History {
    /// Returns the newest version at a time, counted from 1.
    fn version_at(&self, time: u64) -> usize {
        self.budgets.iter().filter(|(at, _)| at * SECOND <= time).count().max(1)
    }

    fn fleet(&self, version: usize) -> Arc<FleetSnapshot> {
        let measuring = MeasuringIntent {
            budget_percent: self.budgets[version - 1].1,
            probe_cost_ms: COST_MS,
            max_entries: MAX_ENTRIES,
            ..MeasuringIntent::default()
        };
        let mut fleet = FleetSnapshot::default();
        fleet.apply(
            ServiceIntent { measuring, ..intent(targets(1)) },
            version as u64,
            Timestamp(1),
        );
        Arc::new(fleet)
    }

    /// Returns the slot time that the operators allow in a window, in milliseconds. A
    /// lowered budget takes effect 5 s after it was accepted, a raised one at once.
    fn allowed_ms(&self, start: u64, end: u64) -> f64 {
        let max_percent = |time: u64| {
            let effective = self.version_at(time.saturating_sub(5 * SECOND));
            (effective..=self.version_at(time))
                .map(|version| self.budgets[version - 1].1)
                .fold(0.0, f64::max)
        };
        let mut edges: Vec<u64> =
            self.budgets.iter().flat_map(|(at, _)| [at * SECOND, (at + 5) * SECOND]).collect();
        edges.extend([start, end]);
        edges.retain(|edge| (start..=end).contains(edge));
        edges.sort_unstable();
        edges
            .windows(2)
            .map(|edge| (edge[1] - edge[0]) as f64 / 1e3 * SLOTS * max_percent(edge[0]) / 100.0)
            .sum()
    }

    /// Returns a description of a window of at least 60 s in which the probes of all
    /// entries cost more than allowed. A probe is not divisible, so that one just before a
    /// change cannot be made up for after it: windows across a change may exceed the budget
    /// by one probe of each entry, all others by nothing.
    fn find_excess(&self) -> Option<String> {
        let mut arrivals: Vec<u64> =
            self.entries.iter().flat_map(|steps| self.run(steps)).collect();
        arrivals.sort_unstable();
        for (first, start) in arrivals.iter().enumerate() {
            for (last, end) in arrivals.iter().enumerate().skip(first) {
                let end = *end.max(&(start + 60 * SECOND));
                let cost = (last - first + 1) as f64 * COST_MS;
                let mut edges =
                    self.budgets.iter().flat_map(|(at, _)| [at * SECOND, (at + 5) * SECOND]);
                let changes = edges.any(|edge| *start < edge && edge < end);
                let tolerance = if changes { COST_MS * f64::from(MAX_ENTRIES) } else { 0.0 };
                let allowed = self.allowed_ms(*start, end) + tolerance + 1e-6;
                if cost > allowed {
                    return Some(format!("{cost} ms of {allowed} ms from {start} to {end}"));
                }
            }
        }
        None
    }

    /// Runs one entry and returns when its probes reached the target.
    fn run(&self, steps: &[(u64, Step)]) -> Vec<u64> {
        let (mut now, mut arrivals) = (0, Vec::new());
        let mut controller = MeasuringController::default();
        let mut responses: Vec<(u64, u64, usize)> = Vec::new();
        let mut applied_version = 0;
        for (pause, step) in steps {
            now += pause * 1_000;
            // A paused entry handles responses and its timer only after the pause.
            for (_, sent, version) in responses.extract_if(.., |(at, ..)| *at <= now) {
                let service = self.fleet(version).find(SERVICE).unwrap().0;
                let sent = Timestamp(sent);
                let confirmed =
                    MeasuringMessage::Confirmed { service, version: version as u64, sent };
                // Half of the versions reach the entry after their confirmation.
                if version % 2 == 0 {
                    controller.handle(confirmed.clone(), Timestamp(now));
                }
                if version > applied_version && (version % 2 == 1 || sent.0.is_multiple_of(3)) {
                    applied_version = version;
                    controller.handle(MeasuringMessage::Fleet(self.fleet(version)), Timestamp(now));
                }
                controller.handle(confirmed, Timestamp(now));
            }
            match step {
                Step::Tick(delay) => {
                    for effect in controller.handle(MeasuringMessage::Tick, Timestamp(now)) {
                        let MeasuringEffect::Probe { permit, .. } = effect;
                        let arrival = now + delay * 1_000;
                        if Timestamp(arrival) <= permit.arrive_before {
                            arrivals.push(arrival);
                        }
                    }
                }
                Step::Confirm(Some(delay)) => {
                    let read = now + delay * 500;
                    responses.push((now + delay * 1_000, now, self.version_at(read)));
                }
                Step::Confirm(None) => {}
                Step::Restart => {
                    controller = MeasuringController::default();
                    (applied_version, responses) = (0, Vec::new());
                }
            }
        }
        arrivals
    }
}

test_cases! {
    measuring_stays_within_budget: "entries whose probes together cost more than the operator allows" => {
        check_property(96, &history_strategy(), |history| {
            prop_assert_eq!(history.find_excess(), None);
            Ok(())
        });
    }

    delayed_probes_stay_within_budget: "delayed probes that arrive together and exceed the budget" => {
        let step = |index| match index {
            _ if index % 100 == 0 => Step::Confirm(Some(1)),
            0..14_000 => Step::Tick(995),
            _ => Step::Tick(0),
        };
        let steps: Vec<_> = (0..30_000).map(|index| (5, step(index))).collect();
        let history = History { budgets: vec![(0, 1.0)], entries: vec![steps; MAX_ENTRIES as usize] };
        assert_eq!(history.find_excess(), None);
    }

    replaced_entries_start_empty: "entries that are replaced often and each spend a full share at once" => {
        let step = |index| match index % 20 {
            0 => Step::Restart,
            1 => Step::Confirm(Some(1)),
            _ => Step::Tick(0),
        };
        let steps: Vec<_> = (0..1_000).map(|index| (100, step(index))).collect();
        let history = History { budgets: vec![(0, 0.1)], entries: vec![steps; MAX_ENTRIES as usize] };
        assert_eq!(history.find_excess(), None);
    }

    measuring_uses_its_budget: "a budget that is never spent, so that targets are not measured" => {
        let history = History { budgets: vec![(0, 5.0)], entries: Vec::new() };
        let steps: Vec<_> = (0..60_000).map(|step| (5, if step % 100 == 0 { Step::Confirm(Some(1)) } else { Step::Tick(1) })).collect();
        let spent = history.run(&steps).len() as f64 * COST_MS * f64::from(MAX_ENTRIES);
        let allowed = history.allowed_ms(0, Duration::from_secs(300).as_micros() as u64);
        assert!(spent > 0.8 * allowed, "{spent} ms of {allowed} ms are used");
    }

    outages_stop_measuring: "probes that continue while the budget cannot be confirmed" => {
        let history = History { budgets: vec![(0, 5.0)], entries: Vec::new() };
        let steps: Vec<_> = (0..2_000).map(|step| (50, if step == 0 { Step::Confirm(Some(1)) } else { Step::Tick(1) })).collect();
        assert!(history.run(&steps).iter().all(|arrival| *arrival <= 5 * SECOND));
    }
}
