//! What targets state about themselves in the headers of responses.

mod support;

use std::time::Duration;

use http::HeaderMap;
use proptest::prelude::*;
use support::settings_text;
use tokio::time::Instant;
use zinniaport::dialect::{DefaultDialect, HeaderDialect, LIMIT_HEADER, parse_retry_after};
use zinniaport::runtime::EntryRuntime;
use zinniaport_core::request_limit::LimitStatement;
use zinniaport_standin::target::{StandinTarget, TargetBehaviour};
use zinniaport_testing::client::get;
use zinniaport_testing::{check_property, test_cases};

/// Starts a target with 100 slots that states this limit.
async fn start_target(limit: Option<f64>) -> StandinTarget {
    let target = StandinTarget::start("127.0.0.1:0".parse().unwrap(), 100).await.unwrap();
    target.set_behaviour(TargetBehaviour { request_limit: limit, ..TargetBehaviour::default() });
    target
}

/// Returns headers with these values of `name`. Values that no header can hold are left out.
fn headers<'a>(name: &'static str, values: impl IntoIterator<Item = &'a str>) -> HeaderMap {
    let values = values.into_iter().filter_map(|value| value.parse().ok());
    values.map(|value| (http::HeaderName::from_static(name), value)).collect()
}

test_cases! {
    async stated_limit_is_kept: "a target that gets more requests than it said it takes" => {
        let targets: [StandinTarget; 2] = [start_target(Some(20.0)).await, start_target(None).await];
        let line = format!("\x20 - {{ address: \"{}\", data_centre: valle-a, slots: 100 }}\n", targets[1].address());
        let text = settings_text(targets[0].address(), "") + &line;
        let entry = EntryRuntime::start(serde_norway::from_str(&text).unwrap()).await.unwrap();
        let (address, started) = (entry.caller_address(), Instant::now());
        let callers = (0..20).map(|caller| tokio::spawn(async move {
            for request in 0..40 {
                let response = get(address, &format!("/pump-history/{caller}-{request}")).await.unwrap();
                assert_eq!(response.status(), 200);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }));
        for caller in callers.collect::<Vec<_>>() {
            caller.await.unwrap();
        }
        // The requests that are sent before the first response states the limit, at most one of
        // each caller, come on top of those of one second.
        let allowed = 20.0 + 20.0 * (1.0 + started.elapsed().as_secs_f64());
        let status = get(entry.admin_address(), "/v1/status").await.unwrap();
        let status: serde_json::Value = serde_json::from_slice(status.body()).unwrap();
        assert_eq!(status["services"][0]["targets"][0]["request_limit"], 20.0, "{status}");
        let got = targets.each_ref().map(|target| target.counts().started);
        assert!(got[0] as f64 <= allowed, "{got:?} requests, {allowed} allowed");
        assert!(got[1] > 400, "{got:?}");
    }

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
