//! Response heads that are cut off and continued by the head of the next response.

#[path = "support/outcomes.rs"]
mod outcomes;
mod support;

use std::time::Duration;

use outcomes::{
    ReceivedRequests, answer, post, promises_not_run, record, start_recording, status_and_outcome,
};
use support::{FakeTarget, read_request, start_entry};
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;
use zinniaport_testing::test_cases;

test_cases! {
    async cut_heads_promise_nothing: "the begin of a refusal or failure that gives its status to the response to a request that ran" => {
        let cuts = [
            "HTTP/1.1 503 Serv",
            "HTTP/1.1 500 Int",
            "HTTP/1.1 404 ",
            "HTTP/1.1 503 Service Unavailable\r\nx-zinniaport-refused: ",
            "HTTP/1.1 503 Service Unavailable\r\nx-zinniaport-refused: she",
            "HTTP/1.1 503 Service Unavailable\r\nx-zinniaport-refused: shed\r\n",
        ];
        for cut in cuts {
            let received = ReceivedRequests::default();
            let target = start_recording(&received, move |mut stream, received| async move {
                while let Some(head) = read_request(&mut stream).await {
                    record(&received, &head);
                    let _ = stream.write_all(cut.as_bytes()).await;
                    sleep(Duration::from_millis(10)).await;
                    let _ = stream.write_all(answer(&head).as_bytes()).await;
                }
            })
            .await;
            let entry = start_entry(target.address, "").await;
            let (head, _) = post(entry.caller_address(), "run", "").await.unwrap();
            assert_eq!(received.lock().unwrap().len(), 1);
            assert!(!promises_not_run(&head), "{cut:?}: it ran: {head}");
            assert_eq!(status_and_outcome(&head), (502, "unknown"), "{cut:?}");
        }
    }

    async versions_in_headers_are_passed_on: "a response that is rejected because a header names a version of HTTP" => {
        let target = FakeTarget::start(|mut stream, _| async move {
            while let Some(head) = read_request(&mut stream).await {
                let response = answer(&head).replacen("\r\n", "\r\nvia: HTTP/1.1 proxy\r\nupgrade: HTTP/2.0\r\n", 1);
                let _ = stream.write_all(response.as_bytes()).await;
            }
        })
        .await;
        let entry = start_entry(target.address, "").await;
        let (head, _) = post(entry.caller_address(), "run", "").await.unwrap();
        assert_eq!(status_and_outcome(&head), (200, "ran"));
    }
}
