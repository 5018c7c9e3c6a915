//! Callers that check that each response is complete and belongs to their request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use http::{Request, Response};
use http_body_util::Full;
use tokio::task::JoinSet;
use zinniaport_testing::client::{ClientError, send};

use super::eventually;

/// Result of one request.
#[derive(Debug)]
pub enum CallResult {
    /// A complete response of a target to this request.
    Answered,
    /// A response of the entry itself.
    Refused { request_id: String, outcome: String },
    /// No complete response, or one to another request.
    Invalid(String),
}

/// Callers that send one request after another until they are stopped.
pub struct CallerLoad {
    /// Cleared to stop the callers.
    running: Arc<AtomicBool>,
    /// Number of answered requests at each entry.
    answered_counts: Vec<Arc<AtomicUsize>>,
    callers: JoinSet<Vec<CallResult>>,
}

impl CallerLoad {
    /// Starts `callers` callers of each entry.
    pub fn start(entries: impl Iterator<Item = SocketAddr>, callers: usize) -> Self {
        let running = Arc::new(AtomicBool::new(true));
        let mut load = Self { running, answered_counts: Vec::new(), callers: JoinSet::new() };
        for entry in entries {
            let answered = Arc::<AtomicUsize>::default();
            for caller in 0..callers {
                let (running, answered) = (load.running.clone(), answered.clone());
                load.callers.spawn(async move {
                    let mut results = Vec::new();
                    while running.load(Ordering::SeqCst) {
                        let result = call(entry, &format!("{caller}/{}", results.len())).await;
                        if matches!(result, CallResult::Answered) {
                            answered.fetch_add(1, Ordering::SeqCst);
                        }
                        results.push(result);
                    }
                    results
                });
            }
            load.answered_counts.push(answered);
        }
        load
    }

    /// Waits until the callers of each entry have got `count` more responses of targets.
    pub async fn wait_for_responses(&self, count: usize) {
        for answered in &self.answered_counts {
            let goal = answered.load(Ordering::SeqCst) + count;
            eventually("more responses arrive", async || answered.load(Ordering::SeqCst) >= goal)
                .await;
        }
    }

    /// Stops the callers and returns the results of all requests.
    pub async fn stop(mut self) -> Vec<CallResult> {
        self.running.store(false, Ordering::SeqCst);
        let mut results = Vec::new();
        while let Some(caller) = self.callers.join_next().await {
            results.extend(caller.unwrap());
        }
        results
    }

    /// Stops the callers and asserts that targets answered all their requests.
    pub async fn stop_all_answered(self) {
        for result in self.stop().await {
            assert!(matches!(result, CallResult::Answered), "{result:?}");
        }
    }
}

/// Sends one request with a distinct path.
pub async fn call(entry: SocketAddr, name: &str) -> CallResult {
    let path = format!("/pump-history/{entry}/{name}");
    let request = Request::get(&path).body(Full::default()).unwrap();
    match send(entry, request).await {
        Ok(response) => classify_response(&path, &response)
            .unwrap_or_else(|e| CallResult::Invalid(e.to_string())),
        Err(error) => CallResult::Invalid(error.to_string()),
    }
}

/// Checks a response: the target echoes the method and path, then the request ID on each line.
fn classify_response(
    path: &str,
    response: &Response<bytes::Bytes>,
) -> Result<CallResult, ClientError> {
    let header = |name| response.headers().get(name).ok_or(name)?.to_str().map_err(|_| name);
    let request_id = header("x-request-id")?;
    if response.status() != 200 {
        let outcome = header("x-zinniaport-outcome")?.to_owned();
        return Ok(CallResult::Refused { request_id: request_id.to_owned(), outcome });
    }
    let text = std::str::from_utf8(response.body())?;
    let mut lines = text.lines();
    let own = lines.next() == Some(&format!("GET {path}")) && lines.all(|line| line == request_id);
    if own {
        Ok(CallResult::Answered)
    } else {
        Err(format!("not the response to {path}: {text}").into())
    }
}
