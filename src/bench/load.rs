//! Open-loop load: arrivals follow a Poisson process that does not wait for
//! answers, and latency counts from the planned arrival, so a stalled system
//! cannot hide the requests that it delayed (coordinated omission).

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

/// Latencies are kept with this many significant digits.
const HISTOGRAM_DIGITS: u8 = 3;

/// A stretch of time at one arrival rate.
#[derive(Clone, Copy, Debug)]
pub struct LoadPhase {
    /// How long it lasts.
    pub length: Duration,
    /// Factor on the base rate.
    pub factor: f64,
}

/// From when a latency counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LatencyOrigin {
    /// From the planned arrival.
    Planned,
    /// From the moment of sending. For effects below the timer's resolution of
    /// 1 ms, by which arrivals are late.
    Sent,
}

/// Load on one service.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Name of the service.
    pub service: &'static str,
    /// Method of the requests.
    pub method: http::Method,
    /// Base rate, in requests a second over all addresses.
    pub rate: f64,
    /// Phases, one after the other.
    pub phases: Vec<LoadPhase>,
    /// Deadline of each request.
    pub deadline: Duration,
    /// From when latencies count.
    pub origin: LatencyOrigin,
    /// Seed of arrivals and of the choice of address.
    pub seed: u64,
}

/// Sends requests by a plan and gathers what became of them.
#[derive(Clone)]
pub struct OpenLoad {
    addresses: Arc<[SocketAddr]>,
    transport: Arc<dyn TargetTransport>,
}

impl OpenLoad {
    /// Creates a generator that spreads requests over `addresses` at random, as
    /// the platform's balancer does.
    pub fn new(addresses: &[SocketAddr], transport: Arc<dyn TargetTransport>) -> Self {
        Self { addresses: addresses.into(), transport }
    }

    /// Runs the plan to its end, answers included.
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
                planned += exponential(&mut random, rate);
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
        let call = TargetCall { address, request, deadline, check: None };
        let Ok(response) = self.transport.send(call).await else {
            return LoadSample::failed(start.elapsed());
        };
        let (head, body) = response.into_parts();
        let whole = body.collect().await.is_ok();
        let latency = start.elapsed();
        let refused = head.headers.get(OUTCOME_HEADER).is_some_and(|outcome| outcome == "not-run");
        LoadSample {
            latency,
            served: whole && head.status.is_success(),
            refused,
            in_time: latency <= plan.deadline,
        }
    }
}

/// What became of one request.
#[derive(Clone, Copy, Debug)]
pub struct LoadSample {
    /// Time from the planned arrival to the end of the answer.
    pub latency: Duration,
    /// Whether a target answered it.
    pub served: bool,
    /// Whether it was refused without running.
    pub refused: bool,
    /// Whether the answer came within the deadline.
    pub in_time: bool,
}

impl LoadSample {
    fn failed(latency: Duration) -> Self {
        Self { latency, served: false, refused: false, in_time: false }
    }
}

/// Makes an empty histogram of latencies from 1 microsecond to 1 minute.
///
/// # Panics
///
/// Never: the bounds are valid.
pub fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, HISTOGRAM_DIGITS).expect("the bounds are valid")
}

/// Draws the time to the next arrival at `rate` arrivals a second.
fn exponential(random: &mut SmallRng, rate: f64) -> Duration {
    let uniform: f64 = random.random();
    Duration::from_secs_f64(-(1.0 - uniform).ln() / rate)
}
