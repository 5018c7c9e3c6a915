//! Builds the filter chain of an entry.

use std::sync::Arc;
use std::time::Duration;

use zinniaport_core::policy::RoutingPolicy;

use crate::claims::KeyClaims;
use crate::filters::{
    AdmitFilter, AuthenticateFilter, ClaimFilter, ClassifyFilter, FilterChain, ForwardFilter,
    IdentifyFilter, QuarantineFilter, QuotaFilter, RecordFilter, RouteFilter, StopFilter,
};
use crate::gate::QuarantineGate;
use crate::placement::CallPlacement;
use crate::pool::TargetTransport;
use crate::quota::TokenSource;
use crate::state::SharedState;
use crate::targets::TargetsHandle;

/// Dependencies of the filters of an entry.
pub(super) struct ChainParts {
    pub(super) state: Arc<SharedState>,
    pub(super) targets: TargetsHandle,
    pub(super) policy: Arc<dyn RoutingPolicy>,
    pub(super) transport: Arc<dyn TargetTransport>,
    pub(super) quarantine: Arc<QuarantineGate>,
    pub(super) placement: Arc<dyn CallPlacement>,
    pub(super) claims: Arc<dyn KeyClaims>,
    pub(super) tokens: Arc<dyn TokenSource>,
    /// Time that a request and its response take between caller and entry.
    pub(super) caller_path: Duration,
    /// Largest request body that is buffered before it is forwarded, in bytes.
    pub(super) buffered_body_bytes: u64,
    /// Largest response that is buffered before it is forwarded, in bytes.
    pub(super) whole_answer_bytes: usize,
}

impl ChainParts {
    /// Builds the chain, outermost filter first.
    pub(super) fn build(self) -> FilterChain {
        let (buffered_body_bytes, whole_answer_bytes) =
            (self.buffered_body_bytes, self.whole_answer_bytes);
        let caller_path = self.caller_path;
        let Self {
            state, targets, policy, transport, quarantine, placement, claims, tokens, ..
        } = self;
        FilterChain::new(vec![
            Arc::new(RecordFilter::new(state.clone())),
            Arc::new(StopFilter::new(state.clone())),
            Arc::new(IdentifyFilter::new(state.clone())),
            Arc::new(AuthenticateFilter::new(state.clone())),
            Arc::new(ClassifyFilter::new(state.clone(), caller_path)),
            Arc::new(QuarantineFilter::new(state.clone(), quarantine, buffered_body_bytes)),
            Arc::new(ClaimFilter::new(state.clone(), claims)),
            Arc::new(QuotaFilter::new(state.clone(), tokens)),
            Arc::new(AdmitFilter::new(state.clone(), placement.clone())),
            Arc::new(RouteFilter::new(state.clone(), policy, targets, placement)),
            Arc::new(ForwardFilter::new(state, transport, whole_answer_bytes)),
        ])
    }
}
