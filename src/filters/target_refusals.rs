//! Refusals for targets that did not respond, or whose response is not passed on.

use zinniaport_core::call::ReasonCode;
use zinniaport_core::fleet::MAX_PAUSE;

use crate::dialect::{HeaderDialect, ResponseClass, parse_retry_after};
use crate::exchange::{BodyFault, CallResponse};
use crate::pool::TransportError;
use crate::refusal::Refusal;

/// Returns the refusal for a transport error. A fault of the caller's request body explains
/// why the exchange failed, but not whether the request ran.
pub(super) fn refusal_of(error: &TransportError, fault: Option<BodyFault>) -> Refusal {
    let reason = match (fault, error) {
        (_, TransportError::NotSent { .. }) => {
            return Refusal::not_run(ReasonCode::TargetUnreachable, error.to_string());
        }
        (Some(BodyFault::TooLarge), _) => ReasonCode::BodyTooLarge,
        (Some(BodyFault::Stalled), _) => ReasonCode::SlowSender,
        (Some(BodyFault::Broken), _) => ReasonCode::CallerLeft,
        (None, TransportError::DeadlinePassed { .. }) => ReasonCode::DeadlinePassed,
        (None, _) => ReasonCode::TargetLost,
    };
    Refusal::unknown(reason, error.to_string())
}

/// Returns the refusal for a target that refused the request.
pub(super) fn target_refusal(
    class: ResponseClass,
    response: &CallResponse,
    dialect: &dyn HeaderDialect,
) -> Refusal {
    let mut refusal = match class {
        ResponseClass::WrongInstance => {
            let detail = "another process has the address of the target";
            Refusal::not_run(ReasonCode::WrongInstance, detail)
        }
        _ => {
            let detail = "the target refused the request before running it";
            Refusal::not_run(ReasonCode::TargetRefused, detail)
        }
    };
    refusal.target_drains = class.is_from_target() && dialect.announces_drain(response.headers());
    match parse_retry_after(response.headers()) {
        Some(delay) => refusal.retry_after(delay.min(MAX_PAUSE)),
        None => refusal,
    }
}

/// Returns the refusal that replaces a response whose status promises that the request was not
/// run although the target does not state it.
pub(super) fn replacing_refusal(response: &CallResponse, dialect: &dyn HeaderDialect) -> Refusal {
    let status = response.status();
    let detail = format!("the target answered {status} without stating that it did not run it");
    let mut refusal = Refusal::unknown(ReasonCode::TargetError, detail);
    refusal.target_drains = dialect.announces_drain(response.headers());
    refusal.replaced_status = Some(status);
    refusal
}
