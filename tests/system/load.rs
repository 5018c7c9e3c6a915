//! Callers that check that each answer is whole and their own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use http::{Request, Response};
use http_body_util::Full;
use tokio::task::JoinSet;
use zinniaport_testing::client::{ClientError, send};

use super::eventually;

/// What became of one request.
#[derive(Debug)]
pub enum CallEnd {
    /// A whole answer to this very request.
    Answered,
    /// The entry's own answer.
    Refused { request_id: String, outcome: String },
    /// No whole answer, or one that is not the caller's.
    Broken(String),
}

/// Callers that send one request after another until they are stopped.
pub struct CallerLoad {
    open: Arc<AtomicBool>,
    answered: Vec<Arc<AtomicUsize>>,
    callers: JoinSet<Vec<CallEnd>>,
}

impl CallerLoad {
    /// Starts `callers` callers of each entry.
    pub fn start(entries: impl Iterator<Item = SocketAddr>, callers: usize) -> Self {
        let open = Arc::new(AtomicBool::new(true));
        let mut load = Self { open, answered: Vec::new(), callers: JoinSet::new() };
        for entry in entries {
            let answered = Arc::<AtomicUsize>::default();
            for caller in 0..callers {
                let (open, answered) = (load.open.clone(), answered.clone());
                load.callers.spawn(async move {
                    let mut ends = Vec::new();
                    while open.load(Ordering::SeqCst) {
                        let end = call(entry, &format!("{caller}/{}", ends.len())).await;
                        if matches!(end, CallEnd::Answered) {
                            answered.fetch_add(1, Ordering::SeqCst);
                        }
                        ends.push(end);
                    }
                    ends
                });
            }
            load.answered.push(answered);
        }
        load
    }

    /// Waits until the callers of each entry got `count` more answers.
    pub async fn wait_for_answers(&self, count: usize) {
        for answered in &self.answered {
            let goal = answered.load(Ordering::SeqCst) + count;
            eventually("answers go on", async || answered.load(Ordering::SeqCst) >= goal).await;
        }
    }

    /// Stops the callers and returns what became of all requests.
    pub async fn stop(mut self) -> Vec<CallEnd> {
        self.open.store(false, Ordering::SeqCst);
        let mut ends = Vec::new();
        while let Some(caller) = self.callers.join_next().await {
            ends.extend(caller.unwrap());
        }
        ends
    }

    /// Stops the callers; all their requests must have been answered.
    pub async fn stop_whole(self) {
        for end in self.stop().await {
            assert!(matches!(end, CallEnd::Answered), "{end:?}");
        }
    }
}

/// Sends one request with a path of its own.
pub async fn call(entry: SocketAddr, name: &str) -> CallEnd {
    let path = format!("/pump-history/{entry}/{name}");
    let request = Request::get(&path).body(Full::default()).unwrap();
    match send(entry, request).await {
        Ok(response) => judge(&path, &response).unwrap_or_else(|e| CallEnd::Broken(e.to_string())),
        Err(error) => CallEnd::Broken(error.to_string()),
    }
}

/// Checks an answer: the target echoes the path, then the request id in each line.
fn judge(path: &str, response: &Response<bytes::Bytes>) -> Result<CallEnd, ClientError> {
    let header = |name| response.headers().get(name).ok_or(name)?.to_str().map_err(|_| name);
    let request_id = header("x-request-id")?;
    if response.status() != 200 {
        let outcome = header("x-zinniaport-outcome")?.to_owned();
        return Ok(CallEnd::Refused { request_id: request_id.to_owned(), outcome });
    }
    let text = std::str::from_utf8(response.body())?;
    let mut lines = text.lines();
    let own = lines.next() == Some(&format!("GET {path}")) && lines.all(|line| line == request_id);
    if own {
        Ok(CallEnd::Answered)
    } else {
        Err(format!("not the answer to {path}: {text}").into())
    }
}
