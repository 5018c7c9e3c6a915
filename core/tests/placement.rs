//! Placement requests to coordinators and the grants that coordinators return.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use proptest::prelude::*;
use zinniaport_core::call::ReasonCode;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    GrantKey, GrantsController, GrantsEffect, GrantsMessage, PlacementDecision,
    RequesterController, RequesterEffect, RequesterMessage, StateController,
};
use zinniaport_core::placement::{
    AttemptEnd, AttemptKind, CoordinatorCandidate, EndedPlacement, KindTag, PlacementId,
    PlacementMessage, PlacementRequest, PlacementResponse, TargetGrant, rank_coordinators,
};
use zinniaport_core::signals::{ServiceTag, TargetTag};
use zinniaport_core::tenants::TenantTag;
use zinniaport_testing::{check_property, test_cases};

const MS: u64 = 1_000;

fn address(entry: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, entry], 7000))
}

fn candidate(entry: u8, capacity: u16) -> CoordinatorCandidate {
    CoordinatorCandidate { address: address(entry), capacity }
}

fn placement_request() -> PlacementRequest {
    PlacementRequest {
        service: ServiceTag(7),
        data_centre: "valle-a".to_owned(),
        attempt: AttemptKind::First,
        rank: 1,
        soft_deadline_ms: 300,
        deadline_ms: 1_000,
        remote_cost_percent: 5,
        excluded: Vec::new(),
        tenant: TenantTag::default(),
        kind: KindTag::default(),
    }
}

fn granted(target: u32) -> PlacementResponse {
    PlacementResponse::Granted(TargetGrant {
        target: TargetTag(target),
        admission_reason: ReasonCode::AdmittedAtOnce,
        target_reason: ReasonCode::ShortestWait,
        admission_number: 1,
        queue_length: 0,
        overtaken: 0,
        candidates: 3,
    })
}

fn ended(id: u64) -> EndedPlacement {
    EndedPlacement {
        id: PlacementId(id),
        end: AttemptEnd::Unknown,
        slowdown_percent: 0,
        slowdown_age_ms: 0,
        leaving: false,
        limit: None,
    }
}

/// Returns an entry at address 0 that knows two larger ones, and the preferred coordinator
/// for the service of [`placement_request`].
fn new_requester() -> (RequesterController, SocketAddr) {
    let mut requester = RequesterController::new(address(0));
    let candidates = vec![candidate(0, 10), candidate(1, 50), candidate(2, 50)];
    let first = rank_coordinators(ServiceTag(7), &candidates)[0];
    requester.handle(RequesterMessage::Candidates(candidates), Timestamp(MS));
    (requester, first)
}

fn sent_to(effects: &[RequesterEffect]) -> Vec<SocketAddr> {
    let addresses = effects.iter().filter_map(|effect| match effect {
        RequesterEffect::Send(to, message) if !message.requests.is_empty() => Some(*to),
        _ => None,
    });
    addresses.collect()
}

