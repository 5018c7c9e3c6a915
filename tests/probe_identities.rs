//! Probes of targets on the connections that requests use, and late copies of their responses.

#[path = "support/outcomes.rs"]
mod outcomes;
mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use outcomes::{
    ReceivedRequests, answer, named_response, post, promises_not_run, record, request_id,
    start_recording, status_and_outcome,
};
use support::{FakeTarget, read_request, start_entry};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use zinniaport::runtime::EntryRuntime;
use zinniaport::settings::EntrySettings;
use zinniaport_testing::test_cases;

const HEALTHY: &str = "HTTP/1.1 200 OK\r\nx-load: 0\r\ncontent-length: 7\r\n\r\nhealthy";

const REFUSED: &str = "HTTP/1.1 503 Service Unavailable\r\nx-zinniaport-refused: shed\r\n\
    x-load: 1\r\ncontent-length: 4\r\n\r\nfull";

/// Starts an entry that probes its target often.
async fn start_probing_entry(target: SocketAddr) -> EntryRuntime {
    let text = format!(
        "{{name: e, data_centre: valle-a, listen: '127.0.0.1:0', admin_listen: '127.0.0.1:0', \
         routing: {{policy: probe-pool}}, services: [{{service: pump-history, team: t, \
         kinds: [{{name: k, rank: 0, idempotent: false, deadline_ms: 3000}}], \
         targets: [{{address: '{target}', data_centre: valle-a, slots: 2}}], \
         measuring: {{budget_percent: 50, probe_cost_ms: 1, max_entries: 1}}}}]}}"
    );
    let settings: EntrySettings = serde_norway::from_str(&text).unwrap();
    EntryRuntime::start(settings).await.unwrap()
}

/// Waits until a target got a further probe and its response arrived.
async fn wait_for_probe(probes: &AtomicUsize) {
    let before = probes.load(Ordering::SeqCst);
    while probes.load(Ordering::SeqCst) == before {
        sleep(Duration::from_millis(1)).await;
    }
    sleep(Duration::from_millis(20)).await;
}

/// Responds to probes, and to requests with a copy of the last probe response before their own.
async fn copy_probe_responses(
    mut stream: TcpStream,
    received: ReceivedRequests,
    probe: &str,
    probes: Arc<AtomicUsize>,
) {
    let mut copy = String::new();
    while let Some(head) = read_request(&mut stream).await {
        let response = if head.starts_with("GET /probe") {
            copy = named_response(&head, probe);
            probes.fetch_add(1, Ordering::SeqCst);
            copy.clone()
        } else {
            record(&received, &head);
            let _ = stream.write_all(std::mem::take(&mut copy).as_bytes()).await;
            sleep(Duration::from_millis(20)).await;
            answer(&head)
        };
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Responds to the first probe after a request with a copy of the request's response. The probe's
/// own response follows when the next request arrives.
async fn answer_probe_with_copy(mut stream: TcpStream, probes: Arc<AtomicUsize>) {
    let (mut last, mut due) = (None::<String>, String::new());
    while let Some(head) = read_request(&mut stream).await {
        let response = if head.starts_with("GET /probe") {
            probes.fetch_add(1, Ordering::SeqCst);
            let own = named_response(&head, HEALTHY);
            match last.take() {
                Some(copy) => {
                    due = own;
                    copy.replace("content-length", "x-load: 0\r\ncontent-length")
                }
                None => own,
            }
        } else {
            let _ = stream.write_all(std::mem::take(&mut due).as_bytes()).await;
            sleep(Duration::from_millis(20)).await;
            let response = answer(&head);
            last = Some(response.clone());
            response
        };
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

test_cases! {
    async copies_of_probe_responses_are_not_passed_on: "a copy of the response to a probe that is taken for the response to a request on the same connection" => {
        for probe in [HEALTHY, REFUSED] {
            let (received, probes) = (ReceivedRequests::default(), Arc::new(AtomicUsize::new(0)));
            let counter = probes.clone();
            let target = start_recording(&received, move |stream, received| {
                copy_probe_responses(stream, received, probe, counter.clone())
            })
            .await;
            let entry = start_probing_entry(target.address).await;
            for id in ["first", "second", "third"] {
                wait_for_probe(&probes).await;
                let (head, body) = post(entry.caller_address(), id, "").await.unwrap();
                let ran = received.lock().unwrap().contains_key(id);
                assert!(!(ran && promises_not_run(&head)), "{id} ran: {head}");
                assert_ne!(body, "healthy", "{id}: {head}");
            }
        }
    }

    async probes_do_not_shift_responses: "a late copy that a probe takes for its response, so that the probe's own becomes that of the next request" => {
        let probes = Arc::new(AtomicUsize::new(0));
        let counter = probes.clone();
        let target = FakeTarget::start(move |stream, _| answer_probe_with_copy(stream, counter.clone())).await;
        let entry = start_probing_entry(target.address).await;
        for id in ["first", "second", "third"] {
            let (head, body) = post(entry.caller_address(), id, "").await.unwrap();
            assert_eq!((status_and_outcome(&head), &*body), ((200, "ran"), "done"), "{id}");
            wait_for_probe(&probes).await;
        }
    }

    async targets_may_stop_repeating_identities: "a target whose responses are rejected since another program without identities runs at its address" => {
        let probes = Arc::new(AtomicUsize::new(0));
        let counter = probes.clone();
        let target = FakeTarget::start(move |mut stream, number| {
            let counter = counter.clone();
            async move {
                while let Some(head) = read_request(&mut stream).await {
                    let is_probe = head.starts_with("GET /probe");
                    let plain = if is_probe { HEALTHY } else { "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone" };
                    let response = if number == 0 { named_response(&head, plain) } else { plain.to_owned() };
                    counter.fetch_add(usize::from(is_probe), Ordering::SeqCst);
                    if stream.write_all(response.as_bytes()).await.is_err() || (number == 0 && !is_probe) {
                        return;
                    }
                }
            }
        })
        .await;
        let entry = start_probing_entry(target.address).await;
        for round in 0..6 {
            let (head, _) = post(entry.caller_address(), &format!("round-{round}"), "").await.unwrap();
            assert_eq!(status_and_outcome(&head), (200, "ran"), "round {round}");
            wait_for_probe(&probes).await;
        }
    }

    async unnamed_failures_are_passed_on: "a failure without an identity that is lost because its target names other responses" => {
        let target = FakeTarget::start(|mut stream, _| async move {
            while let Some(head) = read_request(&mut stream).await {
                let is_missing = request_id(&head).is_some_and(|id| id.starts_with("missing"));
                let missing = "HTTP/1.1 404 Not Found\r\ncontent-length: 4\r\n\r\nnone".to_owned();
                let response = if is_missing { missing } else { answer(&head) };
                if stream.write_all(response.as_bytes()).await.is_err() {
                    return;
                }
            }
        })
        .await;
        let entry = start_entry(target.address, "").await;
        for id in ["missing-1", "named-1", "missing-2", "missing-3", "named-2", "missing-4"] {
            let (head, _) = post(entry.caller_address(), id, "").await.unwrap();
            let expected = if id.starts_with("missing") { 404 } else { 200 };
            assert_eq!(status_and_outcome(&head).0, expected, "{id}");
            sleep(Duration::from_millis(10)).await;
        }
    }
}
