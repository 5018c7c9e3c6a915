//! Placement by a coordinator, with scripted targets and between two entries.

#[path = "support/coordinated_entry.rs"]
mod coordinated_entry;
mod support;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coordinated_entry::{Entry, address, targets, wait_until};
use futures::future::join_all;
use zinniaport::exchange::{Exchange, empty_body};
use zinniaport::placement::{CallPlacement, PlacementCall};
use zinniaport_core::call::ReasonCode;
use zinniaport_core::placement::{AttemptKind, PartKey};
use zinniaport_core::quarantine::TargetProcess;
use zinniaport_core::silence::SilenceRule;
use zinniaport_testing::test_cases;

test_cases! {
    async slowed_targets_are_found_before_use: "a request that takes five times as long because the slowdown of its target was not known" => {
        // Two of six targets are not slowed. Another one, at address 200, answers no probe.
        let targets = targets([(1, 500), (2, 500), (3, 100), (4, 500), (5, 100), (6, 500)]);
        let entry = Entry::start(&targets, 1.0, &[]).await;
        let mut reservations = Vec::new();
        for _ in 0..4 {
            let placed = entry.coordinator.place(&entry.call(5_000)).await.unwrap();
            let target = entry.state.fleet.load().targets[placed.choice.target].address;
            assert!([address(3), address(5)].contains(&target), "{target}");
            reservations.push(placed);
        }
        assert_eq!(entry.placed(), 4);
        drop(reservations);
        assert_eq!(entry.placed(), 0);
    }

    async cold_targets_get_no_more_at_once: "requests that pick a cold target at the same time and exceed what it takes together" => {
        let targets = targets([(1, 100), (2, 100)]);
        let entry = Entry::start(&targets, 1.0, &[]).await;
        let fleet = entry.state.fleet.load_full();
        let cold = fleet.targets.values().find(|target| target.address == address(1)).unwrap();
        let limit = &cold.counters.limit;
        // One request in 10 s.
        limit.warm_up.set_group_rate(Some(0.1));
        let now = entry.state.clock.now();
        assert!(limit.warm_up.extend(now + Duration::from_secs(60), now).is_some());
        wait_until(|| !limit.is_exhausted(entry.state.clock.now())).await;
        let placed = join_all((0..60).map(|_| async {
            let placed = entry.coordinator.place(&entry.call(10_000)).await.unwrap();
            tokio::time::sleep(Duration::from_millis(2)).await;
            placed.choice.target
        }));
        let placed = placed.await;
        let at_cold = placed.iter().filter(|key| fleet.targets[**key].address == address(1)).count();
        assert!(at_cold <= 1, "{at_cold} of {}", placed.len());
    }

    async unanswered_requests_are_noticed: "a target that gets further requests although it responded to none" => {
        let targets = targets([(1, 100), (2, 100)]);
        let entry = Entry::start_with(&targets, SilenceRule::new(1.5)).await;
        let fleet = entry.state.fleet.load_full();
        let saturation = &fleet.find("pump-history").unwrap().1.counters.saturation;
        for _ in 0..200 {
            saturation.record(false, Duration::from_millis(20), 100);
        }
        let first = entry.coordinator.place(&entry.call(10_000)).await.unwrap();
        let silent = &fleet.targets[first.choice.target];
        wait_until(|| silent.counters.is_unresponsive(entry.state.clock.now())).await;
        for _ in 0..10 {
            let placed = entry.coordinator.place(&entry.call(10_000)).await.unwrap();
            assert_ne!(placed.choice.target, first.choice.target);
        }
    }

    async late_requests_take_slowed_targets: "a slowed target that stays idle although requests past their soft deadline wait" => {
        let targets = targets([(1, 500), (2, 500)]);
        let entry = Entry::start(&targets, 1.0, &[]).await;
        let placed = entry.coordinator.place(&entry.call(1)).await.unwrap();
        let target = entry.state.fleet.load().targets[placed.choice.target].address;
        assert!([address(1), address(2)].contains(&target), "{target}");
    }

    async probes_are_bounded: "a probe rate that grows with the request rate and takes the slots of the targets" => {
        let targets = targets((1..=4).map(|number| (number, 100)));
        let entry = Entry::start(&targets, 1.0, &[]).await;
        let started = std::time::Instant::now();
        for _ in 0..300 {
            drop(entry.coordinator.place(&entry.call(5_000)).await.unwrap());
        }
        // At most 60 per second for each of five targets, and one at the start.
        let allowed = 5.0 * (1.0 + 60.0 * started.elapsed().as_secs_f64());
        let probes = targets.probes.load(Ordering::SeqCst);
        assert!(probes as f64 <= allowed, "{probes} probes, {allowed} allowed");
    }

    async coordinator_places_for_others: "two entries that overload targets because each counts only its own requests" => {
        let targets = targets((1..=4).map(|number| (number, 100)));
        let large = Entry::start(&targets, 4.0, &[]).await;
        let small = Entry::start(&targets, 0.5, &[large.address]).await;
        // Once the small entry knows the large one, it sends its placement requests there.
        let mut first = None;
        wait_until(|| large.state.fleet.load().view.members.len() == 2).await;
        for _ in 0..400 {
            let placement = small.place().await;
            if large.placed() == 1 {
                first = Some(placement);
                break;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let first = first.expect("the small entry sends no placement request to the large one");
        let second = large.place().await;
        assert_eq!((large.placed(), small.placed()), (2, 0));
        drop(first);
        drop(second);
        wait_until(|| large.placed() == 0).await;
        // After the large one has stopped, the small one soon places requests itself.
        large.stop.cancel();
        let placement = small.place().await;
        assert_eq!(placement.choice.unwrap().reason, ReasonCode::ShortestWait);
        assert_eq!(small.placed(), 1);
    }

    async moved_requests_earn_once: "retries beyond the share of requests, because a request that moves from a full part of its service to another one adds to the budget of both" => {
        const REQUESTS: u32 = 30;
        let targets = targets((1..=130).map(|number| (number, 100)));
        let large = Entry::start(&targets, 4.0, &[]).await;
        let small = Entry::start(&targets, 0.5, &[large.address]).await;
        wait_until(|| large.state.fleet.load().view.members.len() == 2).await;
        wait_until(|| small.state.fleet.load().view.members.len() == 2).await;
        // Fills the first part.
        let mut placed = Vec::new();
        let full_part = || PlacementCall { part: PartKey { part: Some(0), ..large.call(5_000).part }, ..large.call(5_000) };
        while let Ok(call) = tokio::time::timeout(Duration::from_millis(100), large.coordinator.place(&full_part())).await {
            placed.push(call.unwrap());
        }
        let spend = |entry: &Entry| {
            let counters = entry.state.fleet.load().find("pump-history").unwrap().1.counters.clone();
            std::iter::from_fn(|| counters.retry_budget.try_spend().then_some(())).count() as u32
        };
        spend(&large);
        let used = large.placed();
        let requests = futures::future::join_all((0..REQUESTS).map(|_| small.place())).await;
        assert_eq!((requests.len(), large.placed() - used), (REQUESTS as usize, REQUESTS), "all are placed by the coordinator");
        // The budget may have held a part of a retry before.
        let (earned, allowed) = (spend(&large) + spend(&small), REQUESTS / 5 + 1);
        assert!(earned <= allowed, "{REQUESTS} requests earned {earned} retries, {allowed} are allowed");
    }

    async paused_targets_get_no_requests: "a target that asked an entry for no requests and gets them from it through a coordinator" => {
        let targets = targets((1..=3).map(|number| (number, 100)));
        let large = Entry::start(&targets, 4.0, &[]).await;
        let small = Entry::start(&targets, 0.5, &[large.address]).await;
        wait_until(|| large.state.fleet.load().view.members.len() == 2).await;
        let pause = |open: SocketAddr, period: Duration| {
            let fleet = small.state.fleet.load();
            for target in fleet.targets.values().filter(|target| target.address != open) {
                target.counters.record_pause(period, small.state.clock.now());
            }
        };
        pause(address(2), Duration::from_secs(50));
        for _ in 0..30 {
            let target = small.place().await.choice.unwrap().target;
            assert_eq!(small.state.fleet.load().targets[target].address, address(2));
        }
        // Once all targets are paused, requests are refused at once, until the first one opens.
        pause(address(1), Duration::from_secs(20));
        let fleet = small.state.fleet.load_full();
        let mut exchange = Exchange::new("request-1".to_owned(), fleet, http::Request::new(empty_body()));
        exchange.facts = small.facts(10_000);
        let refusal = small.placement.place(&exchange).await.err().expect("all targets are paused");
        assert_eq!(refusal.reason, ReasonCode::NoTarget);
        let (least, most) = (Duration::from_secs(15), Duration::from_secs(30));
        assert!((least..=most).contains(&refusal.retry_after), "{:?}", refusal.retry_after);
    }

    async retries_avoid_processes_with_another_key: "a retry that is placed at the process that refused the request and was registered again since" => {
        let targets = targets([(1, 100), (2, 100)]);
        let entry = Entry::start(&targets, 1.0, &[]).await;
        let fleet = entry.state.fleet.load_full();
        let request = http::Request::new(empty_body());
        let mut exchange = Exchange::new("request-1".to_owned(), fleet, request);
        exchange.facts = entry.facts(10_000);
        exchange.processes = vec![TargetProcess::from(address(1)), TargetProcess::from(address(200))];
        // Each first attempt adds a fifth of a retry to the budget.
        for _ in 0..100 {
            drop(entry.coordinator.place(&entry.call(5_000)).await.unwrap());
        }
        for _ in 0..10 {
            let placement = entry.placement.place_again(&exchange, AttemptKind::Retry).await.unwrap();
            let target = placement.choice.unwrap().target;
            assert_eq!(entry.state.fleet.load().targets[target].address, address(2));
        }
    }

    async hedges_need_a_free_slot: "hedges that take slots while first attempts wait" => {
        let targets = targets([(1, 100)]);
        let entry = Entry::start(&targets, 1.0, &[]).await;
        let mut reservations = Vec::new();
        // Each first attempt adds a fifth of a retry to the budget.
        for _ in 0..20 {
            drop(entry.coordinator.place(&entry.call(5_000)).await.unwrap());
        }
        let hedge = || PlacementCall { attempt: AttemptKind::Hedge, ..entry.call(5_000) };
        reservations.push(entry.coordinator.place(&hedge()).await.expect("a slot is free"));
        while entry.placed() < 4 {
            reservations.push(entry.coordinator.place(&entry.call(50)).await.unwrap());
        }
        assert!(entry.coordinator.place(&hedge()).await.is_err(), "a hedge was placed although all slots are taken");
        // A retry waits for a free slot.
        let retry = PlacementCall { attempt: AttemptKind::Retry, ..entry.call(5_000) };
        let retry = entry.coordinator.place(&retry);
        let release = async {
            tokio::time::sleep(Duration::from_millis(20)).await;
            reservations.pop();
        };
        let (retry, ()) = tokio::join!(retry, release);
        assert!(retry.is_ok());
    }
}
