//! Routes by host and path, and the weights of split routes.

use proptest::prelude::*;
use zinniaport_core::keys::ServiceKey;
use zinniaport_core::routes::{RouteDestination, RouteRule, RoutingTable};
use zinniaport_testing::{check_property, test_cases};

fn choice(kind: usize) -> RouteDestination {
    RouteDestination { service: ServiceKey::default(), kind }
}

fn book(routes: &[(&str, &str)]) -> RoutingTable {
    let mut book = RoutingTable::new(1, None);
    for (kind, (host, prefix)) in routes.iter().enumerate() {
        book.add(host, RouteRule::new((*prefix).to_owned(), vec![(choice(kind), 1)], 0));
    }
    book
}

test_cases! {
    longest_prefix_wins: "a request that goes to a shorter prefix or another host" => {
        let book = book(&[("a.example", "/x/"), ("a.example", "/x/y/"), ("a.example", "/"), ("b.example", "/x/")]);
        let find = |host: &str, path: &str| book.find(host, path).and_then(RouteRule::pick).map(|found| found.kind);
        assert_eq!(find("a.example", "/x/1"), Some(0));
        assert_eq!(find("a.example", "/x/y/1"), Some(1));
        assert_eq!(find("A.Example:8080", "/x"), Some(2));
        assert_eq!(find("b.example", "/x/y/1"), Some(3));
        assert_eq!(find("b.example", "/"), None);
        assert_eq!(find("c.example", "/x/"), None);
    }

    weights_hold_over_few_requests: "a split that keeps its weights only over thousands of requests" => {
        let input = (proptest::collection::vec(1_u32..100, 2..5), any::<u32>());
        check_property(256, &input, |(weights, first)| {
            let parts = weights.iter().enumerate().map(|(kind, weight)| (choice(kind), *weight)).collect();
            let rule = RouteRule::new("/".to_owned(), parts, first);
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
