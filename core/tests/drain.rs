//! Guards against a graceful shutdown that closes the listener too early or never ends.

use std::time::Duration;

use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    DrainController, DrainEffect, DrainLimits, DrainMessage, DrainState, StateController,
};
use zinniaport_testing::test_cases;

fn controller() -> DrainController {
    controller_with_max_wait(2000)
}

fn controller_with_max_wait(max_wait_us: u64) -> DrainController {
    let balancer_lag = Duration::from_micros(100);
    let max_wait = Duration::from_micros(max_wait_us);
    let in_flight = Duration::from_micros(1000);
    DrainController::new(DrainLimits { balancer_lag, max_wait, in_flight })
}

test_cases! {
    stop_goes_in_order: "a listener that closes before readiness is off and the balancer's lag has passed" => {
        let mut drain = controller();
        assert_eq!(drain.handle(DrainMessage::TimerFired, Timestamp(1)), []);
        assert_eq!(drain.handle(DrainMessage::ConnectionsEnded, Timestamp(2)), []);
        let effects = drain.handle(DrainMessage::StopRequested, Timestamp(10));
        let timer = DrainEffect::SetTimer(Timestamp(110));
        assert_eq!(effects, [DrainEffect::PublishReadiness(false), timer]);
        assert_eq!(drain.handle(DrainMessage::StopRequested, Timestamp(20)), []);
        assert_eq!(drain.handle(DrainMessage::ConnectionsEnded, Timestamp(30)), []);
        assert_eq!(drain.handle(DrainMessage::TimerFired, Timestamp(109)), [timer]);
        assert_eq!(drain.state(), DrainState::Announcing);
        let effects = drain.handle(DrainMessage::TimerFired, Timestamp(110));
        let timer = DrainEffect::SetTimer(Timestamp(1110));
        assert_eq!(effects, [DrainEffect::CloseListener, timer]);
        assert_eq!(drain.state(), DrainState::Closing);
        let effects = drain.handle(DrainMessage::ConnectionsEnded, Timestamp(500));
        assert_eq!(effects, [DrainEffect::Finish { timed_out: false }]);
        assert_eq!(drain.state(), DrainState::Stopped);
        assert_eq!(drain.handle(DrainMessage::TimerFired, Timestamp(1110)), []);
    }

    wait_is_bounded: "a shutdown that waits forever for one caller" => {
        let mut drain = controller();
        drain.handle(DrainMessage::StopRequested, Timestamp(0));
        drain.handle(DrainMessage::TimerFired, Timestamp(100));
        let effects = drain.handle(DrainMessage::TimerFired, Timestamp(1100));
        assert_eq!(effects, [DrainEffect::Finish { timed_out: true }]);
    }

    waiting_requests_are_refused_in_time: "requests that still wait for a target when the platform ends the process" => {
        let mut drain = controller_with_max_wait(400);
        drain.handle(DrainMessage::StopRequested, Timestamp(10));
        let effects = drain.handle(DrainMessage::TimerFired, Timestamp(110));
        assert_eq!(effects, [DrainEffect::CloseListener, DrainEffect::SetTimer(Timestamp(410))]);
        let effects = drain.handle(DrainMessage::TimerFired, Timestamp(410));
        assert_eq!(effects, [DrainEffect::RefuseWaiting, DrainEffect::SetTimer(Timestamp(1110))]);
        let effects = drain.handle(DrainMessage::TimerFired, Timestamp(1110));
        assert_eq!(effects, [DrainEffect::Finish { timed_out: true }]);
    }

    late_listeners_refuse_at_once: "a long lag of the balancer after which nothing is refused" => {
        let mut drain = controller_with_max_wait(50);
        drain.handle(DrainMessage::StopRequested, Timestamp(10));
        let effects = drain.handle(DrainMessage::TimerFired, Timestamp(110));
        let timer = DrainEffect::SetTimer(Timestamp(1110));
        assert_eq!(effects, [DrainEffect::CloseListener, DrainEffect::RefuseWaiting, timer]);
    }
}
