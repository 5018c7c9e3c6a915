//! Routes by host and path, and the weights of split routes.

use proptest::prelude::*;
use zinniaport_core::keys::ServiceKey;
use zinniaport_core::routes::{RouteDestination, RouteRule, RoutingTable};
use zinniaport_testing::{check_property, test_cases};

fn destination(kind: usize) -> RouteDestination {
    RouteDestination { service: ServiceKey::default(), kind }
}

fn routing_table(routes: &[(&str, &str)]) -> RoutingTable {
    let mut routing_table = RoutingTable::new(1, None);
    for (kind, (host, prefix)) in routes.iter().enumerate() {
        routing_table
            .add(host, RouteRule::new((*prefix).to_owned(), vec![(destination(kind), 1)], 0));
    }
    routing_table
}

test_cases! {
    longest_prefix_wins: "a request that matches a shorter prefix or the route of another host" => {
        let routing_table = routing_table(&[("a.example", "/x/"), ("a.example", "/x/y/"), ("a.example", "/"), ("b.example", "/x/")]);
        let find = |host: &str, path: &str| routing_table.find(host, path).and_then(RouteRule::pick).map(|found| found.kind);
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
            let parts = weights.iter().enumerate().map(|(kind, weight)| (destination(kind), *weight)).collect();
            let rule = RouteRule::new("/".to_owned(), parts, initial_cursor);
            let mut counts = vec![0_u32; weights.len()];
            for _ in 0..100 {
                counts[rule.pick().unwrap().kind] += 1;
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
