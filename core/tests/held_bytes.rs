//! Choice of the callers that give way when an entry holds too much.

use std::time::Duration;

use zinniaport_core::held_bytes::{HolderReading, choose_victims, default_held_bytes};
use zinniaport_testing::test_cases;

const STALLED: HolderReading = HolderReading {
    held: 1_000_000,
    moved: 0,
    observed: Duration::from_secs(2),
    is_waiting: false,
};

test_cases! {
    slowest_for_their_size_give_way: "a small idle connection that is closed before a large stalled upload" => {
        let trickling = HolderReading { moved: 20, ..STALLED };
        let idle = HolderReading { held: 16_384, ..STALLED };
        let holders = [('i', idle), ('t', trickling), ('s', STALLED)];
        assert_eq!(choose_victims(holders, 1), ['s']);
        assert_eq!(choose_victims(holders, 1_000_001), ['s', 't']);
        assert_eq!(choose_victims(holders, 9_000_000), ['s', 't', 'i']);
    }

    progress_is_spared: "a caller that is dropped although it moves what is held for it" => {
        let moving = HolderReading { moved: 200_000, ..STALLED };
        let waiting = HolderReading { is_waiting: true, ..STALLED };
        let fresh = HolderReading { observed: Duration::from_millis(900), ..STALLED };
        assert!(choose_victims([moving, waiting, fresh].map(|reading| ((), reading)), u64::MAX).is_empty());
    }

    share_of_the_smallest_machine: "a default that does not follow from the memory of the machine" => {
        assert_eq!(default_held_bytes(160.0), 40_000_000);
        assert_eq!(default_held_bytes(512.0), 128_000_000);
    }
}
