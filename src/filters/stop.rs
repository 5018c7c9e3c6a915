//! Refuses the requests that wait for anything while the entry stops.

use std::future::poll_fn;
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use futures::future::{BoxFuture, FutureExt};
use tokio_util::sync::CancellationToken;
use zinniaport_core::call::ReasonCode;

use super::{FilterNext, FilterResult, RequestFilter};
use crate::exchange::Exchange;
use crate::refusal::Refusal;
use crate::run_tracker::RunTracker;
use crate::state::SharedState;

/// Time after which a caller may retry a request that a stopping entry refused. The platform's
/// balancer leads it to another entry.
const STOP_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Refuses a request that no target has once the stopping entry refuses waiting requests,
/// wherever in the filters behind this one it waits.
pub struct StopFilter {
    state: Arc<SharedState>,
}

impl StopFilter {
    /// Creates the filter.
    pub fn new(state: Arc<SharedState>) -> Self {
        Self { state }
    }
}

impl RequestFilter for StopFilter {
    fn name(&self) -> &'static str {
        "stop"
    }

    fn handle<'a>(
        &'a self,
        exchange: &'a mut Exchange,
        next: FilterNext<'a>,
    ) -> BoxFuture<'a, FilterResult> {
        Box::pin(async move {
            let runs = exchange.runs.clone();
            run_until_stop(&self.state.refuses_waiting, &runs, next.run(exchange)).await
        })
    }
}

/// Runs `work` on a request until its result. Once `stop` is cancelled, it is dropped as soon as
/// no target has the request.
///
/// # Errors
///
/// Returns the error of `work`, or a refusal if it was dropped.
pub(crate) async fn run_until_stop<T>(
    stop: &CancellationToken,
    runs: &RunTracker,
    work: impl Future<Output = Result<T, Refusal>>,
) -> Result<T, Refusal> {
    if stop.is_cancelled() {
        return Err(stop_refusal(runs));
    }
    let mut work = pin!(work);
    tokio::select! {
        biased;
        result = &mut work => return result,
        () = stop.cancelled() => {}
    }
    // Only `work` itself can change whether a target has the request, so that it is known after
    // each poll.
    let result = poll_fn(|context| match work.poll_unpin(context) {
        Poll::Ready(result) => Poll::Ready(Some(result)),
        Poll::Pending if runs.is_at_target() => Poll::Pending,
        Poll::Pending => Poll::Ready(None),
    });
    result.await.unwrap_or_else(|| Err(stop_refusal(runs)))
}

fn stop_refusal(runs: &RunTracker) -> Refusal {
    if runs.may_have_run() {
        let detail = "the entry stops before the request could be sent to another target";
        return Refusal::unknown(ReasonCode::Stopping, detail);
    }
    let detail = "the entry stops before a target could take the request";
    Refusal::not_run(ReasonCode::Stopping, detail).retry_after(STOP_RETRY_AFTER)
}
