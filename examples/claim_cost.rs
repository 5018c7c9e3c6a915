//! Measures the latency that claiming an idempotency key adds to a request, and the number of
//! store calls per claim, with three entries on loopback. Run it in release mode:
//! `cargo run --release --example claim_cost`.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use http::Request;
use http_body_util::Full;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{interval, sleep};
use uuid::Uuid;
use zinniaport::runtime::EntryRuntime;
use zinniaport::settings::EntrySettings;
use zinniaport_standin::platform::{CallKind, PlatformSettings, StandinPlatform};
use zinniaport_standin::target::{ServiceTime, StandinTarget, TargetBehaviour, TargetSettings};
use zinniaport_testing::client::{get, send};

/// Number of entries.
const ENTRIES: usize = 3;

/// Rates in claims per second, each with its duration in seconds. The lowest rate runs longest,
/// because it gives few samples.
const RATES: [(u64, u64); 3] = [(1, 30), (100, 10), (1000, 5)];

type ExampleResult<T> = Result<T, Box<dyn std::error::Error + Send + Sync>>;

/// Latencies of requests without and with a key in microseconds, and the number of requests that
/// did not run.
struct RateSamples {
    plain: Histogram<u64>,
    keyed: Histogram<u64>,
    refused: u64,
}

#[tokio::main]
async fn main() -> ExampleResult<()> {
    let behaviour = TargetBehaviour::builder().service_time(ServiceTime::Fixed { ms: 0.0 }).build();
    let target = TargetSettings::builder().slots(1000).behaviour(behaviour).build();
    let target = StandinTarget::start_with(target)?;
    let platform = StandinPlatform::start(&PlatformSettings::builder().build())?;
    platform.seed("intents/visit-ledger", &intent(target.address()));
    let mut entries = Vec::new();
    for number in 0..ENTRIES {
        entries.push(start_entry(number, platform.address()).await?);
    }
    let addresses: Vec<_> = entries.iter().map(EntryRuntime::caller_address).collect();
    println!(
        "claims/s  requests  plain p50/p99 us  keyed p50/p99 us  added p50/p99 us  reads/claim  writes/claim  not run"
    );
    for (rate, seconds) in RATES {
        let count = |kind| platform.counts().of(kind);
        let before = (count(CallKind::Read), count(CallKind::Write));
        let samples = run(&addresses, rate, rate * seconds).await;
        // Entries store the results of claims up to 50 ms later.
        sleep(Duration::from_millis(500)).await;
        let claims = (rate * seconds) as f64;
        let reads = (count(CallKind::Read) - before.0) as f64 / claims;
        let writes = (count(CallKind::Write) - before.1) as f64 / claims;
        let quantiles = |h: &Histogram<u64>| [h.value_at_quantile(0.5), h.value_at_quantile(0.99)];
        let (plain, keyed) = (quantiles(&samples.plain), quantiles(&samples.keyed));
        println!(
            "{rate:>8}  {:>8}  {plain:?}  {keyed:?}  [{}, {}]  {reads:.2}  {writes:.2}  {}",
            claims * 2.0,
            keyed[0].cast_signed() - plain[0].cast_signed(),
            keyed[1].cast_signed() - plain[1].cast_signed(),
            samples.refused
        );
    }
    Ok(())
}

/// Returns the stored intent of a service with one target, as JSON.
fn intent(target: SocketAddr) -> String {
    let kind = json!({ "name": "visit", "rank": 1, "idempotent": false, "deadline_ms": 20_000 });
    let target = json!({ "address": target, "data_centre": "valle-a", "slots": 1000 });
    let intent = json!({
        "service": "visit-ledger", "team": "co-operative", "kinds": [kind], "targets": [target],
    });
    json!({ "intent": intent, "author": "ana", "applied": [] }).to_string()
}

/// Starts an entry and waits until it is ready.
async fn start_entry(number: usize, platform: SocketAddr) -> ExampleResult<EntryRuntime> {
    let text = format!(
        "name: entry-{number}\ndata_centre: valle-a\nlisten: 127.0.0.1:0\n\
         admin_listen: 127.0.0.1:0\nplatform: {{ address: \"{platform}\" }}\n"
    );
    let entry = EntryRuntime::start(EntrySettings::parse("entry.yaml".as_ref(), &text)?).await?;
    while !get(entry.admin_address(), "/readyz").await?.status().is_success() {
        sleep(Duration::from_millis(5)).await;
    }
    Ok(entry)
}

/// Sends `count` requests with a key at `rate` per second, each followed by a request without a
/// key, so that both run under the same conditions.
async fn run(addresses: &[SocketAddr], rate: u64, count: u64) -> RateSamples {
    let mut ticks = interval(Duration::from_secs(1) / u32::try_from(rate * 2).unwrap_or(u32::MAX));
    let mut requests = JoinSet::new();
    for number in 0..count * 2 {
        ticks.tick().await;
        let address = addresses[(number / 2) as usize % addresses.len()];
        requests.spawn(request(address, number % 2 == 0));
    }
    let histogram = || Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid");
    let mut samples = RateSamples { plain: histogram(), keyed: histogram(), refused: 0 };
    while let Some(result) = requests.join_next().await {
        match result {
            Ok(Some((true, latency_us))) => samples.keyed.saturating_record(latency_us),
            Ok(Some((false, latency_us))) => samples.plain.saturating_record(latency_us),
            _ => samples.refused += 1,
        }
    }
    samples
}

/// Sends a request. Returns whether it had a key, and its latency in microseconds; `None` if it
/// did not run.
async fn request(address: SocketAddr, keyed: bool) -> Option<(bool, u64)> {
    let mut request = Request::post("/visit-ledger/visits");
    if keyed {
        request = request.header("idempotency-key", Uuid::now_v7().to_string());
    }
    let started = Instant::now();
    let response = send(address, request.body(Full::from("visit")).ok()?).await.ok()?;
    let latency_us = started.elapsed().as_micros() as u64;
    response.status().is_success().then_some((keyed, latency_us))
}
