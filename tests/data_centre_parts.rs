//! Parts of a service by data centre, between entries of two data centres.

#[path = "support/coordinated_entry.rs"]
mod coordinated_entry;
mod support;

use std::net::SocketAddr;
use std::time::Duration;

use coordinated_entry::{Entry, ScriptedTargets, is_odd, targets, wait_until};
use tokio::time::timeout;
use zinniaport::placement::Placement;
use zinniaport_core::placement::DataCentreParts;
use zinniaport_testing::test_cases;

const MODE: DataCentreParts = DataCentreParts::Always;

/// Starts a large and a small entry in `valle-a`, and a larger one in `valle-b`, which know each
/// other and where they are.
async fn start(targets: &std::sync::Arc<ScriptedTargets>) -> [Entry; 3] {
    let home = Entry::start_in("valle-a", targets, 2.0, &[], MODE).await;
    let small = Entry::start_in("valle-a", targets, 0.5, &[home.address], MODE).await;
    let other = Entry::start_in("valle-b", targets, 4.0, &[home.address], MODE).await;
    for entry in [&home, &small, &other] {
        wait_until(|| entry.state.fleet.load().view.members.len() == 3).await;
        wait_until(|| parts(entry) == 2).await;
    }
    [home, small, other]
}

fn parts(entry: &Entry) -> usize {
    entry.state.fleet.load().find("pump-history").unwrap().1.part_data_centres.len()
}

fn target(entry: &Entry, placement: &Placement) -> SocketAddr {
    let key = placement.choice.as_ref().unwrap().target;
    entry.state.fleet.load().targets[key].address
}

/// Places requests until one is placed by the first entry, and returns what it holds.
async fn place_at_home(home: &Entry, small: &Entry) -> Placement {
    for _ in 0..400 {
        let placement = small.place().await;
        if home.placed() == 1 {
            return placement;
        }
        drop(placement);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("no request is placed by the coordinator of the data centre");
}

test_cases! {
    async requests_stay_in_their_data_centre: "a placement by a larger entry of another data centre, or a target there, while the own one has room" => {
        let targets = targets((1..=8).map(|number| (number, 100)));
        let [home, small, other] = start(&targets).await;
        let first = place_at_home(&home, &small).await;
        let mut placed = vec![first];
        for _ in 0..6 {
            placed.push(small.place().await);
        }
        assert_eq!((home.placed(), small.placed(), other.placed()), (7, 0, 0));
        assert!(placed.iter().all(|placement| !is_odd(target(&small, placement))));
    }

    async full_data_centre_overflows: "requests that wait while another data centre has free slots" => {
        let targets = targets((1..=8).map(|number| (number, 100)));
        let [home, small, other] = start(&targets).await;
        let mut placed = vec![place_at_home(&home, &small).await];
        // The four targets of each data centre run two requests each; a fifth here answers no probe.
        while let Ok(placement) = timeout(Duration::from_millis(500), small.place()).await {
            placed.push(placement);
        }
        let elsewhere = placed.iter().filter(|placement| is_odd(target(&small, placement))).count();
        assert!(elsewhere >= 4, "{elsewhere} of {} requests are placed elsewhere", placed.len());
        assert!(other.placed() >= 4, "the coordinator there places {}", other.placed());
    }

    async part_outlives_its_coordinators: "a data centre whose requests reach no target after its coordinator has stopped" => {
        let targets = targets((1..=8).map(|number| (number, 100)));
        let [home, small, other] = start(&targets).await;
        drop(place_at_home(&home, &small).await);
        home.stop.cancel();
        // Requests that wait for the one that is gone are placed elsewhere, until the other entry of
        // the data centre takes over.
        let mut taken_over = false;
        for _ in 0..20 {
            let placement = small.place().await;
            taken_over |= small.placed() == 1 && !is_odd(target(&small, &placement));
        }
        assert!(taken_over);
        // Nobody is left to place requests elsewhere either.
        other.stop.cancel();
        let placement = small.place().await;
        assert!(!is_odd(target(&small, &placement)));
        assert_eq!(small.placed(), 1);
    }

    async entries_that_disagree_understand_each_other: "requests that are refused or placed alone while one entry divides services by data centre and another one does not" => {
        let targets = targets((1..=8).map(|number| (number, 100)));
        let whole = Entry::start_in("valle-a", &targets, 4.0, &[], DataCentreParts::Never).await;
        let divided = Entry::start_in("valle-a", &targets, 0.5, &[whole.address], MODE).await;
        wait_until(|| divided.state.fleet.load().view.members.len() == 2 && parts(&divided) == 2).await;
        drop(place_at_home(&whole, &divided).await);
        let placement = divided.place().await;
        assert_eq!((whole.placed(), divided.placed()), (1, 0));
        drop(placement);
    }
}
