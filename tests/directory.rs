//! Guards against requests that an entry refuses or routes wrongly while it follows a
//! directory of targets and configuration.

mod support;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::future::BoxFuture;
use support::{echo_heads, send_raw};
use tokio::net::{TcpSocket, UdpSocket};
use zinniaport::directory::{DirectorySource, ReadConsistency};
use zinniaport::runtime::{EntryDependencies, EntryRuntime};
use zinniaport::settings::EntrySettings;
use zinniaport::signals::{SignalDatagram, encode_datagram};
use zinniaport::store::StoreError;
use zinniaport_core::directory::{
    DirectoryBatch, DirectoryChange, DirectoryItem, DirectoryPart, OperatorConfiguration,
    RegisteredTarget, ServiceDefinition, StoreRevision,
};
use zinniaport_core::intent::{KindIntent, TargetInstance};
use zinniaport_core::routes::{RouteIntent, WeightedService};
use zinniaport_core::signals::SignalMessage;
use zinniaport_testing::client::get;
use zinniaport_testing::{reserve_port, test_cases};

use crate::support::FakeTarget;

/// A directory that lists fixed batches and returns each later batch to one watch.
#[derive(Default)]
struct FakeDirectory {
    listed: Mutex<[Option<DirectoryBatch>; DirectoryPart::COUNT]>,
    later: Mutex<VecDeque<(DirectoryPart, DirectoryBatch)>>,
    /// Duration of a list call, by part.
    list_times: [Duration; DirectoryPart::COUNT],
}

impl DirectorySource for FakeDirectory {
    fn list(&self, part: DirectoryPart) -> BoxFuture<'_, Result<DirectoryBatch, StoreError>> {
        let listed = self.listed.lock().unwrap()[part as usize].clone();
        let cause = "the platform is down".to_owned();
        let list_time = self.list_times[part as usize];
        Box::pin(async move {
            tokio::time::sleep(list_time).await;
            listed.ok_or(StoreError::NoResponse { cause })
        })
    }

    fn list_small(
        &self,
        part: DirectoryPart,
    ) -> BoxFuture<'_, Result<Option<DirectoryBatch>, StoreError>> {
        let listed = self.list(part);
        Box::pin(async move { listed.await.map(Some) })
    }

    fn watch(
        &self,
        part: DirectoryPart,
        revision: StoreRevision,
        _consistency: ReadConsistency,
    ) -> BoxFuture<'_, Result<DirectoryBatch, StoreError>> {
        Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(5)).await;
            let mut later = self.later.lock().unwrap();
            match later.front() {
                Some((next, _)) if *next == part => Ok(later.pop_front().unwrap().1),
                _ => Ok(DirectoryBatch {
                    era: revision.era,
                    revision: revision.number,
                    changes: Vec::new(),
                }),
            }
        })
    }
}

fn configuration() -> DirectoryBatch {
    let kind = KindIntent {
        name: "lookup".to_owned(),
        methods: Vec::new(),
        path_prefix: String::new(),
        rank: 0,
        idempotent: true,
        max_runs: 2,
        deadline_ms: 20_000,
        require_key: false,
        objective_percent: 99.0,
        target_latency_ms: None,
        max_dispatches: Some(2),
    };
    let parts = vec![WeightedService { service: "history".to_owned(), weight: 1 }];
    let definition = OperatorConfiguration {
        version: 3,
        routes: vec![RouteIntent {
            host: "pump.example".to_owned(),
            path_prefix: "/h/".to_owned(),
            kind,
            parts,
            is_public: false,
        }],
        services: vec![ServiceDefinition {
            name: "history".to_owned(),
            health_path: "/health".to_owned(),
            max_connections: 200,
            ..ServiceDefinition::default()
        }],
        limits: None,
        tenants: None,
        unused_items: Vec::new(),
    };
    let item = Some(DirectoryItem::Configuration(definition));
    let change = DirectoryChange { name: "main".to_owned(), revision: 1, item };
    DirectoryBatch { era: 0, revision: 1, changes: vec![change] }
}

fn targets(target: &FakeTarget) -> DirectoryBatch {
    let definition = RegisteredTarget {
        instance: TargetInstance { id: "i-1".into(), started_ms: 1 },
        service: "history".to_owned(),
        address: target.address,
        data_centre: "valle-a".to_owned(),
        slots: 3,
        leaving: false,
        warm_up_left: Duration::ZERO,
        sequence: 0,
    };
    let item = Some(DirectoryItem::Target(definition));
    let change = DirectoryChange { name: "i-1".to_owned(), revision: 2, item };
    DirectoryBatch { era: 0, revision: 2, changes: vec![change] }
}

async fn start(directory: Arc<FakeDirectory>, extra: &str) -> EntryRuntime {
    let text = format!(
        "name: entry-1\ndata_centre: valle-a\nlisten: 127.0.0.1:0\nadmin_listen: 127.0.0.1:0\n{extra}\n"
    );
    let settings: EntrySettings = serde_norway::from_str(&text).unwrap();
    let dependencies = EntryDependencies::builder().directory(directory).build();
    EntryRuntime::start_with_dependencies(settings, dependencies).await.unwrap()
}

