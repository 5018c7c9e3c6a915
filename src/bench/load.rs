//! Open-loop load generator. Arrivals follow a Poisson process that does not wait for
//! responses, and latency is measured from the planned arrival, so that a stalled system cannot
//! hide the requests that it delayed (coordinated omission).

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use http::Request;
use http_body_util::BodyExt;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::report::RunResult;
use crate::exchange::empty_body;
use crate::front::OUTCOME_HEADER;
use crate::pool::{TargetCall, TargetTransport};

/// Number of significant digits of recorded latencies.
const HISTOGRAM_DIGITS: u8 = 3;

/// A period with a constant arrival rate.
#[derive(Clone, Copy, Debug)]
pub struct LoadPhase {
    /// Duration.
    pub length: Duration,
    /// Factor that multiplies the base rate.
    pub factor: f64,
}

/// Start of the latency measurement of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LatencyOrigin {
    /// The planned arrival.
    Planned,
    /// The time of sending, for effects smaller than the timer's resolution of 1 ms, by which
    /// requests can be sent late.
    Sent,
}

/// Load on one service.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Service name.
    pub service: &'static str,
    /// HTTP method of the requests.
    pub method: http::Method,
    /// Base rate over all addresses, in requests per second.
    pub rate: f64,
    /// Consecutive phases.
    pub phases: Vec<LoadPhase>,
    /// Deadline of each request.
    pub deadline: Duration,
    /// Start of the latency measurement.
    pub origin: LatencyOrigin,
    /// Seed of the arrival times and of the choice of addresses.
    pub seed: u64,
}

/// Sends requests according to a plan and collects their results.
#[derive(Clone)]
pub struct LoadGenerator {
    addresses: Arc<[SocketAddr]>,
    transport: Arc<dyn TargetTransport>,
}

impl LoadGenerator {
    /// Creates a generator that sends each request to a random one of `addresses`, as the
    /// platform's balancer does.
    pub fn new(addresses: &[SocketAddr], transport: Arc<dyn TargetTransport>) -> Self {
        Self { addresses: addresses.into(), transport }
    }

    /// Runs the plan and waits for all responses.
    pub async fn run(&self, plan: &LoadPlan) -> RunResult {
        let result = Arc::new(Mutex::new(RunResult::default()));
        let mut random = SmallRng::seed_from_u64(plan.seed);
        let mut requests = JoinSet::new();
        let mut planned = Instant::now();
        let mut number = 0_u64;
        for phase in &plan.phases {
            let end = planned + phase.length;
            let rate = plan.rate * phase.factor;
            while planned < end {
                tokio::time::sleep_until(planned).await;
                let address = self.addresses[random.random_range(0..self.addresses.len())];
                let (load, plan, result) = (self.clone(), plan.clone(), result.clone());
                requests.spawn(async move {
                    let path = format!("/{}/item/{number}", plan.service);
                    let sample = load.send(address, &plan, &path, planned).await;
                    result.lock().unwrap_or_else(PoisonError::into_inner).add(sample);
                });
                number += 1;
                planned += sample_interarrival(&mut random, rate);
            }
        }
        while requests.join_next().await.is_some() {}
        std::mem::take(&mut *result.lock().unwrap_or_else(PoisonError::into_inner))
    }

    async fn send(
        &self,
        address: SocketAddr,
        plan: &LoadPlan,
        path: &str,
        planned: Instant,
    ) -> LoadSample {
        let start = match plan.origin {
            LatencyOrigin::Planned => planned,
            LatencyOrigin::Sent => Instant::now(),
        };
        let request = Request::builder()
            .method(plan.method.clone())
            .uri(path)
            .header("x-deadline-ms", plan.deadline.as_millis() as u64)
            .body(empty_body());
        let Ok(request) = request else { return LoadSample::failed(start.elapsed()) };
        let deadline = start + plan.deadline;
        let call =
            TargetCall::builder().address(address).request(request).deadline(deadline).build();
        let Ok(response) = self.transport.send(call).await else {
            return LoadSample::failed(start.elapsed());
        };
        let (head, body) = response.into_parts();
        let complete = body.collect().await.is_ok();
        let latency = start.elapsed();
        let refused = head.headers.get(OUTCOME_HEADER).is_some_and(|outcome| outcome == "not-run");
        LoadSample {
            latency,
            served: complete && head.status.is_success(),
            refused,
            in_time: latency <= plan.deadline,
        }
    }
}

/// Result of one request.
#[derive(Clone, Copy, Debug)]
pub struct LoadSample {
    /// Time from the [`LatencyOrigin`] to the end of the response.
    pub latency: Duration,
    /// Whether the complete response of a target arrived.
    pub served: bool,
    /// Whether the request was refused without running.
    pub refused: bool,
    /// Whether the response arrived within the deadline.
    pub in_time: bool,
}

impl LoadSample {
    fn failed(latency: Duration) -> Self {
        Self { latency, served: false, refused: false, in_time: false }
    }
}

/// Creates an empty histogram of latencies from 1 microsecond to 1 minute.
///
/// # Panics
///
/// Never: the bounds are valid.
pub fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, HISTOGRAM_DIGITS).expect("the bounds are valid")
}

/// Samples the time to the next arrival of a Poisson process with `rate` arrivals per second.
fn sample_interarrival(random: &mut SmallRng, rate: f64) -> Duration {
    let uniform: f64 = random.random();
    Duration::from_secs_f64(-(1.0 - uniform).ln() / rate)
}
