//! Requests with the same identity on the connections to a target.

mod support;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http_body_util::BodyExt;
use proptest::prelude::*;
use support::{FakeTarget, read_request};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};
use zinniaport::exchange::empty_body;
use zinniaport::pool::{
    ConnectionHandle, HttpTransport, IdentityTag, SilenceLogger, TargetCall, TargetTransport,
};
use zinniaport::settings::PoolSettings;
use zinniaport_testing::{check_property, test_cases};

/// Number of identities that a connection remembers.
const IDENTITIES_PER_CONNECTION: usize = 1024;

fn transport(connections: usize) -> Arc<HttpTransport> {
    let settings = PoolSettings { max_connections_per_target: connections, ..Default::default() };
    Arc::new(HttpTransport::new(settings, Arc::new(SilenceLogger)))
}

fn call(address: SocketAddr, identity: &str, pause: u64) -> TargetCall {
    let request = http::Request::get(format!("/{pause}")).header("x-request-id", identity);
    TargetCall::builder()
        .address(address)
        .request(request.body(empty_body()).unwrap())
        .identity(IdentityTag::of(identity))
        .deadline(Instant::now() + Duration::from_secs(20))
        .build()
}

/// Sends a request and reads the response to its end.
async fn exchange(transport: &HttpTransport, call: TargetCall) {
    let response = transport.send(call).await.unwrap();
    response.into_body().collect().await.unwrap();
}

/// The identities that each connection carried, in order.
type CarriedIdentities = Arc<Mutex<Vec<(usize, String)>>>;

/// Responds to `/PAUSE` after as many microseconds, and records the identities on a connection.
async fn record_identities(mut stream: TcpStream, connection: usize, carried: CarriedIdentities) {
    while let Some(head) = read_request(&mut stream).await {
        let id = head.lines().find_map(|line| line.strip_prefix("x-request-id: ")).unwrap();
        carried.lock().unwrap().push((connection, id.to_owned()));
        let pause = head.split([' ', '/']).nth(2).unwrap().parse().unwrap();
        sleep(Duration::from_micros(pause)).await;
        if stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await.is_err() {
            return;
        }
    }
}

async fn identified_target() -> (FakeTarget, CarriedIdentities) {
    let carried = CarriedIdentities::default();
    let record = carried.clone();
    let serve = move |stream, connection| record_identities(stream, connection, record.clone());
    (FakeTarget::start(serve).await, carried)
}

/// Sends a batch of requests with these identities and pauses at the same time, one batch after
/// the other, and checks what each connection carried.
async fn run_batches(batches: Vec<Vec<(u8, u64)>>) -> Result<(), TestCaseError> {
    let (target, carried) = identified_target().await;
    let transport = transport(3);
    for batch in batches {
        let calls = batch.into_iter().map(|(identity, pause)| {
            let (transport, call) =
                (transport.clone(), call(target.address, &identity.to_string(), pause));
            tokio::spawn(async move { exchange(&transport, call).await })
        });
        for call in calls.collect::<Vec<_>>() {
            call.await.unwrap();
        }
    }
    let carried = carried.lock().unwrap();
    let distinct: HashSet<_> = carried.iter().collect();
    prop_assert_eq!(distinct.len(), carried.len(), "an identity came twice: {:?}", carried);
    Ok(())
}

test_cases! {
    identities_come_once_on_a_connection: "a late copy of a response that is taken for the response to a second request with the same identity" => {
        let batch = prop::collection::vec((0_u8..4, 0_u64..2000), 1..5);
        let runtime = tokio::runtime::Runtime::new().unwrap();
        check_property(40, &prop::collection::vec(batch, 1..10), |batches| {
            runtime.block_on(run_batches(batches))
        });
    }

    async repeated_identities_keep_connections_open: "an overload in which each repeated request costs a new connection" => {
        let (target, _) = identified_target().await;
        let transport = transport(4);
        for round in 0..3 {
            for other in 0..5 {
                exchange(&transport, call(target.address, "repeated", 0)).await;
                exchange(&transport, call(target.address, &format!("{round}-{other}"), 0)).await;
            }
        }
        // 15 requests with one identity need 15 connections; the 15 others need none of their own.
        assert_eq!(target.connections(), 15);
        let handle = ConnectionHandle::default();
        let call = TargetCall { handle: handle.clone(), ..call(target.address, "repeated", 0) };
        exchange(&transport, call).await;
        assert!(handle.last_use().unwrap().avoids_copy);
    }

    async full_connections_are_replaced: "a connection whose memory of identities grows without bound, or is forgotten" => {
        let (target, carried) = identified_target().await;
        let transport = transport(1);
        for number in 0..=IDENTITIES_PER_CONNECTION {
            exchange(&transport, call(target.address, &number.to_string(), 0)).await;
        }
        assert_eq!(target.connections(), 2);
        let first = carried.lock().unwrap().iter().filter(|(connection, _)| *connection == 0).count();
        assert_eq!(first, IDENTITIES_PER_CONNECTION);
    }

    async retired_connections_are_not_reused: "a response that was not the expected one and whose connection carries the next request" => {
        let (target, _) = identified_target().await;
        let transport = transport(1);
        for number in 0..3 {
            let handle = ConnectionHandle::default();
            let call = TargetCall { handle: handle.clone(), ..call(target.address, &number.to_string(), 0) };
            let response = transport.send(call).await.unwrap();
            handle.retire();
            response.into_body().collect().await.unwrap();
        }
        assert_eq!(target.connections(), 3);
    }

    async chunked_responses_keep_their_connection: "a new connection for each response in chunks" => {
        let target = FakeTarget::start(|mut stream, _| async move {
            while read_request(&mut stream).await.is_some() {
                let response = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n";
                if stream.write_all(response.as_bytes()).await.is_err() {
                    return;
                }
            }
        })
        .await;
        let transport = transport(4);
        for number in 0..10 {
            exchange(&transport, call(target.address, &number.to_string(), 0)).await;
        }
        assert_eq!(target.connections(), 1);
    }

    async probes_share_a_connection: "a new connection for each probe, which has no identity" => {
        let probes = Arc::new(AtomicUsize::new(0));
        let counter = probes.clone();
        let target = FakeTarget::start(move |mut stream, _| {
            let counter = counter.clone();
            async move {
                while read_request(&mut stream).await.is_some() {
                    counter.fetch_add(1, Ordering::SeqCst);
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await;
                }
            }
        })
        .await;
        let transport = transport(4);
        for _ in 0..20 {
            let probe = TargetCall { identity: None, ..call(target.address, "unused", 0) };
            exchange(&transport, probe).await;
        }
        assert_eq!((target.connections(), probes.load(Ordering::SeqCst)), (1, 20));
    }
}
