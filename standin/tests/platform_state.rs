//! Guards against a stand-in of the platform that differs from a real store, without a
//! network.

use std::time::Duration;

use slotmap::SlotMap;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::StateController;
use zinniaport_standin::platform::{
    CallKey, CallKind, ChangeCondition, FaultDecision, FaultInjector, ListedVm, MAX_CONTENT_BYTES,
    PlatformEffect, PlatformFaults, PlatformMessage, PlatformRequest, PlatformResponse,
    PlatformSnapshot, PlatformState, VmState,
};
use zinniaport_testing::test_cases;

/// A platform state with the keys of its calls.
struct TestPlatform {
    state: PlatformState,
    calls: SlotMap<CallKey, ()>,
}

impl TestPlatform {
    fn new(history_limit: usize) -> Self {
        let lag = Duration::from_secs(2);
        let state = PlatformState::new(PlatformSnapshot::default(), history_limit, lag);
        Self { state, calls: SlotMap::with_key() }
    }

    fn send(&mut self, request: PlatformRequest, at: u64) -> (CallKey, Vec<PlatformEffect>) {
        let call = self.calls.insert(());
        (call, self.state.handle(PlatformMessage { call, request }, Timestamp(at)))
    }

    fn call(&mut self, request: PlatformRequest, at: u64) -> PlatformResponse {
        self.send(request, at).1.remove(0).response
    }

    fn write(&mut self, name: &str, condition: ChangeCondition) -> PlatformResponse {
        let content = "x".into();
        self.call(PlatformRequest::Write { name: name.to_owned(), content, condition }, 0)
    }
}

fn watch(prefix: &str, after: u64) -> PlatformRequest {
    PlatformRequest::Watch { prefix: prefix.to_owned(), after }
}

fn vm(state: VmState) -> ListedVm {
    let [name, address, data_centre] = ["vm-1", "10.0.0.1", "valle-a"].map(str::to_owned);
    ListedVm { name, address, data_centre, state }
}

test_cases! {
    conditions_are_enforced: "a change that takes effect although its condition does not hold" => {
        let mut platform = TestPlatform::new(8);
        let conflict = |version| PlatformResponse::Conflict { version };
        assert_eq!(platform.write("a", ChangeCondition::AtVersion(0)), conflict(0));
        assert_eq!(
            platform.write("a", ChangeCondition::Absent),
            PlatformResponse::Changed { version: 1 }
        );
        assert_eq!(platform.write("a", ChangeCondition::Absent), conflict(1));
        assert_eq!(
            platform.write("b", ChangeCondition::Absent),
            PlatformResponse::Changed { version: 2 }
        );
        assert_eq!(platform.write("a", ChangeCondition::AtVersion(2)), conflict(1));
        let delete = PlatformRequest::Delete { name: "a".to_owned(), version: 1 };
        assert_eq!(platform.call(delete.clone(), 0), PlatformResponse::Changed { version: 3 });
        assert_eq!(platform.call(delete, 0), conflict(0));
    }

    content_is_limited: "content above 1 MiB that is stored although a real platform refuses it" => {
        let mut platform = TestPlatform::new(8);
        let write = |length| PlatformRequest::Write {
            name: "a".to_owned(),
            content: "x".repeat(length).into(),
            condition: ChangeCondition::Absent,
        };
        assert_eq!(platform.call(write(MAX_CONTENT_BYTES + 1), 0), PlatformResponse::TooLarge);
        let fits = platform.call(write(MAX_CONTENT_BYTES), 0);
        assert_eq!(fits, PlatformResponse::Changed { version: 1 });
    }

    old_watch_is_refused: "a watch that skips dropped changes without an error" => {
        let mut platform = TestPlatform::new(2);
        for name in ["a", "b", "c"] {
            platform.write(name, ChangeCondition::Absent);
        }
        assert_eq!(platform.call(watch("", 0), 0), PlatformResponse::TooOld);
        let PlatformResponse::Batch(batch) = platform.call(watch("", 1), 0) else { panic!() };
        assert_eq!(batch.version, 3);
        assert_eq!(batch.changes.len(), 2);
        // Version 4 is ahead of the store, as after a restore that undid versions.
        assert_eq!(platform.call(watch("", 4), 0), PlatformResponse::TooOld);
    }

    change_wakes_its_watches: "a waiting watch that misses a change or ends for another prefix" => {
        let mut platform = TestPlatform::new(8);
        let (waiting, effects) = platform.send(watch("intents/", 0), 0);
        assert!(effects.is_empty());
        platform.write("claims/x", ChangeCondition::Absent);
        assert_eq!(platform.state.counts().waiting_watches, 1);
        let write = PlatformRequest::Write {
            name: "intents/x".to_owned(),
            content: "x".into(),
            condition: ChangeCondition::Absent,
        };
        let (_, effects) = platform.send(write, 0);
        let woken = effects.iter().find(|effect| effect.call == waiting).unwrap();
        let PlatformResponse::Batch(batch) = &woken.response else { panic!() };
        assert_eq!((batch.version, batch.changes.len()), (2, 1));
        let counts = platform.state.counts();
        assert_eq!((counts.of(CallKind::Watch), counts.waiting_watches), (1, 0));
        assert_eq!(counts.of(CallKind::Write), 2);
    }

    vm_list_lags: "a list of VMs that is always current, unlike that of a real platform" => {
        let mut platform = TestPlatform::new(8);
        let second = 1_000_000;
        for (state, at) in [(VmState::Live, 10), (VmState::Leaving, 20)] {
            platform.call(PlatformRequest::SetVms { vms: vec![vm(state)] }, at * second);
        }
        for (at, state) in [(10, VmState::Live), (21, VmState::Live), (22, VmState::Leaving)] {
            let response = platform.call(PlatformRequest::ListVms, at * second);
            assert_eq!(response, PlatformResponse::Vms(vec![vm(state)]), "at {at} s");
        }
    }

    faults_combine: "a fault that disables another active fault" => {
        let mut injector = FaultInjector::default();
        injector.set_faults(PlatformFaults {
            slow_ms: 7,
            lost_answers: 1,
            silent_watches: true,
            calls_per_second: Some(4),
            ..PlatformFaults::default()
        });
        let delay = Duration::from_millis(7);
        let handled = |drop_response| FaultDecision::Handle { delay, drop_response };
        let now = Timestamp(5_000_000);
        assert_eq!(injector.decide(CallKind::Read, now), handled(false));
        assert_eq!(injector.decide(CallKind::Write, now), handled(true));
        assert_eq!(injector.decide(CallKind::Delete, now), handled(false));
        assert_eq!(injector.decide(CallKind::Watch, now), FaultDecision::NoResponse);
        assert_eq!(injector.decide(CallKind::Read, now), FaultDecision::RateLimit);
        let next_second = now + Duration::from_secs(1);
        assert_eq!(injector.decide(CallKind::Read, next_second), handled(false));
        injector.set_faults(PlatformFaults { down: true, ..injector.faults().clone() });
        assert_eq!(injector.decide(CallKind::Watch, next_second), FaultDecision::Close);
    }
}
