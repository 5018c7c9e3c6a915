//! Serves the object API: passes calls to the state and delivers its responses.

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

/// Server of a running platform.
pub(super) struct PlatformServer {
    state: Mutex<ServerState>,
    clock: SystemClock,
    /// Whether the platform is down. Open calls end when this turns true.
    down: watch::Sender<bool>,
}

/// State of the platform, faults and open calls.
pub(super) struct ServerState {
    pub(super) state: PlatformState,
    pub(super) fault_injector: FaultInjector,
    calls: SlotMap<CallKey, oneshot::Sender<PlatformResponse>>,
}

impl PlatformServer {
    pub(super) fn new(state: PlatformState) -> Self {
        let fault_injector = FaultInjector::default();
        Self {
            state: Mutex::new(ServerState { state, fault_injector, calls: SlotMap::with_key() }),
            clock: SystemClock::new(),
            down: watch::Sender::new(false),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set_faults(&self, faults: PlatformFaults) {
        self.down.send_replace(faults.down);
        self.lock().fault_injector.set_faults(faults);
    }

    pub(super) async fn handle(self: Arc<Self>, request: Request<Incoming>) -> ResponseResult {
        let (head, body) = request.into_parts();
        // Reads one byte more than allowed, so that the state recognizes content that is
        // too large.
        let body = match Limited::new(body, MAX_CONTENT_BYTES + 1).collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) if error.is::<http_body_util::LengthLimitError>() => {
                return Ok(wire::encode(PlatformResponse::TooLarge));
            }
            Err(_) => return Err(connection_closed()),
        };
        let request = Request::from_parts(head, body);
        let wanted_era = match wire::wanted_era(&request) {
            Ok(era) => era,
            Err(response) => return Ok(*response),
        };
        match wire::decode(&request) {
            Ok(ApiCall::Platform(request, limit)) => {
                // The era before the call: a response is never named after a later one.
                let era = self.lock().state.era();
                let response = self.call(request, limit, wanted_era).await?;
                Ok(wire::with_era(response, era))
            }
            Ok(ApiCall::Counts) => Ok(json_response(&self.lock().state.counts())),
            Ok(ApiCall::Faults) => Ok(json_response(self.lock().fault_injector.faults())),
            Ok(ApiCall::SetFaults(faults)) => {
                self.set_faults(faults);
                Ok(text_response(StatusCode::OK, ""))
            }
            Err(response) => Ok(*response),
        }
    }

    async fn call(
        &self,
        request: PlatformRequest,
        limit: Duration,
        wanted_era: Option<u64>,
    ) -> ResponseResult {
        let decision = match request.kind() {
            Some(kind) => self.lock().fault_injector.decide(kind, self.clock.now()),
            None => FaultDecision::Handle { delay: Duration::ZERO, drop_response: false },
        };
        let is_control = request.kind().is_none();
        let mut down = self.down.subscribe();
        let response = async {
            match decision {
                FaultDecision::Close => Err(connection_closed()),
                FaultDecision::RateLimit => {
                    self.lock().state.count_limited();
                    Ok(limited())
                }
                FaultDecision::NoResponse => {
                    let _unsent_response = self.submit(request, limit, wanted_era).await;
                    std::future::pending().await
                }
                FaultDecision::Handle { delay, drop_response } => {
                    let response = self.submit(request, limit, wanted_era).await?;
                    tokio::time::sleep(delay).await;
                    if drop_response {
                        Err(connection_closed())
                    } else {
                        Ok(wire::encode(response))
                    }
                }
            }
        };
        tokio::select! {
            biased;
            _ = down.wait_for(|down| *down), if !is_control => Err(connection_closed()),
            response = response => response,
        }
    }

    /// Passes a call to the state and waits for its response. A watch is ended after
    /// `limit`.
    async fn submit(
        &self,
        request: PlatformRequest,
        limit: Duration,
        wanted_era: Option<u64>,
    ) -> std::io::Result<PlatformResponse> {
        let (sender, mut response) = oneshot::channel();
        let call = self.lock().calls.insert(sender);
        let _guard = CallGuard { server: self, call };
        self.process_in_era(call, request, wanted_era);
        if let Ok(response) = tokio::time::timeout(limit, &mut response).await {
            return response.map_err(|_| connection_closed());
        }
        self.process(call, PlatformRequest::EndWatch);
        response.await.map_err(|_| connection_closed())
    }

    /// Handles a request of a test, which gets its response at once.
    pub(super) fn control(&self, request: PlatformRequest) -> Option<PlatformResponse> {
        let (sender, mut response) = oneshot::channel();
        let call = self.lock().calls.insert(sender);
        self.process(call, request);
        response.try_recv().ok()
    }

    /// Passes a request to the state and sends the resulting responses to their calls.
    fn process(&self, call: CallKey, request: PlatformRequest) {
        self.process_in_era(call, request, None);
    }

    /// Passes a request to the state as [`Self::process`] does, unless it was made for another
    /// era.
    fn process_in_era(&self, call: CallKey, request: PlatformRequest, wanted_era: Option<u64>) {
        let now = self.clock.now();
        let mut server = self.lock();
        if wanted_era.is_some_and(|era| era != server.state.era()) {
            if let Some(sender) = server.calls.remove(call) {
                let _ = sender.send(PlatformResponse::OtherEra);
            }
            return;
        }
        for effect in server.state.handle(PlatformMessage { call, request }, now) {
            if let Some(sender) = server.calls.remove(effect.call) {
                // Fails if the client has disconnected and no longer waits.
                let _ = sender.send(effect.response);
            }
        }
    }
}

fn limited() -> Response<ResponseBody> {
    text_response(StatusCode::TOO_MANY_REQUESTS, "call less often")
}

/// Removes a call when it has its response or its connection closed.
struct CallGuard<'a> {
    server: &'a PlatformServer,
    call: CallKey,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.server.process(self.call, PlatformRequest::EndWatch);
        self.server.lock().calls.remove(self.call);
    }
}
