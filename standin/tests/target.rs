//! Guards against a stand-in of a target that miscounts requests or misses faults, over
//! loopback.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;
use zinniaport_core::clock::Timestamp;
use zinniaport_standin::target::{
    ColdStart, LoadHistory, REFUSED_HEADER, RunCounts, ServiceTime, StandinTarget, TargetBehaviour,
    TargetSettings,
};
use zinniaport_testing::client::{get, send};
use zinniaport_testing::test_cases;

/// Service time of requests that do not complete within a test.
const ENDLESS: ServiceTime = ServiceTime::Fixed { ms: 3_600_000.0 };

fn start(slots: usize, behaviour: TargetBehaviour) -> StandinTarget {
    let settings = TargetSettings::builder().slots(slots).behaviour(behaviour).build();
    StandinTarget::start_with(settings).unwrap()
}

fn request(headers: &[(&str, &str)]) -> Request<Full<Bytes>> {
    let mut builder = Request::post("/visits").header("host", "visit-ledger");
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(Full::from("visit")).unwrap()
}

async fn connect(target: &StandinTarget) -> SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(target.address()).await.unwrap();
    let (sender, connection) = handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    sender
}

/// Sends a request on a connection that can be used again afterwards, and returns the
/// status of the response.
async fn exchange(sender: &mut SendRequest<Full<Bytes>>, id: &str) -> u16 {
    sender.ready().await.unwrap();
    let response = sender.send_request(request(&[("x-request-id", id)])).await.unwrap();
    let status = response.status().as_u16();
    response.into_body().collect().await.unwrap();
    status
}