test_cases! {
    entries_agree_on_coordinators: "two coordinators that place requests of the same service" => {
        let candidates = proptest::collection::vec((0_u8..40, 0_u16..3), 1..30);
        check_property(256, &(any::<u32>(), candidates, any::<u64>()), |(service, candidates, seed)| {
            let candidates: BTreeMap<u8, u16> = candidates.into_iter().collect();
            let candidates: Vec<_> = candidates.into_iter().map(|(entry, size)| candidate(entry, size * 10)).collect();
            let ranked = rank_coordinators(ServiceTag(service), &candidates);
            let mut shuffled = candidates.clone();
            shuffled.rotate_left(seed as usize % candidates.len());
            prop_assert_eq!(&ranked, &rank_coordinators(ServiceTag(service), &shuffled));
            let eligible = candidates.iter().filter(|candidate| candidate.capacity > 0).count();
            prop_assert_eq!(ranked.len(), eligible, "an entry that is starting or stopping coordinates");
            let largest = candidates.iter().map(|candidate| candidate.capacity).max().unwrap();
            let first = ranked.first().and_then(|first| candidates.iter().find(|candidate| candidate.address == *first));
            prop_assert!(first.is_none_or(|first| first.capacity == largest));
            Ok(())
        });
        // Services are spread over entries of the same capacity.
        let candidates: Vec<_> = (0..15).map(|entry| candidate(entry, 20)).collect();
        let firsts: BTreeSet<_> = (0..200).map(|service| rank_coordinators(ServiceTag(service), &candidates)[0]).collect();
        assert_eq!(firsts.len(), 15);
    }

    silent_coordinator_is_skipped: "requests that wait for a coordinator that is gone, paused or unreachable" => {
        let (mut requester, first) = new_requester();
        let mut to = sent_to(&requester.handle(RequesterMessage::Requested(PlacementId(1), placement_request()), Timestamp(10 * MS)));
        let mut placed_locally = None;
        for now in 11..200 {
            let effects = requester.handle(RequesterMessage::Tick, Timestamp(now * MS));
            to.extend(sent_to(&effects));
            if effects.contains(&RequesterEffect::Resolve(PlacementId(1), PlacementDecision::PlaceLocally(AttemptKind::Resent))) {
                placed_locally = Some(now);
                break;
            }
        }
        let second = if first == address(1) { address(2) } else { address(1) };
        assert_eq!(to, [first, first, first, second, second, second]);
        assert!(placed_locally.is_some_and(|now| now <= 110), "{placed_locally:?} ms");
        // Later requests do not wait for these coordinators again.
        let effects = requester.handle(RequesterMessage::Requested(PlacementId(2), placement_request()), Timestamp(120 * MS));
        assert_eq!(effects, [RequesterEffect::Resolve(PlacementId(2), PlacementDecision::PlaceLocally(AttemptKind::First))]);
        let effects = requester.handle(RequesterMessage::Requested(PlacementId(3), placement_request()), Timestamp(1_300 * MS));
        assert_eq!(sent_to(&effects), [first], "the coordinator is tried again after a while");
    }

    requests_earn_once: "retries beyond the share of requests, because a request that several coordinators are asked to place adds to the budget of each" => {
        // What becomes of each message: lost, or received with a response, which arrives or not.
        let fates = proptest::collection::vec((0_usize..5, any::<bool>(), any::<bool>()), 1..60);
        check_property(256, &(1_u64..12, fates), |(requests, fates)| {
            let (mut requester, _) = new_requester();
            let mut fates = fates.into_iter().cycle();
            let mut earned = 0;
            let mut coordinators: BTreeMap<SocketAddr, GrantsController> = BTreeMap::new();
            for now in 10..600 {
                let at = Timestamp(now * MS);
                let message = match now - 10 {
                    id if id < requests => RequesterMessage::Requested(PlacementId(id), placement_request()),
                    _ => RequesterMessage::Tick,
                };
                let mut effects = requester.handle(message, at);
                while let Some(effect) = effects.pop() {
                    let (to, message) = match effect {
                        RequesterEffect::Send(to, message) => (to, message),
                        RequesterEffect::Resolve(_, PlacementDecision::PlaceLocally(attempt)) => {
                            earned += u64::from(attempt == AttemptKind::First);
                            continue;
                        }
                        _ => continue,
                    };
                    let (response, is_received, is_answered) = fates.next().unwrap();
                    if !is_received {
                        continue;
                    }
                    let coordinator = coordinators.entry(to).or_default();
                    for effect in coordinator.handle(GrantsMessage::Received(address(0), message), at) {
                        let GrantsEffect::Place(key, request) = effect else { continue };
                        let refused = PlacementResponse::Refused { reason: ReasonCode::NoTarget, retry_after_ms: 10 };
                        let response = [PlacementResponse::Busy, PlacementResponse::Waiting, PlacementResponse::NotPlaced, refused, granted(1)][response].clone();
                        // A request that is turned away has not been decided on.
                        let is_decided = response != PlacementResponse::Busy;
                        earned += u64::from(is_decided && request.attempt == AttemptKind::First);
                        coordinator.handle(GrantsMessage::Decided(key, response.clone()), at);
                        if is_answered {
                            effects.extend(requester.handle(RequesterMessage::Received(to, vec![(key.id, response)]), at));
                        }
                    }
                }
            }
            prop_assert!(earned <= requests, "{requests} requests added to retry budgets {earned} times");
            Ok(())
        });
    }

    queued_request_outlives_its_coordinator: "a request that stays in the queue of a coordinator that is gone" => {
        let (mut requester, first) = new_requester();
        requester.handle(RequesterMessage::Requested(PlacementId(1), placement_request()), Timestamp(10 * MS));
        requester.handle(RequesterMessage::Received(first, vec![(PlacementId(1), PlacementResponse::Waiting)]), Timestamp(30 * MS));
        let mut to = Vec::new();
        for now in 31..220 {
            let effects = requester.handle(RequesterMessage::Tick, Timestamp(now * MS));
            to.extend(sent_to(&effects).into_iter().map(|to| (now, to)));
        }
        let moved = to.iter().find(|(_, to)| *to != first).map(|(now, _)| *now);
        assert!(moved.is_some_and(|now| (180..=190).contains(&now)), "{to:?}");
    }

    unused_grants_are_released: "a slot that stays taken because its request ended or was placed elsewhere before the response" => {
        let (mut requester, first) = new_requester();
        requester.handle(RequesterMessage::Requested(PlacementId(1), placement_request()), Timestamp(10 * MS));
        let effects = requester.handle(RequesterMessage::Ended(ended(1)), Timestamp(12 * MS));
        assert!(matches!(&effects[..], [RequesterEffect::Send(to, message)] if *to == first && message.ended == [ended(1)]), "{effects:?}");
        let effects = requester.handle(RequesterMessage::Received(first, vec![(PlacementId(1), granted(5))]), Timestamp(13 * MS));
        assert!(matches!(&effects[..], [RequesterEffect::Send(to, message)] if *to == first && message.ended == [ended(1)]), "{effects:?}");
        assert!(!requester.has_open_requests());
    }

    held_grants_are_listed: "a slot that stays taken because the message of its release was lost" => {
        let (mut requester, first) = new_requester();
        requester.handle(RequesterMessage::Requested(PlacementId(1), placement_request()), Timestamp(10 * MS));
        requester.handle(RequesterMessage::Received(first, vec![(PlacementId(1), granted(5))]), Timestamp(13 * MS));
        let effects = requester.handle(RequesterMessage::Tick, Timestamp(400 * MS));
        assert!(effects.iter().any(|effect| matches!(effect, RequesterEffect::Send(to, message) if *to == first && message.held_grants == Some(vec![PlacementId(1)]))), "{effects:?}");
    }

    lost_messages_leave_no_grants: "grants that are never released because datagrams are lost, duplicated or reordered" => {
        // Two entries send placement requests, which are granted immediately, and messages
        // that end them. Each message arrives not at all, once or twice. Finally both entries
        // send the lists of the grants that they use.
        let steps = proptest::collection::vec((1_u8..3, 0_u64..20, any::<bool>(), 0_usize..3), 1..80);
        check_property(256, &steps, |steps| {
            let mut grants = GrantsController::default();
            let mut used: BTreeMap<(u8, u64), bool> = BTreeMap::new();
            let mut now = 0;
            for (entry, id, is_request, copies) in steps {
                now += 1;
                let ended_before = used.get(&(entry, id)).is_some_and(|used| !used);
                if is_request && !ended_before {
                    used.insert((entry, id), true);
                } else if !is_request && used.contains_key(&(entry, id)) {
                    used.insert((entry, id), false);
                } else {
                    continue;
                }
                for _ in 0..copies {
                    let message = match is_request {
                        true => PlacementMessage { requests: vec![(PlacementId(id), placement_request())], ..PlacementMessage::default() },
                        false => PlacementMessage { ended: vec![ended(id)], ..PlacementMessage::default() },
                    };
                    for effect in grants.handle(GrantsMessage::Received(address(entry), message), Timestamp(now * MS)) {
                        if let GrantsEffect::Place(key, _) = effect {
                            grants.handle(GrantsMessage::Decided(key, granted(1)), Timestamp(now * MS));
                        }
                    }
                }
            }
            for entry in 1..3 {
                let held: Vec<_> = used.iter().filter(|((of, _), used)| *of == entry && **used).map(|((_, id), _)| PlacementId(*id)).collect();
                let message = PlacementMessage { held_grants: Some(held), ..PlacementMessage::default() };
                grants.handle(GrantsMessage::Received(address(entry), message), Timestamp((now + 200) * MS));
            }
            let used = used.values().filter(|used| **used).count();
            prop_assert!(grants.granted_count() <= used, "{} granted, {used} used", grants.granted_count());
            Ok(())
        });
    }

    silent_entries_lose_their_grants: "slots that stay taken by an entry that is gone" => {
        let mut grants = GrantsController::default();
        let key = GrantKey { peer: address(1), id: PlacementId(1) };
        let message = PlacementMessage { requests: vec![(PlacementId(1), placement_request())], ..PlacementMessage::default() };
        let effects = grants.handle(GrantsMessage::Received(address(1), message.clone()), Timestamp(MS));
        assert_eq!(effects, [GrantsEffect::Place(key, placement_request())]);
        let effects = grants.handle(GrantsMessage::Received(address(1), message.clone()), Timestamp(2 * MS));
        assert!(matches!(&effects[..], [GrantsEffect::Send(_, message)] if message.responses == [(PlacementId(1), PlacementResponse::Waiting)]), "{effects:?}");
        grants.handle(GrantsMessage::Decided(key, granted(5)), Timestamp(3 * MS));
        let effects = grants.handle(GrantsMessage::Received(address(1), message), Timestamp(4 * MS));
        assert!(matches!(&effects[..], [GrantsEffect::Send(_, message)] if message.responses == [(PlacementId(1), granted(5))]), "the same target is returned: {effects:?}");
        assert_eq!(grants.handle(GrantsMessage::Tick, Timestamp(900 * MS)), []);
        assert_eq!(grants.handle(GrantsMessage::Tick, Timestamp(1_100 * MS)), [GrantsEffect::Release(key)]);
        assert_eq!(grants.granted_count(), 0);
    }

    ended_requests_are_not_granted: "a grant that stays in use because its request ended while the target was being picked" => {
        let mut grants = GrantsController::default();
        let key = GrantKey { peer: address(1), id: PlacementId(1) };
        let message = PlacementMessage { requests: vec![(PlacementId(1), placement_request())], ..PlacementMessage::default() };
        grants.handle(GrantsMessage::Received(address(1), message), Timestamp(MS));
        let message = PlacementMessage { ended: vec![ended(1)], ..PlacementMessage::default() };
        let effects = grants.handle(GrantsMessage::Received(address(1), message), Timestamp(2 * MS));
        assert!(effects.contains(&GrantsEffect::Release(key)), "{effects:?}");
        let effects = grants.handle(GrantsMessage::Decided(key, granted(5)), Timestamp(3 * MS));
        assert_eq!(effects, [GrantsEffect::Release(key)]);
        assert_eq!(grants.granted_count(), 0);
    }
}
