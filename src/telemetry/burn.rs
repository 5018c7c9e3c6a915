//! Runs the burn controller on the decision records of this entry.

use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;
use zinniaport_core::controllers::{BurnController, BurnEffect, BurnMessage, StateController};

use crate::state::{KEPT_RECORDS, SharedState};

/// Time between two reads of the ring buffer. At 7,000 requests per second a read returns
/// 1,750 records, a tenth of the buffer's capacity.
const READ_INTERVAL: Duration = Duration::from_millis(250);

/// Passes finished requests to the burn controller until `stop` is cancelled.
pub async fn run_burn_controller(state: Arc<SharedState>, stop: CancellationToken) {
    let mut controller = BurnController::default();
    let mut interval = tokio::time::interval(READ_INTERVAL);
    let mut last = 0;
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = interval.tick() => {}
        }
        let batch = state.decisions.read_after(last, KEPT_RECORDS);
        last = batch.last;
        state.metrics.fold_latencies();
        let now = state.clock.now();
        controller.handle(BurnMessage::Measured(state.measuring.load_full()), now);
        let message = BurnMessage::Finished { batch, fleet: state.fleet.load_full() };
        for BurnEffect::Publish(report) in controller.handle(message, now) {
            state.burn.store(report);
        }
    }
}
