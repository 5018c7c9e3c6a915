//! Snapshots: memory and the processor time of publishing and of ticks.

use std::hint::black_box;
use std::sync::Arc;

use zinniaport_core::controllers::{StateController, TargetsController, TargetsMessage};
use zinniaport_core::fleet::FleetSnapshot;

use super::fixtures::{NOW, fleet, intent, view};
use super::meter::{memory_bytes, processor_us};
use super::report::{SlopeRow, SlopeSubject};
use super::{MEMBERS, ROUNDS, SERVICES, TARGETS};

/// Targets over all snapshots of one round, which makes a round grow by some
/// megabytes of 4 KiB pages at every size.
const TARGETS_PER_ROUND: usize = 8_200;

/// Services over all snapshots of one round.
const SERVICES_PER_ROUND: usize = 4_000;

/// Entries of the snapshots.
const ENTRIES: usize = 200;

/// Gives the services that a number of targets is shared among.
fn services_of(targets: usize) -> usize {
    let position = TARGETS.iter().position(|known| *known == targets);
    position.map_or(1, |position| SERVICES[position])
}

/// Measures resident memory. It must run before measurements that free memory,
/// which would be used again without a growth; the snapshots stay in `kept`.
pub fn memory_rows(kept: &mut Vec<FleetSnapshot>) -> Vec<SlopeRow> {
    let subject = |quantity, size| SlopeSubject { quantity, unit: "bytes", size };
    let by_targets =
        SlopeRow::measure(subject("Snapshot of one service", "targets"), &TARGETS, 3, |targets| {
            let copies = TARGETS_PER_ROUND / targets;
            memory_bytes(copies, kept, || fleet(1, targets, ENTRIES))
        });
    let by_services = SlopeRow::measure(
        subject("Snapshot without targets", "services"),
        &SERVICES,
        3,
        |services| {
            let copies = SERVICES_PER_ROUND / services;
            memory_bytes(copies, kept, || fleet(services, 0, ENTRIES))
        },
    );
    let originals = TARGETS.map(|targets| fleet(services_of(targets), targets, ENTRIES));
    let copied = SlopeRow::measure(
        subject("Further copy of a snapshot, with what both share", "targets"),
        &TARGETS,
        3,
        |targets| {
            let original =
                &originals[TARGETS.iter().position(|known| *known == targets).unwrap_or(0)];
            let copies = TARGETS_PER_ROUND * 4 / targets;
            memory_bytes(copies, kept, || original.clone())
        },
    );
    vec![by_targets, by_services, copied]
}

fn targets_controller(targets: usize) -> (TargetsController, FleetSnapshot) {
    let intents = fleet(services_of(targets), targets, ENTRIES);
    let mut controller = TargetsController::default();
    controller.handle(TargetsMessage::View(view(ENTRIES)), NOW);
    controller.handle(TargetsMessage::Intents(Arc::new(intents.clone())), NOW);
    (controller, intents)
}

/// Gives the time from a changed intent of one service to the new snapshot.
fn publish_us(targets: usize) -> f64 {
    let (mut controller, mut intents) = targets_controller(targets);
    let share = targets / services_of(targets);
    let mut version = 1_000_000;
    processor_us(20, || {
        version += 1_000;
        let mut changed = intent(0, share, 0);
        changed.max_queue_length = version as u32;
        intents.apply(changed, version, NOW);
        let fleet = Arc::new(intents.clone());
        black_box(controller.handle(TargetsMessage::Intents(fleet), NOW));
    })
}

/// Gives the time from a changed member list to the new snapshot with `targets`
/// targets; the home slots of every target are computed again.
fn view_us(targets: usize, entries: usize) -> f64 {
    let (mut controller, _) = targets_controller(targets);
    let mut entries = entries;
    processor_us(3, || {
        entries += 1;
        black_box(controller.handle(TargetsMessage::View(view(entries)), NOW));
    })
}

fn tick_us(targets: usize) -> f64 {
    let (mut controller, _) = targets_controller(targets);
    processor_us(50, || {
        black_box(controller.handle(TargetsMessage::Tick, NOW));
    })
}

/// Measures the processor time of publishing.
pub fn time_rows() -> Vec<SlopeRow> {
    let subject = |quantity, size| SlopeSubject { quantity, unit: "us", size };
    let row = |quantity, size, sizes: &[usize], measure: &dyn Fn(usize) -> f64| {
        SlopeRow::measure(subject(quantity, size), sizes, ROUNDS, measure)
    };
    vec![
        row("Changed intent, publish the snapshot", "targets", &TARGETS, &publish_us),
        row("Changed members (200), publish the snapshot", "targets", &TARGETS, &|targets| {
            view_us(targets, ENTRIES)
        }),
        row("Changed members, 4,100 targets, publish", "members", &MEMBERS, &|members| {
            view_us(TARGETS[2], members)
        }),
        row("Tick of the targets controller, every 100 ms", "targets", &TARGETS, &tick_us),
    ]
}
