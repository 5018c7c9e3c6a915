//! Routes by host and path, and the weights of split routes.

use proptest::prelude::*;
use slotmap::SlotMap;
use zinniaport_core::keys::{KindKey, ServiceKey};
use zinniaport_core::routes::{RouteDestination, RouteRule, RoutingTable};
use zinniaport_testing::{check_property, test_cases};

fn kind_keys(count: usize) -> Vec<KindKey> {
    let mut kinds: SlotMap<KindKey, ()> = SlotMap::with_key();
    (0..count).map(|_| kinds.insert(())).collect()
}

fn destination(kind: KindKey) -> RouteDestination {
    RouteDestination { service: ServiceKey::default(), kind }
}

/// Returns a table with a route for each host and prefix, and the kinds of these routes.
fn routing_table(routes: &[(&str, &str)]) -> (RoutingTable, Vec<KindKey>) {
    let mut routing_table = RoutingTable::new(1, None);
    let kinds = kind_keys(routes.len());
    for (kind, (host, prefix)) in kinds.iter().zip(routes) {
        routing_table
            .add(host, RouteRule::new((*prefix).to_owned(), vec![(destination(*kind), 1)], 0));
    }
    (routing_table, kinds)
}

test_cases! {
    longest_prefix_wins: "a request that matches a shorter prefix or the route of another host" => {
        let (routing_table, kinds) = routing_table(&[("a.example", "/x/"), ("a.example", "/x/y/"), ("a.example", "/"), ("b.example", "/x/")]);
        let find = |host: &str, path: &str| routing_table.find(host, path).and_then(RouteRule::pick).map(|found| kinds.iter().position(|kind| *kind == found.kind).unwrap());
        assert_eq!(find("a.example", "/x/1"), Some(0));
        assert_eq!(find("a.example", "/x/y/1"), Some(1));
        assert_eq!(find("A.Example:8080", "/x"), Some(2));
        assert_eq!(find("b.example", "/x/y/1"), Some(3));
        assert_eq!(find("b.example", "/"), None);
        assert_eq!(find("c.example", "/x/"), None);
    }

    weights_hold_over_few_requests: "a split route that approaches its weights only after thousands of requests" => {
        let input = (proptest::collection::vec(1_u32..100, 2..5), any::<u32>());
        check_property(256, &input, |(weights, initial_cursor)| {
            let kinds = kind_keys(weights.len());
            let parts = kinds.iter().zip(weights.iter().copied()).map(|(kind, weight)| (destination(*kind), weight)).collect();
            let rule = RouteRule::new("/".to_owned(), parts, initial_cursor);
            let mut counts = vec![0_u32; weights.len()];
            for _ in 0..100 {
                let picked = rule.pick().unwrap().kind;
                counts[kinds.iter().position(|kind| *kind == picked).unwrap()] += 1;
            }
            let total: u32 = weights.iter().sum();
            for (count, weight) in counts.iter().zip(&weights) {
                let share = f64::from(*weight) / f64::from(total);
                prop_assert!((f64::from(*count) / 100.0 - share).abs() < 0.05, "{counts:?} for {weights:?}");
            }
            Ok(())
        });
    }
}
