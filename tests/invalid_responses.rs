//! Invalid status lines and status codes of targets: what becomes of each is listed in
//! `docs/design/invalid-responses.md`.

mod support;

use support::{FakeTarget, read_request, send_raw, start_entry};
use tokio::io::AsyncWriteExt;
use zinniaport_testing::test_cases;

/// Starts a target that answers each request with `response`, `repeats` times, and closes.
async fn start_target(response: &'static [u8], repeats: usize) -> FakeTarget {
    FakeTarget::start(move |mut stream, _| async move {
        read_request(&mut stream).await;
        for _ in 0..repeats {
            if stream.write_all(response).await.is_err() {
                return;
            }
        }
    })
    .await
}

/// Sends a non-idempotent request and returns the status and the outcome that its caller sees.
async fn outcome_of(response: &'static [u8], repeats: usize) -> String {
    let target = start_target(response, repeats).await;
    let entry = start_entry(target.address, "").await;
    let raw = b"POST /pump-history/a HTTP/1.1\r\nHost: a\r\nConnection: close\r\nX-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n";
    let answer = send_raw(entry.caller_address(), raw).await;
    let status = answer.split(' ').nth(1).unwrap_or("none");
    let outcome = answer.lines().find_map(|line| line.strip_prefix("x-zinniaport-outcome: "));
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let body = if status == "502" { "" } else { body };
    format!("{status} {} {body}", outcome.unwrap_or("none")).trim_end().to_owned()
}

test_cases! {
    async invalid_status_lines_get_502: "an invalid status line that is passed on, or that passes for a promise that the request was not run" => {
        let lines: [&[u8]; 13] = [
            b"HTTP/1.1 000 None\r\ncontent-length: 0\r\n\r\n",
            b"HTTP/1.1 099 Low\r\ncontent-length: 0\r\n\r\n",
            b"HTTP/1.1 1000 High\r\ncontent-length: 0\r\n\r\n",
            b"HTTP/1.1 20 Short\r\ncontent-length: 0\r\n\r\n",
            b"HTTP/1.1 2oo Letters\r\ncontent-length: 0\r\n\r\n",
            b"HTTP/1.1 abc Letters\r\ncontent-length: 0\r\n\r\n",
            b"HTTP/1.1 +20 Sign\r\ncontent-length: 0\r\n\r\n",
            b"HTTP/1.1 -50 Sign\r\ncontent-length: 0\r\n\r\n",
            b"HTTP/1.1 600 Class\r\ncontent-length: 0\r\n\r\n",
            b"HTTP/1.1 999 Class\r\ncontent-length: 0\r\n\r\n",
            b"HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: h2c\r\n\r\n",
            b"HTTP/1.1 \xb2\xb0\xb0 OK\r\ncontent-length: 0\r\n\r\n",
            b"HTTP/1.1  200 OK\r\ncontent-length: 0\r\n\r\n",
        ];
        let mut faults = Vec::new();
        for line in lines {
            let outcome = outcome_of(line, 1).await;
            println!("{:?}: {outcome}", String::from_utf8_lossy(line));
            if outcome != "502 unknown" {
                faults.push(format!("{:?}: {outcome}", String::from_utf8_lossy(line)));
            }
        }
        assert!(faults.is_empty(), "{faults:#?}");
    }

    async invalid_answers_are_counted: "an invalid response that no metric shows" => {
        let cases: [(&[u8], &str); 2] = [
            (b"HTTP/1.1 000 None\r\ncontent-length: 0\r\n\r\n", "target-lost"),
            (b"HTTP/1.1 600 Class\r\ncontent-length: 0\r\n\r\n", "spoiled-answer"),
        ];
        for (response, reason) in cases {
            let target = start_target(response, 1).await;
            let entry = start_entry(target.address, "").await;
            let get = |path: &str| format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
            send_raw(entry.caller_address(), get("/pump-history/a").as_bytes()).await;
            let metrics = send_raw(entry.admin_address(), get("/metrics").as_bytes()).await;
            let line = metrics.lines().find(|line| line.starts_with("zinniaport_requests_total{"));
            let labels = format!("outcome=\"unknown\",reason=\"{reason}\"");
            assert!(line.is_some_and(|line| line.contains(&labels)), "{line:?}");
        }
    }

    async interim_responses_without_end_get_502: "interim responses without end that a request waits for past its deadline" => {
        let outcome = outcome_of(b"HTTP/1.1 103 Early Hints\r\n\r\n", 1_000_000).await;
        let is_late = outcome.starts_with("504 unknown {") && outcome.contains("deadline-passed");
        assert!(outcome == "502 unknown" || is_late, "{outcome}");
    }

    async harmless_lines_are_passed_on: "a valid response that is refused, or a body that is passed on where there is none" => {
        let cases: [(&[u8], &str); 4] = [
            (b"HTTP/1.1 200 \xe9t\xe9\r\ncontent-length: 4\r\n\r\ndone", "200 ran done"),
            (b"HTTP/1.1 204 None\r\ncontent-length: 4\r\n\r\nbody", "204 ran"),
            (b"HTTP/1.1 304 Same\r\ncontent-length: 4\r\n\r\nbody", "304 ran"),
            (b"HTTP/1.1 599 Last\r\ncontent-length: 0\r\n\r\n", "599 ran"),
        ];
        for (response, expected) in cases {
            let outcome = outcome_of(response, 1).await;
            assert_eq!(outcome, expected, "{:?}", String::from_utf8_lossy(response));
        }
    }

    async bodies_of_empty_responses_stay_behind: "a body of a response that has none, taken for the response to the next request" => {
        let target = FakeTarget::start(|mut stream, connection| async move {
            while let Some(_head) = read_request(&mut stream).await {
                let text: &[u8] = match connection {
                    0 => b"HTTP/1.1 204 None\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfalse",
                    _ => b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ntrue",
                };
                if stream.write_all(text).await.is_err() {
                    return;
                }
            }
        })
        .await;
        let entry = start_entry(target.address, "").await;
        let raw = b"GET /pump-history/a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        let first = send_raw(entry.caller_address(), raw).await;
        assert!(first.starts_with("HTTP/1.1 204 "), "{first}");
        let second = send_raw(entry.caller_address(), raw).await;
        assert!(second.ends_with("true"), "{second}");
    }
}