async fn send_request(entry: &EntryRuntime, path: &str) -> String {
    let request = format!("GET {path} HTTP/1.1\r\nhost: pump.example\r\nconnection: close\r\n\r\n");
    send_raw(entry.caller_address(), request.as_bytes()).await
}

/// Returns a loopback address that is free for UDP, and a socket that reserves its port for TCP.
/// An entry binds both. A port that is only known to be free for UDP can be the local port of a
/// TCP connection in TIME-WAIT, where binding a listener fails with `AddrInUse`.
async fn reserve_signal_address() -> (TcpSocket, SocketAddr) {
    loop {
        let reserved = reserve_port();
        let address = reserved.local_addr().unwrap();
        if UdpSocket::bind(address).await.is_ok() {
            return (reserved, address);
        }
    }
}

/// Waits until the entry reports that it is ready.
async fn wait_until_ready(entry: &EntryRuntime) {
    while get(entry.admin_address(), "/readyz").await.unwrap().status() != 200 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

test_cases! {
    async unknown_configuration_refuses: "404 for a valid request at an entry that knows its peers but not yet its configuration" => {
        let other = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let (reserved, signals) = reserve_signal_address().await;
        let entry = start(Arc::default(), &format!("signals: {{ listen: \"{signals}\" }}")).await;
        drop(reserved);
        let message = SignalMessage { incarnation: 1, sequence: 1, ..SignalMessage::default() };
        other.send_to(&encode_datagram(&SignalDatagram::Signal(message)).unwrap(), signals).await.unwrap();
        // The entry replies to a signal once it counts the sender as a live peer.
        other.recv_from(&mut [0; 2048]).await.unwrap();
        tokio::time::sleep(Duration::from_millis(20)).await;
        let response = send_request(&entry, "/h/1").await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(response.contains("no-configuration") && response.contains("not-run"), "{response}");
        assert_eq!(get(entry.admin_address(), "/readyz").await.unwrap().status(), 503);
    }

    async early_requests_wait: "requests refused by an entry that is ready to serve them a few milliseconds later" => {
        let target = FakeTarget::start(|stream, _| echo_heads(stream)).await;
        for list_times in [[20, 60, 0], [60, 20, 0]] {
            let listed = Mutex::new([Some(targets(&target)), Some(configuration()), None]);
            let list_times = list_times.map(Duration::from_millis);
            let directory = FakeDirectory { listed, list_times, ..FakeDirectory::default() };
            let entry = start(Arc::new(directory), "").await;
            let response = send_request(&entry, "/h/1").await;
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        }
    }

    async directory_is_served: "a request that is not routed by the host, path and instances in the directory" => {
        let target = FakeTarget::start(|stream, _| echo_heads(stream)).await;
        let directory = Arc::new(FakeDirectory::default());
        *directory.listed.lock().unwrap() = [Some(targets(&target)), Some(configuration()), None];
        let entry = start(directory.clone(), "").await;
        wait_until_ready(&entry).await;
        let response = send_request(&entry, "/h/1").await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(response.contains("x-instance: i-1"), "{response}");
        assert!(send_request(&entry, "/other").await.starts_with("HTTP/1.1 404"));
        let removal = DirectoryChange { name: "i-1".to_owned(), revision: 9, item: None };
        let removal = DirectoryBatch { era: 0, revision: 9, changes: vec![removal] };
        directory.later.lock().unwrap().push_back((DirectoryPart::Targets, removal));
        let mut response = String::new();
        for _ in 0..1000 {
            response = send_request(&entry, "/h/1").await;
            if response.starts_with("HTTP/1.1 503") {
                break;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert!(response.contains("no-target"), "{response}");
    }

    async evacuations_take_effect: "requests that reach the targets of an evacuated data centre, or that are refused after its evacuation ended" => {
        let served = Arc::new(AtomicUsize::new(0));
        let count = served.clone();
        let target = FakeTarget::start(move |stream, _| {
            count.fetch_add(1, Ordering::SeqCst);
            echo_heads(stream)
        }).await;
        let directory = Arc::new(FakeDirectory::default());
        let change = |revision, item| {
            let changes = vec![DirectoryChange { name: "valle-a".to_owned(), revision, item }];
            DirectoryBatch { era: 0, revision, changes }
        };
        let evacuated = change(7, Some(DirectoryItem::Evacuation));
        *directory.listed.lock().unwrap() = [Some(targets(&target)), Some(configuration()), Some(evacuated)];
        let entry = start(directory.clone(), "directory: { evacuations: true }").await;
        wait_until_ready(&entry).await;
        for _ in 0..20 {
            let response = send_request(&entry, "/h/1").await;
            assert!(response.starts_with("HTTP/1.1 503") && response.contains("no-target"), "{response}");
        }
        assert_eq!(served.load(Ordering::SeqCst), 0);
        let metrics = get(entry.admin_address(), "/metrics").await.unwrap().into_body();
        assert!(String::from_utf8_lossy(&metrics).contains("zinniaport_evacuated_data_centres 1"));
        directory.later.lock().unwrap().push_back((DirectoryPart::Evacuations, change(9, None)));
        while !send_request(&entry, "/h/1").await.starts_with("HTTP/1.1 200") {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}
