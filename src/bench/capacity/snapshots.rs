//! Fleet snapshots: their memory, and the CPU time of publishing them and of ticks.

use std::hint::black_box;
use std::sync::Arc;

use zinniaport_core::controllers::{StateController, TargetsController, TargetsMessage};
use zinniaport_core::fleet::FleetSnapshot;

use super::fixtures::{NOW, fleet, intent, view};
use super::meter::{cpu_time_us, resident_growth_bytes};
use super::report::{SlopeRow, SlopeSubject};
use super::{MEMBERS, ROUNDS, SERVICES, TARGETS};

/// Number of targets in all snapshots of a round together. It makes memory grow by some megabytes
/// in each round at every size, so that pages of 4 KiB measure the growth finely enough.
const TARGETS_PER_ROUND: usize = 8_200;

/// Number of services in all snapshots of a round together.
const SERVICES_PER_ROUND: usize = 4_000;

/// Number of entries in the snapshots.
const ENTRIES: usize = 200;

/// Returns the number of services among which `targets` targets are divided.
fn service_count(targets: usize) -> usize {
    let position = TARGETS.iter().position(|known| *known == targets);
    position.map_or(1, |position| SERVICES[position])
}

/// Measures the resident memory of snapshots and keeps them in `kept`.
///
/// Must run before any measurement that frees memory, because freed memory would be reused
/// without growth.
pub fn memory_rows(kept: &mut Vec<FleetSnapshot>) -> Vec<SlopeRow> {
    let subject = |quantity, size| SlopeSubject { quantity, unit: "bytes", size };
    let by_targets =
        SlopeRow::measure(subject("Snapshot of one service", "targets"), &TARGETS, 3, |targets| {
            let copies = TARGETS_PER_ROUND / targets;
            resident_growth_bytes(copies, kept, || fleet(1, targets, ENTRIES))
        });
    let by_services = SlopeRow::measure(
        subject("Snapshot without targets", "services"),
        &SERVICES,
        3,
        |services| {
            let copies = SERVICES_PER_ROUND / services;
            resident_growth_bytes(copies, kept, || fleet(services, 0, ENTRIES))
        },
    );
    let originals = TARGETS.map(|targets| fleet(service_count(targets), targets, ENTRIES));
    let copied = SlopeRow::measure(
        subject("Further copy of a snapshot, with what both share", "targets"),
        &TARGETS,
        3,
        |targets| {
            let original =
                &originals[TARGETS.iter().position(|known| *known == targets).unwrap_or(0)];
            let copies = TARGETS_PER_ROUND * 4 / targets;
            resident_growth_bytes(copies, kept, || original.clone())
        },
    );
    vec![by_targets, by_services, copied]
}

/// Creates a targets controller that has published `targets` targets, and its fleet.
fn targets_controller(targets: usize) -> (TargetsController, FleetSnapshot) {
    let intents = fleet(service_count(targets), targets, ENTRIES);
    let mut controller = TargetsController::default();
    controller.handle(TargetsMessage::View(view(ENTRIES)), NOW);
    controller.handle(TargetsMessage::Intents(Arc::new(intents.clone())), NOW);
    (controller, intents)
}

/// Returns the CPU time of publishing a snapshot after the intent of one service changed.
fn publish_intent_us(targets: usize) -> f64 {
    let (mut controller, mut intents) = targets_controller(targets);
    let targets_per_service = targets / service_count(targets);
    let mut version = 1_000_000;
    cpu_time_us(20, || {
        version += 1_000;
        let mut changed = intent(0, targets_per_service, 0);
        changed.max_queue_length = version as u32;
        intents.apply(changed, version, NOW);
        let fleet = Arc::new(intents.clone());
        black_box(controller.handle(TargetsMessage::Intents(fleet), NOW));
    })
}

/// Returns the CPU time of publishing a snapshot with `targets` targets after the list of
/// members changed, which recomputes the home slots of every target.
fn publish_members_us(targets: usize, entries: usize) -> f64 {
    let (mut controller, _) = targets_controller(targets);
    let mut entries = entries;
    cpu_time_us(3, || {
        entries += 1;
        black_box(controller.handle(TargetsMessage::View(view(entries)), NOW));
    })
}

/// Returns the CPU time of a tick of the targets controller.
fn tick_us(targets: usize) -> f64 {
    let (mut controller, _) = targets_controller(targets);
    cpu_time_us(50, || {
        black_box(controller.handle(TargetsMessage::Tick, NOW));
    })
}

/// Measures the CPU time of publishing snapshots and of ticks.
pub fn time_rows() -> Vec<SlopeRow> {
    let subject = |quantity, size| SlopeSubject { quantity, unit: "us", size };
    let row = |quantity, size, sizes: &[usize], measure: &dyn Fn(usize) -> f64| {
        SlopeRow::measure(subject(quantity, size), sizes, ROUNDS, measure)
    };
    vec![
        row("Changed intent, publish the snapshot", "targets", &TARGETS, &publish_intent_us),
        row("Changed members (200), publish the snapshot", "targets", &TARGETS, &|targets| {
            publish_members_us(targets, ENTRIES)
        }),
        row("Changed members, 4,100 targets, publish", "members", &MEMBERS, &|members| {
            publish_members_us(TARGETS[2], members)
        }),
        row("Tick of the targets controller, every 100 ms", "targets", &TARGETS, &tick_us),
    ]
}