/// Waits until `condition` holds; a hang fails the test.
async fn wait_for(target: &StandinTarget, condition: impl Fn(&StandinTarget, &RunCounts) -> bool) {
    let poll = async {
        while !condition(target, &target.counts()) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(Duration::from_secs(60), poll).await.expect("the target reaches the state");
}

test_cases! {
    service_times_shift: "service times that stay constant over a period, or miss a cold start" => {
        let phases = ServiceTime::TwoPhases { fast_ms: 2.0, slow_ms: 9.0, period_ms: 20.0 };
        let at = |ms| phases.sample(Duration::from_millis(ms), 0.0).as_millis();
        assert_eq!([at(0), at(9), at(10), at(19), at(20)], [2, 2, 9, 9, 2]);
        let cold = TargetBehaviour::builder()
            .service_time(ServiceTime::Fixed { ms: 2.0 })
            .cold_start(ColdStart { factor: 5.0, ms: 100.0 })
            .build();
        let at = |ms| cold.slot_time(Duration::from_millis(ms), 0.0).as_millis();
        assert_eq!([at(0), at(50), at(100), at(500)], [10, 6, 2, 2]);
        let random = ServiceTime::Exponential { mean_ms: 8.0 };
        let draws = (0..1000).map(|draw| random.sample(Duration::ZERO, f64::from(draw) / 1000.0));
        let mean_ms = draws.sum::<Duration>().as_secs_f64();
        assert!((7.5..8.5).contains(&mean_ms), "mean of 1000 draws: {mean_ms} ms");
    }

    reports_lag: "lagging reports that contain the current load" => {
        let history = LoadHistory::default();
        history.record(Timestamp(1_000), 4);
        history.record(Timestamp(5_000), 9);
        let lag = Duration::from_millis(3);
        let loads = [3_999, 4_000, 7_999, 8_000].map(|at| history.load_before(Timestamp(at), lag));
        assert_eq!(loads, [0, 4, 4, 9]);
    }

    async counts_runs: "a request that ran twice and was counted once" => {
        let target = start(3, TargetBehaviour::default());
        for id in ["r1", "r1", "r2"] {
            let headers = [("x-request-id", id), ("idempotency-key", "k")];
            let response = send(target.address(), request(&headers)).await.unwrap();
            assert_eq!(response.headers()["x-load"], "0");
            assert_eq!(response.headers()["x-standin-received-bytes"], "5");
        }
        let counts = target.counts();
        let runs = (counts.of_request("r1"), counts.of_request("r2"), counts.of_key("k"));
        assert_eq!(runs, (2, 1, 3));
        let served = get(target.address(), "/standin/runs").await.unwrap();
        assert_eq!(serde_json::from_slice::<RunCounts>(served.body()).unwrap(), counts);
    }

    async shed_requests_do_not_run_and_slots_are_freed: "a shed request that runs, or a slot that a closed connection does not free" => {
        let endless = TargetBehaviour::builder().service_time(ENDLESS).queue_length(1).build();
        let target = start(1, endless);
        let address = target.address();
        let running = tokio::spawn(send(address, request(&[("x-request-id", "r1")])));
        wait_for(&target, |_, counts| counts.started == 1).await;
        let waiting = tokio::spawn(send(address, request(&[("x-request-id", "r2")])));
        wait_for(&target, |target, _| target.load() == 2).await;
        let shed = send(address, request(&[("x-request-id", "r3")])).await.unwrap();
        assert_eq!((shed.status().as_u16(), &shed.headers()[REFUSED_HEADER]), (503, &"shed".parse().unwrap()));
        assert_eq!(target.counts().of_request("r3"), 0);
        running.abort();
        wait_for(&target, |_, counts| counts.of_request("r2") == 1).await;
        waiting.abort();
        wait_for(&target, |target, counts| target.load() == 0 && counts.cancelled == 2).await;
    }

    async stops_at_the_deadline: "a request that keeps running after its deadline" => {
        let target = start(1, TargetBehaviour::builder().service_time(ENDLESS).build());
        let response = send(target.address(), request(&[("x-deadline-ms", "5")])).await.unwrap();
        assert_eq!(response.status(), 504);
        assert!(!response.headers().contains_key(REFUSED_HEADER), "it started");
        assert_eq!((target.counts().expired_running, target.load()), (1, 0));
    }

    async crashes_and_restarts: "a crash that leaves connections open or the port in use" => {
        let endless = TargetBehaviour::builder().service_time(ENDLESS).build();
        let target = start(2, endless);
        let other_request = tokio::spawn(send(target.address(), request(&[])));
        wait_for(&target, |_, counts| counts.started == 1).await;
        let crashing = request(&[("x-crash", "1"), ("x-request-id", "r1")]);
        assert!(send(target.address(), crashing).await.is_err());
        assert!(other_request.await.unwrap().is_err());
        target.wait_until_stopped().await;
        assert!(TcpStream::connect(target.address()).await.is_err());
        assert_eq!((target.counts().crashes, target.counts().of_request("r1")), (1, 1));
        target.restart().await.unwrap();
        target.set_behaviour(TargetBehaviour::default());
        assert_eq!(get(target.address(), "/").await.unwrap().status(), 200);
        assert_eq!(target.load(), 0);
    }

    async silent_connections_stay_silent: "a silent connection that recovers, or silence that affects new connections" => {
        let target = start(3, TargetBehaviour::default());
        let mut old = connect(&target).await;
        assert_eq!(exchange(&mut old, "r1").await, 200);
        target.silence_connections();
        let response = tokio::spawn(async move { exchange(&mut old, "r2").await });
        let mut fresh = connect(&target).await;
        for _ in 0..20 {
            assert_eq!(exchange(&mut fresh, "r3").await, 200);
        }
        assert!(!response.is_finished());
        assert_eq!((target.counts().of_request("r2"), target.counts().of_request("r3")), (0, 20));
    }

    async behaviour_changes_take_effect: "a change of the behaviour without effect" => {
        let target = start(3, TargetBehaviour::default());
        let put = |json: &'static str| {
            Request::put("/standin/behaviour").body(Full::from(json)).unwrap()
        };
        let changed = send(target.address(), put(r#"{"draining": true, "fail_fast": true}"#)).await;
        assert_eq!(changed.unwrap().status(), 200);
        let failed = get(target.address(), "/").await.unwrap();
        assert_eq!((failed.status().as_u16(), &failed.headers()["x-drain"]), (500, &"1".parse().unwrap()));
        assert_eq!(target.counts().started, 0);
        let unknown = send(target.address(), put(r#"{"drain": true}"#)).await.unwrap();
        assert_eq!(unknown.status(), 400);
        let cut = TargetBehaviour::builder().cut_responses(true).response_bytes(5000).build();
        target.set_behaviour(cut);
        let mut sender = connect(&target).await;
        let response = sender.send_request(request(&[])).await.unwrap();
        assert_eq!(response.status(), 200);
        assert!(response.into_body().collect().await.is_err());
        target.set_behaviour(TargetBehaviour::builder().probe_ms(6.0).build());
        let probe = get(target.address(), "/probe").await.unwrap();
        assert_eq!((probe.status().as_u16(), target.counts().probes), (200, 1));
    }
}
