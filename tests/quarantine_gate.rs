//! Concurrent copies of a request that crashes targets.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use zinniaport::gate::{FingerprintedCall, PermitHandle, QuarantineGate};
use zinniaport_core::call::{CallFingerprint, ReasonCode};
use zinniaport_core::clock::SystemClock;
use zinniaport_core::quarantine::RunEnd;
use zinniaport_testing::test_cases;

const CALL: FingerprintedCall =
    FingerprintedCall { fingerprint: CallFingerprint(7), max_crashed_targets: 2 };
const LIMIT: Duration = Duration::from_secs(30);

test_cases! {
    async concurrent_copies_crash_two: "fifty concurrent copies that together crash more targets than the limit" => {
        let gate = Arc::new(QuarantineGate::new(Arc::new(SystemClock::new())));
        let crashed = Arc::new(Mutex::new(BTreeSet::new()));
        let copies: Vec<_> = (1..=50_u16).map(|port| {
            let (gate, crashed) = (gate.clone(), crashed.clone());
            tokio::spawn(async move {
                let handle = PermitHandle::new(gate.enter(CALL, LIMIT).await?);
                tokio::task::yield_now().await;
                let target = SocketAddr::from(([127, 0, 0, 1], port));
                crashed.lock().unwrap().insert(target);
                handle.record_crash(target.into());
                Ok::<_, ReasonCode>(())
            })
        }).collect();
        let mut refused = 0;
        for copy in copies {
            if let Err(reason) = copy.await.unwrap() {
                assert_eq!(reason, ReasonCode::Quarantined);
                refused += 1;
            }
        }
        assert_eq!(crashed.lock().unwrap().len(), 2);
        assert_eq!(refused, 48);
        let other = Arc::new(QuarantineGate::new(Arc::new(SystemClock::new())));
        other.merge(&gate.crash_records());
        assert!(other.try_enter(CALL).is_none(), "the other entry did not merge the crash records");
    }

    async disconnected_copies_do_not_block_others: "a waiting copy that is never released because the caller of an earlier one disconnected" => {
        let gate = Arc::new(QuarantineGate::new(Arc::new(SystemClock::new())));
        PermitHandle::new(gate.enter(CALL, LIMIT).await.unwrap()).record_crash(SocketAddr::from(([127, 0, 0, 1], 1)).into());
        let running = PermitHandle::new(gate.try_enter(CALL).unwrap());
        assert!(running.fork().is_none(), "two copies of a request that crashed a target run at the same time");
        for _ in 0..5 {
            assert!(tokio::time::timeout(Duration::from_millis(1), gate.enter(CALL, LIMIT)).await.is_err());
        }
        let waiting = tokio::spawn({ let gate = gate.clone(); async move { gate.enter(CALL, LIMIT).await } });
        tokio::task::yield_now().await;
        running.end(RunEnd::Other);
        assert!(waiting.await.unwrap().is_ok());
    }
}
