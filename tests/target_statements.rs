//! What targets state about themselves in the headers of responses.

use std::time::Duration;

use http::HeaderMap;
use proptest::prelude::*;
use zinniaport::dialect::{DefaultDialect, HeaderDialect, LIMIT_HEADER, parse_retry_after};
use zinniaport_core::request_limit::LimitStatement;
use zinniaport_testing::{check_property, test_cases};

/// Returns headers with these values of `name`. Values that no header can hold are left out.
fn headers<'a>(name: &'static str, values: impl IntoIterator<Item = &'a str>) -> HeaderMap {
    let values = values.into_iter().filter_map(|value| value.parse().ok());
    values.map(|value| (http::HeaderName::from_static(name), value)).collect()
}

test_cases! {
    retry_after_is_seconds: "a fraction of a second that is ignored, or an odd value that pauses a target" => {
        let parse = |value: &str| parse_retry_after(&headers("retry-after", [value]));
        assert_eq!(parse("2"), Some(Duration::from_secs(2)));
        assert_eq!(parse(" 0.25 "), Some(Duration::from_millis(250)));
        assert_eq!(parse("1e300"), Some(Duration::MAX));
        for value in ["-1", "nan", "", "soon", "Sat, 05 Dec 2026 07:28:00 GMT"] {
            assert_eq!(parse(value), None, "{value:?}");
        }
        check_property(512, &".{0,24}", |value| {
            let _ = parse(&value);
            Ok(())
        });
    }

    first_limit_counts: "a repeated or unreadable header that ends a limit" => {
        let parse = |values: &[&str]| DefaultDialect.parse_limit(&headers(LIMIT_HEADER, values.iter().copied()));
        assert_eq!(parse(&["4.4", "9"]), LimitStatement::parse("4.4"));
        assert_eq!(parse(&["fast"]), LimitStatement::Unreadable);
        assert_eq!(parse(&[]), LimitStatement::Unlimited);
        check_property(512, &"[0-9.eE+-]{0,12}", |value| {
            if let LimitStatement::Limited(limit) = parse(&[&value]) {
                prop_assert!(limit.per_second() > 0.0);
            }
            Ok(())
        });
    }
}
