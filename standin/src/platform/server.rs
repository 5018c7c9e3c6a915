//! Serves the object API: passes calls to the state and delivers its answers.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use slotmap::SlotMap;
use tokio::sync::{oneshot, watch};
use zinniaport_core::clock::{ClockSource, SystemClock};
use zinniaport_core::controllers::StateController;

use super::faults::{FaultDecision, FaultInjector, PlatformFaults};
use super::messages::{CallKey, PlatformMessage, PlatformRequest, PlatformResponse};
use super::state::{MAX_CONTENT_BYTES, PlatformState};
use super::wire::{self, ApiCall};
use crate::http1::{ResponseBody, ResponseResult, connection_closed, json_response, text_response};

/// Calls, state and faults of a running platform.
pub(super) struct PlatformServer {
    core: Mutex<ServerState>,
    clock: SystemClock,
    /// Whether the platform is down; open calls end when it goes down.
    down: watch::Sender<bool>,
}

pub(super) struct ServerState {
    pub(super) state: PlatformState,
    pub(super) fault_injector: FaultInjector,
    calls: SlotMap<CallKey, oneshot::Sender<PlatformResponse>>,
}

impl PlatformServer {
    pub(super) fn new(state: PlatformState) -> Self {
        let gate = FaultInjector::default();
        Self {
            core: Mutex::new(ServerState {
                state,
                fault_injector: gate,
                calls: SlotMap::with_key(),
            }),
            clock: SystemClock::new(),
            down: watch::Sender::new(false),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, ServerState> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set_faults(&self, faults: PlatformFaults) {
        self.down.send_replace(faults.down);
        self.lock().fault_injector.set_faults(faults);
    }

    pub(super) async fn answer(self: Arc<Self>, request: Request<Incoming>) -> ResponseResult {
        let (head, body) = request.into_parts();
        // One byte more than allowed, so that the state sees what is too large.
        let body = match Limited::new(body, MAX_CONTENT_BYTES + 1).collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) if error.is::<http_body_util::LengthLimitError>() => {
                return Ok(wire::encode(PlatformResponse::TooLarge));
            }
            Err(_) => return Err(connection_closed()),
        };
        match wire::decode(&Request::from_parts(head, body)) {
            Ok(ApiCall::Platform(request, limit)) => self.call(request, limit).await,
            Ok(ApiCall::Counts) => Ok(json_response(&self.lock().state.counts())),
            Ok(ApiCall::Faults) => Ok(json_response(self.lock().fault_injector.faults())),
            Ok(ApiCall::SetFaults(faults)) => {
                self.set_faults(faults);
                Ok(text_response(StatusCode::OK, ""))
            }
            Err(response) => Ok(*response),
        }
    }

    async fn call(&self, request: PlatformRequest, limit: Duration) -> ResponseResult {
        let verdict = match request.kind() {
            Some(kind) => self.lock().fault_injector.decide(kind, self.clock.now()),
            None => FaultDecision::Handle { delay: Duration::ZERO, drop_response: false },
        };
        let control = request.kind().is_none();
        let mut down = self.down.subscribe();
        let answer = async {
            match verdict {
                FaultDecision::Close => Err(connection_closed()),
                FaultDecision::RateLimit => {
                    self.lock().state.count_limited();
                    Ok(limited())
                }
                FaultDecision::NoResponse => {
                    let _unsent = self.submit(request, limit).await;
                    std::future::pending().await
                }
                FaultDecision::Handle { delay, drop_response: lose_answer } => {
                    let answer = self.submit(request, limit).await?;
                    tokio::time::sleep(delay).await;
                    if lose_answer { Err(connection_closed()) } else { Ok(wire::encode(answer)) }
                }
            }
        };
        tokio::select! {
            biased;
            _ = down.wait_for(|down| *down), if !control => Err(connection_closed()),
            answer = answer => answer,
        }
    }

    /// Passes a call to the state and waits for its answer.
    async fn submit(
        &self,
        request: PlatformRequest,
        limit: Duration,
    ) -> std::io::Result<PlatformResponse> {
        let (sender, mut answer) = oneshot::channel();
        let call = self.lock().calls.insert(sender);
        let _open = OpenCall { server: self, call };
        self.deliver(call, request);
        if let Ok(answer) = tokio::time::timeout(limit, &mut answer).await {
            return answer.map_err(|_| connection_closed());
        }
        self.deliver(call, PlatformRequest::EndWatch);
        answer.await.map_err(|_| connection_closed())
    }

    /// Handles a request of a test that is answered at once.
    pub(super) fn control(&self, request: PlatformRequest) -> Option<PlatformResponse> {
        let (sender, mut answer) = oneshot::channel();
        let call = self.lock().calls.insert(sender);
        self.deliver(call, request);
        answer.try_recv().ok()
    }

    fn deliver(&self, call: CallKey, request: PlatformRequest) {
        let now = self.clock.now();
        let mut core = self.lock();
        for effect in core.state.handle(PlatformMessage { call, request }, now) {
            if let Some(sender) = core.calls.remove(effect.call) {
                // The caller may have gone; then nobody reads the answer.
                let _ = sender.send(effect.response);
            }
        }
    }
}

fn limited() -> Response<ResponseBody> {
    text_response(StatusCode::TOO_MANY_REQUESTS, "call less often")
}

/// Forgets a call when its answer was delivered or its connection closed.
struct OpenCall<'a> {
    server: &'a PlatformServer,
    call: CallKey,
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.server.deliver(self.call, PlatformRequest::EndWatch);
        self.server.lock().calls.remove(self.call);
    }
}
