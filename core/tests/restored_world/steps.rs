//! Steps of a world, and a strategy for them.

use proptest::prelude::*;
use proptest::sample::select;
use zinniaport_core::directory::DirectoryPart;

use super::entry::ReadKind;

/// Number of entries.
pub const ENTRIES: usize = 3;

/// Number of targets.
pub const TARGETS: usize = 3;

/// Parts that the entries follow.
pub const PARTS: [DirectoryPart; 2] = [DirectoryPart::Targets, DirectoryPart::Configuration];

/// One step of a world. Targets and entries are named by their position.
#[derive(Clone, Debug)]
pub enum WorldStep {
    /// The operator writes its next version.
    Configure,
    /// The operator writes its newest version again if the store lacks it.
    ConfigureAgain,
    /// A target starts, under the name of the last one if there was one.
    Start(usize),
    /// A target writes changed content, also if the store lacks it.
    Change(usize),
    /// A target raises its sequence only.
    Repeat(usize),
    /// A target announces that it leaves, after which it writes nothing.
    Announce(usize),
    /// A target ends without an announcement.
    End(usize),
    /// The store removes the object of a target, which may be alive.
    Remove(usize),
    /// Other objects are written.
    WriteOthers(u64),
    Restore(usize),
    LoseHistory,
    /// An entry sends a read, from other entries first if it follows them.
    Send {
        entry: usize,
        part: DirectoryPart,
        kind: ReadKind,
        follows: bool,
    },
    /// The response to a read arrives.
    Deliver {
        entry: usize,
        part: DirectoryPart,
        kind: ReadKind,
    },
    /// The store refuses a read.
    Refuse {
        entry: usize,
        part: DirectoryPart,
    },
    /// All entries read all parts.
    ReadAll,
    /// An entry learns which revisions another one knows.
    Inform {
        from: usize,
        to: usize,
    },
    /// Time passes.
    Pause(u64),
}

/// Returns a strategy for the steps of a world.
pub fn world_steps() -> impl Strategy<Value = Vec<WorldStep>> {
    let (target, entry) = (0..TARGETS, 0..ENTRIES);
    let part = || select(PARTS.to_vec());
    let kind = || select(vec![ReadKind::Follow, ReadKind::Follow, ReadKind::CatchUp]);
    let step = prop_oneof![
        3 => Just(WorldStep::Configure),
        2 => Just(WorldStep::ConfigureAgain),
        3 => target.clone().prop_map(WorldStep::Start),
        4 => target.clone().prop_map(WorldStep::Change),
        1 => target.clone().prop_map(WorldStep::Repeat),
        2 => target.clone().prop_map(WorldStep::Announce),
        1 => target.clone().prop_map(WorldStep::End),
        2 => target.prop_map(WorldStep::Remove),
        1 => (1_u64..4).prop_map(WorldStep::WriteOthers),
        3 => (1_usize..6).prop_map(WorldStep::Restore),
        1 => Just(WorldStep::LoseHistory),
        6 => (entry.clone(), part(), kind(), any::<bool>())
            .prop_map(|(entry, part, kind, follows)| WorldStep::Send { entry, part, kind, follows }),
        6 => (entry.clone(), part(), kind())
            .prop_map(|(entry, part, kind)| WorldStep::Deliver { entry, part, kind }),
        1 => (entry.clone(), part()).prop_map(|(entry, part)| WorldStep::Refuse { entry, part }),
        8 => Just(WorldStep::ReadAll),
        3 => (entry.clone(), entry).prop_map(|(from, to)| WorldStep::Inform { from, to }),
        2 => (1_u64..10).prop_map(WorldStep::Pause),
    ];
    proptest::collection::vec(step, 1..60)
}
